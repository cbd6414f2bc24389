#include "tarragon/simulate/room_world.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <utility>
#include <variant>

#include "tarragon/coordinator/entry.h"
#include "tarragon/coordinator/gate.h"

namespace tarragon::simulate {
namespace {

using coordinator::GateBoard;
using coordinator::JobBoard;
using coordinator::JobState;
using coordinator::Refusal;
using coordinator::RunEnd;
using coordinator::RunRef;

constexpr core::Duration kTick = std::chrono::milliseconds(20);
/// Before the first job: entries, gates and targets learn of each other.
constexpr core::Duration kWarmUp = std::chrono::milliseconds(500);
/// Clients are answered for so long after the last arrival.
constexpr core::Duration kDrain = std::chrono::seconds(6);
constexpr double kLateShare = 0.2;
/// Spread of run times, widths and of what clients declare.
constexpr double kSpread = 0.4;
constexpr double kUneven = 0.15;
/// An answer is late up to this multiple of the objective.
constexpr int kLateFactor = 3;

double Seconds(core::Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

core::Duration FromSeconds(double seconds) {
  return core::Duration(static_cast<std::int64_t>(seconds * 1e6));
}

/// A job that was submitted, as its client knows it.
struct ClientJob {
  const JobKind* kind = nullptr;
  core::Time asked;
  core::Duration objective{0};
  double worth = 0;
  std::vector<core::Duration> work;
  double used = 0;
};

/// A target with its runs.
struct FakeTarget {
  struct Run {
    std::int64_t millicores = 0;
    core::Time started;
    std::uint64_t life = 0;
  };
  std::map<RunRef, Run> running;
  std::set<RunRef> sealed;
  std::vector<coordinator::ListedEnd> ends;
  std::int64_t last_end = 0;
  /// A look that waits for an end; zero for none.
  std::uint64_t waiting_look = 0;
};

class World {
 public:
  explicit World(const RoomPlan& plan)
      : plan_(plan), random_(plan.seed), now_{std::chrono::seconds(1)} {}

  RoomResult Play();

 private:
  struct Event {
    core::Time at;
    std::uint64_t number = 0;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return std::tie(at, number) > std::tie(other.at, other.number);
    }
  };

  void After(core::Duration delay, std::function<void()> run) {
    events_.push({now_ + delay, ++last_event_, std::move(run)});
  }

  static core::NodeId NodeOf(const char* network, std::size_t index) {
    return {core::Address(network + std::to_string(index + 1) + ":7000"),
            core::Incarnation(index + 1)};
  }
  std::size_t EntryAt(const core::Address& address) const {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      if (NodeOf("10.0.0.", i).address == address) return i;
    }
    return 0;
  }
  std::size_t GateAt(const core::Address& address) const {
    for (std::size_t i = 0; i < gates_.size(); ++i) {
      if (NodeOf("10.0.1.", i).address == address) return i;
    }
    return 0;
  }

  void SetUp();
  void ArriveNext(const JobKind* kind);
  void Submit(const JobKind* kind);
  double LoadFactor(const JobKind& kind) const;
  const Spell* SpellOf(std::size_t target) const;
  void Tick();

  void FlushEntry(std::size_t entry);
  void FlushGate(std::size_t gate);
  void Carry(std::size_t entry, const coordinator::AnswerCall& answer);
  template <typename Message>
  void CarryToGate(std::size_t entry, Message message, const core::Address& to);
  template <typename Message>
  void CarryToEntry(std::size_t gate, Message message, const core::Address& to);
  void CarryStart(std::size_t gate, const coordinator::OrderStart& order);
  void CarryStop(std::size_t gate, const coordinator::OrderStop& order);
  void CarryLook(std::size_t gate, const coordinator::OrderLook& order);
  void EndRun(std::size_t gate, const RunRef& run, RunEnd end);
  void AnswerLook(std::size_t gate, std::uint64_t number);

  const RoomPlan& plan_;
  std::mt19937_64 random_;
  core::Time now_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t last_event_ = 0;
  std::vector<std::unique_ptr<JobBoard>> entries_;
  std::vector<std::unique_ptr<GateBoard>> gates_;
  std::vector<FakeTarget> targets_;
  std::map<std::uint64_t, ClientJob> jobs_;
  std::map<std::string, std::uint64_t> by_id_;
  std::uint64_t last_job_ = 0;
  core::Time begin_;
  core::Time end_;
  RoomResult result_;
};

coordinator::JobId IdOf(std::uint64_t number) {
  return coordinator::JobId("j" + std::to_string(number));
}

void World::SetUp() {
  coordinator::OperatorState state;
  state.revision = 1;
  state.version = 1;
  for (const JobKind& kind : plan_.kinds) {
    coordinator::Queue queue;
    queue.name = coordinator::QueueId(kind.name);
    queue.host = "q";
    queue.path_prefix = "/" + kind.name + "/";
    queue.service = core::ServiceId("s");
    queue.priority = kind.priority;
    queue.max_attempts = 3;
    queue.stretch_permille =
        static_cast<std::uint32_t>(std::lround(plan_.stretch * 1000));
    queue.latency_target = plan_.latency_target;
    state.queues.push_back(queue);
  }
  targets_.resize(plan_.targets.size());
  for (std::size_t i = 0; i < plan_.targets.size(); ++i) {
    gates_.push_back(std::make_unique<GateBoard>());
    GateBoard* gate = gates_.back().get();
    gate->policy = plan_.policy;
    gate->policy.announcement_timeout = plan_.length * 2;
    gate->domain = core::DomainId("d" + std::to_string(i % 4));
    gate->operator_state = state;
  }
  for (std::size_t i = 0; i < plan_.entries; ++i) {
    entries_.push_back(std::make_unique<JobBoard>());
    JobBoard* entry = entries_.back().get();
    entry->policy = plan_.policy;
    entry->domain = core::DomainId("d" + std::to_string(i % 4));
    entry->random ^= plan_.seed * 7919 + i;
    coordinator::OnOperatorState(entry, now_, state, "plan");
    for (std::size_t j = 0; j < gates_.size(); ++j) {
      coordinator::OnGateFound(entry, now_, NodeOf("10.0.1.", j).address);
    }
    FlushEntry(i);
  }
  for (std::size_t i = 0; i < gates_.size(); ++i) {
    coordinator::Announcement said;
    said.target = coordinator::TargetId("t" + std::to_string(i));
    said.born = coordinator::TargetBirth(1);
    said.sequence = 1;
    said.service = core::ServiceId("s");
    said.domain = gates_[i]->domain;
    said.capacity = {plan_.targets[i], 1 << 20, 0};
    said.clock = coordinator::TargetClock(core::Millis(now_.since_start));
    coordinator::OnAnnouncement(gates_[i].get(), now_, said);
    FlushGate(i);
  }
}

const Spell* World::SpellOf(std::size_t target) const {
  for (const Spell& spell : plan_.spells) {
    const core::Duration at = now_ - begin_;
    if (target < spell.targets && at >= spell.from && at < spell.until) {
      return &spell;
    }
  }
  return nullptr;
}

double World::LoadFactor(const JobKind& kind) const {
  double factor = 1;
  const core::Duration at = now_ - begin_;
  for (const Spell& spell : plan_.spells) {
    if (at < spell.from || at >= spell.until) continue;
    if (spell.kind.empty() || spell.kind == kind.name) factor *= spell.load;
  }
  return factor;
}

void World::ArriveNext(const JobKind* kind) {
  std::exponential_distribution<double> gap(kind->per_second *
                                            LoadFactor(*kind));
  After(FromSeconds(gap(random_)), [this, kind]() {
    if (now_ >= end_) return;
    Submit(kind);
    ArriveNext(kind);
  });
}

void World::Submit(const JobKind* kind) {
  std::lognormal_distribution<double> spread(-kSpread * kSpread / 2, kSpread);
  std::normal_distribution<double> uneven(1, kUneven);
  std::uniform_real_distribution<double> declared(1 - kSpread, 1 + kSpread);
  ClientJob job;
  job.kind = kind;
  job.asked = now_;
  const std::uint32_t width = static_cast<std::uint32_t>(
      std::clamp(std::lround(kind->mean_width * spread(random_)), 1L,
                 static_cast<long>(kind->max_width)));
  const double base = Seconds(kind->mean_run) * spread(random_);
  core::Duration longest{0};
  double work = 0;
  for (std::uint32_t i = 0; i < width; ++i) {
    const double run = std::clamp(base * std::max(uneven(random_), 0.5), 0.002,
                                  Seconds(kind->max_run));
    job.work.push_back(FromSeconds(run));
    longest = std::max(longest, job.work.back());
    work += run;
  }
  const double mean = Seconds(kind->mean_run) * kind->mean_width;
  job.worth = kind->worth * std::min(0.3 + 0.7 * work / mean, 4.0);
  job.objective =
      FromSeconds(Seconds(longest) * plan_.stretch) + plan_.latency_target;
  coordinator::JobRequest request;
  request.id = IdOf(++last_job_);
  coordinator::StepSpec step;
  step.count = width;
  step.room = {kind->millicores, 64, 0};
  step.declared_run = FromSeconds(base * declared(random_));
  request.steps = {step};
  by_id_[request.id.value()] = last_job_;
  KindResult& got = result_.kinds[kind->name];
  ++got.asked;
  got.owed += job.worth;
  jobs_[last_job_] = std::move(job);
  const std::size_t entry = random_() % entries_.size();
  JobBoard* board = entries_[entry].get();
  for (const coordinator::Queue& queue : board->operator_state.queues) {
    if (queue.name.value() != kind->name) continue;
    coordinator::OnSubmit(board, now_, coordinator::CallId(last_job_), queue,
                          std::move(request), now_ + plan_.client_waits);
    break;
  }
  FlushEntry(entry);
}

void World::Carry(std::size_t /*entry*/,
                  const coordinator::AnswerCall& answer) {
  const auto found = jobs_.find(answer.call.value());
  if (found == jobs_.end()) return;
  const ClientJob& job = found->second;
  KindResult& got = result_.kinds[job.kind->name];
  const core::Duration took = now_ - job.asked;
  const bool done = answer.answer.refusal == Refusal::kNone &&
                    answer.answer.state == JobState::kCompleted;
  if (done && took <= job.objective) {
    ++got.in_time;
    got.earned += job.worth;
  } else if (done && took <= kLateFactor * job.objective) {
    ++got.late;
    got.earned += job.worth * kLateShare;
  } else if (!done && answer.answer.refusal != Refusal::kNone &&
             answer.answer.refusal != Refusal::kGivenUp) {
    ++got.refused;
    got.refused_after += took;
  } else {
    ++got.failed;
    result_.wasted += job.used;
  }
  jobs_.erase(found);
}

template <typename Message>
void World::CarryToGate(std::size_t entry, Message message,
                        const core::Address& to) {
  const std::size_t gate = GateAt(to);
  After(plan_.delay, [this, entry, gate, message = std::move(message)]() {
    coordinator::OnMessage(gates_[gate].get(), now_, NodeOf("10.0.0.", entry),
                           message);
    FlushGate(gate);
  });
}

template <typename Message>
void World::CarryToEntry(std::size_t gate, Message message,
                         const core::Address& to) {
  const std::size_t entry = EntryAt(to);
  After(plan_.delay, [this, entry, gate, message = std::move(message)]() {
    coordinator::OnMessage(entries_[entry].get(), now_, NodeOf("10.0.1.", gate),
                           message);
    FlushEntry(entry);
  });
}

void World::FlushEntry(std::size_t entry) {
  std::vector<coordinator::JobAction> actions;
  actions.swap(entries_[entry]->actions);
  entries_[entry]->remarks.clear();
  entries_[entry]->ended.clear();
  for (coordinator::JobAction& action : actions) {
    if (auto* answer = std::get_if<coordinator::AnswerCall>(&action)) {
      Carry(entry, *answer);
    } else if (auto* notice =
                   std::get_if<coordinator::SendTo<coordinator::EntryNotice>>(
                       &action)) {
      CarryToGate(entry, notice->message, notice->to.address);
    } else if (auto* start =
                   std::get_if<coordinator::SendTo<coordinator::StartRun>>(
                       &action)) {
      CarryToGate(entry, std::move(start->message), start->to.address);
    } else if (auto* ask =
                   std::get_if<coordinator::SendTo<coordinator::AskRun>>(
                       &action)) {
      CarryToGate(entry, ask->message, ask->to.address);
    }
  }
}

void World::FlushGate(std::size_t gate) {
  std::vector<coordinator::GateAction> actions;
  actions.swap(gates_[gate]->actions);
  gates_[gate]->remarks.clear();
  for (coordinator::GateAction& action : actions) {
    if (auto* start = std::get_if<coordinator::OrderStart>(&action)) {
      CarryStart(gate, *start);
    } else if (auto* stop = std::get_if<coordinator::OrderStop>(&action)) {
      CarryStop(gate, *stop);
    } else if (auto* look = std::get_if<coordinator::OrderLook>(&action)) {
      CarryLook(gate, *look);
    } else if (auto* report =
                   std::get_if<coordinator::SendTo<coordinator::TargetReport>>(
                       &action)) {
      CarryToEntry(gate, std::move(report->message), report->to.address);
    } else if (auto* ended =
                   std::get_if<coordinator::SendTo<coordinator::RunEnded>>(
                       &action)) {
      CarryToEntry(gate, ended->message, ended->to.address);
    }
  }
}

void World::CarryStart(std::size_t gate, const coordinator::OrderStart& order) {
  const auto id = by_id_.find(order.run.task.job.value());
  core::Duration work{std::chrono::milliseconds(1)};
  std::int64_t millicores = 0;
  if (id != by_id_.end() && jobs_.contains(id->second)) {
    ClientJob& job = jobs_.at(id->second);
    work = job.work.at(order.run.task.index);
    millicores = job.kind->millicores;
    job.used += static_cast<double>(millicores) * Seconds(work);
  }
  After(plan_.order_delay, [this, gate, run = order.run, work, millicores]() {
    FakeTarget& target = targets_[gate];
    const bool sealed = target.sealed.contains(run);
    if (!sealed) {
      target.running[run] = {millicores, now_, ++last_event_};
      const std::uint64_t life = target.running[run].life;
      const Spell* spell = SpellOf(gate);
      std::uniform_real_distribution<double> share(0, 1);
      const double draw = share(random_);
      core::Duration takes = work;
      RunEnd end = RunEnd::kDone;
      bool hangs = false;
      if (spell != nullptr) {
        takes = FromSeconds(Seconds(work) * spell->slowness);
        hangs = draw < spell->hangs;
        if (draw < spell->failures) {
          end = RunEnd::kFailed;
          takes = std::chrono::milliseconds(2);
        }
      }
      if (!hangs) {
        After(takes, [this, gate, run, end, life]() {
          const auto found = targets_[gate].running.find(run);
          if (found == targets_[gate].running.end()) return;
          if (found->second.life == life) EndRun(gate, run, end);
        });
      }
    }
    coordinator::OnStartAnswer(gates_[gate].get(), now_, run,
                               sealed ? coordinator::OrderAnswer::kRefusedOld
                                      : coordinator::OrderAnswer::kAccepted,
                               std::nullopt);
    FlushGate(gate);
  });
}

void World::CarryStop(std::size_t gate, const coordinator::OrderStop& order) {
  After(plan_.order_delay, [this, gate, run = order.run]() {
    targets_[gate].sealed.insert(run);
    if (targets_[gate].running.contains(run)) {
      const FakeTarget::Run& ended = targets_[gate].running[run];
      result_.wasted +=
          static_cast<double>(ended.millicores) * Seconds(now_ - ended.started);
      EndRun(gate, run, RunEnd::kStopped);
    }
    coordinator::OnStopAnswer(gates_[gate].get(), now_, run,
                              coordinator::OrderAnswer::kAccepted);
    FlushGate(gate);
  });
}

void World::CarryLook(std::size_t gate, const coordinator::OrderLook& order) {
  After(plan_.order_delay, [this, gate, order]() {
    FakeTarget& target = targets_[gate];
    std::erase_if(target.ends, [&order](const coordinator::ListedEnd& end) {
      return end.number <= order.last_end;
    });
    if (!target.ends.empty() || order.wait.count() == 0) {
      return AnswerLook(gate, order.number);
    }
    target.waiting_look = order.number;
    After(order.wait, [this, gate, number = order.number]() {
      if (targets_[gate].waiting_look == number) AnswerLook(gate, number);
    });
  });
}

void World::EndRun(std::size_t gate, const RunRef& run, RunEnd end) {
  FakeTarget& target = targets_[gate];
  target.running.erase(run);
  target.ends.push_back({++target.last_end, run, end});
  if (target.waiting_look != 0) AnswerLook(gate, target.waiting_look);
}

void World::AnswerLook(std::size_t gate, std::uint64_t number) {
  targets_[gate].waiting_look = 0;
  coordinator::Look look;
  look.born = coordinator::TargetBirth(1);
  look.clock = coordinator::TargetClock(core::Millis(now_.since_start));
  for (const auto& [run, state] : targets_[gate].running) {
    look.running.push_back({run});
  }
  look.ended = targets_[gate].ends;
  After(plan_.order_delay, [this, gate, number, look = std::move(look)]() {
    coordinator::OnLookAnswer(gates_[gate].get(), now_, number, look);
    FlushGate(gate);
  });
}

void World::Tick() {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    coordinator::OnTick(entries_[i].get(), now_);
    FlushEntry(i);
  }
  for (std::size_t i = 0; i < gates_.size(); ++i) {
    coordinator::OnTick(gates_[i].get(), now_);
    FlushGate(i);
  }
  if (now_ < end_ + kDrain) After(kTick, [this]() { Tick(); });
}

RoomResult World::Play() {
  begin_ = now_ + kWarmUp;
  end_ = begin_ + plan_.length;
  SetUp();
  After(core::Duration(0), [this]() { Tick(); });
  After(kWarmUp, [this]() {
    for (const JobKind& kind : plan_.kinds) ArriveNext(&kind);
  });
  while (!events_.empty()) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
  }
  double owed = 0;
  double earned = 0;
  result_.worst_kind = 1;
  for (auto& [name, got] : result_.kinds) {
    owed += got.owed;
    earned += got.earned;
    if (got.owed > 0) {
      result_.worst_kind = std::min(result_.worst_kind, got.earned / got.owed);
    }
  }
  result_.worth = owed > 0 ? earned / owed : 0;
  return result_;
}

}  // namespace

RoomPlan UsualPlan() {
  RoomPlan plan;
  for (int i = 0; i < 11; ++i)
    plan.targets.push_back(i % 3 == 2 ? 24000 : 16000);
  plan.kinds = {
      {"check", 34.4, 8, 32, std::chrono::milliseconds(60),
       std::chrono::milliseconds(240), 1600, 0, 0.0291},
      {"carve", 6.25, 4, 16, std::chrono::milliseconds(900),
       std::chrono::milliseconds(3600), 1600, 2, 0.16},
      {"lookup", 100.0, 2, 8, std::chrono::milliseconds(200),
       std::chrono::milliseconds(800), 1600, 1, 0.01},
  };
  return plan;
}

RoomResult PlayRooms(const RoomPlan& plan) { return World(plan).Play(); }

}  // namespace tarragon::simulate
