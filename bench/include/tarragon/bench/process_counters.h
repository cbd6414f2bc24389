#ifndef TARRAGON_BENCH_PROCESS_COUNTERS_H_
#define TARRAGON_BENCH_PROCESS_COUNTERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/http/client.h"

namespace tarragon::bench {

/// What one process of the system tells of itself under /metrics.
struct ProcessCounters {
  /// Messages sent to other processes, by name. Nothing if it does not say.
  std::optional<std::map<std::string, std::uint64_t>> sent;
  /// Messages that brought no work on, by kind. Nothing if it does not say.
  std::optional<std::map<std::string, std::uint64_t>> wasted;
  /// Processor time.
  core::Duration cpu{0};
  std::uint64_t resident_bytes = 0;
  /// Bytes sent to other processes.
  std::uint64_t bytes_out = 0;

  bool operator==(const ProcessCounters&) const = default;
};

/// Reads a page in the Prometheus text format.
ProcessCounters ReadCounters(const std::string& page);

/// What a process did between two readings. A counter that fell belongs to a
/// process that was started again: its later value counts. The memory is that
/// of the later reading.
ProcessCounters Difference(const ProcessCounters& before,
                           const ProcessCounters& after);

/// One reading of several processes, in the order of their addresses; nothing
/// for those that did not answer.
using CounterReadings = std::vector<std::optional<ProcessCounters>>;

/// Reads /metrics of all `addresses`. `done` is called once, never inside this
/// call.
void ReadAllCounters(http::Client* client,
                     const std::vector<core::Address>& addresses,
                     std::function<void(CounterReadings)> done);

}  // namespace tarragon::bench

#endif  // TARRAGON_BENCH_PROCESS_COUNTERS_H_
