#include "process.h"

#include <algorithm>
#include <map>
#include <utility>
#include <variant>
#include <vector>

#include "setup.h"
#include "tarragon/dispatch/agent.h"
#include "tarragon/dispatch/entry.h"

namespace tarragon::prove {
namespace {

constexpr core::Duration kTickInterval = std::chrono::milliseconds(20);
/// Each event of these kinds is a group of its own in a frozen process.
constexpr std::uint64_t kOwnGroups = 1ULL << 40;

std::uint64_t OwnGroup(Setup* setup) {
  return kOwnGroups + setup->random.Below(kOwnGroups);
}

/// Adds the program's own counts to those of the run.
void Harvest(Setup* setup, const Process& process) {
  if (!process.is_agent) {
    for (const auto& [name, count] : process.entry.invariants) {
      setup->counts["assert." + name] += count;
    }
    setup->counts["entry.resubmissions"] +=
        process.entry.counters.resubmissions;
    setup->counts["entry.permits_refused"] +=
        process.entry.counters.permits_refused;
    return;
  }
  const dispatch::AgentCounters& counters = process.agent.counters;
  for (const auto& [name, count] : process.agent.invariant_counts) {
    setup->counts["assert." + name] += count;
  }
  for (const auto& [name, count] : counters.refusals) {
    setup->counts["refusal." + name] += count;
  }
  for (const auto& [name, count] : counters.outcomes) {
    setup->counts["outcome." + name] += count;
  }
  setup->counts["agent.starts"] += counters.starts;
  setup->counts["agent.seals"] += counters.seals;
  setup->counts["agent.pulls"] += counters.pulls;
  setup->counts["agent.empty_pulls"] += counters.empty_pulls;
  setup->counts["agent.duplicates"] += counters.duplicates;
  setup->counts["agent.retries"] += counters.retries;
  setup->counts["agent.hints"] += counters.hints;
}

void CarryOutAgent(Setup* setup, Process* process) {
  const ProcessLife life = LifeOf(*process);
  std::vector<dispatch::AgentAction> actions;
  actions.swap(process->agent.actions);
  for (dispatch::AgentAction& action : actions) {
    if (auto* send = std::get_if<dispatch::SendMessage>(&action)) {
      Send(setup, process->index, send->to, std::move(send->message));
    } else if (auto* run = std::get_if<dispatch::RunTask>(&action)) {
      WitnessStartFreshness(setup, process->index,
                            ReadPayload(run->payload).job);
      RunAtTarget(setup, life, *run);
    } else if (auto* stop = std::get_if<dispatch::StopTask>(&action)) {
      StopAtTarget(setup, life, *stop);
    }
  }
  process->agent.job_samples.clear();
  process->agent.task_samples.clear();
}

void CarryOutEntry(Setup* setup, Process* process) {
  const ProcessLife life = LifeOf(*process);
  std::vector<dispatch::EntryAction> actions;
  actions.swap(process->entry.actions);
  for (dispatch::EntryAction& action : actions) {
    if (auto* send = std::get_if<dispatch::SendMessage>(&action)) {
      Send(setup, process->index, send->to, std::move(send->message));
    } else if (auto* call = std::get_if<dispatch::TableCall>(&action)) {
      CallTable(setup, life, std::move(*call));
    } else if (auto* answer = std::get_if<dispatch::AnswerClient>(&action)) {
      OnClientAnswer(setup, life, *answer);
    } else if (auto* lines = std::get_if<dispatch::AnswerExplain>(&action)) {
      OnExplainAnswer(setup, life, *lines);
    } else if (auto* note = std::get_if<dispatch::AnswerNote>(&action)) {
      OnNoteAnswer(setup, life, *note);
    }
  }
}

void CarryOut(Setup* setup, Process* process) {
  WitnessVersion(setup, process);
  if (process->is_agent) {
    CarryOutAgent(setup, process);
  } else {
    CarryOutEntry(setup, process);
  }
}

void Handle(Setup* setup, Process* process,
            const std::function<void()>& handle) {
  handle();
  CarryOut(setup, process);
}

/// Ends the life; the connections are dealt with by the caller.
void EndLife(Setup* setup, Process* process) {
  Harvest(setup, *process);
  process->alive = false;
  process->frozen = false;
  process->stopping = false;
  process->inbox.clear();
  setup->network.listeners.erase(process->node.address);
  if (!process->is_agent) OnEntryEnded(setup, LifeOf(*process));
}

/// A graceful stop must have waited for all that the agent runs.
void CheckNothingCut(Setup* setup, const Process& process) {
  if (!process.is_agent) return;
  bool cut = !process.agent.active_jobs.empty();
  for (const auto& [number, run] : setup->targets.all[process.index].runs) {
    cut = cut || (run.agent == LifeOf(process) && !run.reported);
  }
  Check(setup, "h_stop_cuts_no_task", !cut, kNoJob,
        "process " + std::to_string(process.index));
}

void TickOnce(Setup* setup, Process* process) {
  const core::Time now = Now(*setup);
  if (process->is_agent) {
    dispatch::OnTick(&process->agent, now);
  } else {
    dispatch::OnTick(&process->entry, now);
  }
}

bool FinishStop(Setup* setup, Process* process) {
  if (!process->stopping) return false;
  const core::Time now = Now(*setup);
  const bool finished = process->is_agent
                            ? dispatch::IsStopFinished(process->agent, now)
                            : dispatch::IsStopFinished(process->entry, now);
  if (!finished) return false;
  CheckNothingCut(setup, *process);
  WitnessHandover(setup, *process);
  Count(setup,
        process->is_agent ? "fault.agent_stopped" : "fault.entry_stopped");
  Note(setup, kNoJob, "stopped", process->index);
  const ProcessLife life = LifeOf(*process);
  EndLife(setup, process);
  // What was sent is still delivered.
  setup->scheduler.After(std::chrono::milliseconds(50), [setup, life]() {
    DropConnections(setup, life, false);
  });
  return true;
}

void TickLoop(Setup* setup, const ProcessLife& life) {
  if (!IsAlive(*setup, life)) return;
  Process* process = &setup->processes[life.process];
  if (!process->frozen) {
    Handle(setup, process, [setup, process]() { TickOnce(setup, process); });
    if (FinishStop(setup, process)) return;
  }
  setup->scheduler.After(kTickInterval,
                         [setup, life]() { TickLoop(setup, life); });
}

/// The waiting events in an order that the process may see them in.
std::vector<Input> Interleave(Setup* setup, std::deque<Input> inbox) {
  std::map<std::uint64_t, std::deque<Input>> groups;
  for (Input& input : inbox) {
    groups[input.group].push_back(std::move(input));
  }
  std::vector<Input> order;
  while (!groups.empty()) {
    auto group = groups.begin();
    std::advance(group, setup->random.Index(groups.size()));
    order.push_back(std::move(group->second.front()));
    group->second.pop_front();
    if (group->second.empty()) groups.erase(group);
  }
  return order;
}

core::Address AddressOf(const Process& process) {
  return core::Address("10.0." + std::to_string(process.index) + "." +
                       std::to_string(process.moves) + ":7100");
}

}  // namespace

bool IsAlive(const Setup& setup, const ProcessLife& life) {
  if (life.process < 0) return false;
  const Process& process = setup.processes[life.process];
  return process.alive && process.life == life.life;
}

ProcessLife LifeOf(const Process& process) {
  return ProcessLife{process.index, process.life};
}

const dispatch::World& WorldOf(const Process& process) {
  return process.is_agent ? process.agent.world : process.entry.world;
}

void StartProcess(Setup* setup, int index, bool move) {
  Process* process = &setup->processes[index];
  if (process->alive) return;
  const core::Time now = Now(*setup);
  if (move) process->moves = (process->moves + 1) % kMostAddresses;
  ++process->life;
  process->alive = true;
  process->frozen = false;
  process->stopping = false;
  process->calm_since = now;
  process->thawed = now;
  process->last_version = core::NoteVersion(0);
  process->permitted = false;
  process->listed_since.reset();
  process->node = core::NodeId{AddressOf(*process),
                               core::Incarnation(setup->next_incarnation++)};
  setup->network.listeners[process->node.address] = index;
  const std::uint64_t seed = setup->random.Next();
  if (process->is_agent) {
    process->agent = dispatch::AgentBoard{};
    process->agent.policy = setup->policy;
    dispatch::InitAgent(&process->agent, now, process->node, process->domain,
                        setup->seeds, seed);
  } else {
    process->entry = dispatch::EntryBoard{};
    process->entry.policy = setup->policy;
    dispatch::InitEntry(&process->entry, now, process->node, process->domain,
                        seed);
  }
  Note(setup, kNoJob, "start", index, -1,
       static_cast<std::int64_t>(process->life), move ? 1 : 0,
       core::ToString(process->node));
  const ProcessLife life = LifeOf(*process);
  const core::Duration first =
      setup->random.Between(core::Duration(0), kTickInterval);
  setup->scheduler.After(first, [setup, life]() { TickLoop(setup, life); });
}

void KillProcess(Setup* setup, int index, bool abrupt) {
  Process* process = &setup->processes[index];
  if (!process->alive) return;
  Note(setup, kNoJob, "kill", index, -1,
       static_cast<std::int64_t>(process->life), abrupt ? 1 : 0);
  Count(setup, process->is_agent ? "fault.agent_killed" : "fault.entry_killed");
  const ProcessLife life = LifeOf(*process);
  EndLife(setup, process);
  DropConnections(setup, life, abrupt);
}

void FreezeProcess(Setup* setup, int index) {
  Process* process = &setup->processes[index];
  if (!process->alive || process->frozen) return;
  process->frozen = true;
  Note(setup, kNoJob, "freeze", index);
  Count(setup, "fault.frozen");
}

void ThawProcess(Setup* setup, int index) {
  Process* process = &setup->processes[index];
  if (!process->alive || !process->frozen) return;
  process->frozen = false;
  process->thawed = Now(*setup);
  process->calm_since = Now(*setup);
  Note(setup, kNoJob, "thaw", index, -1,
       static_cast<std::int64_t>(process->inbox.size()));
  std::deque<Input> inbox;
  inbox.swap(process->inbox);
  inbox.push_back(
      Input{OwnGroup(setup), [setup, process]() { TickOnce(setup, process); }});
  for (const Input& input : Interleave(setup, std::move(inbox))) {
    Handle(setup, process, input.handle);
  }
}

void StopProcess(Setup* setup, int index) {
  Process* process = &setup->processes[index];
  if (!process->alive || process->stopping) return;
  process->stopping = true;
  process->stop_requested = Now(*setup);
  Note(setup, kNoJob, "stop", index);
  Deliver(setup, LifeOf(*process), OwnGroup(setup), [setup, process]() {
    if (process->is_agent) {
      dispatch::RequestStop(&process->agent, Now(*setup));
    } else {
      dispatch::RequestStop(&process->entry, Now(*setup));
    }
  });
}

void Deliver(Setup* setup, const ProcessLife& life, std::uint64_t group,
             std::function<void()> handle) {
  if (!IsAlive(*setup, life)) return;
  Process* process = &setup->processes[life.process];
  if (process->frozen) {
    process->inbox.push_back(Input{group, std::move(handle)});
    return;
  }
  Handle(setup, process, handle);
}

void DeliverMessage(Setup* setup, const ProcessLife& life, std::uint64_t group,
                    const core::NodeId& from, dispatch::Message message) {
  Deliver(setup, life, group, [setup, life, from, message]() {
    Process* process = &setup->processes[life.process];
    if (!process->is_agent) {
      dispatch::OnMessage(&process->entry, Now(*setup), from, message);
      return;
    }
    dispatch::OnMessage(&process->agent, Now(*setup), from, message);
    std::vector<const dispatch::Message*> out;
    for (const dispatch::AgentAction& action : process->agent.actions) {
      const auto* send = std::get_if<dispatch::SendMessage>(&action);
      if (send != nullptr) out.push_back(&send->message);
    }
    ObserveReplies(setup, *process, message, out);
  });
}

void DeliverPeerLost(Setup* setup, const ProcessLife& life,
                     const core::NodeId& peer) {
  Deliver(setup, life, OwnGroup(setup), [setup, life, peer]() {
    Process* process = &setup->processes[life.process];
    if (process->is_agent) {
      dispatch::OnPeerLost(&process->agent, Now(*setup), peer);
    } else {
      dispatch::OnPeerLost(&process->entry, Now(*setup), peer);
    }
  });
}

void DeliverPeerGone(Setup* setup, const ProcessLife& life,
                     const core::NodeId& peer) {
  Count(setup, "network.peer_gone");
  Deliver(setup, life, OwnGroup(setup), [setup, life, peer]() {
    Process* process = &setup->processes[life.process];
    if (process->is_agent) {
      dispatch::OnPeerGone(&process->agent, Now(*setup), peer);
    } else {
      dispatch::OnPeerGone(&process->entry, Now(*setup), peer);
    }
  });
}

int AnyEntry(Setup* setup) {
  std::vector<int> alive;
  for (const Process& process : setup->processes) {
    if (!process.is_agent && process.alive) alive.push_back(process.index);
  }
  return alive.empty() ? -1 : alive[setup->random.Index(alive.size())];
}

int BalancedEntry(Setup* setup) {
  constexpr std::uint64_t kStalePermille = 50;
  const bool stale = !setup->quiet && setup->random.Chance(kStalePermille);
  if (stale) return AnyEntry(setup);
  std::vector<int> ready;
  for (const Process& process : setup->processes) {
    if (process.is_agent || !process.alive || process.frozen) continue;
    if (dispatch::NotReadyReason(process.entry, Now(*setup)).has_value())
      continue;
    ready.push_back(process.index);
  }
  if (ready.empty()) return AnyEntry(setup);
  return ready[setup->random.Index(ready.size())];
}

}  // namespace tarragon::prove
