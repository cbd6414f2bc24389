#include "cluster.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragon::capacity {
namespace {

class ClusterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClusterTest);
  CPPUNIT_TEST(EveryJobIsComplete);
  CPPUNIT_TEST(TakesInTheLargestJobs);
  CPPUNIT_TEST(TasksWaitForSlots);
  CPPUNIT_TEST(RunningJobsStayActive);
  CPPUNIT_TEST(KeysOutliveAnswers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EveryJobIsComplete() {
    Cluster cluster = MakeCluster(4, 400);
    RunJobs(&cluster, 50, 7, false);
    const dispatch::AgentBoard& home = cluster.boards[0];
    CPPUNIT_ASSERT_EQUAL(std::size_t{50}, home.jobs.size());
    for (const auto& [key, job] : home.jobs) {
      CPPUNIT_ASSERT(job.answer.outcome == dispatch::Outcome::kComplete);
    }
    std::uint64_t starts = 0;
    for (const dispatch::AgentBoard& board : cluster.boards) {
      starts += board.counters.starts;
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{350}, starts);
  }

  void TakesInTheLargestJobs() {
    Cluster cluster = MakeCluster(8, 4000);
    RunJobs(&cluster, 40, 110, false);
    const dispatch::AgentBoard& home = cluster.boards[0];
    CPPUNIT_ASSERT(home.counters.refusals.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{40},
                         home.counters.outcomes.at("complete"));
  }

  void TasksWaitForSlots() {
    Cluster cluster = MakeCluster(8, 6);
    RunJobs(&cluster, 40, 10, false);
    const dispatch::AgentBoard& home = cluster.boards[0];
    CPPUNIT_ASSERT(home.counters.refusals.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{40},
                         home.counters.outcomes.at("complete"));
  }

  void RunningJobsStayActive() {
    Cluster cluster = MakeCluster(4, 400);
    RunJobs(&cluster, 50, 1, true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{50}, cluster.boards[0].active_jobs.size());
  }

  void KeysOutliveAnswers() {
    Cluster cluster = MakeCluster(2, 400);
    RunJobs(&cluster, 20, 1, false);
    Pass(&cluster, std::chrono::minutes(11));
    CPPUNIT_ASSERT(cluster.boards[0].jobs.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, cluster.boards[0].tombstones.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClusterTest);

}  // namespace
}  // namespace tarragon::capacity
