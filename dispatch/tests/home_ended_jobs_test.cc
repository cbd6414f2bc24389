#include <algorithm>

#include "agent_fixture.h"

namespace tarragon::dispatch {
namespace {

constexpr std::uint32_t kSlots = 200;
constexpr std::uint64_t kBytes = 20000;
constexpr core::Duration kMs = std::chrono::milliseconds(1);

/// Tests what a home keeps of ended jobs and how it counts their size.
class HomeEndedJobsTest : public AgentFixture {
  CPPUNIT_TEST_SUITE(HomeEndedJobsTest);
  CPPUNIT_TEST(ReturnsKeptAnswerAgain);
  CPPUNIT_TEST(KeepsHistoryOfEndedJob);
  CPPUNIT_TEST(DropsOldestAnswersForNewJobs);
  CPPUNIT_TEST(ByteCountsReturnToZero);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReturnsKeptAnswerAgain() {
    RenewPermit();
    const core::JobKey key = MakeKey("a");
    RunJob(1, key, 3, "result");
    const Answer first = TakeOnlyMessage<Answer>();
    CPPUNIT_ASSERT(Outcome::kComplete == first.answer.outcome);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, first.answer.results.size());
    CPPUNIT_ASSERT(board_.jobs.at(key).tasks.empty());
    Receive(kEntryNode, MakeSubmit(2, key, 3));
    const Answer again = TakeOnlyMessage<Answer>();
    CPPUNIT_ASSERT(first.answer == again.answer);
    CPPUNIT_ASSERT_EQUAL(first.results_digest, again.results_digest);
    Receive(kEntryNode, MakeSubmit(3, key, 3, "other body"));
    CPPUNIT_ASSERT(Reason::kKeyReused ==
                   TakeOnlyMessage<Answer>().answer.reason);
  }

  void KeepsHistoryOfEndedJob() {
    RenewPermit();
    const core::JobKey key = MakeKey("a");
    Receive(kEntryNode, MakeSubmit(1, key, 2));
    std::vector<std::string> wanted = QueryExplanation(key);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, wanted.size());
    FinishTasks(key, "result");
    wanted.push_back("+0ms Task 0 succeeded at " + core::ToString(kOtherNode) +
                     ".");
    wanted.push_back("+0ms Task 1 succeeded at " + core::ToString(kOtherNode) +
                     ".");
    wanted.push_back("+0ms Ended as complete.");
    CPPUNIT_ASSERT(wanted == QueryExplanation(key));
  }

  void DropsOldestAnswersForNewJobs() {
    board_.policy.max_home_bytes = kBytes;
    const std::string result(1000, 'r');
    for (std::uint64_t i = 1; i <= 100; ++i) {
      Advance(100 * kMs);
      if (i % 10 == 1) RenewPermit();
      RunJob(i, MakeKey(std::to_string(i)), 2, result);
      CPPUNIT_ASSERT(Outcome::kComplete ==
                     TakeOnlyMessage<Answer>().answer.outcome);
      OnTick(&board_, now_);
      board_.actions.clear();
      CPPUNIT_ASSERT(board_.bytes_held <= kBytes);
    }
    CPPUNIT_ASSERT(board_.kept_answers.size() >= 3);
    CPPUNIT_ASSERT(board_.kept_answers.size() <= kBytes / (2 * result.size()));
    Receive(kEntryNode, Query{200, MakeKey("100")});
    CPPUNIT_ASSERT(Outcome::kComplete ==
                   TakeOnlyMessage<Answer>().answer.outcome);
    Receive(kEntryNode, Query{201, MakeKey("1")});
    CPPUNIT_ASSERT(Reason::kAnswerDropped ==
                   TakeOnlyMessage<Answer>().answer.reason);
  }

  void ByteCountsReturnToZero() {
    RenewPermit();
    RunJob(1, MakeKey("complete"), 3, "result");
    Receive(kEntryNode, MakeSubmit(2, MakeKey("cancelled"), 3));
    Receive(kEntryNode, Cancel{3, MakeKey("cancelled")});
    CPPUNIT_ASSERT(board_.ended_job_bytes > 0);
    CPPUNIT_ASSERT_EQUAL(board_.ended_job_bytes, board_.bytes_held);
    Advance(board_.policy.answer_memory);
    OnTick(&board_, now_);
    CPPUNIT_ASSERT(board_.jobs.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, board_.bytes_held);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, board_.ended_job_bytes);
  }

 private:
  void RenewPermit() {
    GrantPermit(MakeWorld(1), {StatusOf(kOtherNode, kSlots)});
    board_.actions.clear();
  }

  void RunJob(std::uint64_t request, const core::JobKey& key,
              std::uint32_t tasks, const std::string& result) {
    Receive(kEntryNode, MakeSubmit(request, key, tasks));
    FinishTasks(key, result);
  }

  /// Finishes all tasks of the job that were sent to the other agent.
  void FinishTasks(const core::JobKey& key, const std::string& result) {
    for (const Assign& assign : TakeMessages<Assign>()) {
      CPPUNIT_ASSERT(assign.ref.key == key);
      Receive(kOtherNode, MakeFinished(assign.ref, result));
    }
  }

  std::vector<std::string> QueryExplanation(const core::JobKey& key) {
    Receive(kEntryNode, Explain{100, key});
    return TakeOnlyMessage<Explanation>().lines;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HomeEndedJobsTest);

}  // namespace
}  // namespace tarragon::dispatch
