#include "agent_fixture.h"
#include "entry_group.h"

namespace tarragon::dispatch {
namespace {

/// Messages whose sender is not the process that the state is about.
class SenderTest : public AgentFixture {
  CPPUNIT_TEST_SUITE(SenderTest);
  CPPUNIT_TEST(EndIsConfirmedOnlyByItsHome);
  CPPUNIT_TEST(EndIsConfirmedOnlyForItsAttempt);
  CPPUNIT_TEST(TaskIsStoppedOnlyByItsHome);
  CPPUNIT_TEST(PullIsAnsweredOnlyByItsHome);
  CPPUNIT_TEST(AgentTellsOnlyOfItselfThatItLeaves);
  CPPUNIT_TEST(AgentDeclaresNoEntryDead);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against the loss of an end: it was not reported again after an
  // acknowledgement from another process.
  void EndIsConfirmedOnlyByItsHome() {
    const Assign assign = StartAndEndTask();
    Receive(kThirdNode, FinishedAck{assign.ref, 0});
    AssertEndIsReportedAgain(true);
    Receive(kOtherNode, FinishedAck{assign.ref, 0});
    AssertEndIsReportedAgain(false);
  }

  void EndIsConfirmedOnlyForItsAttempt() {
    const Assign assign = StartAndEndTask();
    TaskRef earlier = assign.ref;
    earlier.attempt = core::Attempt(assign.ref.attempt.value() - 1);
    Receive(kOtherNode, FinishedAck{earlier, 0});
    AssertEndIsReportedAgain(true);
  }

  void TaskIsStoppedOnlyByItsHome() {
    Prepare();
    const Assign assign = MakeAssign("k.1", 2);
    Receive(kOtherNode, assign);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeRuns().size());
    Receive(kThirdNode, Seal{assign.ref, true});
    CPPUNIT_ASSERT(TakeStops().empty());
    Receive(kOtherNode, Seal{assign.ref, true});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeStops().size());
  }

  void PullIsAnsweredOnlyByItsHome() {
    Prepare();
    Receive(kOtherNode, Want{kFit, 1, core::Duration{0}});
    const Pull pull = TakeOnlyMessage<Pull>();
    Receive(kThirdNode, PullEmpty{pull.number, kFit});
    Receive(kThirdNode, FinishedAck{MakeAssign("k.9", 1).ref, pull.number});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, board_.open_pulls.size());
    Receive(kOtherNode, PullEmpty{pull.number, kFit});
    CPPUNIT_ASSERT(board_.open_pulls.empty());
  }

  void AgentTellsOnlyOfItselfThatItLeaves() {
    Prepare();
    Receive(kThirdNode, Leaving{kOtherNode});
    CPPUNIT_ASSERT(!board_.peers.at(kOtherNode).status.leaving);
    Receive(kOtherNode, Leaving{kOtherNode});
    CPPUNIT_ASSERT(board_.peers.at(kOtherNode).status.leaving);
  }

  void AgentDeclaresNoEntryDead() {
    EntryGroup group(2);
    group.Run(std::chrono::seconds(10));
    EntryBoard& board = group.BoardOf(0);
    const core::NodeId other = group.BoardOf(1).self;
    OnMessage(&board, group.now(), kOtherNode, Leaving{other});
    CPPUNIT_ASSERT(!board.peers.at(other).proved_dead);
    OnMessage(&board, group.now(), other, Leaving{other});
    CPPUNIT_ASSERT(board.peers.at(other).proved_dead);
  }

 private:
  /// A target with one slot, and two other agents.
  void Prepare() {
    AnnounceTarget(1);
    GrantPermit(MakeWorld(1),
                {StatusOf(kOtherNode, 4), StatusOf(kThirdNode, 4)});
    board_.actions.clear();
  }

  Assign StartAndEndTask() {
    Prepare();
    Assign assign = MakeAssign("k.1", 2);
    Receive(kOtherNode, assign);
    OnTaskEnd(&board_, now_, assign.ref, TaskEnd::kOk, "result");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeMessages<Finished>().size());
    return assign;
  }

  void AssertEndIsReportedAgain(bool expected) {
    Advance(board_.policy.finished_interval);
    OnTick(&board_, now_);
    CPPUNIT_ASSERT_EQUAL(expected, !TakeMessages<Finished>().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SenderTest);

}  // namespace
}  // namespace tarragon::dispatch
