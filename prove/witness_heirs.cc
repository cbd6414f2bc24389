#include <optional>
#include <string>

#include "setup.h"
#include "tarragon/dispatch/handle.h"
#include "witness.h"

namespace tarragon::prove {
namespace {

using dispatch::Outcome;
using dispatch::Reason;

/// The answer contradicts nothing that a client was told before.
bool AgreesWith(const JobFacts& facts, const dispatch::JobAnswer& answer) {
  if (answer.reason == Reason::kKeyReused) return true;
  if (answer.outcome == Outcome::kUnknown) {
    // Dropped in time, or unknown from the start.
    const bool dropped = answer.reason == Reason::kAnswerDropped ||
                         answer.reason == Reason::kHandleExpired;
    return dropped ||
           (!facts.complete_at.has_value() && !facts.failed_at.has_value());
  }
  if (facts.complete_at.has_value()) {
    return answer.outcome == Outcome::kComplete;
  }
  if (facts.failed_at.has_value()) return answer.outcome == Outcome::kFailed;
  return true;
}

}  // namespace

void WitnessHeirAnswer(Setup* setup, const Process& heir,
                       const dispatch::JobAnswer& answer) {
  const std::optional<dispatch::Handle> handle =
      dispatch::ParseHandle(answer.key);
  const int job = JobOf(answer.key);
  if (!handle.has_value() || handle->home == heir.node || job == kNoJob) return;
  // Without a memory of the home the agent says that the key is not its own.
  if (heir.agent.inherited_snapshots.count(handle->home) == 0) return;
  Count(setup, "branch.heir_" + std::string(dispatch::Name(answer.outcome)));
  JobFacts& facts = setup->witness.jobs[job];
  const std::string where = "heir " + std::to_string(heir.index);
  Check(setup, "c_heir_answers_alike", AgreesWith(facts, answer), job, where);
  if (answer.outcome == Outcome::kComplete && facts.complete_at.has_value()) {
    Count(setup, "branch.heir_repeats_complete");
  }
  const bool unrun =
      answer.outcome == Outcome::kNotRun && answer.reason != Reason::kKeyReused;
  if (!unrun) return;
  Check(setup, "d_heir_knows_all_starts", facts.starts.empty(), job, where);
  facts.unrun_by_heir = true;
}

void WitnessHandover(Setup* setup, const Process& stopped) {
  if (!stopped.is_agent) return;
  const auto own = stopped.agent.outgoing_handovers.find(stopped.node);
  if (own == stopped.agent.outgoing_handovers.end() ||
      !own->second.heir.has_value()) {
    Count(setup, "handover.nobody");
    return;
  }
  Count(setup, own->second.finished ? "handover.done" : "handover.unfinished");
  if (own->second.part_number > 0) Count(setup, "handover.in_parts");
  if (stopped.agent.outgoing_handovers.size() > 1) {
    Count(setup, "handover.of_inherited");
  }
  if (own->second.tried_heirs.size() > 1) Count(setup, "handover.second_heir");
}

}  // namespace tarragon::prove
