#include <vector>

#include "cluster.h"
#include "tarragon/capacity/slopes.h"

namespace tarragon::capacity {
namespace {

constexpr std::size_t kTasks[] = {1, 10, 30, 60, 110};
constexpr double kPlannedTasks = 110;
constexpr std::size_t kPeers[] = {4, 8, 16, 32, 63};
constexpr double kPlannedPeers = 63;
constexpr std::size_t kExecutors = 8;
/// So many that no task waits: a batch of 20 jobs of 110 tasks fits.
constexpr std::uint32_t kSlots = 4000;
constexpr std::size_t kTasksPerPoint = 22000;

/// Slots of each executor for which a batch of 200 tasks is half of all slots,
/// all of them, twice and four times as many.
constexpr std::uint32_t kFewSlots[] = {50, 25, 12, 6};
constexpr double kPlannedTasksPerSlot = 1;
constexpr double kBatchTasks = 200;
constexpr std::size_t kWaitingJobs = 1000;
constexpr double kTasksPerJob = 10;

/// Messages of a task when tasks wait for slots and freed slots ask for them.
std::vector<Slope> WaitingSlopes() {
  Slope home{"home",
             "messages sent for a task, jobs of 10",
             "tasks at once per slot",
             "messages",
             {},
             kPlannedTasksPerSlot};
  Slope executor{"executor",
                 "messages sent for a task, jobs of 10",
                 "tasks at once per slot",
                 "messages",
                 {},
                 kPlannedTasksPerSlot};
  Slope cpu{"home",
            "processor time of a task, jobs of 10",
            "tasks at once per slot",
            "us per task",
            {},
            kPlannedTasksPerSlot};
  for (const std::uint32_t slots : kFewSlots) {
    Cluster cluster = MakeCluster(kExecutors, slots);
    RunJobs(&cluster, kWaitingJobs, 10, false);
    const double x = kBatchTasks / (slots * double{kExecutors});
    const double tasks = kTasksPerJob * double{kWaitingJobs};
    home.points.push_back({x, cluster.home.messages_out / tasks});
    executor.points.push_back({x, cluster.executors.messages_out / tasks});
    cpu.points.push_back({x, cluster.home.cpu_micros / tasks});
  }
  return {home, executor, cpu};
}

}  // namespace

std::vector<Slope> TaskSlopes() {
  Slope home_cpu{"home",
                 "processor time of a job",
                 "tasks in the job",
                 "us per job",
                 {},
                 kPlannedTasks};
  Slope home_messages{"home",
                      "messages sent for a job",
                      "tasks in the job",
                      "messages",
                      {},
                      kPlannedTasks};
  Slope home_bytes{"home",
                   "bytes sent for a job, without frames",
                   "tasks in the job",
                   "bytes",
                   {},
                   kPlannedTasks};
  Slope executor_cpu{"executor",
                     "processor time for the tasks of a job",
                     "tasks in the job",
                     "us per job",
                     {},
                     kPlannedTasks};
  Slope executor_messages{"executor",
                          "messages sent for the tasks of a job",
                          "tasks in the job",
                          "messages",
                          {},
                          kPlannedTasks};
  Slope executor_bytes{"executor",
                       "bytes sent for the tasks of a job",
                       "tasks in the job",
                       "bytes",
                       {},
                       kPlannedTasks};
  for (const std::size_t tasks : kTasks) {
    Cluster cluster = MakeCluster(kExecutors, kSlots);
    const std::size_t jobs = kTasksPerPoint / tasks / (tasks == 1 ? 4 : 1);
    RunJobs(&cluster, jobs, tasks, false);
    const double x = static_cast<double>(tasks);
    const double n = static_cast<double>(jobs);
    home_cpu.points.push_back({x, cluster.home.cpu_micros / n});
    home_messages.points.push_back({x, cluster.home.messages_out / n});
    home_bytes.points.push_back({x, cluster.home.bytes_out / n});
    executor_cpu.points.push_back({x, cluster.executors.cpu_micros / n});
    executor_messages.points.push_back({x, cluster.executors.messages_out / n});
    executor_bytes.points.push_back({x, cluster.executors.bytes_out / n});
  }
  Slope peers{"home",
              "processor time of a task, jobs of 10",
              "executors known",
              "us per task",
              {},
              kPlannedPeers};
  for (const std::size_t executors : kPeers) {
    Cluster cluster = MakeCluster(executors, kSlots);
    const std::size_t jobs = 1000;
    RunJobs(&cluster, jobs, 10, false);
    peers.points.push_back({static_cast<double>(executors),
                            cluster.home.cpu_micros / (10.0 * jobs)});
  }
  std::vector<Slope> slopes{home_cpu,     home_messages,     home_bytes,
                            executor_cpu, executor_messages, executor_bytes,
                            peers};
  for (const Slope& slope : WaitingSlopes()) slopes.push_back(slope);
  return slopes;
}

}  // namespace tarragon::capacity
