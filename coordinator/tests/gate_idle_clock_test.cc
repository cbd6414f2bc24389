#include "gate_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// A target whose clock is 2 % slow and that had no run for a minute, so that
/// the gate has not polled it. It announces itself all the time.
class GateIdleClockTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GateIdleClockTest);
  CPPUNIT_TEST(StartHasNoLongerDeadlineAfterIdleTime);
  CPPUNIT_TEST(UnansweredStartIsNotEndedBeforeItsDeadline);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a start that is carried out after another attempt has begun:
  // its deadline was ahead by what the target's clock had lost.
  void StartHasNoLongerDeadlineAfterIdleTime() {
    const OrderStart order = StartAfterIdleTime();
    const std::int64_t left =
        order.start_deadline.value() - SlowClock().value();
    CPPUNIT_ASSERT_MESSAGE(
        "The target accepts the start for " + std::to_string(left) + " ms.",
        left <= core::Millis(board_.policy.max_lease));
  }

  // Guards against a second run beside one whose start is still on its way.
  void UnansweredStartIsNotEndedBeforeItsDeadline() {
    const OrderStart order = StartAfterIdleTime();
    Advance(milliseconds(60));
    OnStartAnswer(&board_, now_, MakeRun(0), OrderAnswer::kUnclear,
                  std::nullopt);
    std::optional<RunEnded> ended;
    while (!ended.has_value()) {
      Advance(milliseconds(20));
      LosePolls();
      for (const OrderStop& stop : TakeActions<OrderStop>()) {
        OnStopAnswer(&board_, now_, stop.run, OrderAnswer::kUnclear);
      }
      ended = TakeEndOf(MakeRun(0));
    }
    const std::int64_t left =
        order.start_deadline.value() - SlowClock().value();
    CPPUNIT_ASSERT_MESSAGE(std::string("Told as ") + Name(ended->end) +
                               "; the target accepts the start for another " +
                               std::to_string(left) + " ms.",
                           left <= 0);
  }

 private:
  TargetClock SlowClock() const {
    return TargetClock(core::Millis(idle_since_.since_start) +
                       core::Millis(now_ - idle_since_) * 98 / 100);
  }

  OrderStart StartAfterIdleTime() {
    idle_since_ = now_;
    Announcement announcement = board_.target->announcement;
    for (int i = 0; i < 40; ++i) {
      Advance(milliseconds(1500));
      ++announcement.sequence;
      announcement.clock = SlowClock();
      OnAnnouncement(&board_, now_, announcement);
    }
    board_.actions.clear();
    Start(MakeRun(0));
    const std::vector<OrderStart> orders = TakeActions<OrderStart>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
    return orders[0];
  }

  core::Time idle_since_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateIdleClockTest);

}  // namespace
}  // namespace tarragon::coordinator
