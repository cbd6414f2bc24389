#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster.h"
#include "fault_settings.h"

namespace tarragon::system_test {
namespace {

/// What clients may do to keys, and answers that cross.
class ClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClientTest);
  CPPUNIT_TEST(EachGetsItsOwnAnswer);
  CPPUNIT_TEST(ReusedKeyTouchesNothing);
  CPPUNIT_TEST(CancelEndsAHeldJob);
  CPPUNIT_TEST(PlainKeyThroughBothEntriesRunsOnce);
  CPPUNIT_TEST(RefusalsAreTrue);
  CPPUNIT_TEST(NothingRunsWithoutADomain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EachGetsItsOwnAnswer() {
    ClusterOptions options = FastOptions();
    options.slots = 8;
    options.settings.emplace_back("policy.max_queue_delay=1min");
    Cluster cluster(options);
    std::vector<std::pair<std::string, std::future<JobResult>>> answers;
    for (std::size_t i = 0; i < 200; ++i) {
      const std::string key = cluster.NewKey(cluster.Handle(i % 2));
      const std::vector<TaskText> tasks = {{1, key + "/0"}, {2, key + "/1"}};
      cluster.Expect(key, tasks);
      answers.emplace_back(key,
                           cluster.Start(i % 2, key, Cluster::Body(tasks)));
    }
    for (auto& [key, future] : answers) {
      const JobResult result = Await(std::move(future), "an answer");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(result.body, std::string("complete"),
                                   result.outcome);
      CPPUNIT_ASSERT_EQUAL(key + "/0", result.results.at(0));
      CPPUNIT_ASSERT_EQUAL(key + "/1", result.results.at(1));
    }
    cluster.CheckAnswers();
  }

  void ReusedKeyTouchesNothing() {
    Cluster cluster(FastOptions());
    const std::vector<TaskText> tasks = EightTasks();
    const std::string key = cluster.NewKey(cluster.Handle(0));
    cluster.Expect(key, tasks);
    std::future<JobResult> first = StartHeld(&cluster, key, tasks);
    const JobResult other =
        cluster.Submit(1, key, Cluster::Body({{0, "another body"}}));
    CPPUNIT_ASSERT_EQUAL(409, other.status);
    CPPUNIT_ASSERT_EQUAL(std::string("key_reused"), other.reason);
    for (std::size_t i = 0; i < 2; ++i) cluster.Release(i);
    CPPUNIT_ASSERT_EQUAL(std::string("complete"),
                         Await(std::move(first), "the answer").outcome);
    CPPUNIT_ASSERT_EQUAL(
        409, cluster.Submit(1, key, Cluster::Body({{0, "x"}})).status);
    cluster.CheckAnswers();
  }

  void CancelEndsAHeldJob() {
    Cluster cluster(FastOptions());
    const std::vector<TaskText> tasks = EightTasks();
    const std::string key = cluster.NewKey(cluster.Handle(0));
    std::future<JobResult> first = StartHeld(&cluster, key, tasks);
    const JobResult cancelled = cluster.Ask(1, "DELETE", key);
    CPPUNIT_ASSERT_EQUAL(410, cancelled.status);
    CPPUNIT_ASSERT_EQUAL(std::string("failed"), cancelled.outcome);
    CPPUNIT_ASSERT_EQUAL(410, Await(std::move(first), "the answer").status);
    const std::string never = cluster.NewKey(cluster.Handle(0));
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                         cluster.Ask(0, "DELETE", never).outcome);
    CPPUNIT_ASSERT_EQUAL(410,
                         cluster.Submit(1, never, Cluster::Body(tasks)).status);
    for (std::size_t i = 0; i < 2; ++i) cluster.Release(i);
    for (std::size_t i = 0; i < 2; ++i) cluster.Witness(i, 4, 4);
    cluster.CheckAnswers();
  }

  void PlainKeyThroughBothEntriesRunsOnce() {
    Cluster cluster(FastOptions());
    const std::vector<TaskText> tasks = EightTasks();
    for (int round = 0; round < 10; ++round) {
      const std::string key = "order-" + std::to_string(round);
      std::future<JobResult> a = cluster.Start(0, key, Cluster::Body(tasks));
      std::future<JobResult> b = cluster.Start(1, key, Cluster::Body(tasks));
      CPPUNIT_ASSERT_EQUAL(std::string("complete"),
                           Await(std::move(a), "an answer").outcome);
      CPPUNIT_ASSERT_EQUAL(std::string("complete"),
                           Await(std::move(b), "an answer").outcome);
    }
    std::size_t starts = 0;
    for (std::size_t i = 0; i < 2; ++i) starts += cluster.Witness(i).size();
    CPPUNIT_ASSERT_EQUAL(std::size_t{80}, starts);
  }

  void RefusalsAreTrue() {
    Cluster cluster(FastOptions());
    const std::string handle = cluster.Handle(0);
    const JobResult unknown =
        cluster.Submit(0, cluster.NewKey(handle),
                       Cluster::Body({{0, "x"}}, 1000, "no-such-service"));
    CPPUNIT_ASSERT_EQUAL(400, unknown.status);
    const std::set<std::string> load = Reasons(&cluster, handle, "kaptafa", 80);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, load.count("overload"));
    const std::set<std::string> tenant = Reasons(&cluster, handle, "small", 8);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tenant.count("tenant_limit"));
    cluster.CheckAnswers();
  }

  void NothingRunsWithoutADomain() {
    Cluster cluster(FastOptions());
    const Reply note = cluster.Note(0, "out", 1,
                                    "[change domain szeged]\n"
                                    "in_service = false\n"
                                    "[change domain kecskemet]\n"
                                    "in_service = false\n");
    CPPUNIT_ASSERT_EQUAL(200, note.status);
    for (std::size_t i = 0; i < 2; ++i) {
      cluster.AwaitMetric(cluster.agent(i).pages, "note_version", 2);
    }
    const JobResult refused = cluster.Submit(
        0, cluster.NewKey(cluster.Handle(0)), Cluster::Body({{0, "x"}}, 1500));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(refused.body, std::string("not_run"),
                                 refused.outcome);
    for (std::size_t i = 0; i < 2; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cluster.Witness(i).size());
    }
    cluster.CheckAnswers();
  }

 private:
  /// Submits `count` jobs at once while all targets are held, releases them
  /// once a refusal is there, and returns the reasons of all refusals.
  static std::set<std::string> Reasons(Cluster* cluster,
                                       const std::string& handle,
                                       const std::string& tenant,
                                       std::size_t count) {
    for (std::size_t i = 0; i < 2; ++i) cluster->Hold(i);
    std::vector<std::future<JobResult>> answers;
    for (std::size_t i = 0; i < count; ++i) {
      const std::string key = cluster->NewKey(handle);
      const std::vector<TaskText> tasks = {{1, key}};
      cluster->Expect(key, tasks);
      answers.push_back(
          cluster->Start(0, key, Cluster::Body(tasks, 15000, "carve", tenant)));
    }
    // The first refusal is there before the last job can have run.
    const std::size_t home = cluster->HomeOf(handle);
    const std::string line = std::string("refusals_total{reason=\"") +
                             (tenant == "small" ? "tenant_limit" : "overload") +
                             "\"}";
    cluster->AwaitMetric(cluster->agent(home).pages, line, 1);
    for (std::size_t i = 0; i < 2; ++i) cluster->Release(i);
    std::set<std::string> reasons;
    for (std::future<JobResult>& answer : answers) {
      const JobResult result = Await(std::move(answer), "an answer");
      if (result.outcome == "complete") continue;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(result.body, std::string("not_run"),
                                   result.outcome);
      reasons.insert(result.reason);
    }
    return reasons;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientTest);

}  // namespace
}  // namespace tarragon::system_test
