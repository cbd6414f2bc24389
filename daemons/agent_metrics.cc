#include "agent_metrics.h"

#include <algorithm>

#include "tarragon/dispatch/agent.h"

namespace tarragon::daemons {
namespace {

using metrics::Labels;
using metrics::MetricKind;

constexpr MetricHelp kHelp[] = {
    {"job_response_seconds", MetricKind::kHistogram,
     "Time from accepting a job to its answer."},
    {"job_over_ideal_seconds", MetricKind::kHistogram,
     "Response time of a complete job minus the run time of its longest task."},
    {"task_queue_seconds", MetricKind::kHistogram,
     "Time from accepting a job to the last placement of a task."},
    {"task_run_seconds", MetricKind::kHistogram,
     "Run time of a task at its target."},
    {"jobs_total", MetricKind::kCounter, "Jobs that ended here, by outcome."},
    {"refusals_total", MetricKind::kCounter,
     "Jobs and placements refused here, by reason."},
    {"starts_total", MetricKind::kCounter, "Tasks handed to the target."},
    {"placements_total", MetricKind::kCounter, "Tasks sent to executors."},
    {"retries_total", MetricKind::kCounter, "Tasks sent to executors again."},
    {"seals_total", MetricKind::kCounter,
     "Requests to silent executors not to start a task, or to report its "
     "start."},
    {"pulls_total", MetricKind::kCounter,
     "Requests to homes for a waiting task for a free slot."},
    {"load_hints_total", MetricKind::kCounter,
     "Load reports sent without a request."},
    {"wasted_messages_total", MetricKind::kCounter,
     "Messages that did not advance any work, by kind."},
    {"slots", MetricKind::kGauge, "Slots of the target."},
    {"running", MetricKind::kGauge, "Tasks running at the target."},
    {"free_slots", MetricKind::kGauge, "Slots in which a task can start now."},
    {"active_jobs", MetricKind::kGauge, "Jobs open at this home."},
    {"kept_jobs", MetricKind::kGauge,
     "Jobs that this home keeps, open or ended."},
    {"held_bytes", MetricKind::kGauge, "Bytes of stored payloads and answers."},
    {"inherited_homes", MetricKind::kGauge,
     "Stopped homes whose keys this agent has taken over."},
    {"peers", MetricKind::kGauge, "Agents known here."},
    {"note_version", MetricKind::kGauge, "Version of the note in force here."},
    {"ejected", MetricKind::kGauge,
     "1 while the target is ejected for failing most tasks or being slow and "
     "gets only single trial tasks."},
    {"invariant_checks_total", MetricKind::kCounter,
     "Invariants checked, by name."},
};

Labels MakeLabels(const core::ServiceId& service,
                  const core::TenantId& tenant) {
  return Labels{{"service", service.value()}, {"tenant", tenant.value()}};
}

}  // namespace

AgentMetrics::AgentMetrics() : mirror_(&registry_) {
  for (const MetricHelp& item : kHelp) {
    registry_.Describe(item.name, item.kind, item.help);
  }
}

void AgentMetrics::RecordSamples(dispatch::AgentBoard* board) {
  for (const dispatch::JobSample& sample : board->job_samples) {
    const Labels labels = MakeLabels(sample.service, sample.tenant);
    registry_.Observe("job_response_seconds", labels, sample.response_time);
    if (sample.outcome != dispatch::Outcome::kComplete) continue;
    registry_.Observe("job_over_ideal_seconds", labels,
                      std::max(core::Duration(0),
                               sample.response_time - sample.longest_run_time));
  }
  board->job_samples.clear();
  for (const dispatch::TaskSample& sample : board->task_samples) {
    const Labels labels = MakeLabels(sample.service, sample.tenant);
    registry_.Observe("task_queue_seconds", labels, sample.queue_time);
    registry_.Observe("task_run_seconds", labels, sample.run_time);
  }
  board->task_samples.clear();
}

void AgentMetrics::MirrorBoard(const dispatch::AgentBoard& board,
                               core::Time now) {
  const dispatch::AgentCounters& counters = board.counters;
  mirror_.MirrorCounters("jobs_total", "outcome", counters.outcomes);
  mirror_.MirrorCounters("refusals_total", "reason", counters.refusals);
  mirror_.MirrorCounters("invariant_checks_total", "name",
                         board.invariant_counts);
  mirror_.MirrorCounter("starts_total", {}, counters.starts);
  mirror_.MirrorCounter("placements_total", {}, counters.placements);
  mirror_.MirrorCounter("retries_total", {}, counters.retries);
  mirror_.MirrorCounter("seals_total", {}, counters.seals);
  mirror_.MirrorCounter("pulls_total", {}, counters.pulls);
  mirror_.MirrorCounter("load_hints_total", {}, counters.hints);
  // A refused assignment and an empty pull each waste a request and its reply.
  mirror_.MirrorCounter("wasted_messages_total", Labels{{"kind", "refused"}},
                        2 * counters.refused_assigns);
  mirror_.MirrorCounter("wasted_messages_total", Labels{{"kind", "empty_pull"}},
                        2 * counters.empty_pulls);
  mirror_.MirrorCounter("wasted_messages_total", Labels{{"kind", "seal"}},
                        counters.seals);
  mirror_.MirrorCounter("wasted_messages_total", Labels{{"kind", "duplicate"}},
                        counters.duplicates);
  const double slots = board.target.present ? board.target.slots : 0;
  registry_.Set("slots", {}, slots);
  registry_.Set("running", {}, board.running_tasks);
  registry_.Set("free_slots", {},
                dispatch::BuildStatus(board, now).load.free_slots);
  registry_.Set("active_jobs", {},
                static_cast<double>(board.active_jobs.size()));
  registry_.Set("kept_jobs", {}, static_cast<double>(board.jobs.size()));
  registry_.Set("held_bytes", {}, static_cast<double>(board.bytes_held));
  registry_.Set("inherited_homes", {},
                static_cast<double>(board.inherited_snapshots.size()));
  registry_.Set("peers", {}, static_cast<double>(board.peers.size()));
  registry_.Set("note_version", {},
                static_cast<double>(board.world.version.value()));
  registry_.Set("ejected", {}, board.health.ejected ? 1 : 0);
}

std::string AgentMetrics::RenderPage(const dispatch::AgentBoard& board,
                                     const wire::TransportCounters& transport,
                                     core::Time now) {
  MirrorBoard(board, now);
  mirror_.MirrorTransport(transport);
  mirror_.MirrorProcess();
  return registry_.Exposition();
}

}  // namespace tarragon::daemons
