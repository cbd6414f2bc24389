#include "gate_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// Answers to orders that were sent to an earlier incarnation of the target.
class GateOrderAnswerTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GateOrderAnswerTest);
  CPPUNIT_TEST(StartAnswerOfEarlierIncarnationLeavesClock);
  CPPUNIT_TEST(StartAnswerOfEarlierIncarnationIsNoSignOfLife);
  CPPUNIT_TEST(StopAnswerOfEarlierIncarnationIsNoSignOfLife);
  CPPUNIT_TEST(StopAnsweredByEarlierIncarnationProvesNothing);
  CPPUNIT_TEST(DeadlineOnClockOfEarlierIncarnationProvesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against starts with a deadline that the target never reaches: the
  // clock of the earlier incarnation, which was ahead, was taken over.
  void StartAnswerOfEarlierIncarnationLeavesClock() {
    Start(MakeRun(0));
    Restart(TargetClock(50));
    OnStartAnswer(&board_, now_, MakeRun(0), OrderAnswer::kAccepted,
                  CurrentTargetClock());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{50}, board_.target->clock.value());
  }

  void StartAnswerOfEarlierIncarnationIsNoSignOfLife() {
    Start(MakeRun(0));
    Restart(TargetClock(50));
    FallSilent();
    OnStartAnswer(&board_, now_, MakeRun(0), OrderAnswer::kAccepted,
                  std::nullopt);
    CPPUNIT_ASSERT(board_.target->silent_since.has_value());
  }

  void StopAnswerOfEarlierIncarnationIsNoSignOfLife() {
    Start(MakeRun(0));
    OnMessage(&board_, now_, kEntry, AskRun{MakeRun(0), true, {}});
    Restart(TargetClock(50));
    FallSilent();
    OnStopAnswer(&board_, now_, MakeRun(0), OrderAnswer::kAccepted);
    CPPUNIT_ASSERT(board_.target->silent_since.has_value());
  }

  // Guards against a run that is started elsewhere although the new incarnation
  // may still carry out its late start.
  void StopAnsweredByEarlierIncarnationProvesNothing() {
    Start(MakeRun(0));
    OnStartAnswer(&board_, now_, MakeRun(0), OrderAnswer::kUnclear,
                  std::nullopt);
    OnStopAnswer(&board_, now_, MakeRun(0), OrderAnswer::kAccepted);
    TakeActions<OrderStop>();
    Restart(TargetClock(50));
    CPPUNIT_ASSERT(!TakeEndOf(MakeRun(0)).has_value());
    Advance(milliseconds(80));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderStop>().size());
    OnStopAnswer(&board_, now_, MakeRun(0), OrderAnswer::kAccepted);
    now_ = now_ + milliseconds(1);
    LosePolls();
    Advance(milliseconds(80));
    AnswerPoll({}, {}, 2);
    AssertEnded(MakeRun(0), RunEnd::kStopped);
  }

  void DeadlineOnClockOfEarlierIncarnationProvesNothing() {
    Start(MakeRun(0));
    OnStartAnswer(&board_, now_, MakeRun(0), OrderAnswer::kUnclear,
                  std::nullopt);
    Restart(TargetClock(core::Millis(now_.since_start) + 100000));
    CPPUNIT_ASSERT(!TakeEndOf(MakeRun(0)).has_value());
  }

 private:
  /// The target is started again under its id; its clock shows `clock`.
  void Restart(TargetClock clock) {
    now_ = now_ + milliseconds(1);
    Announcement announcement = board_.target->announcement;
    announcement.born = TargetIncarnation(2);
    announcement.sequence = 1;
    announcement.clock = clock;
    OnAnnouncement(&board_, now_, announcement);
    PollReply poll;
    poll.born = announcement.born;
    poll.clock = clock;
    OnPollAnswer(&board_, now_, board_.last_poll, poll);
  }

  void FallSilent() {
    LosePolls();
    Advance(milliseconds(80));
    LosePolls();
    CPPUNIT_ASSERT(board_.target->silent_since.has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateOrderAnswerTest);

}  // namespace
}  // namespace tarragon::coordinator
