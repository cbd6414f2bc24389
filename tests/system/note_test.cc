#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <future>
#include <string>
#include <vector>

#include "cluster.h"
#include "fault_settings.h"
#include "load.h"
#include "tarragon/core/clock.h"

namespace tarragon::system_test {
namespace {

constexpr char kDown[] = R"({"mode":"down"})";
constexpr char kUp[] = R"({"mode":"none"})";

/// Release notes and the platform's table under faults.
class NoteTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NoteTest);
  CPPUNIT_TEST(HoldsThroughAnOutageAndNewEntries);
  CPPUNIT_TEST(RaceHasOneWinner);
  CPPUNIT_TEST(LostReplyCountsOnce);
  CPPUNIT_TEST(WorkGoesOnWithoutThePlatform);
  CPPUNIT_TEST(AnEntryIsReplacedWithoutThePlatform);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HoldsThroughAnOutageAndNewEntries() {
    Cluster cluster(FastOptions());
    const Reply note = cluster.Note(
        0, "out", 1, "[change domain szeged]\nin_service = false\n");
    cluster.PlatformFault(kDown);
    CPPUNIT_ASSERT_EQUAL(200, note.status);
    AwaitVersionEverywhere(&cluster, 2);
    cluster.PlatformFault(kUp);
    for (std::size_t old = 0; old < 2; ++old) {
      const std::size_t fresh = cluster.StartEntry();
      cluster.AwaitEntry(fresh, 2);
      cluster.entry(old).process->Signal(SIGTERM);
      CPPUNIT_ASSERT_EQUAL(0, cluster.entry(old).process->WaitEnd());
      AwaitVersionEverywhere(&cluster, 2);
    }
    for (std::size_t i = 0; i < 2; ++i) cluster.AwaitAgent(i);
    const std::vector<TaskText> tasks = {{1, "one"}};
    for (int i = 0; i < 10; ++i) {
      const std::string key = cluster.NewKey(cluster.Handle(3));
      cluster.Expect(key, tasks);
      CPPUNIT_ASSERT_EQUAL(
          std::string("complete"),
          cluster.Submit(2, key, Cluster::Body(tasks)).outcome);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cluster.Witness(0).size());
    AwaitVersionEverywhere(&cluster, 2);
    cluster.CheckAnswers();
  }

  void RaceHasOneWinner() {
    Cluster cluster(FastOptions());
    for (std::uint64_t base = 1; base <= 5; ++base) {
      const std::string name = std::to_string(base);
      std::future<Reply> a = cluster.StartNote(
          0, "a" + name, base, "[add domain a" + name + "]\nregion = x\n");
      std::future<Reply> b = cluster.StartNote(
          1, "b" + name, base, "[add domain b" + name + "]\nregion = x\n");
      const int first = Await(std::move(a), "a note").status;
      const int second = Await(std::move(b), "a note").status;
      CPPUNIT_ASSERT_EQUAL(200 + 409, first + second);
      CPPUNIT_ASSERT(first == 200 || first == 409);
    }
    AwaitVersionEverywhere(&cluster, 6);
  }

  void LostReplyCountsOnce() {
    Cluster cluster(FastOptions());
    const std::string sections = "[add domain bekes]\nregion = alfold\n";
    cluster.PlatformFault(R"({"mode":"lose_reply","only":"PUT","count":1})");
    for (int i = 0; i < 2; ++i) {
      const Reply reply =
          cluster.Note(static_cast<std::size_t>(i), "lost", 1, sections);
      CPPUNIT_ASSERT_EQUAL(200, reply.status);
      CPPUNIT_ASSERT_EQUAL(
          std::int64_t{2},
          boost::json::parse(reply.body).at("version").as_int64());
    }
    const Reply stats = cluster.loop().Get(cluster.platform(), "/stats");
    CPPUNIT_ASSERT_EQUAL(
        std::int64_t{1},
        boost::json::parse(stats.body).at("faults").as_int64());
    AwaitVersionEverywhere(&cluster, 2);
  }

  void WorkGoesOnWithoutThePlatform() {
    Cluster cluster(FastOptions());
    Load load(&cluster, {0, 1}, 6, 5);
    load.AwaitCompleted(20);
    cluster.PlatformFault(kDown);
    const std::int64_t down = NowMs();
    AwaitStartAfter(&cluster, &load, 0, down + 2500);
    AwaitStartAfter(&cluster, &load, 1, down + 2500);
    load.Stop();
    for (const JobResult& result : load.Results()) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(result.body, std::string("complete"),
                                   result.outcome);
    }
    cluster.CheckAnswers();
  }

  /// The platform is down from before the start of a job until after its
  /// answer; meanwhile the operator replaces one of three entries.
  void AnEntryIsReplacedWithoutThePlatform() {
    ClusterOptions options = FastOptions();
    options.entries = 3;
    Cluster cluster(options);
    AwaitMembers(&cluster, 0, 3);
    AwaitMembers(&cluster, 2, 3);
    cluster.PlatformFault(kDown);
    const std::vector<TaskText> tasks = EightTasks();
    const std::string key = cluster.NewKey(cluster.Handle(0));
    cluster.Expect(key, tasks);
    std::future<JobResult> answer = StartHeld(&cluster, key, tasks);
    cluster.entry(1).process->Signal(SIGKILL);
    cluster.entry(1).process->WaitEnd();
    const std::int64_t killed = NowMs();
    CPPUNIT_ASSERT_EQUAL(200, cluster.RemoveEntry(0, 1).status);
    const std::size_t fresh = cluster.StartEntry();
    for (std::size_t i = 0; i < 2; ++i) cluster.Release(i);
    CPPUNIT_ASSERT_EQUAL(std::string("complete"),
                         Await(std::move(answer), "the answer").outcome);
    Load load(&cluster, {0, 2}, 6, 5);
    AwaitStartAfter(&cluster, &load, 0, killed + 2500);
    AwaitStartAfter(&cluster, &load, 1, killed + 2500);
    CPPUNIT_ASSERT(!cluster.VouchesWithoutTable(fresh));
    cluster.PlatformFault(kUp);
    AwaitMembers(&cluster, fresh, 3);
    load.AwaitCompleted(20);
    load.Stop();
    for (const JobResult& result : load.Results()) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(result.body, std::string("complete"),
                                   result.outcome);
    }
    cluster.CheckAnswers();
  }

 private:
  /// Waits until the entry knows a settled list of `count` running entries and
  /// vouches without the table.
  static void AwaitMembers(Cluster* cluster, std::size_t entry,
                           std::size_t count) {
    Cluster::AwaitTrue("a settled list of entries", [&] {
      const boost::json::object state = cluster->Operators(entry, "/v1/state");
      const boost::json::object& list = state.at("entries").as_object();
      if (list.at("changing").as_bool()) return false;
      if (list.at("members").as_array().size() != count) return false;
      return list.at("vouches_without_table").as_bool();
    });
  }

  static void AwaitVersionEverywhere(Cluster* cluster, std::uint64_t version) {
    Cluster::AwaitTrue("version " + std::to_string(version), [&] {
      bool all = true;
      for (std::size_t i = 0; i < cluster->entries(); ++i) {
        if (!cluster->entry(i).process->running()) continue;
        all = Has(cluster, cluster->entry(i).operators, version) && all;
      }
      for (std::size_t i = 0; i < cluster->agents(); ++i) {
        all = Has(cluster, cluster->agent(i).pages, version) && all;
      }
      return all;
    });
  }

  /// Fails the test when the process shows a newer version: none was accepted.
  static bool Has(Cluster* cluster, const std::string& address,
                  std::uint64_t version) {
    const double shown = cluster->Metric(address, "note_version");
    CPPUNIT_ASSERT(shown <= static_cast<double>(version));
    return shown == static_cast<double>(version);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NoteTest);

}  // namespace
}  // namespace tarragon::system_test
