#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <future>
#include <string>
#include <utility>
#include <vector>

#include "cluster.h"
#include "fault_settings.h"
#include "load.h"

namespace tarragon::system_test {
namespace {

/// Planned stops under load: nothing that was accepted is cut.
class StopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopTest);
  CPPUNIT_TEST(StoppedAgentCutsNothing);
  CPPUNIT_TEST(StoppedTargetCutsNothing);
  CPPUNIT_TEST(StoppedEntryCutsNothing);
  CPPUNIT_TEST(AStoppedHomeLeavesItsAnswersToAnHeir);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StoppedAgentCutsNothing() {
    Run([](Cluster* cluster, std::size_t home) -> ChildProcess& {
      return *cluster->agent(home).process;
    });
  }

  void StoppedTargetCutsNothing() {
    Run([](Cluster* cluster, std::size_t home) -> ChildProcess& {
      return *cluster->target(home).process;
    });
  }

  void StoppedEntryCutsNothing() {
    Run([](Cluster* cluster, std::size_t) -> ChildProcess& {
      return *cluster->entry(0).process;
    });
  }

  void AStoppedHomeLeavesItsAnswersToAnHeir() {
    ClusterOptions options = FastOptions();
    options.domains = {"szeged", "kecskemet", "kecskemet"};
    Cluster cluster(options);
    const std::string handle = cluster.Handle(0);
    const std::size_t home = cluster.HomeOf(handle + "~0.x");
    const std::string key = cluster.NewKey(handle);
    const std::vector<TaskText> tasks = EightTasks();
    cluster.Expect(key, tasks);
    const JobResult first = cluster.Submit(0, key, Cluster::Body(tasks));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(first.body, std::string("complete"),
                                 first.outcome);
    cluster.agent(home).process->Signal(SIGTERM);
    CPPUNIT_ASSERT_EQUAL(0, cluster.agent(home).process->WaitEnd());
    for (const std::size_t entry : {std::size_t{0}, std::size_t{1}}) {
      const JobResult asked = cluster.Ask(entry, "GET", key, 5000);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(asked.body, std::string("complete"),
                                   asked.outcome);
      const JobResult again = cluster.Submit(entry, key, Cluster::Body(tasks));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(again.body, std::string("complete"),
                                   again.outcome);
      CPPUNIT_ASSERT(first.results == again.results);
      const JobResult unsent =
          cluster.Submit(entry, cluster.NewKey(handle), Cluster::Body(tasks));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(unsent.body, std::string("not_run"),
                                   unsent.outcome);
    }
    cluster.CheckAnswers();
  }

 private:
  using Choose = std::function<ChildProcess&(Cluster*, std::size_t)>;

  /// Stops one process while held jobs run through entry 0 and a load goes on
  /// through entry 1.
  static void Run(const Choose& choose) {
    ClusterOptions options = FastOptions();
    options.domains = {"szeged", "kecskemet", "kecskemet"};
    Cluster cluster(options);
    Load load(&cluster, {1}, 4, 5);
    load.AwaitCompleted(20);
    const std::string handle = cluster.Handle(0);
    const std::size_t home = cluster.HomeOf(handle + "~0.x");
    std::vector<std::future<JobResult>> answers;
    for (std::size_t i = 0; i < 6; ++i) {
      const std::string key = cluster.NewKey(handle);
      const std::vector<TaskText> tasks = {{800, "slow " + key}};
      cluster.Expect(key, tasks);
      answers.push_back(cluster.Start(0, key, Cluster::Body(tasks)));
    }
    cluster.AwaitMetric(cluster.agent(home).pages, "active_jobs", 6);
    ChildProcess& stopped = choose(&cluster, home);
    stopped.Signal(SIGTERM);
    for (std::future<JobResult>& answer : answers) {
      const JobResult result = Await(std::move(answer), "an answer");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(result.body, std::string("complete"),
                                   result.outcome);
    }
    load.AwaitCompleted(50);
    CPPUNIT_ASSERT_EQUAL(0, stopped.WaitEnd());
    load.AwaitCompleted(50);
    load.Stop();
    for (const JobResult& result : load.Results()) CheckLoaded(result);
    cluster.CheckAnswers();
  }

  /// A job of the load completes or is refused as not run, also one whose
  /// handle names the process that has left in good order.
  static void CheckLoaded(const JobResult& result) {
    const bool fine =
        result.outcome == "complete" || result.outcome == "not_run";
    CPPUNIT_ASSERT_MESSAGE(result.body, fine);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopTest);

}  // namespace
}  // namespace tarragon::system_test
