#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <future>
#include <string>
#include <vector>

#include "cluster.h"
#include "fault_settings.h"

namespace tarragon::system_test {
namespace {

/// Faults of the process that runs tasks for a home elsewhere.
class ExecutorFaultTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExecutorFaultTest);
  CPPUNIT_TEST(KilledWhileRunning);
  CPPUNIT_TEST(FrozenTooLongWhileRunning);
  CPPUNIT_TEST(ThawedInTimeWhileRunning);
  CPPUNIT_TEST(KilledWhileAssigned);
  CPPUNIT_TEST(FrozenTooLongWhileAssigned);
  CPPUNIT_TEST(ThawedInTimeWhileAssigned);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KilledWhileRunning() { Run(true, SIGKILL, "1s"); }
  void FrozenTooLongWhileRunning() { Run(true, SIGSTOP, "1s"); }
  void ThawedInTimeWhileRunning() { Run(true, SIGSTOP, "1min"); }
  void KilledWhileAssigned() { Run(false, SIGKILL, "1s"); }
  void FrozenTooLongWhileAssigned() { Run(false, SIGSTOP, "1s"); }
  void ThawedInTimeWhileAssigned() { Run(false, SIGSTOP, "1min"); }

 private:
  /// Strikes the executor that is not the home. `gone_after` decides whether
  /// the home waits for the executor to come back.
  static void Run(bool started, int signal, const std::string& gone_after) {
    ClusterOptions options = FastOptions();
    options.settings.push_back("policy.gone_after=" + gone_after);
    Cluster cluster(options);
    const std::vector<TaskText> tasks = EightTasks();
    const std::string key = cluster.NewKey(cluster.Handle(0));
    cluster.Expect(key, tasks);
    const std::size_t home = cluster.HomeOf(key);
    const ChildProcess& executor = *cluster.agent(1 - home).process;
    std::future<JobResult> answer;
    if (started) {
      answer = StartHeld(&cluster, key, tasks);
      executor.Signal(signal);
    } else {
      answer = StartAssigned(&cluster, key, tasks);
      if (signal == SIGKILL) executor.Signal(SIGKILL);
    }
    const bool comes_back = signal == SIGSTOP && gone_after != "1s";
    if (comes_back) {
      cluster.AwaitMetric(cluster.agent(home).pages, "seals_total", 1);
      executor.Signal(SIGCONT);
      for (std::size_t i = 0; i < 2; ++i) cluster.Release(i);
      const JobResult result = Await(std::move(answer), "the answer");
      CPPUNIT_ASSERT_EQUAL(std::string("complete"), result.outcome);
    } else {
      const JobResult result = Await(std::move(answer), "the answer");
      CPPUNIT_ASSERT_EQUAL(std::string("unknown"), result.outcome);
      executor.Signal(SIGCONT);
      for (std::size_t i = 0; i < 2; ++i) cluster.Release(i);
    }
    AwaitFresh(&cluster, signal == SIGKILL ? home : 1 - home);
    cluster.CheckAnswers();
  }

  /// Waits until the agent has handled what reached it before.
  static void AwaitFresh(Cluster* cluster, std::size_t agent) {
    cluster->AwaitAgent(agent);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExecutorFaultTest);

}  // namespace
}  // namespace tarragon::system_test
