#ifndef TARRAGON_DAEMONS_COUNTER_MIRROR_H_
#define TARRAGON_DAEMONS_COUNTER_MIRROR_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "tarragon/metrics/registry.h"
#include "tarragon/wire/transport.h"

namespace tarragon::daemons {

/// The name, type and HELP text of a metric.
struct MetricHelp {
  const char* name;
  metrics::MetricKind kind;
  const char* help;
};

/// Copies totals that are counted elsewhere into the counters of a registry.
/// As a registry only increments, it adds the increase since the last copy.
class CounterMirror {
 public:
  /// Describes the metrics of MirrorTransport and MirrorProcess in `registry`.
  explicit CounterMirror(metrics::Registry* registry);

  /// Sets the counter `name` to `total`. A lower total than before is ignored.
  void MirrorCounter(const std::string& name, const metrics::Labels& labels,
                     std::uint64_t total);

  /// Sets one counter for each item of `totals`, with the item's key as value
  /// of `label`.
  void MirrorCounters(const std::string& name, const std::string& label,
                      const std::map<std::string, std::uint64_t>& totals);

  /// Sets the messages, bytes and connections of the transport.
  void MirrorTransport(const wire::TransportCounters& counters);

  /// Sets the processor time and resident memory of this process.
  void MirrorProcess();

 private:
  metrics::Registry* registry_;
  std::map<std::pair<std::string, metrics::Labels>, std::uint64_t> last_totals_;
};

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_COUNTER_MIRROR_H_
