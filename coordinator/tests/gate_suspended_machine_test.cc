#include "gate_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// The machine of a gate and its target is suspended. The gate's clock counts
/// that time; the steady clock of the target, which its leases are measured by,
/// does not.
class GateSuspendedMachineTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GateSuspendedMachineTest);
  CPPUNIT_TEST(SuspensionWhilePollsGetLostEndsNoRun);
  CPPUNIT_TEST(StartAfterSuspensionHasNoLongerDeadline);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a second run of a task beside one that is at work: its lease
  // was taken for over by the time that the machine was suspended.
  void SuspensionWhilePollsGetLostEndsNoRun() {
    StartAndAccept(MakeRun(0));
    AnswerPoll({MakeRun(0)}, {});
    for (int i = 0; i < 5; ++i) {
      Advance(milliseconds(20));
      LosePolls();
    }
    Suspend();
    for (int i = 0; i < 10; ++i) {
      Advance(milliseconds(20));
      AnswerWithSteadyClock({MakeRun(0)});
      const std::optional<RunEnded> ended = TakeEndOf(MakeRun(0));
      CPPUNIT_ASSERT_MESSAGE(ended.has_value()
                                 ? std::string("Told as ") + Name(ended->end) +
                                       " while the target lists it."
                                 : "",
                             !ended.has_value());
    }
  }

  // Guards against a start that is carried out long after it was sent.
  void StartAfterSuspensionHasNoLongerDeadline() {
    StartAndAccept(MakeRun(0));
    AnswerPoll({MakeRun(0)}, {});
    Suspend();
    Advance(milliseconds(20));
    TakeActions<OrderStart>();
    Start(MakeRun(1));
    for (const OrderStart& order : TakeActions<OrderStart>()) {
      const std::int64_t left =
          order.start_deadline.value() - SteadyClock().value();
      CPPUNIT_ASSERT_MESSAGE(
          "The target accepts the start for " + std::to_string(left) + " ms.",
          left <= core::Millis(board_.policy.max_lease));
    }
  }

 private:
  static constexpr milliseconds kSuspension{3000};

  void Suspend() { now_ = now_ + kSuspension; }

  TargetClock SteadyClock() const {
    return TargetClock(CurrentTargetClock().value() - kSuspension.count());
  }

  void AnswerWithSteadyClock(const std::vector<RunRef>& running) {
    PollReply poll;
    poll.born = TargetIncarnation(1);
    poll.clock = SteadyClock();
    for (const RunRef& run : running) poll.running.push_back({run, {}});
    OnPollAnswer(&board_, now_, board_.last_poll, poll);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateSuspendedMachineTest);

}  // namespace
}  // namespace tarragon::coordinator
