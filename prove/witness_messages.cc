#include <string>
#include <variant>
#include <vector>

#include "setup.h"
#include "witness.h"

namespace tarragon::prove {
namespace {

using dispatch::Assign;
using dispatch::Finished;
using dispatch::Message;
using dispatch::Permit;
using dispatch::PullTask;
using dispatch::Reason;
using dispatch::Refused;
using dispatch::Seal;
using dispatch::Started;
using dispatch::Submit;
using dispatch::TaskRef;

void Record(Setup* setup, const Process& process, const char* what,
            const TaskRef& ref, std::int64_t extra) {
  Note(setup, JobOf(ref.key), what, process.index, -1, ref.task.value(), extra,
       "attempt " + std::to_string(ref.attempt.value()));
}

void ObserveAssign(Setup* setup, const Process& process, const Assign& assign,
                   const std::vector<const Message*>& out) {
  Record(setup, process, "got assign", assign.ref, 0);
  for (const Message* message : out) {
    const auto* refused = std::get_if<Refused>(message);
    if (refused == nullptr || refused->ref != assign.ref) continue;
    Record(setup, process, "refuses assign", assign.ref,
           static_cast<std::int64_t>(refused->reason));
    Count(setup, refused->reason == Reason::kSealed
                     ? std::string("branch.tombstone_hit")
                     : "assign.refused." +
                           std::string(dispatch::Name(refused->reason)));
  }
}

void ObserveSeal(Setup* setup, const Process& process, const Seal& seal,
                 const std::vector<const Message*>& out) {
  const char* answer = "branch.seal_silent";
  for (const Message* message : out) {
    if (std::holds_alternative<Refused>(*message)) {
      answer = "branch.seal_refused";
    } else if (std::holds_alternative<Started>(*message)) {
      answer = seal.stop ? "branch.seal_stops" : "branch.seal_started";
    } else if (std::holds_alternative<Finished>(*message)) {
      answer = "branch.seal_finished";
    }
  }
  Record(setup, process, answer, seal.ref, seal.stop ? 1 : 0);
  Count(setup, answer);
}

}  // namespace

int JobOf(const core::JobKey& key) {
  const std::string& text = key.value();
  const std::size_t mark = text.rfind(".j");
  if (mark == std::string::npos) return kNoJob;
  return static_cast<int>(std::strtol(text.c_str() + mark + 2, nullptr, 10));
}

void ObserveSent(Setup* setup, const Process& from, const Message& message) {
  const auto* answer = std::get_if<dispatch::Answer>(&message);
  if (answer != nullptr) WitnessHeirAnswer(setup, from, answer->answer);
  const auto* permit = std::get_if<Permit>(&message);
  if (permit == nullptr) return;
  if (permit->lifetime.count() <= 0) {
    Count(setup, "permit.refused");
    return;
  }
  const std::optional<core::Time>& answered = from.entry.table_answered_at;
  const bool by_quorum = !answered.has_value() ||
                         Now(*setup) - *answered > from.entry.policy.freshness;
  Count(setup, by_quorum ? "permit.by_quorum" : "permit.by_table");
}

void ObserveReplies(Setup* setup, const Process& process, const Message& in,
                    const std::vector<const Message*>& out) {
  if (const auto* assign = std::get_if<Assign>(&in)) {
    ObserveAssign(setup, process, *assign, out);
  } else if (const auto* pulled = std::get_if<PullTask>(&in)) {
    Count(setup, "branch.pull_task");
    ObserveAssign(setup, process, pulled->assign, out);
  } else if (const auto* seal = std::get_if<Seal>(&in)) {
    ObserveSeal(setup, process, *seal, out);
  } else if (const auto* finished = std::get_if<Finished>(&in)) {
    Record(setup, process, "got finished", finished->ref, finished->ok ? 1 : 0);
  } else if (const auto* refused = std::get_if<Refused>(&in)) {
    Record(setup, process, "got refused", refused->ref,
           static_cast<std::int64_t>(refused->reason));
  } else if (const auto* started = std::get_if<Started>(&in)) {
    Record(setup, process, "got started", started->ref, 0);
  } else if (const auto* submit = std::get_if<Submit>(&in)) {
    Note(setup, JobOf(submit->spec.key), "got submit", process.index, -1,
         static_cast<std::int64_t>(submit->request));
  }
}

}  // namespace tarragon::prove
