#ifndef TARRAGON_DAEMONS_ENTRY_METRICS_H_
#define TARRAGON_DAEMONS_ENTRY_METRICS_H_

#include <string>

#include "counter_mirror.h"
#include "tarragon/dispatch/entry_board.h"
#include "tarragon/metrics/registry.h"
#include "tarragon/wire/transport.h"

namespace tarragon::daemons {

/// Collects the metrics of an entry for its /metrics page.
class EntryMetrics {
 public:
  EntryMetrics();

  /// Renders the page in the Prometheus text exposition format.
  std::string RenderPage(const dispatch::EntryBoard& board,
                         const wire::TransportCounters& transport);

 private:
  metrics::Registry registry_;
  CounterMirror mirror_;
};

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_ENTRY_METRICS_H_
