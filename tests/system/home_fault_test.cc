#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <future>
#include <string>
#include <vector>

#include "cluster.h"
#include "fault_settings.h"

namespace tarragon::system_test {
namespace {

/// Faults of the process that answers for a key, and of entries on the way.
class HomeFaultTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HomeFaultTest);
  CPPUNIT_TEST(KilledHomeEndsAsUnknown);
  CPPUNIT_TEST(FrozenHomeGoesOn);
  CPPUNIT_TEST(KilledEntryLosesNoAnswer);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KilledHomeEndsAsUnknown() {
    Cluster cluster(FastOptions());
    const std::vector<TaskText> tasks = EightTasks();
    const std::string key = cluster.NewKey(cluster.Handle(0));
    cluster.Expect(key, tasks);
    StartHeld(&cluster, key, tasks);
    std::future<JobResult> again = cluster.Start(1, key, Cluster::Body(tasks));
    cluster.agent(cluster.HomeOf(key)).process->Signal(SIGKILL);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                         Await(std::move(again), "the answer").outcome);
    for (int i = 0; i < 5; ++i) {
      const JobResult later = cluster.Submit(1, key, Cluster::Body(tasks));
      CPPUNIT_ASSERT_EQUAL(std::string("unknown"), later.outcome);
    }
    for (std::size_t i = 0; i < 2; ++i) cluster.Release(i);
    for (std::size_t i = 0; i < 2; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{4}, cluster.Witness(i, 4, 4).size());
    }
    cluster.CheckAnswers();
  }

  void FrozenHomeGoesOn() {
    Cluster cluster(FastOptions());
    const std::vector<TaskText> tasks = EightTasks();
    const std::string key = cluster.NewKey(cluster.Handle(0));
    cluster.Expect(key, tasks);
    std::future<JobResult> answer = StartHeld(&cluster, key, tasks);
    const std::size_t home = cluster.HomeOf(key);
    cluster.agent(home).process->Signal(SIGSTOP);
    for (std::size_t i = 0; i < 2; ++i) AwaitNotMember(&cluster, home, i);
    std::future<JobResult> again = cluster.Start(1, key, Cluster::Body(tasks));
    cluster.agent(home).process->Signal(SIGCONT);
    for (std::size_t i = 0; i < 2; ++i) cluster.Release(i);
    CPPUNIT_ASSERT_EQUAL(std::string("complete"),
                         Await(std::move(answer), "the answer").outcome);
    CPPUNIT_ASSERT_EQUAL(std::string("complete"),
                         Await(std::move(again), "the answer").outcome);
    cluster.CheckAnswers();
  }

  void KilledEntryLosesNoAnswer() {
    Cluster cluster(FastOptions());
    const std::vector<TaskText> tasks = EightTasks();
    const std::string key = cluster.NewKey(cluster.Handle(0));
    cluster.Expect(key, tasks);
    std::future<JobResult> cut = StartHeld(&cluster, key, tasks);
    cluster.entry(0).process->Signal(SIGKILL);
    CPPUNIT_ASSERT_EQUAL(0, Await(std::move(cut), "the cut").status);
    std::future<JobResult> answer = cluster.Start(1, key, Cluster::Body(tasks));
    for (std::size_t i = 0; i < 2; ++i) cluster.Release(i);
    CPPUNIT_ASSERT_EQUAL(std::string("complete"),
                         Await(std::move(answer), "the answer").outcome);
    cluster.CheckAnswers();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HomeFaultTest);

}  // namespace
}  // namespace tarragon::system_test
