#include "../leaving_target.h"

#include "gate_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// Checks which starts a gate accepts between the notice of its target and the
/// departure. No test uses the store: the gate decides alone.
class LeavingTargetTest : public GateFixture {
  CPPUNIT_TEST_SUITE(LeavingTargetTest);
  CPPUNIT_TEST(AcceptsOnlyRunsThatEndBefore);
  CPPUNIT_TEST(StartsNothingAfterDrainBound);
  CPPUNIT_TEST(RepeatedNoticeDoesNotExtendTime);
  CPPUNIT_TEST(ReadyEndsFalseNotice);
  CPPUNIT_TEST(DrainedDomainIsAbsolute);
  CPPUNIT_TEST(AcceptsNothingIfNoticeMayBeOlder);
  CPPUNIT_TEST(AcceptsNothingAfterDeregistration);
  CPPUNIT_TEST(ReportsTimeUntilDeparture);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Notice(std::int64_t sequence, core::Duration remaining,
              std::int64_t born = 1) {
    Announcement announcement = board_.target->announcement;
    announcement.born = TargetIncarnation(born);
    announcement.sequence = sequence;
    announcement.draining = true;
    announcement.clock = CurrentTargetClock();
    announcement.remaining = remaining;
    OnAnnouncement(&board_, now_, announcement);
  }

  bool Accepts(core::Duration longest) {
    StartRun start;
    start.run = MakeRun(++last_index_);
    start.sequence = ++sequence_;
    start.service = core::ServiceId("carve");
    start.room = {100, 1, 0};
    start.start_by = now_ + milliseconds(400);
    start.longest_run = longest;
    TakeActions<OrderStart>();
    OnMessage(&board_, now_, kEntry, start);
    const std::vector<OrderStart> orders = TakeActions<OrderStart>();
    if (orders.empty()) return false;
    last_deadline_ = orders[0].start_deadline;
    return true;
  }

  void AcceptsOnlyRunsThatEndBefore() {
    Notice(2, milliseconds(1800));
    CPPUNIT_ASSERT(Accepts(milliseconds(500)));
    CPPUNIT_ASSERT(!Accepts(milliseconds(1800)));
    CPPUNIT_ASSERT(!Accepts(milliseconds(0)));
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT(!Accepts(milliseconds(500)));
    CPPUNIT_ASSERT(Accepts(milliseconds(300)));
    // A target that carries out the order late refuses it.
    CPPUNIT_ASSERT(last_deadline_.value() <=
                   CurrentTargetClock().value() + 800 - 300);
  }

  void StartsNothingAfterDrainBound() {
    board_.policy.drain_bound = milliseconds(2000);
    const std::int64_t noticed = CurrentTargetClock().value();
    Notice(2, milliseconds(60000));
    for (int i = 0; i < 100; ++i) {
      if (Accepts(milliseconds(10))) {
        CPPUNIT_ASSERT(last_deadline_.value() <= noticed + 2000 - 300);
      } else {
        CPPUNIT_ASSERT(CurrentTargetClock().value() > noticed + 1000);
      }
      Advance(milliseconds(20));
      if (!board_.polls.empty()) AnswerPoll({}, {});
    }
    CPPUNIT_ASSERT(!Accepts(milliseconds(10)));
  }

  void RepeatedNoticeDoesNotExtendTime() {
    Notice(2, milliseconds(1000));
    Advance(milliseconds(500));
    Notice(3, milliseconds(2000));
    CPPUNIT_ASSERT(!Accepts(milliseconds(300)));
    CPPUNIT_ASSERT(Accepts(milliseconds(100)));
    Notice(4, milliseconds(400));
    CPPUNIT_ASSERT(!Accepts(milliseconds(100)));
  }

  void ReadyEndsFalseNotice() {
    Notice(2, milliseconds(1800));
    // Announcements may arrive in another order.
    Announce(1, 1);
    CPPUNIT_ASSERT(!Accepts(milliseconds(1800)));
    Announce(1, 3);
    CPPUNIT_ASSERT(Accepts(milliseconds(0)));
    Notice(4, milliseconds(1000));
    CPPUNIT_ASSERT(Accepts(milliseconds(500)));
  }

  void DrainedDomainIsAbsolute() {
    Notice(2, milliseconds(1800));
    OperatorState state;
    state.revision = 5;
    state.drained = {core::DomainId("szeged")};
    OnMessage(&board_, now_, kEntry, OperatorUpdate{state, true});
    CPPUNIT_ASSERT(!Accepts(milliseconds(10)));
  }

  /// A start would break the drain bound, which counts from the first notice.
  void AcceptsNothingIfNoticeMayBeOlder() {
    Notice(3, milliseconds(1800));
    CPPUNIT_ASSERT(!Accepts(milliseconds(10)));
    Notice(4, milliseconds(1800));
    CPPUNIT_ASSERT(!Accepts(milliseconds(10)));
    setUp();
    Notice(1, milliseconds(1800), 2);
    AnswerPoll({}, {}, 2);
    CPPUNIT_ASSERT(!Accepts(milliseconds(10)));
    // The store or an entry names the target, then it announces its departure.
    const TargetReport stored = *board_.target->stored_report;
    board_ = GateBoard{};
    board_.domain = core::DomainId("szeged");
    OnPreviousTargetFound(&board_, now_, stored, "store");
    AnswerPoll({}, {});
    Notice(stored.sequence + 1, milliseconds(1800));
    CPPUNIT_ASSERT(!Accepts(milliseconds(10)));
  }

  void AcceptsNothingAfterDeregistration() {
    Notice(2, milliseconds(1800));
    OnTargetLeft(&board_, now_, TargetId("t-1"));
    CPPUNIT_ASSERT(!Accepts(milliseconds(10)));
    Notice(3, milliseconds(1800));
    CPPUNIT_ASSERT(!Accepts(milliseconds(10)));
  }

  void ReportsTimeUntilDeparture() {
    TakeActions<SendTo<TargetReport>>();
    Notice(2, milliseconds(1800));
    const auto reports = TakeActions<SendTo<TargetReport>>();
    CPPUNIT_ASSERT(!reports.empty());
    CPPUNIT_ASSERT(reports[0].message.draining && !reports[0].message.usable);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1800},
                         core::Millis(reports[0].message.leaves_in));
    Advance(milliseconds(1600));
    CPPUNIT_ASSERT_EQUAL(
        std::int64_t{0},
        core::Millis(
            TakeActions<SendTo<TargetReport>>().back().message.leaves_in));
  }

 private:
  std::uint32_t last_index_ = 0;
  TargetClock last_deadline_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingTargetTest);

}  // namespace
}  // namespace tarragon::coordinator
