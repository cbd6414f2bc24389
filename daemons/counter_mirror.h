#ifndef TARRAGON_DAEMONS_COUNTER_MIRROR_H_
#define TARRAGON_DAEMONS_COUNTER_MIRROR_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "tarragon/metrics/registry.h"
#include "tarragon/wire/transport.h"

namespace tarragon::daemons {

/// What a metrics page says of one name.
struct MetricHelp {
  const char* name;
  metrics::MetricKind kind;
  const char* help;
};

/// Brings totals that are counted elsewhere into a registry, which only adds.
class CounterMirror {
 public:
  /// Describes what MirrorTransport and MirrorProcess show.
  explicit CounterMirror(metrics::Registry* registry);

  /// Makes the counter `name` show `total`, which never falls.
  void MirrorCounter(const std::string& name, const metrics::Labels& labels,
                     std::uint64_t total);

  /// One counter for each item, labelled by its key.
  void MirrorCounters(const std::string& name, const std::string& label,
                      const std::map<std::string, std::uint64_t>& totals);

  /// The messages and bytes of the transport.
  void MirrorTransport(const wire::TransportCounters& counters);

  /// Processor time and memory of this process.
  void MirrorProcess();

 private:
  metrics::Registry* registry_;
  std::map<std::pair<std::string, metrics::Labels>, std::uint64_t> last_totals_;
};

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_COUNTER_MIRROR_H_
