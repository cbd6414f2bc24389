#include <algorithm>

#include "gate_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// A target that answers polls, but leaves the orders to stop a run unanswered
/// and does not carry them out.
class GateLostStopTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GateLostStopTest);
  CPPUNIT_TEST(LeaseOfRunThatIsToStopRunsOut);
  CPPUNIT_TEST(LeaseOfUnansweredStartRunsOut);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a run of a job that its entry has given up beside the next
  // attempt, 1.3 s later.
  void LeaseOfRunThatIsToStopRunsOut() {
    StartAndAccept(MakeRun(0));
    OnMessage(&board_, now_, kEntry, AskRun{MakeRun(0), true, {}});
    AssertLeaseIsOverAfterResubmission();
  }

  void LeaseOfUnansweredStartRunsOut() {
    Start(MakeRun(0));
    OnStartAnswer(&board_, now_, MakeRun(0), OrderAnswer::kUnclear,
                  std::nullopt);
    OnMessage(&board_, now_, kEntry, AskRun{MakeRun(0), true, {}});
    AssertLeaseIsOverAfterResubmission();
  }

 private:
  void AssertLeaseIsOverAfterResubmission() {
    TargetClock lease = board_.target->lease_until;
    const core::Time end = now_ + milliseconds(1300);
    while (now_ < end) {
      Advance(milliseconds(20));
      for (const OrderStop& stop : TakeActions<OrderStop>()) {
        OnStopAnswer(&board_, now_, stop.run, OrderAnswer::kUnclear);
      }
      for (const OrderPoll& poll : TakeActions<OrderPoll>()) {
        lease = std::max(lease, poll.lease_until.value_or(lease));
      }
      if (!board_.polls.empty()) AnswerPoll({MakeRun(0)}, {});
    }
    CPPUNIT_ASSERT_MESSAGE(
        "The run is still there, and its lease lasts for another " +
            std::to_string(lease.value() - CurrentTargetClock().value()) +
            " ms.",
        lease < CurrentTargetClock());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateLostStopTest);

}  // namespace
}  // namespace tarragon::coordinator
