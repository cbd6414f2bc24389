#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <csignal>
#include <future>
#include <set>
#include <string>
#include <vector>

#include "cluster.h"
#include "fault_settings.h"
#include "load.h"
#include "tarragon/core/clock.h"

namespace tarragon::system_test {
namespace {

/// The longest time from the acceptance of a withdrawal to a start there.
constexpr std::int64_t kWithdrawnMs = 3000;
constexpr char kOut[] = "[change domain szeged]\nin_service = false\n";
constexpr char kIn[] = "[change domain szeged]\nin_service = true\n";

/// Failure domains leave and return under load, with the default timers.
class DomainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DomainTest);
  CPPUNIT_TEST(NothingStartsInAWithdrawnDomain);
  CPPUNIT_TEST(NothingStartsWhereTheNoteCannotReach);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NothingStartsInAWithdrawnDomain() {
    ClusterOptions options;
    options.slots = 4;
    options.domains = {"szeged", "szeged", "kecskemet", "kecskemet"};
    Cluster cluster(options);
    Load load(&cluster, {0, 1}, 24, 20);
    load.AwaitCompleted(100);
    const ChildProcess& frozen = *cluster.agent(NoHome(&cluster)).process;
    frozen.Signal(SIGSTOP);
    const Reply note = cluster.Note(0, "out", 1, kOut);
    CPPUNIT_ASSERT_EQUAL(200, note.status);
    const std::int64_t accepted = core::Millis(note.at.since_start);
    AwaitStartAfter(&cluster, &load, 2, accepted + kWithdrawnMs + 200);
    frozen.Signal(SIGCONT);
    load.AwaitCompleted(300);
    AssertNoLateStart(&cluster, accepted + kWithdrawnMs, 2);
    const std::size_t first = cluster.Witness(0).size();
    const std::size_t second = cluster.Witness(1).size();
    CPPUNIT_ASSERT_EQUAL(200, cluster.Note(1, "in", 2, kIn).status);
    cluster.Witness(0, first + 1);
    cluster.Witness(1, second + 1);
    load.Stop();
    cluster.CheckAnswers();
  }

  /// All processes are cut off from each other while the note is accepted and
  /// tasks wait at the home in the withdrawn domain.
  void NothingStartsWhereTheNoteCannotReach() {
    ClusterOptions options;
    options.entries = 1;
    options.slots = 4;
    options.relays = true;
    options.settings = {"policy.max_queue_delay=1min"};
    Cluster cluster(options);
    const std::vector<TaskText> tasks(110, TaskText{50, "last"});
    std::vector<std::future<JobResult>> answers;
    for (std::size_t i = 0; i < 4; ++i) {
      const std::string key = cluster.NewKey(cluster.Handle(0));
      cluster.Expect(key, tasks);
      answers.push_back(cluster.Start(0, key, Cluster::Body(tasks)));
    }
    for (std::size_t i = 0; i < 2; ++i) cluster.Witness(i, 8);
    for (const auto& relay : cluster.relays()) relay->Cut(true);
    const Reply note = cluster.Note(0, "out", 1, kOut);
    CPPUNIT_ASSERT_EQUAL(200, note.status);
    const std::int64_t latest =
        core::Millis(note.at.since_start) + kWithdrawnMs;
    Cluster::AwaitTrue("time", [latest] { return NowMs() > latest + 500; });
    for (const auto& relay : cluster.relays()) relay->Cut(false);
    for (std::future<JobResult>& answer : answers) {
      const JobResult result = Await(std::move(answer), "an answer");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(result.body, std::string("complete"),
                                   result.outcome);
    }
    AssertNoLateStart(&cluster, latest, 1);
    cluster.CheckAnswers();
  }

 private:
  /// An agent of szeged that is the home of no new job.
  static std::size_t NoHome(Cluster* cluster) {
    std::set<std::size_t> homes;
    for (std::size_t i = 0; i < 8; ++i) {
      homes.insert(cluster->HomeOf(cluster->Handle(i % 2) + "~0.x"));
    }
    if (homes.count(0) == 0) return 0;
    if (homes.count(1) == 0) return 1;
    FailTest("Both agents of szeged are homes.");
  }

  /// The first `targets` targets started nothing later.
  static void AssertNoLateStart(Cluster* cluster, std::int64_t latest,
                                std::size_t targets) {
    for (std::size_t i = 0; i < targets; ++i) {
      for (const WitnessedStart& start : cluster->Witness(i)) {
        CPPUNIT_ASSERT_MESSAGE(
            "Started " + std::to_string(start.at_ms - latest) + " ms late.",
            start.at_ms <= latest);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainTest);

}  // namespace
}  // namespace tarragon::system_test
