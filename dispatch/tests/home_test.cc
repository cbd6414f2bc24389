#include "agent_fixture.h"

namespace tarragon::dispatch {
namespace {

/// Tests how a home ends jobs: with all results or none, and with an outcome
/// that is proved.
class HomeTest : public AgentFixture {
  CPPUNIT_TEST_SUITE(HomeTest);
  CPPUNIT_TEST(CompletesWithAllResultsInOrder);
  CPPUNIT_TEST(FailureStopsOtherTasks);
  CPPUNIT_TEST(TruncatedResultMakesOutcomeUnknown);
  CPPUNIT_TEST(DeadlineOfQueuedJobIsNotRun);
  CPPUNIT_TEST(DeadlineOfPlacedJobIsFailure);
  CPPUNIT_TEST(PlacesRefusedTaskAgain);
  CPPUNIT_TEST(SealsTaskOfSilentExecutor);
  CPPUNIT_TEST(SealsTaskAfterLostConnection);
  CPPUNIT_TEST(OutcomeIsUnknownWhenExecutorIsGone);
  CPPUNIT_TEST(OutcomeIsUnknownWhenSealsAreUnanswered);
  CPPUNIT_TEST(IgnoresEndOfEarlierPlacement);
  CPPUNIT_TEST(RetryBudgetLimitsPlacements);
  CPPUNIT_TEST(PullGetsTaskThatPausesAfterRefusal);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    AgentFixture::setUp();
    board_.policy.retry_burst = 2;
    board_.policy.retry_permille = 0;
    InitBoard();
    GrantPermit(MakeWorld(1), {StatusOf(kOtherNode, 4)});
    board_.actions.clear();
  }

  void CompletesWithAllResultsInOrder() {
    const std::vector<Assign> placed = PlaceTasks(2);
    Receive(kOtherNode, MakeFinished(placed[1].ref, "b"));
    CPPUNIT_ASSERT(TakeMessages<Answer>().empty());
    Receive(kOtherNode, MakeFinished(placed[0].ref, "a"));
    const Answer answer = TakeOnlyMessage<Answer>();
    CPPUNIT_ASSERT(Outcome::kComplete == answer.answer.outcome);
    const std::vector<std::string> expected = {"a", "b"};
    CPPUNIT_ASSERT(expected == answer.answer.results);
    CPPUNIT_ASSERT_EQUAL(Digest(expected), answer.results_digest);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, TakeMessages<FinishedAck>().size());
  }

  void FailureStopsOtherTasks() {
    const std::vector<Assign> placed = PlaceTasks(3);
    Receive(kOtherNode, MakeFinished(placed[0].ref, "a"));
    Finished failed = MakeFinished(placed[1].ref, "");
    failed.ok = false;
    failed.reason = Reason::kTaskFailed;
    Receive(kOtherNode, failed);
    const Answer answer = TakeOnlyMessage<Answer>();
    CPPUNIT_ASSERT(Outcome::kFailed == answer.answer.outcome);
    CPPUNIT_ASSERT(answer.answer.results.empty());
    const Seal seal = TakeOnlyMessage<Seal>();
    CPPUNIT_ASSERT(seal.stop && seal.ref == placed[2].ref);
  }

  void TruncatedResultMakesOutcomeUnknown() {
    const std::vector<Assign> placed = PlaceTasks(1);
    Finished finished = MakeFinished(placed[0].ref, "whole");
    finished.result = "who";
    Receive(kOtherNode, finished);
    const Answer answer = TakeOnlyMessage<Answer>();
    CPPUNIT_ASSERT(Outcome::kUnknown == answer.answer.outcome);
    CPPUNIT_ASSERT(Reason::kTruncated == answer.answer.reason);
  }

  void DeadlineOfQueuedJobIsNotRun() {
    PlaceTasks(4);
    Receive(kEntryNode, MakeSubmit(2, MakeKey("b")));
    CPPUNIT_ASSERT(TakeMessages<Assign>().empty());
    Advance(std::chrono::seconds(10));
    OnTick(&board_, now_);
    for (const Answer& answer : TakeMessages<Answer>()) {
      const bool queued = answer.request == 2;
      CPPUNIT_ASSERT(answer.answer.reason == Reason::kDeadline);
      CPPUNIT_ASSERT((queued ? Outcome::kNotRun : Outcome::kFailed) ==
                     answer.answer.outcome);
    }
  }

  void DeadlineOfPlacedJobIsFailure() {
    PlaceTasks(1);
    Advance(std::chrono::seconds(10));
    OnTick(&board_, now_);
    CPPUNIT_ASSERT(Outcome::kFailed ==
                   TakeOnlyMessage<Answer>().answer.outcome);
    CPPUNIT_ASSERT(TakeOnlyMessage<Seal>().stop);
  }

  void PlacesRefusedTaskAgain() {
    const std::vector<Assign> placed = PlaceTasks(1);
    Receive(kOtherNode, MakeRefused(placed[0].ref, Reason::kNoSlot));
    const Assign again = AwaitAssign();
    CPPUNIT_ASSERT(placed[0].ref.attempt < again.ref.attempt);
    CPPUNIT_ASSERT(TakeMessages<Answer>().empty());
  }

  void SealsTaskOfSilentExecutor() {
    const std::vector<Assign> placed = PlaceTasks(1);
    Advance(board_.policy.seal_after);
    OnTick(&board_, now_);
    const Seal seal = TakeOnlyMessage<Seal>();
    CPPUNIT_ASSERT(seal.ref == placed[0].ref && !seal.stop);
    Receive(kOtherNode, Started{seal.ref, Load{}});
    Advance(board_.policy.seal_interval);
    OnTick(&board_, now_);
    CPPUNIT_ASSERT(TakeMessages<Seal>().empty());
  }

  void SealsTaskAfterLostConnection() {
    const std::vector<Assign> placed = PlaceTasks(1);
    OnPeerLost(&board_, now_, kOtherNode);
    Advance(std::chrono::milliseconds(60));
    OnTick(&board_, now_);
    CPPUNIT_ASSERT(TakeOnlyMessage<Seal>().ref == placed[0].ref);
    CPPUNIT_ASSERT(TakeMessages<Assign>().empty());
  }

  void OutcomeIsUnknownWhenExecutorIsGone() {
    PlaceTasks(1);
    OnPeerGone(&board_, now_, kOtherNode);
    const Answer answer = TakeOnlyMessage<Answer>();
    CPPUNIT_ASSERT(Outcome::kUnknown == answer.answer.outcome);
    CPPUNIT_ASSERT(Reason::kExecutorGone == answer.answer.reason);
  }

  void OutcomeIsUnknownWhenSealsAreUnanswered() {
    Submit submit = MakeSubmit(1, MakeKey("a"));
    submit.spec.time_left = std::chrono::minutes(5);
    Receive(kEntryNode, submit);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeMessages<Assign>().size());
    OnPeerLost(&board_, now_, kOtherNode);
    for (core::Duration silent{0}; silent < board_.policy.gone_after;
         silent += std::chrono::seconds(2)) {
      CPPUNIT_ASSERT(TakeMessages<Answer>().empty());
      Advance(std::chrono::seconds(2));
      OnTick(&board_, now_);
    }
    CPPUNIT_ASSERT(Outcome::kUnknown ==
                   TakeOnlyMessage<Answer>().answer.outcome);
  }

  void IgnoresEndOfEarlierPlacement() {
    const std::vector<Assign> placed = PlaceTasks(1);
    Receive(kOtherNode, MakeRefused(placed[0].ref, Reason::kNoSlot));
    const Assign again = AwaitAssign();
    Receive(kOtherNode, MakeFinished(placed[0].ref, "late"));
    CPPUNIT_ASSERT(TakeMessages<Answer>().empty());
    Receive(kOtherNode, MakeFinished(again.ref, "right"));
    CPPUNIT_ASSERT(TakeOnlyMessage<Answer>().answer.results.front() == "right");
  }

  void RetryBudgetLimitsPlacements() {
    TaskRef ref = PlaceTasks(1).front().ref;
    for (int retry = 0; retry < 2; ++retry) {
      Receive(kOtherNode, MakeRefused(ref, Reason::kNoSlot));
      ref = AwaitAssign().ref;
    }
    Receive(kOtherNode, MakeRefused(ref, Reason::kNoSlot));
    for (int i = 0; i < 50; ++i) {
      Advance(std::chrono::milliseconds(20));
      OnTick(&board_, now_);
    }
    CPPUNIT_ASSERT(TakeMessages<Assign>().empty());
  }

  void PullGetsTaskThatPausesAfterRefusal() {
    TaskRef ref = PlaceTasks(1).front().ref;
    for (int retry = 0; retry < 2; ++retry) {
      Receive(kOtherNode, MakeRefused(ref, Reason::kNoSlot));
      ref = AwaitAssign().ref;
    }
    Receive(kOtherNode, MakeRefused(ref, Reason::kNoSlot));
    Receive(kOtherNode, Pull{7, kFit, Load{}});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, TakeOnlyMessage<PullTask>().number);
  }

 private:
  /// Submits a job with this number of tasks, all of which are placed at the
  /// other agent.
  std::vector<Assign> PlaceTasks(std::uint32_t tasks) {
    Receive(kEntryNode, MakeSubmit(1, MakeKey("a"), tasks));
    std::vector<Assign> placed = TakeMessages<Assign>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{tasks}, placed.size());
    return placed;
  }

  Refused MakeRefused(const TaskRef& ref, Reason reason) {
    Refused refused;
    refused.ref = ref;
    refused.reason = reason;
    refused.load.free_slots = 4;
    refused.load.slots = 4;
    refused.load.sequence = ++sequence_;
    refused.load.assigns_seen = board_.peers.at(kOtherNode).assigns_sent;
    return refused;
  }

  /// Lets the pause after a refusal pass and returns the new assignment.
  Assign AwaitAssign() {
    for (int i = 0; i < 10; ++i) {
      const std::vector<Assign> placed = TakeMessages<Assign>();
      if (!placed.empty()) return placed.front();
      Advance(std::chrono::milliseconds(20));
      OnTick(&board_, now_);
    }
    CPPUNIT_FAIL("The task was not placed again.");
    return Assign{};
  }

  std::uint64_t sequence_ = 1000;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HomeTest);

}  // namespace
}  // namespace tarragon::dispatch
