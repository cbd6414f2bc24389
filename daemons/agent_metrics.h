#ifndef TARRAGON_DAEMONS_AGENT_METRICS_H_
#define TARRAGON_DAEMONS_AGENT_METRICS_H_

#include <string>

#include "counter_mirror.h"
#include "tarragon/core/clock.h"
#include "tarragon/dispatch/agent_board.h"
#include "tarragon/metrics/registry.h"
#include "tarragon/wire/transport.h"

namespace tarragon::daemons {

/// Collects the metrics of an agent for its /metrics page.
class AgentMetrics {
 public:
  AgentMetrics();

  /// Adds the board's job and task samples to the histograms and removes them
  /// from the board.
  void RecordSamples(dispatch::AgentBoard* board);

  /// Renders the page in the Prometheus text exposition format.
  std::string RenderPage(const dispatch::AgentBoard& board,
                         const wire::TransportCounters& transport,
                         core::Time now);

 private:
  void MirrorBoard(const dispatch::AgentBoard& board, core::Time now);

  metrics::Registry registry_;
  CounterMirror mirror_;
};

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_AGENT_METRICS_H_
