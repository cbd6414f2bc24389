#include "gate_fixture.h"

namespace tarragon::coordinator {
namespace {

/// Which starts a gate accepts.
class GateStartTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GateStartTest);
  CPPUNIT_TEST(StartsRunThatFits);
  CPPUNIT_TEST(RefusesStartWithoutRoom);
  CPPUNIT_TEST(CountsRoomOfRunUntilItsEndIsListed);
  CPPUNIT_TEST(RefusesSecondRunOfSameTask);
  CPPUNIT_TEST(RefusesStartAfterItsDeadline);
  CPPUNIT_TEST(RefusesStartInDrainedDomain);
  CPPUNIT_TEST(RefusesStartIfOwnOperatorStateIsOlder);
  CPPUNIT_TEST(StartsIfOnlyTheRevisionDiffers);
  CPPUNIT_TEST(AdoptsNewerRevisionOfSameState);
  CPPUNIT_TEST(RefusesStartAtDrainingTarget);
  CPPUNIT_TEST(RefusesStartOfAnotherService);
  CPPUNIT_TEST(RefusesStartWithoutRequiredLabel);
  CPPUNIT_TEST(RefusesStartWhileStopping);
  CPPUNIT_TEST(RefusesStartBeforeRunsAreKnown);
  CPPUNIT_TEST(RefusesStartWhileTargetIsSilent);
  CPPUNIT_TEST(KeepsNewerOperatorState);
  CPPUNIT_TEST(IgnoresDelayedAnnouncement);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StartsRunThatFits() {
    OnMessage(&board_, now_, kEntry, MakeNotice(now_));
    Start(MakeRun(0));
    const std::vector<OrderStart> orders = TakeActions<OrderStart>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
    CPPUNIT_ASSERT_EQUAL(std::string("scan"), orders[0].payload);
    CPPUNIT_ASSERT_EQUAL(CurrentTargetClock().value() + 950,
                         orders[0].start_deadline.value());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{14400},
                         ComputeFreeRoom(board_).millicores);
  }

  void RefusesStartWithoutRoom() {
    for (std::uint32_t i = 0; i < 10; ++i) Start(MakeRun(i));
    TakeActions<OrderStart>();
    Start(MakeRun(10));
    AssertRefused(MakeRun(10), RefusalReason::kNoRoom);
  }

  void CountsRoomOfRunUntilItsEndIsListed() {
    for (std::uint32_t i = 0; i < 10; ++i) StartAndAccept(MakeRun(i));
    OnMessage(&board_, now_, kEntry, AskRun{MakeRun(0), true, {}});
    OnStopAnswer(&board_, now_, MakeRun(0), OrderAnswer::kAccepted);
    TakeActions<OrderStart>();
    Start(MakeRun(10));
    AssertRefused(MakeRun(10), RefusalReason::kNoRoom);
    AnswerPoll({}, {{1, MakeRun(0), RunEnd::kStopped}});
    Start(MakeRun(11));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderStart>().size());
  }

  void RefusesSecondRunOfSameTask() {
    StartAndAccept(MakeRun(0));
    TakeActions<OrderStart>();
    Start(MakeRun(0, 2), 1600, kOtherEntry);
    AssertRefused(MakeRun(0, 2), RefusalReason::kDuplicate);
  }

  void RefusesStartAfterItsDeadline() {
    StartRun start;
    start.run = MakeRun(0);
    start.service = core::ServiceId("carve");
    start.start_by = now_ - std::chrono::milliseconds(1);
    OnMessage(&board_, now_, kEntry, start);
    AssertRefused(MakeRun(0), RefusalReason::kStale);
  }

  void RefusesStartInDrainedDomain() {
    OperatorState state;
    state.revision = 5;
    state.drained = {core::DomainId("szeged")};
    OnMessage(&board_, now_, kEntry, OperatorUpdate{state});
    Start(MakeRun(0));
    AssertRefused(MakeRun(0), RefusalReason::kDomainOut);
  }

  void RefusesStartIfOwnOperatorStateIsOlder() {
    StartRun start;
    start.run = MakeRun(0);
    start.service = core::ServiceId("carve");
    start.start_by = now_ + std::chrono::milliseconds(100);
    start.operator_revision = 9;
    OnMessage(&board_, now_, kEntry, start);
    AssertRefused(MakeRun(0), RefusalReason::kStale);
  }

  void StartsIfOnlyTheRevisionDiffers() {
    StartRun start;
    start.run = MakeRun(0);
    start.service = core::ServiceId("carve");
    start.room = {1600, 10, 0};
    start.start_by = now_ + std::chrono::milliseconds(1);
    start.operator_revision = 9;
    start.domains_digest = board_.domains_digest;
    OnMessage(&board_, now_, kEntry, start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderStart>().size());
  }

  void AdoptsNewerRevisionOfSameState() {
    OnMessage(&board_, now_, kEntry, EntryNotice{{}, 9, board_.domains_digest});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, board_.operator_state.revision);
    // An older revision with other content is ignored.
    OperatorState old;
    old.revision = 8;
    old.drained = {core::DomainId("szeged")};
    OnMessage(&board_, now_, kOtherEntry, OperatorUpdate{old});
    CPPUNIT_ASSERT(board_.operator_state.drained.empty());
    CPPUNIT_ASSERT(TakeActions<SendTo<OperatorUpdate>>().empty());
  }

  void RefusesStartAtDrainingTarget() {
    Announce(1, 2, true);
    Start(MakeRun(0));
    AssertRefused(MakeRun(0), RefusalReason::kNoTarget);
  }

  void RefusesStartOfAnotherService() {
    StartRun start;
    start.run = MakeRun(0);
    start.service = core::ServiceId("other");
    start.start_by = now_ + std::chrono::milliseconds(100);
    OnMessage(&board_, now_, kEntry, start);
    AssertRefused(MakeRun(0), RefusalReason::kWrongTarget);
  }

  void RefusesStartWithoutRequiredLabel() {
    StartRun start;
    start.run = MakeRun(0);
    start.service = core::ServiceId("carve");
    start.required = Label("b");
    start.start_by = now_ + std::chrono::milliseconds(100);
    OnMessage(&board_, now_, kEntry, start);
    AssertRefused(MakeRun(0), RefusalReason::kWrongTarget);
  }

  void RefusesStartWhileStopping() {
    RequestStop(&board_, now_);
    Start(MakeRun(0));
    AssertRefused(MakeRun(0), RefusalReason::kNoTarget);
  }

  void RefusesStartBeforeRunsAreKnown() {
    board_ = GateBoard{};
    board_.domain = core::DomainId("szeged");
    Announce(1, 1);
    Start(MakeRun(0));
    AssertRefused(MakeRun(0), RefusalReason::kNoTarget);
  }

  void RefusesStartWhileTargetIsSilent() {
    StartAndAccept(MakeRun(0));
    for (int i = 0; i < 9; ++i) {
      Advance(std::chrono::milliseconds(100));
      LosePolls();
    }
    TakeActions<OrderStart>();
    Start(MakeRun(1));
    AssertRefused(MakeRun(1), RefusalReason::kNoTarget);
  }

  void KeepsNewerOperatorState() {
    OperatorState state;
    state.revision = 5;
    state.version = 3;
    OnMessage(&board_, now_, kEntry, OperatorUpdate{state});
    state.revision = 4;
    state.version = 2;
    OnMessage(&board_, now_, kOtherEntry, OperatorUpdate{state});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, board_.operator_state.version);
    OnMessage(&board_, now_, kOtherEntry,
              EntryNotice{now_, 4, DomainsDigest({}), 2});
    // The entry with the older state is sent the newer one, and the other one
    // nothing.
    const auto updates = TakeActions<SendTo<OperatorUpdate>>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, updates.size());
    CPPUNIT_ASSERT(kOtherEntry == updates[0].to);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, updates[0].message.state.version);
  }

  void IgnoresDelayedAnnouncement() {
    Announce(7, 1);
    AnswerPoll({}, {}, 7);
    Announce(1, 99, true);
    Start(MakeRun(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderStart>().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateStartTest);

}  // namespace
}  // namespace tarragon::coordinator
