#ifndef TARRAGON_DAEMONS_SHED_REPORT_H_
#define TARRAGON_DAEMONS_SHED_REPORT_H_

#include <cstdint>

#include "tarragon/core/clock.h"
#include "tarragon/core/log.h"
#include "tarragon/core/memory_quota.h"
#include "tarragon/http/server.h"
#include "tarragon/metrics/registry.h"
#include "tarragon/wire/transport.h"

namespace tarragon::daemons {

/// Connections of a process that were shed for the limits of its VM, since its
/// start.
struct ShedCounts {
  /// Closed because all connections held too much.
  std::uint64_t for_memory = 0;
  /// Closed to make place for a new one.
  std::uint64_t for_place = 0;
  /// Refused because no place could be made.
  std::uint64_t refused = 0;

  bool operator==(const ShedCounts&) const = default;
};

void AddCounts(const http::ServerCounters& counters, ShedCounts* counts);
void AddCounts(const wire::TransportCounters& counters, ShedCounts* counts);

/// Sets the counters "connections_shed_total" and the gauges
/// "connection_bytes" and "connection_bytes_max".
void UpdateShedMetrics(metrics::Registry* registry, const ShedCounts& counts,
                       const core::MemoryQuota& quota);

/// Tells in the log that connections are being shed: one line a second at most,
/// however many there are.
class ShedLog {
 public:
  /// True if the last report is long enough ago.
  bool IsDue(core::Time now) const;
  /// Logs what has been added to `counts` since the last report, if anything.
  void Report(const core::Log& log, core::Time now, const ShedCounts& counts,
              const core::MemoryQuota& quota);

 private:
  ShedCounts reported_;
  core::Time reported_at_;
};

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_SHED_REPORT_H_
