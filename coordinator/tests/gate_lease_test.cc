#include <algorithm>

#include "gate_fixture.h"

namespace tarragon::coordinator {
namespace {

/// How long a target may go on with a run whose entry is lost.
class GateLeaseTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GateLeaseTest);
  CPPUNIT_TEST(LeaseOfLostEntrysRunEndsBeforeClientReturns);
  CPPUNIT_TEST(LaterStartDoesNotExtendLostEntrysRun);
  CPPUNIT_TEST(RestartedGateDoesNotRenewUnclaimedRun);
  CPPUNIT_TEST(RestartedGateRenewsClaimedRunOnceAcknowledged);
  CPPUNIT_TEST(LostStopsDoNotKeepRunAlive);
  CPPUNIT_TEST(LateFoundRunIsStoppedWithoutClaimTime);
  CPPUNIT_TEST(RefusesStartWhoseLeaseWouldBeTooShort);
  CPPUNIT_TEST(StartBeforeAcknowledgementCountsEntryAsStalled);
  CPPUNIT_TEST(RenewsLeaseOfLivingEntries);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LeaseOfLostEntrysRunEndsBeforeClientReturns() {
    StartAndAccept(MakeRun(0));
    Live(std::chrono::milliseconds(400), true, {MakeRun(0)});
    const core::Time lost_at = now_;
    Live(std::chrono::milliseconds(1300), false, {MakeRun(0)});
    AssertOverBeforeReturn(lost_at);
  }

  void LaterStartDoesNotExtendLostEntrysRun() {
    StartAndAccept(MakeRun(0));
    Live(std::chrono::milliseconds(400), true, {MakeRun(0)});
    const core::Time lost_at = now_;
    Live(std::chrono::milliseconds(600), false, {MakeRun(0)});
    Start(MakeRun(1), 1600, kOtherEntry);
    RecordLeases();
    AssertOverBeforeReturn(lost_at);
  }

  void RestartedGateDoesNotRenewUnclaimedRun() {
    Restart({MakeRun(0)});
    Live(std::chrono::milliseconds(600), false, {MakeRun(0)});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, last_lease_.value());
  }

  void RestartedGateRenewsClaimedRunOnceAcknowledged() {
    Restart({MakeRun(0)});
    OnMessage(&board_, now_, kEntry, AskRun{MakeRun(0), false, {1600, 10, 0}});
    Live(std::chrono::milliseconds(100), false, {MakeRun(0)});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, last_lease_.value());
    Live(std::chrono::milliseconds(100), true, {MakeRun(0)});
    CPPUNIT_ASSERT(last_lease_ > CurrentTargetClock());
  }

  void LostStopsDoNotKeepRunAlive() {
    StartAndAccept(MakeRun(0));
    Live(std::chrono::milliseconds(400), true, {MakeRun(0)});
    const core::Time given_up_at = now_;
    OnMessage(&board_, now_, kEntry, AskRun{MakeRun(0), true, {}});
    for (int i = 0; i < 20; ++i) {
      OnStopAnswer(&board_, now_, MakeRun(0), OrderAnswer::kUnclear);
      Live(std::chrono::milliseconds(60), true, {MakeRun(0)});
    }
    AssertOverBeforeReturn(given_up_at);
  }

  void LateFoundRunIsStoppedWithoutClaimTime() {
    Restart({});
    Live(std::chrono::milliseconds(400), true, {});
    Start(MakeRun(0));
    Live(std::chrono::milliseconds(40), true, {MakeRun(0), MakeRun(1)});
    const std::vector<OrderStop> stops = TakeActions<OrderStop>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops.size());
    CPPUNIT_ASSERT(stops[0].run == MakeRun(1));
  }

  void RefusesStartWhoseLeaseWouldBeTooShort() {
    StartAndAccept(MakeRun(0));
    Live(std::chrono::milliseconds(100), true, {MakeRun(0)});
    Live(std::chrono::milliseconds(1000), false, {MakeRun(0)});
    TakeActions<OrderStart>();
    Start(MakeRun(1), 1600, kOtherEntry);
    AssertRefused(MakeRun(1), RefusalReason::kNoTarget);
  }

  void StartBeforeAcknowledgementCountsEntryAsStalled() {
    Start(MakeRun(0));
    CPPUNIT_ASSERT_EQUAL(
        CurrentTargetClock().value() + 1100 - 600,
        TakeActions<OrderStart>().at(0).start_deadline.value());
  }

  void RenewsLeaseOfLivingEntries() {
    StartAndAccept(MakeRun(0));
    for (int i = 0; i < 20; ++i) {
      Live(std::chrono::milliseconds(100), true, {MakeRun(0)});
      CPPUNIT_ASSERT(last_lease_.value() - CurrentTargetClock().value() > 800);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountOpenRuns(board_));
  }

 private:
  /// Another process of the gate learns from its first poll what is running.
  void Restart(const std::vector<RunRef>& running) {
    board_ = GateBoard{};
    board_.domain = core::DomainId("szeged");
    Announce(1, 1);
    AnswerPoll(running, {});
    OnMessage(&board_, now_, kOtherEntry, MakeNotice(now_));
    last_lease_ = TargetClock(0);
    RecordLeases();
  }

  /// Lets time pass while the target lists `running`. The first entry is heard
  /// if `first_heard`, the other one always.
  void Live(core::Duration time, bool first_heard,
            const std::vector<RunRef>& running) {
    constexpr core::Duration kStep = std::chrono::milliseconds(20);
    const core::Time end = now_ + time;
    while (now_ < end) {
      now_ = now_ + kStep;
      if (first_heard) OnMessage(&board_, now_, kEntry, MakeNotice(now_));
      OnMessage(&board_, now_, kOtherEntry, MakeNotice(now_));
      OnTick(&board_, now_);
      RecordLeases();
      if (!board_.polls.empty()) AnswerPoll(running, {});
      RecordLeases();
    }
  }

  void RecordLeases() {
    for (const OrderPoll& poll : TakeActions<OrderPoll>()) {
      last_lease_ =
          std::max(last_lease_, poll.lease_until.value_or(TargetClock(0)));
    }
    for (const OrderStart& start : TakeActions<OrderStart>()) {
      last_lease_ = std::max(last_lease_, start.start_deadline);
    }
  }

  /// The client of a job submits it again 1.3 s after its entry is lost or has
  /// given it up; the target's clock may be 2 % slow.
  void AssertOverBeforeReturn(core::Time since) const {
    const std::int64_t lease =
        last_lease_.value() - core::Millis(since.since_start);
    CPPUNIT_ASSERT(lease > 0);
    CPPUNIT_ASSERT(lease * 102 / 100 < 1300);
  }

  TargetClock last_lease_{0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateLeaseTest);

}  // namespace
}  // namespace tarragon::coordinator
