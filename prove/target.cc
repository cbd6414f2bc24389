#include "target.h"

#include <utility>

#include "setup.h"
#include "tarragon/dispatch/agent.h"

namespace tarragon::prove {
namespace {

using dispatch::TaskEnd;

constexpr core::Duration kAnnounceInterval = std::chrono::seconds(1);
constexpr core::Duration kLeastHop = std::chrono::microseconds(100);
constexpr core::Duration kMostHop = std::chrono::milliseconds(1);
constexpr core::Duration kLeastRun = std::chrono::milliseconds(10);
constexpr core::Duration kMostRun = std::chrono::milliseconds(200);
constexpr core::Duration kLongRun = std::chrono::seconds(4);
constexpr core::Duration kBusyDelay = std::chrono::seconds(3);
constexpr core::Duration kStopDelay = std::chrono::milliseconds(100);
constexpr core::Duration kOutliving = std::chrono::seconds(20);
constexpr std::uint32_t kMemoryMb = 32768;
constexpr std::int64_t kLingerFactor = 20;

void EndAtAgent(Setup* setup, const ProcessLife& agent,
                const dispatch::TaskRef& ref, TaskEnd end, std::string result) {
  setup->scheduler.After(
      setup->random.Between(kLeastHop, kMostHop),
      [setup, agent, ref, end, result = std::move(result)]() {
        Deliver(setup, agent, setup->random.Next() >> 1,
                [setup, agent, ref, end, result]() {
                  Process* process = &setup->processes[agent.process];
                  dispatch::OnTaskEnd(&process->agent, Now(*setup), ref, end,
                                      result);
                });
      });
}

TargetRun* FindRun(Setup* setup, int target, std::uint64_t number) {
  auto& runs = setup->targets.all[target].runs;
  const auto found = runs.find(number);
  return found == runs.end() ? nullptr : &found->second;
}

void Report(Setup* setup, TargetRun* run, TaskEnd end) {
  if (run->reported) return;
  run->reported = true;
  const PayloadName name = ReadPayload(run->payload);
  Note(setup, name.job, "target end", run->agent.process, -1, name.task,
       static_cast<std::int64_t>(end));
  Count(setup, end == TaskEnd::kOk       ? "target.ok"
               : end == TaskEnd::kFailed ? "target.failed"
                                         : "target.unknown");
  EndAtAgent(setup, run->agent, run->ref, end,
             end == TaskEnd::kOk ? ResultOf(run->payload) : std::string());
}

/// The run is over at the target.
void FinishRun(Setup* setup, int target, std::uint64_t number, TaskEnd end) {
  TargetRun* run = FindRun(setup, target, number);
  if (run == nullptr) return;
  Report(setup, run, end);
  setup->targets.all[target].runs.erase(number);
}

/// The agent's patience with one task.
core::Duration MaxRun(const Setup& setup, int agent,
                      const core::ServiceId& service) {
  const dispatch::World& world = setup.processes[agent].agent.world;
  const auto found = world.services.find(service);
  return found == world.services.end() ? std::chrono::seconds(30)
                                       : found->second.max_run;
}

TaskEnd EndOf(Setup* setup, TargetMode mode) {
  if (mode == TargetMode::kFail) return TaskEnd::kFailed;
  if (mode == TargetMode::kLose && setup->random.Chance(300)) {
    return TaskEnd::kUnknown;
  }
  return !setup->quiet && setup->random.Chance(2) ? TaskEnd::kFailed
                                                  : TaskEnd::kOk;
}

core::Duration RunTimeOf(Setup* setup, TargetMode mode) {
  core::Duration run = setup->random.Between(kLeastRun, kMostRun);
  const bool runs_long = !setup->quiet && setup->random.Chance(5);
  if (runs_long) run = setup->random.Between(run, kLongRun);
  if (mode == TargetMode::kLinger) run *= kLingerFactor;
  const bool hangs = mode == TargetMode::kHang && setup->random.Chance(500);
  return hangs ? kOutliving : run;
}

void StartRun(Setup* setup, const ProcessLife& agent,
              const dispatch::RunTask& task, core::Duration max_run) {
  const int target = agent.process;
  FakeTarget& fake = setup->targets.all[target];
  const PayloadName name = ReadPayload(task.payload);
  Note(setup, name.job, "target start", target, -1, name.task,
       task.ref.attempt.value());
  WitnessStart(setup, target, task.ref, task.payload);
  const std::uint64_t number = setup->targets.next_run++;
  fake.runs[number] = TargetRun{task.ref, agent, task.payload, false};
  const TaskEnd end = EndOf(setup, fake.mode);
  setup->scheduler.After(RunTimeOf(setup, fake.mode),
                         [setup, target, number, end]() {
                           FinishRun(setup, target, number, end);
                         });
  setup->scheduler.After(max_run, [setup, target, number]() {
    TargetRun* run = FindRun(setup, target, number);
    if (run == nullptr) return;
    Count(setup, "target.overran");
    Report(setup, run, TaskEnd::kUnknown);
  });
}

void RefuseRun(Setup* setup, const ProcessLife& agent,
               const dispatch::RunTask& task) {
  Count(setup, "target.not_started");
  const int job = ReadPayload(task.payload).job;
  Note(setup, job, "target refuses", agent.process, -1, task.ref.task.value(),
       task.ref.attempt.value());
  const core::Duration delay =
      setup->random.Chance(100)
          ? setup->random.Between(core::Duration(0), kBusyDelay)
          : core::Duration(0);
  setup->scheduler.After(delay, [setup, agent, ref = task.ref]() {
    EndAtAgent(setup, agent, ref, TaskEnd::kNotStarted, {});
  });
}

}  // namespace

void AnnounceNow(Setup* setup, int target) {
  const FakeTarget& fake = setup->targets.all[target];
  const Process& process = setup->processes[target];
  if (!fake.present || !process.alive) return;
  const ProcessLife agent = LifeOf(process);
  dispatch::Target announced;
  announced.address = core::Address("127.0.0.1:9000");
  announced.services = fake.services;
  announced.slots = fake.slots;
  announced.cores = fake.cores;
  announced.memory_mb = kMemoryMb;
  announced.leaving = fake.leaving;
  const std::uint32_t running = static_cast<std::uint32_t>(fake.runs.size());
  Deliver(setup, agent, 1ULL << 51, [setup, target, announced, running]() {
    dispatch::AgentBoard* board = &setup->processes[target].agent;
    dispatch::Target heard = announced;
    heard.foreign_running =
        running > board->running_tasks ? running - board->running_tasks : 0;
    dispatch::OnTargetAnnounce(board, Now(*setup), heard);
  });
}

void AnnounceLoop(Setup* setup, int target) {
  AnnounceNow(setup, target);
  setup->scheduler.After(kAnnounceInterval,
                         [setup, target]() { AnnounceLoop(setup, target); });
}

void RunAtTarget(Setup* setup, const ProcessLife& agent,
                 const dispatch::RunTask& task) {
  const core::Duration max_run = MaxRun(*setup, agent.process, task.service);
  setup->scheduler.After(setup->random.Between(kLeastHop, kMostHop),
                         [setup, agent, task, max_run]() {
                           const FakeTarget& fake =
                               setup->targets.all[agent.process];
                           const bool full = fake.runs.size() >= fake.slots;
                           const bool busy = fake.mode == TargetMode::kBusy &&
                                             setup->random.Chance(500);
                           if (!fake.present || full || busy) {
                             RefuseRun(setup, agent, task);
                             return;
                           }
                           StartRun(setup, agent, task, max_run);
                         });
}

void StopAtTarget(Setup* setup, const ProcessLife& agent,
                  const dispatch::StopTask& task) {
  const int target = agent.process;
  Count(setup, "target.stop_asked");
  for (const auto& [number, run] : setup->targets.all[target].runs) {
    if (run.agent != agent || run.ref != task.ref) continue;
    const TaskEnd end =
        setup->random.Chance(500) ? TaskEnd::kFailed : TaskEnd::kUnknown;
    setup->scheduler.After(setup->random.Between(core::Duration(0), kStopDelay),
                           [setup, target, number = number, end]() {
                             FinishRun(setup, target, number, end);
                           });
  }
}

void KillTarget(Setup* setup, int target) {
  FakeTarget& fake = setup->targets.all[target];
  if (!fake.present) return;
  fake.present = false;
  Note(setup, kNoJob, "target dies", target);
  Count(setup, "fault.target_died");
  for (auto& [number, run] : fake.runs) {
    Report(setup, &run, TaskEnd::kUnknown);
  }
  fake.runs.clear();
}

void ReviveTarget(Setup* setup, int target) {
  FakeTarget& fake = setup->targets.all[target];
  if (fake.present) return;
  fake.present = true;
  fake.mode = TargetMode::kFine;
  Note(setup, kNoJob, "target returns", target);
  AnnounceNow(setup, target);
}

void SetLeaving(Setup* setup, int target, bool leaving) {
  FakeTarget& fake = setup->targets.all[target];
  if (fake.leaving == leaving) return;
  fake.leaving = leaving;
  fake.leaving_since = Now(*setup);
  Note(setup, kNoJob, leaving ? "target leaves" : "target stays", target);
  if (leaving) Count(setup, "fault.target_leaving");
  AnnounceNow(setup, target);
}

}  // namespace tarragon::prove
