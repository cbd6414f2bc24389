#include "agent_fixture.h"
#include "heir.h"

namespace tarragon::dispatch {
namespace {

/// Tests which tasks the executor starts and refuses, and what it remembers of
/// them.
class GateTest : public AgentFixture {
  CPPUNIT_TEST_SUITE(GateTest);
  CPPUNIT_TEST(StartsTaskUnderPermit);
  CPPUNIT_TEST(RefusesWhenDomainIsOutOfService);
  CPPUNIT_TEST(RefusesServiceWithoutReleaseNote);
  CPPUNIT_TEST(RefusesAfterDeadline);
  CPPUNIT_TEST(RefusesWithoutFreeSlot);
  CPPUNIT_TEST(RefusesWhileTargetIsLeaving);
  CPPUNIT_TEST(RefusesWhileAgentIsStopping);
  CPPUNIT_TEST(SealBeforeAssignmentPreventsStart);
  CPPUNIT_TEST(LaterAttemptStartsAfterSeal);
  CPPUNIT_TEST(DuplicateAssignmentStartsOnce);
  CPPUNIT_TEST(DuplicateAssignmentAfterEndStartsNothing);
  CPPUNIT_TEST(AnswersSealOfRunningTask);
  CPPUNIT_TEST(ResendsEndUntilConfirmed);
  CPPUNIT_TEST(ResendsEndAfterLostConnection);
  CPPUNIT_TEST(ReportsTaskRejectedByTargetAsRefused);
  CPPUNIT_TEST(ReportsIncompleteAnswerAsTargetGone);
  CPPUNIT_TEST(StopWaitsForRunningTasksAndConfirmations);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    AgentFixture::setUp();
    AnnounceTarget(1);
    GrantPermit(MakeWorld(1));
    board_.actions.clear();
  }

  void StartsTaskUnderPermit() {
    Receive(kOtherNode, MakeAssign("k.1", 1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeRuns().size());
  }

  void RefusesWhenDomainIsOutOfService() {
    World out = MakeWorld(2);
    out.domains[kDomain].in_service = false;
    GrantPermit(out);
    AssertRefused(Reason::kDomainOut);
    World withdrawn = MakeWorld(3);
    withdrawn.domains.erase(kDomain);
    GrantPermit(withdrawn);
    AssertRefused(Reason::kDomainOut);
  }

  void RefusesServiceWithoutReleaseNote() {
    World without = MakeWorld(2);
    without.services.clear();
    GrantPermit(without);
    AssertRefused(Reason::kUnknownService);
  }

  void RefusesAfterDeadline() {
    Assign late = MakeAssign("k.1", 1);
    late.time_left = core::Duration(0);
    Receive(kOtherNode, late);
    CPPUNIT_ASSERT(Reason::kDeadline == TakeOnlyMessage<Refused>().reason);
    CPPUNIT_ASSERT(TakeRuns().empty());
  }

  void RefusesWithoutFreeSlot() {
    Receive(kOtherNode, MakeAssign("k.1", 1));
    TakeRuns();
    Receive(kOtherNode, MakeAssign("k.2", 2));
    CPPUNIT_ASSERT(Reason::kNoSlot == TakeOnlyMessage<Refused>().reason);
    CPPUNIT_ASSERT(TakeRuns().empty());
  }

  void RefusesWhileTargetIsLeaving() {
    AnnounceTarget(1, true);
    AssertRefused(Reason::kLeaving);
  }

  void RefusesWhileAgentIsStopping() {
    RequestStop(&board_, now_);
    AssertRefused(Reason::kLeaving);
  }

  void SealBeforeAssignmentPreventsStart() {
    const Assign assign = MakeAssign("k.1", 5);
    Receive(kOtherNode, Seal{assign.ref, false});
    CPPUNIT_ASSERT(Reason::kSealed == TakeOnlyMessage<Refused>().reason);
    Receive(kOtherNode, assign);
    CPPUNIT_ASSERT(Reason::kSealed == TakeOnlyMessage<Refused>().reason);
    Receive(kOtherNode, MakeAssign("k.1", 4));
    CPPUNIT_ASSERT(Reason::kSealed == TakeOnlyMessage<Refused>().reason);
    CPPUNIT_ASSERT(TakeRuns().empty());
  }

  void LaterAttemptStartsAfterSeal() {
    Receive(kOtherNode, Seal{MakeAssign("k.1", 5).ref, false});
    Receive(kOtherNode, MakeAssign("k.1", 6));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeRuns().size());
  }

  void DuplicateAssignmentStartsOnce() {
    Receive(kOtherNode, MakeAssign("k.1", 1));
    Receive(kOtherNode, MakeAssign("k.1", 1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeRuns().size());
    CPPUNIT_ASSERT(TakeMessages<Refused>().empty());
  }

  void DuplicateAssignmentAfterEndStartsNothing() {
    const Assign assign = StartAndEnd(TaskEnd::kOk);
    TakeOnlyMessage<Finished>();
    Receive(kOtherNode, assign);
    CPPUNIT_ASSERT(TakeOnlyMessage<Finished>().ok);
    Receive(kOtherNode, FinishedAck{assign.ref, 0});
    Receive(kOtherNode, assign);
    CPPUNIT_ASSERT(TakeRuns().empty());
  }

  void AnswersSealOfRunningTask() {
    const Assign assign = MakeAssign("k.1", 1);
    Receive(kOtherNode, assign);
    Receive(kOtherNode, Seal{assign.ref, false});
    CPPUNIT_ASSERT(assign.ref == TakeOnlyMessage<Started>().ref);
    CPPUNIT_ASSERT(TakeStops().empty());
    Receive(kOtherNode, Seal{assign.ref, true});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeStops().size());
  }

  void ResendsEndUntilConfirmed() {
    const Assign assign = StartAndEnd(TaskEnd::kOk);
    TakeOnlyMessage<Finished>();
    Advance(board_.policy.finished_interval);
    OnTick(&board_, now_);
    CPPUNIT_ASSERT(assign.ref == TakeOnlyMessage<Finished>().ref);
    Receive(kOtherNode, FinishedAck{assign.ref, 0});
    Advance(board_.policy.finished_interval);
    OnTick(&board_, now_);
    CPPUNIT_ASSERT(TakeMessages<Finished>().empty());
  }

  void ResendsEndAfterLostConnection() {
    StartAndEnd(TaskEnd::kOk);
    TakeOnlyMessage<Finished>();
    OnPeerLost(&board_, now_, kOtherNode);
    OnTick(&board_, now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeMessages<Finished>().size());
  }

  void ReportsTaskRejectedByTargetAsRefused() {
    const Assign assign = MakeAssign("k.1", 1);
    Receive(kOtherNode, assign);
    // The refusal is valid although a start was reported to the home.
    Receive(kOtherNode, Seal{assign.ref, false});
    TakeOnlyMessage<Started>();
    OnTaskEnd(&board_, now_, assign.ref, TaskEnd::kNotStarted, "");
    CPPUNIT_ASSERT(Reason::kNoSlot == TakeOnlyMessage<Refused>().reason);
    CPPUNIT_ASSERT(TakeMessages<Finished>().empty());
  }

  void ReportsIncompleteAnswerAsTargetGone() {
    StartAndEnd(TaskEnd::kUnknown);
    const Finished finished = TakeOnlyMessage<Finished>();
    CPPUNIT_ASSERT(!finished.ok);
    CPPUNIT_ASSERT(Reason::kTargetGone == finished.reason);
  }

  void StopWaitsForRunningTasksAndConfirmations() {
    const Assign assign = MakeAssign("k.1", 1);
    Receive(kOtherNode, assign);
    RequestStop(&board_, now_);
    // There is no other agent, and the search for an heir has ended.
    Advance(2 * board_.policy.heartbeat_interval);
    OnTick(&board_, now_);
    CPPUNIT_ASSERT(IsHandoverFinished(board_));
    CPPUNIT_ASSERT(!IsStopFinished(board_, now_));
    OnTaskEnd(&board_, now_, assign.ref, TaskEnd::kOk, "done");
    CPPUNIT_ASSERT(!IsStopFinished(board_, now_));
    Receive(kOtherNode, FinishedAck{assign.ref, 0});
    CPPUNIT_ASSERT(IsStopFinished(board_, now_));
  }

 private:
  Assign StartAndEnd(TaskEnd end) {
    Assign assign = MakeAssign("k.1", 1);
    Receive(kOtherNode, assign);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeRuns().size());
    OnTaskEnd(&board_, now_, assign.ref, end, "done");
    return assign;
  }

  void AssertRefused(Reason reason) {
    Receive(kOtherNode, MakeAssign("k.1", ++attempt_));
    CPPUNIT_ASSERT(reason == TakeOnlyMessage<Refused>().reason);
    CPPUNIT_ASSERT(TakeRuns().empty());
  }

  std::uint32_t attempt_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateTest);

}  // namespace
}  // namespace tarragon::dispatch
