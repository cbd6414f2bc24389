#include "agent_fixture.h"
#include "heir.h"

namespace tarragon::dispatch {
namespace {

/// What the executor starts, refuses and remembers.
class GateTest : public AgentFixture {
  CPPUNIT_TEST_SUITE(GateTest);
  CPPUNIT_TEST(StartsUnderAPermit);
  CPPUNIT_TEST(RefusesInADomainThatIsOut);
  CPPUNIT_TEST(RefusesWhatNoNoteNames);
  CPPUNIT_TEST(RefusesAfterTheDeadline);
  CPPUNIT_TEST(RefusesWithoutAFreeSlot);
  CPPUNIT_TEST(RefusesWhileTheTargetLeaves);
  CPPUNIT_TEST(RefusesWhileBeingStopped);
  CPPUNIT_TEST(ASealBeforeTheAssignmentKeepsTheTaskFromStarting);
  CPPUNIT_TEST(ALaterAttemptMayStartAfterASeal);
  CPPUNIT_TEST(ADoubledAssignmentStartsOnce);
  CPPUNIT_TEST(ADoubledAssignmentAfterTheEndStartsNothing);
  CPPUNIT_TEST(AnswersASealOfARunningTask);
  CPPUNIT_TEST(RepeatsTheEndUntilItIsConfirmed);
  CPPUNIT_TEST(RepeatsTheEndAfterALostConnection);
  CPPUNIT_TEST(WhatTheTargetRefusesIsNotRun);
  CPPUNIT_TEST(ATaskWithoutAWholeAnswerMayHaveRun);
  CPPUNIT_TEST(AStopWaitsForRunningTasksAndTheirConfirmation);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    AgentFixture::setUp();
    AnnounceTarget(1);
    GrantPermit(MakeWorld(1));
    board_.actions.clear();
  }

  void StartsUnderAPermit() {
    Receive(kOtherNode, MakeAssign("k.1", 1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeRuns().size());
  }

  void RefusesInADomainThatIsOut() {
    World out = MakeWorld(2);
    out.domains[kDomain].in_service = false;
    GrantPermit(out);
    AssertRefused(Reason::kDomainOut);
    World withdrawn = MakeWorld(3);
    withdrawn.domains.erase(kDomain);
    GrantPermit(withdrawn);
    AssertRefused(Reason::kDomainOut);
  }

  void RefusesWhatNoNoteNames() {
    World without = MakeWorld(2);
    without.services.clear();
    GrantPermit(without);
    AssertRefused(Reason::kUnknownService);
  }

  void RefusesAfterTheDeadline() {
    Assign late = MakeAssign("k.1", 1);
    late.time_left = core::Duration(0);
    Receive(kOtherNode, late);
    CPPUNIT_ASSERT(Reason::kDeadline == TakeOnlyMessage<Refused>().reason);
    CPPUNIT_ASSERT(TakeRuns().empty());
  }

  void RefusesWithoutAFreeSlot() {
    Receive(kOtherNode, MakeAssign("k.1", 1));
    TakeRuns();
    Receive(kOtherNode, MakeAssign("k.2", 2));
    CPPUNIT_ASSERT(Reason::kNoSlot == TakeOnlyMessage<Refused>().reason);
    CPPUNIT_ASSERT(TakeRuns().empty());
  }

  void RefusesWhileTheTargetLeaves() {
    AnnounceTarget(1, true);
    AssertRefused(Reason::kLeaving);
  }

  void RefusesWhileBeingStopped() {
    RequestStop(&board_, now_);
    AssertRefused(Reason::kLeaving);
  }

  void ASealBeforeTheAssignmentKeepsTheTaskFromStarting() {
    const Assign assign = MakeAssign("k.1", 5);
    Receive(kOtherNode, Seal{assign.ref, false});
    CPPUNIT_ASSERT(Reason::kSealed == TakeOnlyMessage<Refused>().reason);
    Receive(kOtherNode, assign);
    CPPUNIT_ASSERT(Reason::kSealed == TakeOnlyMessage<Refused>().reason);
    Receive(kOtherNode, MakeAssign("k.1", 4));
    CPPUNIT_ASSERT(Reason::kSealed == TakeOnlyMessage<Refused>().reason);
    CPPUNIT_ASSERT(TakeRuns().empty());
  }

  void ALaterAttemptMayStartAfterASeal() {
    Receive(kOtherNode, Seal{MakeAssign("k.1", 5).ref, false});
    Receive(kOtherNode, MakeAssign("k.1", 6));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeRuns().size());
  }

  void ADoubledAssignmentStartsOnce() {
    Receive(kOtherNode, MakeAssign("k.1", 1));
    Receive(kOtherNode, MakeAssign("k.1", 1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeRuns().size());
    CPPUNIT_ASSERT(TakeMessages<Refused>().empty());
  }

  void ADoubledAssignmentAfterTheEndStartsNothing() {
    const Assign assign = StartAndEnd(TaskEnd::kOk);
    TakeOnlyMessage<Finished>();
    Receive(kOtherNode, assign);
    CPPUNIT_ASSERT(TakeOnlyMessage<Finished>().ok);
    Receive(kOtherNode, FinishedAck{assign.ref, 0});
    Receive(kOtherNode, assign);
    CPPUNIT_ASSERT(TakeRuns().empty());
  }

  void AnswersASealOfARunningTask() {
    const Assign assign = MakeAssign("k.1", 1);
    Receive(kOtherNode, assign);
    Receive(kOtherNode, Seal{assign.ref, false});
    CPPUNIT_ASSERT(assign.ref == TakeOnlyMessage<Started>().ref);
    CPPUNIT_ASSERT(TakeStops().empty());
    Receive(kOtherNode, Seal{assign.ref, true});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeStops().size());
  }

  void RepeatsTheEndUntilItIsConfirmed() {
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

  void RepeatsTheEndAfterALostConnection() {
    StartAndEnd(TaskEnd::kOk);
    TakeOnlyMessage<Finished>();
    OnPeerLost(&board_, now_, kOtherNode);
    OnTick(&board_, now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeMessages<Finished>().size());
  }

  void WhatTheTargetRefusesIsNotRun() {
    const Assign assign = MakeAssign("k.1", 1);
    Receive(kOtherNode, assign);
    // The home has been told that it started; the refusal still stands.
    Receive(kOtherNode, Seal{assign.ref, false});
    TakeOnlyMessage<Started>();
    OnTaskEnd(&board_, now_, assign.ref, TaskEnd::kNotStarted, "");
    CPPUNIT_ASSERT(Reason::kNoSlot == TakeOnlyMessage<Refused>().reason);
    CPPUNIT_ASSERT(TakeMessages<Finished>().empty());
  }

  void ATaskWithoutAWholeAnswerMayHaveRun() {
    StartAndEnd(TaskEnd::kUnknown);
    const Finished finished = TakeOnlyMessage<Finished>();
    CPPUNIT_ASSERT(!finished.ok);
    CPPUNIT_ASSERT(Reason::kTargetGone == finished.reason);
  }

  void AStopWaitsForRunningTasksAndTheirConfirmation() {
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
