#include "client_call.h"

#include <algorithm>
#include <utility>

#include "setup.h"
#include "tarragon/dispatch/entry.h"

namespace tarragon::prove {
namespace {

using dispatch::RequestKind;

constexpr core::Duration kLeastHop = std::chrono::milliseconds(1);
constexpr core::Duration kMostHop = std::chrono::milliseconds(3);
constexpr core::Duration kLeastPatience = std::chrono::milliseconds(300);
constexpr core::Duration kShortPatience = std::chrono::seconds(2);
constexpr core::Duration kGrace = std::chrono::seconds(5);
constexpr core::Duration kShortWait = std::chrono::milliseconds(100);
constexpr core::Duration kLongWait = std::chrono::seconds(2);

dispatch::JobSpec SpecOf(const Setup& setup, const Call& call) {
  dispatch::JobSpec spec;
  const std::size_t job = static_cast<std::size_t>(call.job);
  spec.service = setup.services[job % setup.services.size()];
  spec.tenant = setup.tenants[job % setup.tenants.size()];
  spec.time_left = call.time_left;
  for (std::string& payload : PayloadsOf(setup, call.job, call.body)) {
    dispatch::TaskSpec task;
    task.payload = std::move(payload);
    task.cores = setup.clients.jobs[call.job].cores;
    spec.tasks.push_back(std::move(task));
  }
  return spec;
}

void ArriveAtEntry(Setup* setup, int id) {
  Call& call = setup->clients.calls[id];
  dispatch::EntryBoard* board = &setup->processes[call.entry.process].entry;
  call.arrived = true;
  call.arrival = Now(*setup);
  const std::string& key = setup->clients.jobs[call.job].key;
  call.number =
      call.kind == RequestKind::kSubmit
          ? dispatch::OnClientSubmit(board, Now(*setup), SpecOf(*setup, call),
                                     key, call.wait)
          : dispatch::OnClientRequest(board, Now(*setup), call.kind, key,
                                      call.wait);
  setup->clients.by_number[{call.entry, call.number}] = id;
  WatchCall(setup, id);
}

/// The client closes the connection without an answer.
void Abandon(Setup* setup, int id) {
  Call& call = setup->clients.calls[id];
  if (call.answered || call.abandoned) return;
  call.abandoned = true;
  Count(setup, "client.abandoned");
  Note(setup, call.job, "abandon", call.entry.process, -1, id);
  Visit(setup, call.entry, [setup, id]() {
    const Call& left = setup->clients.calls[id];
    if (!left.arrived) return;
    dispatch::OnClientDisconnected(&setup->processes[left.entry.process].entry,
                                   left.number);
  });
  ReactToSilence(setup, id);
}

core::Duration PatienceOf(Setup* setup, const Call& call) {
  if (!setup->clients.plainly && setup->random.Chance(150)) {
    return setup->random.Between(kLeastPatience, kShortPatience);
  }
  return call.wait + kGrace;
}

core::Duration WaitOf(Setup* setup, RequestKind kind,
                      core::Duration time_left) {
  const bool whole = kind == RequestKind::kSubmit && setup->random.Chance(800);
  if (whole) return time_left;
  return setup->random.Between(kShortWait, kLongWait);
}

}  // namespace

void Visit(Setup* setup, const ProcessLife& entry, std::function<void()> act) {
  setup->scheduler.After(setup->random.Between(kLeastHop, kMostHop),
                         [setup, entry, act = std::move(act)]() {
                           Deliver(setup, entry, setup->random.Next() >> 1,
                                   act);
                         });
}

void SendCall(Setup* setup, int job, RequestKind kind, int body) {
  const int entry = BalancedEntry(setup);
  if (entry < 0) {
    Count(setup, "client.no_entry");
    return;
  }
  Call call;
  call.job = job;
  call.kind = kind;
  call.body = body;
  call.sent = Now(*setup);
  call.time_left = setup->clients.jobs[job].time_left;
  call.wait = WaitOf(setup, kind, call.time_left);
  call.entry = LifeOf(setup->processes[entry]);
  const int id = static_cast<int>(setup->clients.calls.size());
  const core::Duration patience = PatienceOf(setup, call);
  setup->clients.jobs[job].calls.push_back(id);
  Note(setup, job, "call", entry, -1, id, static_cast<std::int64_t>(kind),
       "body " + std::to_string(body));
  const ProcessLife life = call.entry;
  setup->clients.calls.push_back(call);
  Visit(setup, life, [setup, id]() { ArriveAtEntry(setup, id); });
  setup->scheduler.After(patience, [setup, id]() { Abandon(setup, id); });
}

void OnClientAnswer(Setup* setup, const ProcessLife& entry,
                    const dispatch::AnswerClient& action) {
  const auto found = setup->clients.by_number.find({entry, action.request});
  if (found == setup->clients.by_number.end()) return;
  const int id = found->second;
  Call& call = setup->clients.calls[id];
  Note(setup, call.job, "answer", entry.process, -1, id, 0,
       std::string(dispatch::Name(action.answer.outcome)) + " " +
           std::string(dispatch::Name(action.answer.reason)) + " " +
           action.answer.detail);
  Check(setup, "i_one_answer", !call.answered, call.job,
        "call " + std::to_string(id));
  call.answered = true;
  call.outcome = action.answer.outcome;
  WitnessAnswer(setup, id, action.answer);
  if (setup->clients.jobs[call.job].measured) {
    Count(setup, "quiet.answer." +
                     std::string(dispatch::Name(action.answer.outcome)) + "." +
                     std::string(dispatch::Name(action.answer.reason)));
  }
  if (call.abandoned) return;
  setup->scheduler.After(setup->random.Between(kLeastHop, kMostHop),
                         [setup, id, answer = action.answer]() {
                           if (!setup->clients.calls[id].abandoned) {
                             ReactToAnswer(setup, id, answer);
                           }
                         });
}

void OnExplainAnswer(Setup* setup, const ProcessLife& entry,
                     const dispatch::AnswerExplain& action) {
  const auto found = setup->clients.by_number.find({entry, action.request});
  if (found == setup->clients.by_number.end()) return;
  Call& call = setup->clients.calls[found->second];
  call.answered = true;
  Count(setup, action.lines.size() > 1 ? "explain.history" : "explain.none");
}

void OnEntryEnded(Setup* setup, const ProcessLife& entry) {
  std::vector<int> open;
  auto it = setup->clients.by_number.lower_bound({entry, 0});
  for (; it != setup->clients.by_number.end() && it->first.first == entry;
       ++it) {
    const Call& call = setup->clients.calls[it->second];
    if (!call.answered && !call.abandoned) open.push_back(it->second);
  }
  for (const int id : open) {
    setup->scheduler.After(kMostHop, [setup, id]() { Abandon(setup, id); });
  }
}

}  // namespace tarragon::prove
