#include "witness.h"

#include <algorithm>
#include <utility>

#include "setup.h"

namespace tarragon::prove {
namespace {

using dispatch::Outcome;
using dispatch::Reason;
using dispatch::RequestKind;

/// A target or agent that leaves starts nothing later than this.
constexpr core::Duration kLeaveLimit = std::chrono::seconds(3);
/// An answer is late when it comes this long after its moment.
constexpr core::Duration kLate = std::chrono::seconds(3);

std::string Where(int call) { return "call " + std::to_string(call); }

/// Some submission of this body, sent before the start, was not answered by
/// "not run".
bool Justified(const Setup& setup, int job, const StartFact& start) {
  const ClientJob& known = setup.clients.jobs[job];
  return std::any_of(
      known.calls.begin(), known.calls.end(), [&setup, &start](int id) {
        const Call& call = setup.clients.calls[id];
        const bool refused = call.answered && call.outcome == Outcome::kNotRun;
        return call.kind == RequestKind::kSubmit && call.body == start.body &&
               call.sent <= start.at && !refused;
      });
}

void CheckLeaving(Setup* setup, int agent, int job) {
  const core::Time now = Now(*setup);
  const FakeTarget& target = setup->targets.all[agent];
  const Process& process = setup->processes[agent];
  Check(setup, "h_leaving_target_starts_nothing",
        !target.leaving || now - target.leaving_since <= kLeaveLimit, job,
        "target " + std::to_string(agent));
  const bool stopping = process.alive && process.stopping;
  Check(setup, "h_stopping_agent_starts_nothing",
        !stopping || now - process.stop_requested <= kLeaveLimit, job,
        "agent " + std::to_string(agent));
}

void CheckResults(Setup* setup, int id, const dispatch::JobAnswer& answer) {
  const Call& call = setup->clients.calls[id];
  if (answer.outcome != Outcome::kComplete) {
    Check(setup, "b_no_partial_results", answer.results.empty(), call.job,
          Where(id));
    return;
  }
  const bool submitted = call.kind == RequestKind::kSubmit;
  bool whole = false;
  for (int body = 0; body < setup->clients.jobs[call.job].bodies; ++body) {
    if (submitted && body != call.body) continue;
    std::vector<std::string> expected = PayloadsOf(*setup, call.job, body);
    for (std::string& payload : expected) payload = ResultOf(payload);
    whole = whole || expected == answer.results;
  }
  Check(setup, "b_whole_own_results", whole, call.job, Where(id));
}

/// "Not run" is true of its own submission, but another of the same key has
/// started something. A client that gave up the other one is misled if it was
/// the earlier.
void CountCrossing(Setup* setup, const Call& refused, const StartFact& start) {
  if (start.at < refused.sent) return;
  for (const int id : setup->clients.jobs[refused.job].calls) {
    const Call& other = setup->clients.calls[id];
    if (other.kind != RequestKind::kSubmit || other.body != start.body)
      continue;
    if (other.sent >= refused.sent || other.sent > start.at) continue;
    if (other.answered && other.outcome == Outcome::kNotRun) continue;
    Count(setup, other.abandoned ? "d_crossed_abandoned_submission"
                                 : "d_crossed_open_submission");
    return;
  }
  Count(setup, "d_crossed_later_submission");
}

void CheckNotRun(Setup* setup, int id, const dispatch::JobAnswer& answer) {
  const Call& call = setup->clients.calls[id];
  JobFacts& facts = setup->witness.jobs[call.job];
  if (answer.reason == Reason::kCancelled) {
    facts.cancelled_unrun = true;
    Check(setup, "d_cancelled_never_runs", facts.starts.empty(), call.job,
          Where(id));
  }
  if (call.kind != RequestKind::kSubmit) {
    const bool unknown = std::none_of(
        facts.starts.begin(), facts.starts.end(),
        [&call](const StartFact& start) { return start.at < call.sent; });
    Check(setup, "d_unknown_key_has_no_start", unknown, call.job, Where(id));
    return;
  }
  for (const StartFact& start : facts.starts) {
    if (start.body != call.body) continue;
    Check(setup, "d_not_run_means_not_run",
          start.at > call.sent && Justified(*setup, call.job, start), call.job,
          Where(id));
    CountCrossing(setup, call, start);
  }
  Check(setup, "d_not_run_answers", true, call.job, Where(id));
}

/// Contradictions with what was told of this job before.
void CheckSteady(Setup* setup, int id, const dispatch::JobAnswer& answer) {
  const Call& call = setup->clients.calls[id];
  JobFacts& facts = setup->witness.jobs[call.job];
  const core::Time now = Now(*setup);
  if (answer.reason == Reason::kKeyReused) {
    Count(setup, "answer.key_reused");
    return;
  }
  if (answer.outcome == Outcome::kComplete) {
    if (facts.complete_at.has_value()) Count(setup, "c_repeated_complete");
    Check(setup, "c_complete_stays", !facts.failed_at.has_value(), call.job,
          Where(id));
    if (!facts.complete_at.has_value()) facts.complete_at = now;
  }
  if (answer.outcome == Outcome::kFailed) {
    if (facts.failed_at.has_value()) Count(setup, "c_repeated_failed");
    Check(setup, "c_failed_stays", !facts.complete_at.has_value(), call.job,
          Where(id));
    if (!facts.failed_at.has_value()) facts.failed_at = now;
  }
  if (answer.outcome != Outcome::kNotRun) return;
  const bool ended_before =
      (facts.complete_at.has_value() && *facts.complete_at <= call.sent) ||
      (facts.failed_at.has_value() && *facts.failed_at <= call.sent);
  Check(setup, "c_ended_is_not_unrun", !ended_before, call.job, Where(id));
}

/// The call must be answered by now, unless its entry was frozen lately.
void CheckInTime(Setup* setup, int id) {
  const Call& call = setup->clients.calls[id];
  if (call.abandoned || !IsAlive(*setup, call.entry)) return;
  const Process& entry = setup->processes[call.entry.process];
  const bool excused = entry.frozen || Now(*setup) - entry.thawed < kLate;
  if (!call.answered && excused) {
    setup->scheduler.After(kLate, [setup, id]() { CheckInTime(setup, id); });
    return;
  }
  Check(setup, "i_answered_in_time", call.answered, call.job, Where(id));
}

}  // namespace

void WitnessStart(Setup* setup, int agent, const dispatch::TaskRef& ref,
                  const std::string& payload) {
  const PayloadName name = ReadPayload(payload);
  JobFacts& facts = setup->witness.jobs[name.job];
  const bool fresh = std::none_of(
      facts.starts.begin(), facts.starts.end(),
      [&name](const StartFact& start) { return start.task == name.task; });
  Check(setup, "a_no_second_start", fresh, name.job,
        "task " + std::to_string(name.task));
  Check(setup, "a_start_of_named_task", ref.task.value() == name.task, name.job,
        ref.key.value());
  const StartFact start{Now(*setup), name.body, name.task, agent};
  facts.starts.push_back(start);
  Check(setup, "d_start_is_justified", Justified(*setup, name.job, start),
        name.job, "task " + std::to_string(name.task));
  Check(setup, "d_cancelled_starts_nothing", !facts.cancelled_unrun, name.job,
        "task " + std::to_string(name.task));
  Check(setup, "d_handed_over_starts_nothing", !facts.unrun_by_heir, name.job,
        "task " + std::to_string(name.task));
  const ClientJob& job = setup->clients.jobs[name.job];
  if (job.cores > kSmallCores) {
    Check(setup, "k_target_is_large_enough",
          job.cores <= setup->targets.all[agent].cores, name.job,
          "agent " + std::to_string(agent));
  }
  CheckLeaving(setup, agent, name.job);
  WitnessDomain(setup, agent, name.job);
}

void WitnessAnswer(Setup* setup, int id, const dispatch::JobAnswer& answer) {
  const Call& call = setup->clients.calls[id];
  const ClientJob& job = setup->clients.jobs[call.job];
  Check(setup, "b_own_key", answer.key.value() == job.key, call.job,
        answer.key.value());
  CheckResults(setup, id, answer);
  CheckSteady(setup, id, answer);
  if (answer.outcome == Outcome::kNotRun) CheckNotRun(setup, id, answer);
  if (answer.outcome == Outcome::kUnknown) Count(setup, "answer.unknown");
  if (answer.outcome == Outcome::kRunning) Count(setup, "answer.running");
  const bool dropped = answer.reason == Reason::kAnswerDropped;
  if (dropped) Count(setup, "answer.dropped");
  if (answer.reason == Reason::kHandleExpired) {
    Count(setup, "answer.handle_expired");
  }
}

void WatchCall(Setup* setup, int id) {
  const Call& call = setup->clients.calls[id];
  const bool submit = call.kind == RequestKind::kSubmit;
  const core::Duration wait =
      submit ? std::min(call.wait, call.time_left) : call.wait;
  setup->scheduler.At(call.arrival + wait + kLate,
                      [setup, id]() { CheckInTime(setup, id); });
}

}  // namespace tarragon::prove
