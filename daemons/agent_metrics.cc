#include "agent_metrics.h"

#include <algorithm>

#include "tarragon/dispatch/agent.h"

namespace tarragon::daemons {
namespace {

using metrics::Labels;
using metrics::MetricKind;

constexpr MetricHelp kHelp[] = {
    {"job_response_seconds", MetricKind::kHistogram,
     "Time from taking in a job to its answer."},
    {"job_over_ideal_seconds", MetricKind::kHistogram,
     "Response time of a complete job less its longest task's run time."},
    {"task_queue_seconds", MetricKind::kHistogram,
     "Time from taking in a job to the last placement of a task."},
    {"task_run_seconds", MetricKind::kHistogram,
     "Run time of a task at its target."},
    {"jobs_total", MetricKind::kCounter, "Jobs that ended here, by outcome."},
    {"refusals_total", MetricKind::kCounter,
     "Jobs and placements refused here, by reason."},
    {"starts_total", MetricKind::kCounter, "Tasks handed to the target."},
    {"placements_total", MetricKind::kCounter, "Tasks sent to executors."},
    {"retries_total", MetricKind::kCounter,
     "Tasks sent to executors, not for the first time."},
    {"seals_total", MetricKind::kCounter,
     "Silent executors asked for a proof."},
    {"pulls_total", MetricKind::kCounter,
     "Requests of free slots for waiting tasks."},
    {"load_hints_total", MetricKind::kCounter,
     "Loads told without being asked."},
    {"wasted_messages_total", MetricKind::kCounter,
     "Messages that brought no work on, by kind."},
    {"slots", MetricKind::kGauge, "Slots of the target."},
    {"running", MetricKind::kGauge, "Tasks that run at the target."},
    {"free_slots", MetricKind::kGauge,
     "Slots in which a task could start now."},
    {"active_jobs", MetricKind::kGauge, "Jobs open at this home."},
    {"kept_jobs", MetricKind::kGauge, "Jobs remembered at this home."},
    {"held_bytes", MetricKind::kGauge, "Payloads and answers held."},
    {"inherited_homes", MetricKind::kGauge,
     "Stopped homes for whose keys this agent answers."},
    {"peers", MetricKind::kGauge, "Agents known here."},
    {"note_version", MetricKind::kGauge, "Version of the note in force here."},
    {"ejected", MetricKind::kGauge,
     "1 while the target fails most tasks or is slow and gets single trials."},
    {"invariant_checks_total", MetricKind::kCounter,
     "Invariants checked, by name."},
};

Labels LabelsOf(const core::ServiceId& service, const core::TenantId& tenant) {
  return Labels{{"service", service.value()}, {"tenant", tenant.value()}};
}

}  // namespace

AgentMetrics::AgentMetrics() : mirror_(&registry_) {
  for (const MetricHelp& item : kHelp) {
    registry_.Describe(item.name, item.kind, item.help);
  }
}

void AgentMetrics::Take(dispatch::AgentBoard* board) {
  for (const dispatch::JobSample& sample : board->job_samples) {
    const Labels labels = LabelsOf(sample.service, sample.tenant);
    registry_.Observe("job_response_seconds", labels, sample.response_time);
    if (sample.outcome != dispatch::Outcome::kComplete) continue;
    registry_.Observe("job_over_ideal_seconds", labels,
                      std::max(core::Duration(0),
                               sample.response_time - sample.longest_run_time));
  }
  board->job_samples.clear();
  for (const dispatch::TaskSample& sample : board->task_samples) {
    const Labels labels = LabelsOf(sample.service, sample.tenant);
    registry_.Observe("task_queue_seconds", labels, sample.queue_time);
    registry_.Observe("task_run_seconds", labels, sample.run_time);
  }
  board->task_samples.clear();
}

void AgentMetrics::MirrorBoard(const dispatch::AgentBoard& board,
                               core::Time now) {
  const dispatch::AgentCounters& counters = board.counters;
  mirror_.MirrorAll("jobs_total", "outcome", counters.outcomes);
  mirror_.MirrorAll("refusals_total", "reason", counters.refusals);
  mirror_.MirrorAll("invariant_checks_total", "name", board.invariant_counts);
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

std::string AgentMetrics::Page(const dispatch::AgentBoard& board,
                               const wire::TransportCounters& transport,
                               core::Time now) {
  MirrorBoard(board, now);
  mirror_.MirrorTransport(transport);
  mirror_.MirrorProcess();
  return registry_.Exposition();
}

}  // namespace tarragon::daemons
