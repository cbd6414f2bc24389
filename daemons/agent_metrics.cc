#include "agent_metrics.h"

#include "tarragon/dispatch/agent.h"

namespace tarragon::daemons {

using metrics::Labels;
using metrics::MetricKind;

AgentMetrics::AgentMetrics() : mirror_(&registry_) {
  registry_.Describe("job_response_seconds", MetricKind::kHistogram,
                     "Time from taking in a job to its answer.");
  registry_.Describe("jobs_total", MetricKind::kCounter,
                     "Jobs that ended here, by outcome.");
  registry_.Describe("refusals_total", MetricKind::kCounter,
                     "Jobs and placements refused here, by reason.");
  registry_.Describe("starts_total", MetricKind::kCounter,
                     "Tasks handed to the target.");
  registry_.Describe("wasted_messages_total", MetricKind::kCounter,
                     "Messages that brought no work on, by kind.");
  registry_.Describe("messages_out_total", MetricKind::kCounter,
                     "Messages sent to other processes, by name.");
  registry_.Describe("free_slots", MetricKind::kGauge,
                     "Slots in which a task could start now.");
  registry_.Describe("invariant_checks_total", MetricKind::kCounter,
                     "Invariants checked, by name.");
}

void AgentMetrics::Take(dispatch::AgentBoard* board) {
  for (const dispatch::JobSample& sample : board->samples) {
    registry_.Observe("job_response_seconds",
                      Labels{{"service", sample.service.value()},
                             {"tenant", sample.tenant.value()}},
                      sample.response);
  }
  board->samples.clear();
}

void AgentMetrics::MirrorBoard(const dispatch::AgentBoard& board,
                               core::Time now) {
  const dispatch::AgentCounters& counters = board.counters;
  mirror_.MirrorAll("jobs_total", "outcome", counters.outcomes);
  mirror_.MirrorAll("refusals_total", "reason", counters.refusals);
  mirror_.MirrorAll("invariant_checks_total", "name", board.invariants);
  mirror_.Mirror("starts_total", {}, counters.starts);
  mirror_.Mirror("placements_total", {}, counters.placements);
  mirror_.Mirror("retries_total", {}, counters.retries);
  mirror_.Mirror("seals_total", {}, counters.seals);
  mirror_.Mirror("pulls_total", {}, counters.pulls);
  mirror_.Mirror("load_hints_total", {}, counters.hints);
  // A refused assignment and an empty pull waste a message each way.
  mirror_.Mirror("wasted_messages_total", Labels{{"kind", "refused"}},
                 2 * counters.refused_assigns);
  mirror_.Mirror("wasted_messages_total", Labels{{"kind", "empty_pull"}},
                 2 * counters.empty_pulls);
  mirror_.Mirror("wasted_messages_total", Labels{{"kind", "seal"}},
                 counters.seals);
  mirror_.Mirror("wasted_messages_total", Labels{{"kind", "duplicate"}},
                 counters.duplicates);
  const double slots = board.target.present ? board.target.slots : 0;
  registry_.Set("slots", {}, slots);
  registry_.Set("running", {}, board.running);
  registry_.Set("free_slots", {}, dispatch::Status(board, now).load.free_slots);
  registry_.Set("active_jobs", {}, static_cast<double>(board.active.size()));
  registry_.Set("kept_jobs", {}, static_cast<double>(board.jobs.size()));
  registry_.Set("held_bytes", {}, static_cast<double>(board.bytes_held));
  registry_.Set("peers", {}, static_cast<double>(board.peers.size()));
  registry_.Set("note_version", {},
                static_cast<double>(board.world.version.value()));
  registry_.Set("ejected", {}, board.health.ejected ? 1 : 0);
}

std::string AgentMetrics::Page(const dispatch::AgentBoard& board,
                               const wire::TransportCounters& transport,
                               core::Time now) {
  MirrorBoard(board, now);
  mirror_.MirrorTransport(transport);
  mirror_.MirrorProcess();
  return registry_.Exposition();
}

}  // namespace tarragon::daemons
