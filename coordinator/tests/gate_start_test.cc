#include "gate_fixture.h"

namespace tarragon::coordinator {
namespace {

/// Which starts a gate lets through.
class GateStartTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GateStartTest);
  CPPUNIT_TEST(StartsWhatFits);
  CPPUNIT_TEST(RefusesWithoutRoom);
  CPPUNIT_TEST(CountsARunUntilItsEndIsListed);
  CPPUNIT_TEST(RefusesASecondRunOfATask);
  CPPUNIT_TEST(RefusesAnOldOrder);
  CPPUNIT_TEST(RefusesInADrainedDomain);
  CPPUNIT_TEST(RefusesByAnOlderOperatorState);
  CPPUNIT_TEST(StartsByTheSameStateUnderAnotherRevision);
  CPPUNIT_TEST(TakesTheNewerRevisionOfTheSameState);
  CPPUNIT_TEST(RefusesForALeavingTarget);
  CPPUNIT_TEST(RefusesAnotherService);
  CPPUNIT_TEST(RefusesWithoutTheLabel);
  CPPUNIT_TEST(RefusesWhileStopping);
  CPPUNIT_TEST(RefusesBeforeTheRunsAreKnown);
  CPPUNIT_TEST(RefusesWhileTheTargetIsSilent);
  CPPUNIT_TEST(KeepsTheNewerOperatorState);
  CPPUNIT_TEST(IgnoresADelayedAnnouncement);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StartsWhatFits() {
    Start(Run(0));
    const std::vector<OrderStart> orders = Take<OrderStart>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
    CPPUNIT_ASSERT_EQUAL(std::string("scan"), orders[0].payload);
    CPPUNIT_ASSERT_EQUAL(Clock().value() + 950,
                         orders[0].start_deadline.value());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{14400},
                         ComputeFreeRoom(board_).millicores);
  }

  void RefusesWithoutRoom() {
    for (std::uint32_t i = 0; i < 10; ++i) Start(Run(i));
    Take<OrderStart>();
    Start(Run(10));
    AssertRefused(Run(10), RefusalReason::kNoRoom);
  }

  void CountsARunUntilItsEndIsListed() {
    for (std::uint32_t i = 0; i < 10; ++i) StartAndAccept(Run(i));
    OnMessage(&board_, now_, kEntry, AskRun{Run(0), true, {}});
    OnStopAnswer(&board_, now_, Run(0), OrderAnswer::kAccepted);
    Take<OrderStart>();
    Start(Run(10));
    AssertRefused(Run(10), RefusalReason::kNoRoom);
    AnswerPoll({}, {{1, Run(0), RunEnd::kStopped}});
    Start(Run(11));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Take<OrderStart>().size());
  }

  void RefusesASecondRunOfATask() {
    StartAndAccept(Run(0));
    Take<OrderStart>();
    Start(Run(0, 2), 1600, kOtherEntry);
    AssertRefused(Run(0, 2), RefusalReason::kDuplicate);
  }

  void RefusesAnOldOrder() {
    StartRun start;
    start.run = Run(0);
    start.service = core::ServiceId("carve");
    start.start_by = now_ - std::chrono::milliseconds(1);
    OnMessage(&board_, now_, kEntry, start);
    AssertRefused(Run(0), RefusalReason::kStale);
  }

  void RefusesInADrainedDomain() {
    OperatorState state;
    state.revision = 5;
    state.drained = {core::DomainId("szeged")};
    OnMessage(&board_, now_, kEntry, OperatorUpdate{state});
    Start(Run(0));
    AssertRefused(Run(0), RefusalReason::kDomainOut);
  }

  void RefusesByAnOlderOperatorState() {
    StartRun start;
    start.run = Run(0);
    start.service = core::ServiceId("carve");
    start.start_by = now_ + std::chrono::milliseconds(100);
    start.operator_revision = 9;
    OnMessage(&board_, now_, kEntry, start);
    AssertRefused(Run(0), RefusalReason::kStale);
  }

  void StartsByTheSameStateUnderAnotherRevision() {
    StartRun start;
    start.run = Run(0);
    start.service = core::ServiceId("carve");
    start.room = {1600, 10, 0};
    start.start_by = now_ + std::chrono::milliseconds(1);
    start.operator_revision = 9;
    start.operator_digest = board_.operator_digest;
    OnMessage(&board_, now_, kEntry, start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Take<OrderStart>().size());
  }

  void TakesTheNewerRevisionOfTheSameState() {
    OnMessage(&board_, now_, kEntry,
              EntryNotice{{}, 9, board_.operator_digest});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, board_.operator_state.revision);
    // An old copy with another content in between is not taken.
    OperatorState old;
    old.revision = 8;
    old.drained = {core::DomainId("szeged")};
    OnMessage(&board_, now_, kOtherEntry, OperatorUpdate{old});
    CPPUNIT_ASSERT(board_.operator_state.drained.empty());
    CPPUNIT_ASSERT(Take<SendTo<OperatorUpdate>>().empty());
  }

  void RefusesForALeavingTarget() {
    Announce(1, 2, true);
    Start(Run(0));
    AssertRefused(Run(0), RefusalReason::kNoTarget);
  }

  void RefusesAnotherService() {
    StartRun start;
    start.run = Run(0);
    start.service = core::ServiceId("other");
    start.start_by = now_ + std::chrono::milliseconds(100);
    OnMessage(&board_, now_, kEntry, start);
    AssertRefused(Run(0), RefusalReason::kWrongTarget);
  }

  void RefusesWithoutTheLabel() {
    StartRun start;
    start.run = Run(0);
    start.service = core::ServiceId("carve");
    start.required = Label("b");
    start.start_by = now_ + std::chrono::milliseconds(100);
    OnMessage(&board_, now_, kEntry, start);
    AssertRefused(Run(0), RefusalReason::kWrongTarget);
  }

  void RefusesWhileStopping() {
    RequestStop(&board_, now_);
    Start(Run(0));
    AssertRefused(Run(0), RefusalReason::kNoTarget);
  }

  void RefusesBeforeTheRunsAreKnown() {
    board_ = GateBoard{};
    board_.domain = core::DomainId("szeged");
    Announce(1, 1);
    Start(Run(0));
    AssertRefused(Run(0), RefusalReason::kNoTarget);
  }

  void RefusesWhileTheTargetIsSilent() {
    StartAndAccept(Run(0));
    for (int i = 0; i < 9; ++i) {
      Advance(std::chrono::milliseconds(100));
      LosePolls();
    }
    Take<OrderStart>();
    Start(Run(1));
    AssertRefused(Run(1), RefusalReason::kNoTarget);
  }

  void KeepsTheNewerOperatorState() {
    OperatorState state;
    state.revision = 5;
    state.version = 3;
    OnMessage(&board_, now_, kEntry, OperatorUpdate{state});
    state.revision = 4;
    state.version = 2;
    OnMessage(&board_, now_, kOtherEntry, OperatorUpdate{state});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, board_.operator_state.version);
    // The entry that is behind is told.
    Take<SendTo<OperatorUpdate>>();
    OnMessage(&board_, now_, kOtherEntry, EntryNotice{now_, 4});
    const auto updates = Take<SendTo<OperatorUpdate>>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, updates.size());
    CPPUNIT_ASSERT(kOtherEntry == updates[0].to);
  }

  void IgnoresADelayedAnnouncement() {
    Announce(7, 1);
    AnswerPoll({}, {}, 7);
    Announce(1, 99, true);
    Start(Run(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Take<OrderStart>().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateStartTest);

}  // namespace
}  // namespace tarragon::coordinator
