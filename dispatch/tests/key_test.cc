#include "agent_fixture.h"

namespace tarragon::dispatch {
namespace {

/// Answers of a home to first and repeated requests for a key.
class KeyTest : public AgentFixture {
  CPPUNIT_TEST_SUITE(KeyTest);
  CPPUNIT_TEST(SecondSubmissionJoinsRunningJob);
  CPPUNIT_TEST(RepeatedRequestIsConfirmedAsRunning);
  CPPUNIT_TEST(SecondSubmissionGetsStoredAnswer);
  CPPUNIT_TEST(ReusedKeyIsRefusedWithoutEffectOnFirstJob);
  CPPUNIT_TEST(CancellationBeforeSubmissionPreventsJob);
  CPPUNIT_TEST(CancellationOfQueuedJobPreventsIt);
  CPPUNIT_TEST(CancellationOfPlacedJobEndsAsFailed);
  CPPUNIT_TEST(RefusedKeyIsAcceptedWithNewRequest);
  CPPUNIT_TEST(CopyOfRefusedRequestIsRefused);
  CPPUNIT_TEST(CopyOfRequestExpiredInQueueIsRefused);
  CPPUNIT_TEST(CopyFromDeadEntryIsRefused);
  CPPUNIT_TEST(ExpiredHandleIsRefused);
  CPPUNIT_TEST(KeyOfForgottenEpochIsUnknown);
  CPPUNIT_TEST(HandleOfFutureEpochIsRefused);
  CPPUNIT_TEST(DroppedAnswerIsUnknownAndStartsNoTask);
  CPPUNIT_TEST(KeyOfPreviousIncarnationIsUnknown);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    AgentFixture::setUp();
    GrantPermit(MakeWorld(1), {StatusOf(kOtherNode, 2)});
    board_.actions.clear();
  }

  void SecondSubmissionJoinsRunningJob() {
    const TaskRef ref = SubmitAndPlace(1, "a");
    Receive(kThirdNode, MakeSubmit(2, MakeKey("a")));
    CPPUNIT_ASSERT(TakeMessages<Assign>().empty());
    Receive(kOtherNode, MakeFinished(ref, "done"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, TakeMessages<Answer>().size());
  }

  void RepeatedRequestIsConfirmedAsRunning() {
    const TaskRef ref = SubmitAndPlace(1, "a");
    Receive(kEntryNode, MakeSubmit(1, MakeKey("a")));
    CPPUNIT_ASSERT(Outcome::kRunning ==
                   TakeOnlyMessage<Answer>().answer.outcome);
    Receive(kEntryNode, Query{2, MakeKey("a")});
    CPPUNIT_ASSERT(TakeMessages<Answer>().empty());
    Receive(kEntryNode, Query{2, MakeKey("a")});
    CPPUNIT_ASSERT(Outcome::kRunning ==
                   TakeOnlyMessage<Answer>().answer.outcome);
    Receive(kOtherNode, MakeFinished(ref, "done"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, TakeMessages<Answer>().size());
  }

  void SecondSubmissionGetsStoredAnswer() {
    Receive(kOtherNode, MakeFinished(SubmitAndPlace(1, "a"), "done"));
    TakeOnlyMessage<Answer>();
    Receive(kEntryNode, MakeSubmit(2, MakeKey("a")));
    CPPUNIT_ASSERT(Outcome::kComplete ==
                   TakeOnlyMessage<Answer>().answer.outcome);
    CPPUNIT_ASSERT(TakeMessages<Assign>().empty());
  }

  void ReusedKeyIsRefusedWithoutEffectOnFirstJob() {
    const TaskRef ref = SubmitAndPlace(1, "a");
    Receive(kEntryNode, MakeSubmit(2, MakeKey("a"), 1, "another body"));
    const Answer refused = TakeOnlyMessage<Answer>();
    CPPUNIT_ASSERT(Reason::kKeyReused == refused.answer.reason);
    CPPUNIT_ASSERT(Outcome::kNotRun == refused.answer.outcome);
    Receive(kOtherNode, MakeFinished(ref, "done"));
    CPPUNIT_ASSERT(Outcome::kComplete ==
                   TakeOnlyMessage<Answer>().answer.outcome);
  }

  void CancellationBeforeSubmissionPreventsJob() {
    Receive(kEntryNode, Cancel{1, MakeKey("a")});
    CPPUNIT_ASSERT(Reason::kCancelled ==
                   TakeOnlyMessage<Answer>().answer.reason);
    Receive(kEntryNode, MakeSubmit(2, MakeKey("a")));
    const Answer answer = TakeOnlyMessage<Answer>();
    CPPUNIT_ASSERT(Outcome::kNotRun == answer.answer.outcome);
    CPPUNIT_ASSERT(Reason::kCancelled == answer.answer.reason);
    CPPUNIT_ASSERT(TakeMessages<Assign>().empty());
  }

  void CancellationOfQueuedJobPreventsIt() {
    FillSlots();
    Receive(kEntryNode, MakeSubmit(1, MakeKey("a")));
    Receive(kEntryNode, Cancel{2, MakeKey("a")});
    for (const Answer& answer : TakeMessages<Answer>()) {
      CPPUNIT_ASSERT(Outcome::kNotRun == answer.answer.outcome);
    }
    Receive(kEntryNode, MakeSubmit(3, MakeKey("a")));
    CPPUNIT_ASSERT(Reason::kCancelled ==
                   TakeOnlyMessage<Answer>().answer.reason);
  }

  void CancellationOfPlacedJobEndsAsFailed() {
    SubmitAndPlace(1, "a");
    Receive(kEntryNode, Cancel{2, MakeKey("a")});
    for (const Answer& answer : TakeMessages<Answer>()) {
      CPPUNIT_ASSERT(Outcome::kFailed == answer.answer.outcome);
      CPPUNIT_ASSERT(Reason::kCancelled == answer.answer.reason);
    }
    CPPUNIT_ASSERT(TakeOnlyMessage<Seal>().stop);
  }

  void RefusedKeyIsAcceptedWithNewRequest() {
    SubmitRefused(1, "a");
    Receive(kEntryNode, MakeSubmit(2, MakeKey("a")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeMessages<Assign>().size());
  }

  void CopyOfRefusedRequestIsRefused() {
    SubmitRefused(1, "a");
    Receive(kEntryNode, MakeSubmit(1, MakeKey("a")));
    CPPUNIT_ASSERT(Outcome::kNotRun ==
                   TakeOnlyMessage<Answer>().answer.outcome);
    CPPUNIT_ASSERT(TakeMessages<Assign>().empty());
  }

  void CopyOfRequestExpiredInQueueIsRefused() {
    FillSlots();
    Receive(kEntryNode, MakeSubmit(1, MakeKey("a")));
    Advance(std::chrono::seconds(10));
    OnTick(&board_, now_);
    TakeMessages<Answer>();
    GrantPermit(MakeWorld(1), {StatusOf(kOtherNode, 2)});
    Receive(kEntryNode, MakeSubmit(1, MakeKey("a")));
    CPPUNIT_ASSERT(Outcome::kNotRun ==
                   TakeOnlyMessage<Answer>().answer.outcome);
    CPPUNIT_ASSERT(TakeMessages<Assign>().empty());
  }

  void CopyFromDeadEntryIsRefused() {
    SubmitRefused(1, "a");
    OnPeerGone(&board_, now_, kEntryNode);
    Receive(kEntryNode, MakeSubmit(1, MakeKey("a")));
    CPPUNIT_ASSERT(Outcome::kNotRun ==
                   TakeOnlyMessage<Answer>().answer.outcome);
    CPPUNIT_ASSERT(TakeMessages<Assign>().empty());
  }

  void ExpiredHandleIsRefused() {
    AdvanceEpochs(board_.policy.handle_epochs);
    Receive(kEntryNode, MakeSubmit(1, MakeKey("a", 0)));
    const Answer answer = TakeOnlyMessage<Answer>();
    CPPUNIT_ASSERT(Outcome::kNotRun == answer.answer.outcome);
    CPPUNIT_ASSERT(Reason::kHandleExpired == answer.answer.reason);
    Receive(kEntryNode, MakeSubmit(2, MakeKey("b", 1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeMessages<Assign>().size());
  }

  void KeyOfForgottenEpochIsUnknown() {
    AdvanceEpochs(board_.policy.handle_epochs + 1);
    Receive(kEntryNode, MakeSubmit(1, MakeKey("a", 0)));
    CPPUNIT_ASSERT(Outcome::kUnknown ==
                   TakeOnlyMessage<Answer>().answer.outcome);
    Receive(kEntryNode, Query{2, MakeKey("a", 0)});
    CPPUNIT_ASSERT(Outcome::kUnknown ==
                   TakeOnlyMessage<Answer>().answer.outcome);
    Receive(kEntryNode, Cancel{3, MakeKey("a", 0)});
    CPPUNIT_ASSERT(Outcome::kUnknown ==
                   TakeOnlyMessage<Answer>().answer.outcome);
  }

  void HandleOfFutureEpochIsRefused() {
    Receive(kEntryNode, MakeSubmit(1, MakeKey("a", 5)));
    CPPUNIT_ASSERT(Reason::kHandleExpired ==
                   TakeOnlyMessage<Answer>().answer.reason);
    CPPUNIT_ASSERT(TakeMessages<Assign>().empty());
  }

  void DroppedAnswerIsUnknownAndStartsNoTask() {
    Receive(kOtherNode, MakeFinished(SubmitAndPlace(1, "a"), "done"));
    TakeOnlyMessage<Answer>();
    Advance(board_.policy.answer_memory);
    OnTick(&board_, now_);
    GrantPermit(MakeWorld(1), {StatusOf(kOtherNode, 2)});
    Receive(kEntryNode, MakeSubmit(2, MakeKey("a")));
    const Answer answer = TakeOnlyMessage<Answer>();
    CPPUNIT_ASSERT(Outcome::kUnknown == answer.answer.outcome);
    CPPUNIT_ASSERT(Reason::kAnswerDropped == answer.answer.reason);
    CPPUNIT_ASSERT(TakeMessages<Assign>().empty());
  }

  void KeyOfPreviousIncarnationIsUnknown() {
    const core::NodeId before{kAgentNode.address, core::Incarnation(77)};
    const core::JobKey key(ToString(Handle{before, 0}) + ".a");
    Receive(kEntryNode, MakeSubmit(1, key));
    CPPUNIT_ASSERT(Outcome::kUnknown ==
                   TakeOnlyMessage<Answer>().answer.outcome);
    Receive(kEntryNode, Query{2, key});
    CPPUNIT_ASSERT(Outcome::kUnknown ==
                   TakeOnlyMessage<Answer>().answer.outcome);
  }

 private:
  TaskRef SubmitAndPlace(std::uint64_t request, const std::string& suffix) {
    Receive(kEntryNode, MakeSubmit(request, MakeKey(suffix)));
    return TakeOnlyMessage<Assign>().ref;
  }

  void FillSlots() {
    Receive(kEntryNode, MakeSubmit(100, MakeKey("fill"), 2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, TakeMessages<Assign>().size());
  }

  /// Submits a job that the home refuses because its service is unknown.
  void SubmitRefused(std::uint64_t request, const std::string& suffix) {
    const World world = board_.world;
    board_.world.services.clear();
    Receive(kEntryNode, MakeSubmit(request, MakeKey(suffix)));
    CPPUNIT_ASSERT(Outcome::kNotRun ==
                   TakeOnlyMessage<Answer>().answer.outcome);
    board_.world = world;
  }

  void AdvanceEpochs(std::uint32_t epochs) {
    Advance(epochs * board_.policy.handle_epoch);
    GrantPermit(MakeWorld(1), {StatusOf(kOtherNode, 2)});
    board_.actions.clear();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyTest);

}  // namespace
}  // namespace tarragon::dispatch
