#include <vector>

#include "cluster.h"
#include "cost.h"
#include "tarragon/capacity/slopes.h"
#include "tarragon/dispatch/agent.h"

namespace tarragon::capacity {
namespace {

constexpr std::size_t kMembers[] = {100, 500, 2000, 5000, 10000, 19000};
constexpr double kPlannedMembers = 19000;
constexpr std::size_t kJobs[] = {500, 1000, 2000, 4000};
constexpr double kPlannedJobs = 4000;
constexpr std::size_t kTasks[] = {1, 10, 30, 60, 110};
constexpr double kPlannedTasks = 110;
constexpr int kKeptJobs = 100;
constexpr int kTicks = 50;
constexpr std::size_t kExecutors = 4;
constexpr std::uint32_t kSlots = 4000;
/// Longer than final answers are kept.
constexpr core::Duration kForget = std::chrono::minutes(11);

double Records(const Cluster& cluster) {
  double bytes = 0;
  for (const dispatch::AgentBoard& board : cluster.boards) {
    bytes += HeapOf(board.executions) + HeapOf(board.executions_by_due_time);
  }
  return bytes;
}

double Jobs(const dispatch::AgentBoard& home) {
  return HeapOf(home.jobs) + HeapOf(home.active_jobs) +
         HeapOf(home.jobs_by_due_time) + HeapOf(home.kept_answers);
}

/// Memory of one kept answer by the size of its job, and what it is counted as.
std::vector<Slope> KeptByTasks() {
  Slope slope{"home",
              "memory of one kept answer",
              "tasks in the job",
              "bytes",
              {},
              kPlannedTasks};
  Slope counted{"home",
                "bytes that one kept answer is counted as",
                "tasks in the job",
                "bytes",
                {},
                kPlannedTasks};
  for (const std::size_t tasks : kTasks) {
    Cluster cluster = MakeCluster(kExecutors, kSlots);
    RunJobs(&cluster, kKeptJobs, tasks, false);
    const dispatch::AgentBoard& home = cluster.boards[0];
    const double x = static_cast<double>(tasks);
    slope.points.push_back({x, Jobs(home) / double{kKeptJobs}});
    counted.points.push_back(
        {x, static_cast<double>(home.ended_job_bytes) / double{kKeptJobs}});
  }
  return {slope, counted};
}

double TickMicros(dispatch::AgentBoard* board, core::Time now) {
  const double before = CpuMicros();
  for (int i = 0; i < kTicks; ++i) dispatch::OnTick(board, now);
  return (CpuMicros() - before) / kTicks;
}

}  // namespace

std::vector<Slope> MemorySlopes() {
  Slope members{"entry", "memory of the members", "members", "bytes",
                {},      kPlannedMembers};
  for (const std::size_t count : kMembers) {
    const dispatch::EntryBoard entry = MakeEntry(kBegin, count);
    members.points.push_back({static_cast<double>(count),
                              HeapOf(entry.members) + HeapOf(entry.ring) +
                                  HeapOf(entry.timeout_checks)});
  }
  Slope active{"home", "memory of active jobs of one task",
               "jobs", "bytes",
               {},     kPlannedJobs};
  Slope ticks{
      "home", "one tick of 20 ms", "active jobs of one task", "us per tick",
      {},     kPlannedJobs};
  Slope kept{"home", "memory of kept answers of jobs of one task",
             "jobs", "bytes",
             {},     kPlannedJobs};
  Slope keys{"home",      "memory of remembered keys", "jobs", "bytes", {},
             kPlannedJobs};
  Slope running{"executor",  "memory of running tasks", "tasks", "bytes", {},
                kPlannedJobs};
  Slope records{"executor", "memory of records of ended tasks",
                "tasks",    "bytes",
                {},         kPlannedJobs};
  for (const std::size_t jobs : kJobs) {
    const double x = static_cast<double>(jobs);
    Cluster busy = MakeCluster(kExecutors, kSlots);
    RunJobs(&busy, jobs, 1, true);
    active.points.push_back({x, Jobs(busy.boards[0])});
    ticks.points.push_back({x, TickMicros(&busy.boards[0], busy.now)});
    running.points.push_back({x, Records(busy)});
    Cluster cluster = MakeCluster(kExecutors, kSlots);
    RunJobs(&cluster, jobs, 1, false);
    kept.points.push_back({x, Jobs(cluster.boards[0])});
    records.points.push_back({x, Records(cluster)});
    Pass(&cluster, kForget);
    keys.points.push_back({x, HeapOf(cluster.boards[0].tombstones)});
  }
  const std::vector<Slope> by_tasks = KeptByTasks();
  std::vector<Slope> all{members, active, ticks, kept, keys, running, records};
  all.insert(all.end(), by_tasks.begin(), by_tasks.end());
  return all;
}

}  // namespace tarragon::capacity
