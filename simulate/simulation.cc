#include "tarragon/simulate/simulation.h"

#include <charconv>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "fake_table.h"
#include "fault_window.h"
#include "tarragon/bench/client_answer.h"
#include "tarragon/bench/run_result.h"
#include "tarragon/dispatch/agent.h"
#include "tarragon/dispatch/entry.h"

namespace tarragon::simulate {
namespace {

using core::Duration;
using core::Time;

constexpr Duration kTick = std::chrono::milliseconds(20);
constexpr Duration kAnnounceInterval = std::chrono::seconds(1);
constexpr Duration kTableDelay = std::chrono::milliseconds(5);
/// Arrivals begin after this time, when permits and members are known to all
/// processes.
constexpr Duration kWarmUp = std::chrono::seconds(5);
/// The run ends this long after the last arrival.
constexpr Duration kCoolDown = std::chrono::seconds(60);
constexpr int kLingerFactor = 10;
constexpr std::uint32_t kCores = 16;
constexpr std::uint32_t kMemoryMb = 65536;

/// A function to run at a point in virtual time. `number` orders events of
/// equal time.
struct Event {
  Time at;
  std::uint64_t number = 0;
  std::function<void()> run;
};

/// Orders the queue so that the earliest event comes first.
struct IsLater {
  bool operator()(const Event& a, const Event& b) const {
    if (a.at != b.at) return a.at > b.at;
    return a.number > b.number;
  }
};

core::DomainId DomainName(std::size_t index) {
  return core::DomainId("d" + std::to_string(index + 1));
}

/// An agent and its local target.
struct Worker {
  dispatch::AgentBoard board;
  bool dead = false;
  std::map<std::string, std::uint64_t> sent;
};

class Simulation {
 public:
  explicit Simulation(const Scenario& scenario)
      : scenario_(scenario), table_(MakeWorld()) {}

  Result Run();

 private:
  dispatch::World MakeWorld() const;
  void Schedule(Time at, std::function<void()> run);
  void StartEntry();
  void StartWorker(std::size_t index);
  void TickEntry();
  void TickWorker(std::size_t index);
  void Announce(std::size_t index);
  void ScheduleFault();
  void ScheduleArrivals();
  void Submit(std::size_t index);
  void FlushEntry();
  void FlushWorker(std::size_t index);
  void Deliver(const core::NodeId& from, const dispatch::SendMessage& send);
  void RunTask(std::size_t index, const dispatch::RunTask& task);
  void EndTask(std::size_t index, const dispatch::TaskRef& ref,
               dispatch::TaskEnd end, const std::string& result);
  void Answer(const dispatch::AnswerClient& answer);
  void SetDomainInService(bool in_service, const std::string& id);
  void KillWorker(std::size_t index);
  bool IsAffected(Fault fault, std::size_t index) const;
  std::vector<bench::ProcessReport> MakeProcessReports() const;

  const Scenario& scenario_;
  FakeTable table_;
  std::priority_queue<Event, std::vector<Event>, IsLater> events_;
  std::uint64_t next_event_ = 0;
  Time now_{std::chrono::seconds(1000)};
  Time begin_;
  dispatch::EntryBoard entry_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::map<core::NodeId, std::size_t> by_node_;
  std::map<std::uint64_t, std::size_t> open_jobs_;
  std::set<std::pair<core::JobKey, core::TaskIndex>> stopped_;
  std::vector<RunInterval> intervals_;
  Duration healthy_ejected_{0};
  bench::RunResult result_;
};

dispatch::World Simulation::MakeWorld() const {
  dispatch::World world;
  world.version = core::NoteVersion(1);
  for (const bench::ServiceMix& mix : scenario_.plan.preset.services) {
    world.services[mix.service].idempotent = mix.idempotent;
  }
  for (std::size_t i = 0; i < scenario_.domains; ++i) {
    world.domains[DomainName(i)].region = core::RegionId("r1");
  }
  return world;
}

void Simulation::Schedule(Time at, std::function<void()> run) {
  events_.push(Event{at, next_event_++, std::move(run)});
}

void Simulation::StartEntry() {
  entry_.policy = scenario_.policy;
  const core::NodeId self{core::Address("10.0.0.1:7000"), core::Incarnation(1)};
  dispatch::InitEntry(&entry_, now_, self, DomainName(0), scenario_.plan.seed);
  TickEntry();
}

void Simulation::StartWorker(std::size_t index) {
  workers_.push_back(std::make_unique<Worker>());
  Worker& worker = *workers_.back();
  worker.board.policy = scenario_.policy;
  const core::NodeId self{
      core::Address("10.0.1." + std::to_string(index) + ":7100"),
      core::Incarnation(index + 2)};
  by_node_[self] = index;
  dispatch::InitAgent(
      &worker.board, now_, self, DomainName(index % scenario_.domains),
      {entry_.self.address}, scenario_.plan.seed * 1000 + index);
  Announce(index);
  // Offsets the ticks of the processes so that they do not coincide.
  Schedule(
      now_ + kTick * static_cast<std::int64_t>(index + 1) /
                 static_cast<std::int64_t>(scenario_.plan.preset.targets + 1),
      [this, index]() { TickWorker(index); });
}

void Simulation::TickEntry() {
  dispatch::OnTick(&entry_, now_);
  FlushEntry();
  Schedule(now_ + kTick, [this]() { TickEntry(); });
}

void Simulation::TickWorker(std::size_t index) {
  if (workers_[index]->dead) return;
  dispatch::OnTick(&workers_[index]->board, now_);
  FlushWorker(index);
  const bool ejected = workers_[index]->board.health.ejected;
  if (ejected && IsUsableUnderFault(scenario_, index))
    healthy_ejected_ += kTick;
  Schedule(now_ + kTick, [this, index]() { TickWorker(index); });
}

void Simulation::Announce(std::size_t index) {
  Worker& worker = *workers_[index];
  if (worker.dead) return;
  dispatch::Target target;
  target.address = core::Address("target");
  for (const bench::ServiceMix& mix : scenario_.plan.preset.services) {
    target.services.push_back(mix.service);
  }
  target.slots = scenario_.plan.preset.slots_per_target;
  target.cores = kCores;
  target.memory_mb = kMemoryMb;
  dispatch::OnTargetAnnounce(&worker.board, now_, target);
  FlushWorker(index);
  Schedule(now_ + kAnnounceInterval, [this, index]() { Announce(index); });
}

void Simulation::ScheduleFault() {
  const Time from = begin_ + scenario_.fault_from;
  const Time to = begin_ + scenario_.fault_to;
  if (scenario_.fault == Fault::kDomainOut) {
    Schedule(from, [this]() { SetDomainInService(false, "out"); });
    Schedule(to, [this]() { SetDomainInService(true, "in"); });
  }
  if (scenario_.fault == Fault::kTargetDies)
    Schedule(from, [this]() { KillWorker(0); });
}

void Simulation::ScheduleArrivals() {
  const std::vector<bench::PlannedJob>& jobs = scenario_.plan.jobs;
  result_.records.resize(jobs.size());
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    Schedule(begin_ + jobs[i].at, [this, i]() { Submit(i); });
  }
}

void Simulation::Submit(std::size_t index) {
  const bench::PlannedJob& job = scenario_.plan.jobs[index];
  const std::optional<std::string> handle =
      dispatch::MintHandle(&entry_, job.service);
  if (!handle.has_value()) return;
  dispatch::JobSpec spec;
  spec.service = job.service;
  spec.tenant = job.tenant;
  spec.time_left = scenario_.plan.preset.deadline;
  for (const Duration run : job.runs) {
    spec.tasks.push_back(dispatch::TaskSpec{std::to_string(run.count())});
  }
  const Duration wait = 2 * scenario_.plan.preset.deadline;
  const std::uint64_t number =
      dispatch::OnClientSubmit(&entry_, now_, std::move(spec),
                               *handle + "." + std::to_string(index), wait);
  open_jobs_[number] = index;
  FlushEntry();
}

void Simulation::FlushEntry() {
  std::vector<dispatch::EntryAction> actions;
  actions.swap(entry_.actions);
  for (dispatch::EntryAction& action : actions) {
    if (const auto* send = std::get_if<dispatch::SendMessage>(&action)) {
      Deliver(entry_.self, *send);
    } else if (const auto* call = std::get_if<dispatch::TableCall>(&action)) {
      Schedule(now_ + kTableDelay, [this, call = *call]() {
        dispatch::OnTableReply(&entry_, now_, table_.Call(call));
        FlushEntry();
      });
    } else if (const auto* answer =
                   std::get_if<dispatch::AnswerClient>(&action)) {
      Answer(*answer);
    }
  }
}

void Simulation::FlushWorker(std::size_t index) {
  Worker& worker = *workers_[index];
  std::vector<dispatch::AgentAction> actions;
  actions.swap(worker.board.actions);
  worker.board.job_samples.clear();
  worker.board.task_samples.clear();
  for (const dispatch::AgentAction& action : actions) {
    if (const auto* send = std::get_if<dispatch::SendMessage>(&action)) {
      if (now_ >= begin_) ++worker.sent[dispatch::Name(send->message)];
      Deliver(worker.board.self, *send);
    } else if (const auto* run = std::get_if<dispatch::RunTask>(&action)) {
      RunTask(index, *run);
    } else if (const auto* stop = std::get_if<dispatch::StopTask>(&action)) {
      EndTask(index, stop->ref, dispatch::TaskEnd::kFailed, "");
    }
  }
}

void Simulation::Deliver(const core::NodeId& from,
                         const dispatch::SendMessage& send) {
  Schedule(now_ + scenario_.network_delay, [this, from, send]() {
    if (send.to.address == entry_.self.address) {
      dispatch::OnMessage(&entry_, now_, from, send.message);
      FlushEntry();
      return;
    }
    const auto found = by_node_.find(send.to);
    if (found == by_node_.end()) return;
    if (workers_[found->second]->dead) {
      const auto sender = by_node_.find(from);
      if (sender == by_node_.end()) {
        dispatch::OnPeerLost(&entry_, now_, send.to);
        FlushEntry();
      } else if (!workers_[sender->second]->dead) {
        dispatch::OnPeerLost(&workers_[sender->second]->board, now_, send.to);
        FlushWorker(sender->second);
      }
      return;
    }
    dispatch::OnMessage(&workers_[found->second]->board, now_, from,
                        send.message);
    FlushWorker(found->second);
  });
}

bool Simulation::IsAffected(Fault fault, std::size_t index) const {
  return IsFaultActive(scenario_, begin_, now_, fault, index);
}

void Simulation::RunTask(std::size_t index, const dispatch::RunTask& task) {
  std::int64_t micros = 0;
  std::from_chars(task.payload.data(),
                  task.payload.data() + task.payload.size(), micros);
  Duration run(micros);
  dispatch::TaskEnd end = dispatch::TaskEnd::kOk;
  if (IsAffected(Fault::kTargetFails, index)) {
    run = std::chrono::milliseconds(1);
    end = dispatch::TaskEnd::kFailed;
  }
  const bool lingers = IsAffected(Fault::kTargetLingers, index) ||
                       IsAffected(Fault::kAllLinger, index);
  if (lingers) run *= kLingerFactor;
  intervals_.push_back(RunInterval{index, now_, now_ + run});
  Schedule(now_ + run, [this, index, ref = task.ref, end]() {
    if (workers_[index]->dead) return;
    EndTask(index, ref, end, "done");
  });
}

void Simulation::EndTask(std::size_t index, const dispatch::TaskRef& ref,
                         dispatch::TaskEnd end, const std::string& result) {
  dispatch::OnTaskEnd(&workers_[index]->board, now_, ref, end, result);
  FlushWorker(index);
}

void Simulation::Answer(const dispatch::AnswerClient& answer) {
  const auto found = open_jobs_.find(answer.request);
  if (found == open_jobs_.end()) return;
  bench::JobRecord& record = result_.records[found->second];
  record.ended_at = now_ - begin_;
  record.reason = std::string(dispatch::Name(answer.answer.reason));
  switch (answer.answer.outcome) {
    case dispatch::Outcome::kComplete:
      record.end = bench::JobEnd::kComplete;
      break;
    case dispatch::Outcome::kNotRun:
      record.end = bench::JobEnd::kNotRun;
      ++record.refusals;
      result_.refusal_times.push_back(record.ended_at -
                                      scenario_.plan.jobs[found->second].at);
      break;
    case dispatch::Outcome::kUnknown:
      record.end = bench::JobEnd::kUnknown;
      break;
    default:
      record.end = bench::JobEnd::kFailed;
      break;
  }
  open_jobs_.erase(found);
}

void Simulation::SetDomainInService(bool in_service, const std::string& id) {
  dispatch::ReleaseNote note;
  note.id = core::NoteId(id);
  note.base = entry_.world.version;
  note.changed_domains[DomainName(0)].in_service = in_service;
  dispatch::OnOperatorNote(&entry_, now_, std::move(note));
  FlushEntry();
}

void Simulation::KillWorker(std::size_t index) {
  workers_[index]->dead = true;
  const core::NodeId node = workers_[index]->board.self;
  dispatch::OnPeerLost(&entry_, now_, node);
  FlushEntry();
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    if (workers_[i]->dead) continue;
    dispatch::OnPeerLost(&workers_[i]->board, now_, node);
    FlushWorker(i);
  }
}

std::vector<bench::ProcessReport> Simulation::MakeProcessReports() const {
  std::vector<bench::ProcessReport> reports;
  for (const std::unique_ptr<Worker>& worker : workers_) {
    const dispatch::AgentCounters& counters = worker->board.counters;
    bench::ProcessCounters spent;
    spent.sent = worker->sent;
    spent.wasted = std::map<std::string, std::uint64_t>{
        {"refused", 2 * counters.refused_assigns},
        {"empty_pull", 2 * counters.empty_pulls},
        {"seal", counters.seals},
        {"duplicate", counters.duplicates}};
    reports.push_back(
        bench::ProcessReport{worker->board.self.address, std::move(spent)});
  }
  return reports;
}

Result Simulation::Run() {
  StartEntry();
  for (std::size_t i = 0; i < scenario_.plan.preset.targets; ++i) {
    StartWorker(i);
  }
  begin_ = now_ + kWarmUp;
  ScheduleFault();
  ScheduleArrivals();
  const Time end = begin_ + scenario_.plan.length + kCoolDown;
  while (!events_.empty() && events_.top().at <= end) {
    Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
  }
  return Result{
      bench::BuildReport(scenario_.plan, result_, MakeProcessReports()),
      ComputeFaultWindowUse(scenario_, begin_, workers_.size(), intervals_),
      healthy_ejected_};
}

}  // namespace

Result Simulate(const Scenario& scenario) { return Simulation(scenario).Run(); }

}  // namespace tarragon::simulate
