#include <algorithm>

#include "gate_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// A target carries out a start of an earlier gate process after the present
/// one has renewed the lease for another entry's run.
class GateLateOrderTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GateLateOrderTest);
  CPPUNIT_TEST(RestartedGateDoesNotExtendRunThatStartsLate);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a run that goes on beside its client's second attempt.
  void RestartedGateDoesNotExtendRunThatStartsLate() {
    OnMessage(&board_, now_, kEntry, MakeNotice(now_));
    Start(MakeRun(0));
    const TargetClock deadline = TakeActions<OrderStart>().at(0).start_deadline;
    const core::Time lost_at = now_;
    now_ = now_ + milliseconds(300);
    board_ = GateBoard{};
    board_.domain = core::DomainId("szeged");
    Announce(1, 1);
    AnswerPoll({MakeRun(1)}, {});
    OnMessage(&board_, now_, kOtherEntry,
              AskRun{MakeRun(1), false, {1600, 10, 0}});
    TargetClock lease{0};
    while (now_ < lost_at + milliseconds(780)) {
      now_ = now_ + milliseconds(20);
      OnMessage(&board_, now_, kOtherEntry, MakeNotice(now_));
      OnTick(&board_, now_);
      for (const OrderPoll& poll : TakeActions<OrderPoll>()) {
        lease = std::max(lease, poll.lease_until.value_or(TargetClock(0)));
      }
      if (!board_.polls.empty()) AnswerPoll({MakeRun(1)}, {});
    }
    CPPUNIT_ASSERT(CurrentTargetClock() < deadline);
    // The target carries out the start now, and the gate is lost.
    const std::int64_t end = lease.value() - core::Millis(lost_at.since_start);
    CPPUNIT_ASSERT_MESSAGE("The run may go on until " + std::to_string(end) +
                               " ms after its entry was lost.",
                           end * 102 / 100 < 1300);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateLateOrderTest);

}  // namespace
}  // namespace tarragon::coordinator
