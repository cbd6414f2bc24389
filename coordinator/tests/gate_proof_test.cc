#include "gate_fixture.h"

namespace tarragon::coordinator {
namespace {

/// How a gate proves that a run has ended, or will never start.
class GateProofTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GateProofTest);
  CPPUNIT_TEST(ReportsListedEnd);
  CPPUNIT_TEST(ReportsEndOnce);
  CPPUNIT_TEST(EndsRunThatIsNoLongerListed);
  CPPUNIT_TEST(IgnoresMissingRunInOlderPoll);
  CPPUNIT_TEST(KeepsRoomOfUnansweredStart);
  CPPUNIT_TEST(EndsUnansweredStartAfterAnsweredStop);
  CPPUNIT_TEST(EndsUnansweredStartAfterItsDeadline);
  CPPUNIT_TEST(KeepsUnansweredStartThatIsListed);
  CPPUNIT_TEST(RepeatsUnansweredStop);
  CPPUNIT_TEST(SealsUnknownRunBeforeAnswering);
  CPPUNIT_TEST(RepeatsEndWhenAskedAgain);
  CPPUNIT_TEST(DoesNotAnswerBeforeRunsAreKnown);
  CPPUNIT_TEST(EndsRunsOfEarlierIncarnation);
  CPPUNIT_TEST(KeepsRunThatReachedNewIncarnation);
  CPPUNIT_TEST(EndsRunsWhenAnotherTargetAppears);
  CPPUNIT_TEST(UsesClockOfNewIncarnation);
  CPPUNIT_TEST(EndsRunsOfSilentTargetWhenLeaseExpires);
  CPPUNIT_TEST(ConfirmsLastEnd);
  CPPUNIT_TEST(SendsNoPollsToEndedTarget);
  CPPUNIT_TEST(SendsAnotherPollIfOneIsOverdue);
  CPPUNIT_TEST(StaysUsableAfterAnsweredStart);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReportsListedEnd() {
    StartAndAccept(MakeRun(0));
    AnswerPoll({}, {{1, MakeRun(0), RunEnd::kDone}});
    AssertEnded(MakeRun(0), RunEnd::kDone);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{16000},
                         ComputeFreeRoom(board_).millicores);
  }

  void ReportsEndOnce() {
    StartAndAccept(MakeRun(0));
    AnswerPoll({}, {{1, MakeRun(0), RunEnd::kDone}});
    AssertEnded(MakeRun(0), RunEnd::kDone);
    AnswerPoll({}, {{1, MakeRun(0), RunEnd::kDone}});
    CPPUNIT_ASSERT(!TakeEndOf(MakeRun(0)).has_value());
  }

  void EndsRunThatIsNoLongerListed() {
    StartAndAccept(MakeRun(0));
    AnswerNextPoll({}, {});
    AssertEnded(MakeRun(0), RunEnd::kLapsed);
  }

  void IgnoresMissingRunInOlderPoll() {
    Start(MakeRun(0));  // A poll is sent along with it.
    now_ = now_ + std::chrono::milliseconds(5);
    OnStartAnswer(&board_, now_, MakeRun(0), OrderAnswer::kAccepted,
                  std::nullopt);
    AnswerPoll({}, {});
    CPPUNIT_ASSERT(!TakeEndOf(MakeRun(0)).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountOpenRuns(board_));
  }

  void KeepsRoomOfUnansweredStart() {
    Start(MakeRun(0), 16000);
    OnStartAnswer(&board_, now_, MakeRun(0), OrderAnswer::kUnclear,
                  std::nullopt);
    TakeActions<OrderStart>();
    AnswerPoll({}, {});
    Start(MakeRun(1));
    AssertRefused(MakeRun(1), RefusalReason::kNoRoom);
  }

  void EndsUnansweredStartAfterAnsweredStop() {
    Start(MakeRun(0));
    OnStartAnswer(&board_, now_, MakeRun(0), OrderAnswer::kUnclear,
                  std::nullopt);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderStop>().size());
    OnStopAnswer(&board_, now_, MakeRun(0), OrderAnswer::kAccepted);
    // This poll was sent before the stop was answered.
    AnswerPoll({}, {});
    CPPUNIT_ASSERT(!TakeEndOf(MakeRun(0)).has_value());
    AnswerNextPoll({}, {});
    AssertEnded(MakeRun(0), RunEnd::kStopped);
  }

  void EndsUnansweredStartAfterItsDeadline() {
    Start(MakeRun(0));
    OnStartAnswer(&board_, now_, MakeRun(0), OrderAnswer::kUnclear,
                  std::nullopt);
    OnStopAnswer(&board_, now_, MakeRun(0), OrderAnswer::kUnclear);
    AnswerNextPoll({}, {});
    CPPUNIT_ASSERT(!TakeEndOf(MakeRun(0)).has_value());
    Advance(std::chrono::milliseconds(1000));
    AnswerNextPoll({}, {});
    AssertEnded(MakeRun(0), RunEnd::kStopped);
  }

  void KeepsUnansweredStartThatIsListed() {
    Start(MakeRun(0));
    AnswerPoll({MakeRun(0)}, {});
    OnStartAnswer(&board_, now_, MakeRun(0), OrderAnswer::kUnclear,
                  std::nullopt);
    CPPUNIT_ASSERT(TakeActions<OrderStop>().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountOpenRuns(board_));
  }

  void RepeatsUnansweredStop() {
    StartAndAccept(MakeRun(0));
    OnMessage(&board_, now_, kEntry, AskRun{MakeRun(0), true, {}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderStop>().size());
    OnStopAnswer(&board_, now_, MakeRun(0), OrderAnswer::kUnclear);
    Advance(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderStop>().size());
  }

  void SealsUnknownRunBeforeAnswering() {
    OnMessage(&board_, now_, kEntry, AskRun{MakeRun(0), false, {1600, 0, 0}});
    CPPUNIT_ASSERT(!TakeEndOf(MakeRun(0)).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderStop>().size());
    OnStopAnswer(&board_, now_, MakeRun(0), OrderAnswer::kAccepted);
    AnswerNextPoll({}, {});
    AssertEnded(MakeRun(0), RunEnd::kStopped);
    // A delayed copy of its start is refused.
    TakeActions<OrderStart>();
    Start(MakeRun(0));
    AssertRefused(MakeRun(0), RefusalReason::kSealed);
  }

  void RepeatsEndWhenAskedAgain() {
    StartAndAccept(MakeRun(0));
    AnswerPoll({}, {{1, MakeRun(0), RunEnd::kDone}});
    AssertEnded(MakeRun(0), RunEnd::kDone);
    OnMessage(&board_, now_, kEntry, AskRun{MakeRun(0), true, {}});
    AssertEnded(MakeRun(0), RunEnd::kDone);
  }

  void DoesNotAnswerBeforeRunsAreKnown() {
    board_ = GateBoard{};
    OnMessage(&board_, now_, kEntry, AskRun{MakeRun(0), true, {}});
    CPPUNIT_ASSERT(!TakeEndOf(MakeRun(0)).has_value());
  }

  void EndsRunsOfEarlierIncarnation() {
    StartAndAccept(MakeRun(0));
    Announce(2, 1);
    now_ = now_ + std::chrono::milliseconds(1);
    AnswerPoll({}, {}, 2);
    AssertEnded(MakeRun(0), RunEnd::kLapsed);
  }

  // Soak seed 4010: a restarted target with the same id accepted starts before
  // it had announced itself, and the gate took these runs for ended.
  void KeepsRunThatReachedNewIncarnation() {
    StartAndAccept(MakeRun(0));
    StartAndAccept(MakeRun(1));
    Start(MakeRun(2));
    Announce(2, 1);
    CPPUNIT_ASSERT(!TakeEndOf(MakeRun(1)).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, CountOpenRuns(board_));
    TakeActions<OrderStart>();
    Start(MakeRun(3));
    AssertRefused(MakeRun(3), RefusalReason::kNoTarget);
    now_ = now_ + std::chrono::milliseconds(1);
    AnswerPoll({MakeRun(1)}, {{1, MakeRun(2), RunEnd::kDone}}, 2);
    const auto ended = TakeActions<SendTo<RunEnded>>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ended.size());
    CPPUNIT_ASSERT(ended[0].message.run == MakeRun(2));
    CPPUNIT_ASSERT(ended[0].message.end == RunEnd::kDone);
    CPPUNIT_ASSERT(ended[1].message.run == MakeRun(0));
    CPPUNIT_ASSERT(ended[1].message.end == RunEnd::kLapsed);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{14400},
                         ComputeFreeRoom(board_).millicores);
  }

  void EndsRunsWhenAnotherTargetAppears() {
    StartAndAccept(MakeRun(0));
    Announcement other = board_.target->announcement;
    other.target = TargetId("t-2");
    other.born = TargetIncarnation(9);
    OnAnnouncement(&board_, now_, other);
    CPPUNIT_ASSERT(!TakeEndOf(MakeRun(0)).has_value());
    AnswerPoll({}, {}, 9);
    AssertEnded(MakeRun(0), RunEnd::kLapsed);
  }

  void UsesClockOfNewIncarnation() {
    StartAndAccept(MakeRun(0));
    PollReply reply;
    reply.born = TargetIncarnation(2);
    reply.clock = TargetClock(50);
    OnPollAnswer(&board_, now_, board_.last_poll, reply);
    Announcement first = board_.target->announcement;
    first.sequence = 1;
    first.clock = TargetClock(50);
    OnAnnouncement(&board_, now_, first);
    TakeActions<OrderStart>();
    OnMessage(&board_, now_, kEntry, MakeNotice(now_));
    Start(MakeRun(1));
    CPPUNIT_ASSERT_EQUAL(
        std::int64_t{50 + 950},
        TakeActions<OrderStart>().at(0).start_deadline.value());
  }

  void EndsRunsOfSilentTargetWhenLeaseExpires() {
    StartAndAccept(MakeRun(0));
    AnswerPoll({MakeRun(0)}, {});
    OnPollAnswer(&board_, now_, board_.last_poll, std::nullopt);
    // Polls without an answer may have arrived and renewed the lease for a
    // while.
    for (int i = 0; i < 55; ++i) {
      Advance(std::chrono::milliseconds(20));
      LosePolls();
    }
    CPPUNIT_ASSERT(!TakeEndOf(MakeRun(0)).has_value());
    for (int i = 0; i < 20; ++i) {
      Advance(std::chrono::milliseconds(20));
      LosePolls();
    }
    AssertEnded(MakeRun(0), RunEnd::kLapsed);
  }

  void ConfirmsLastEnd() {
    StartAndAccept(MakeRun(0));
    TakeActions<OrderPoll>();
    AnswerPoll({}, {{1, MakeRun(0), RunEnd::kDone}});
    const std::vector<OrderPoll> polls = TakeActions<OrderPoll>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, polls.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, polls[0].last_end);
    AnswerPoll({}, {});
    CPPUNIT_ASSERT(TakeActions<OrderPoll>().empty());
  }

  void SendsNoPollsToEndedTarget() {
    StartAndAccept(MakeRun(0));
    for (int i = 0; i < 60; ++i) {
      Advance(std::chrono::milliseconds(100));
      LosePolls();
    }
    TakeActions<OrderPoll>();
    Advance(std::chrono::milliseconds(500));
    CPPUNIT_ASSERT(TakeActions<OrderPoll>().empty());
    // It comes back as another incarnation.
    Announce(2, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderPoll>().size());
  }

  void SendsAnotherPollIfOneIsOverdue() {
    StartAndAccept(MakeRun(0));
    AnswerPoll({MakeRun(0)}, {});
    TakeActions<OrderPoll>();
    Advance(std::chrono::milliseconds(120));
    CPPUNIT_ASSERT(TakeActions<OrderPoll>().empty());
    Advance(std::chrono::milliseconds(40));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderPoll>().size());
    // The first poll is answered late.
    OnPollAnswer(&board_, now_, board_.last_poll - 1,
                 PollReply{TargetIncarnation(1),
                           CurrentTargetClock(),
                           {},
                           {{1, MakeRun(0), RunEnd::kDone}}});
    AssertEnded(MakeRun(0), RunEnd::kDone);
  }

  void StaysUsableAfterAnsweredStart() {
    StartAndAccept(MakeRun(0));
    OnPollAnswer(&board_, now_, board_.last_poll, std::nullopt);
    Advance(std::chrono::milliseconds(500));
    Start(MakeRun(1));
    OnStartAnswer(&board_, now_, MakeRun(1), OrderAnswer::kAccepted,
                  std::nullopt);
    Advance(std::chrono::milliseconds(200));
    TakeActions<OrderStart>();
    Start(MakeRun(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderStart>().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateProofTest);

/// How a gate handles lost, silent and replaced entries, and its own restart.
class GateHomeTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GateHomeTest);
  CPPUNIT_TEST(StopsRunsOfSilentEntry);
  CPPUNIT_TEST(StopsRunsWhenReportsAreNotAcknowledged);
  CPPUNIT_TEST(IgnoresEchoFromTheFuture);
  CPPUNIT_TEST(KeepsRunsWhenConnectionIsLost);
  CPPUNIT_TEST(StopsRunsWhenEntryIsReplaced);
  CPPUNIT_TEST(StopsRunsOnMessageOfNewIncarnation);
  CPPUNIT_TEST(HasNoRoomWhileRunsAreUnclaimed);
  CPPUNIT_TEST(AssignsUnclaimedRunToClaimingEntry);
  CPPUNIT_TEST(StopsUnclaimedRunsOnceAllEntriesAcknowledged);
  CPPUNIT_TEST(StopsUnclaimedRunsAfterClaimTime);
  CPPUNIT_TEST(ConnectsToEntryThatDoesNotConnect);
  CPPUNIT_TEST(ReconnectsToLostEntry);
  CPPUNIT_TEST(FindsTargetByHintOfEntry);
  CPPUNIT_TEST(StoresEachIncarnationOfTargetOnce);
  CPPUNIT_TEST(FindsStoredTarget);
  CPPUNIT_TEST(IgnoresHintWhileTargetIsKnown);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StopsRunsOfSilentEntry() {
    StartAndAccept(MakeRun(0));
    Advance(std::chrono::milliseconds(680), false);
    CPPUNIT_ASSERT(TakeActions<OrderStop>().empty());
    Advance(std::chrono::milliseconds(60), false);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderStop>().size());
  }

  void StopsRunsWhenReportsAreNotAcknowledged() {
    StartAndAccept(MakeRun(0));
    const core::Time heard = now_;
    for (int i = 0; i < 40; ++i) {
      Advance(std::chrono::milliseconds(20), false);
      OnMessage(&board_, now_, kEntry, EntryNotice{heard, 0});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderStop>().size());
  }

  void IgnoresEchoFromTheFuture() {
    StartAndAccept(MakeRun(0));
    OnMessage(&board_, now_, kEntry,
              EntryNotice{now_ + std::chrono::hours(1), 0});
    Advance(std::chrono::milliseconds(800), false);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderStop>().size());
  }

  void KeepsRunsWhenConnectionIsLost() {
    StartAndAccept(MakeRun(0));
    OnEntryDisconnected(&board_, now_, kEntry);
    Advance(std::chrono::milliseconds(200));
    CPPUNIT_ASSERT(TakeActions<OrderStop>().empty());
  }

  void StopsRunsWhenEntryIsReplaced() {
    StartAndAccept(MakeRun(0));
    OnEntryReplaced(&board_, now_, kEntry);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderStop>().size());
  }

  void StopsRunsOnMessageOfNewIncarnation() {
    StartAndAccept(MakeRun(0));
    OnMessage(&board_, now_, kEntryAgain, EntryNotice{});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderStop>().size());
  }

  void Restart(const std::vector<RunRef>& running) {
    board_ = GateBoard{};
    board_.domain = core::DomainId("szeged");
    Announce(1, 5);
    AnswerPoll(running, {});
    board_.actions.clear();
  }

  void HasNoRoomWhileRunsAreUnclaimed() {
    Restart({MakeRun(0)});
    Start(MakeRun(1));
    AssertRefused(MakeRun(1), RefusalReason::kNoRoom);
  }

  void AssignsUnclaimedRunToClaimingEntry() {
    Restart({MakeRun(0)});
    OnMessage(&board_, now_, kEntry, AskRun{MakeRun(0), false, {1600, 10, 0}});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{14400},
                         ComputeFreeRoom(board_).millicores);
    Advance(std::chrono::milliseconds(400));
    CPPUNIT_ASSERT(TakeActions<OrderStop>().empty());
    AnswerPoll({}, {{3, MakeRun(0), RunEnd::kDone}});
    AssertEnded(MakeRun(0), RunEnd::kDone);
  }

  void StopsUnclaimedRunsOnceAllEntriesAcknowledged() {
    Restart({MakeRun(0)});
    const core::Time known = now_;
    OnMessage(&board_, now_, kEntry, EntryNotice{});
    OnMessage(&board_, now_, kOtherEntry, EntryNotice{});
    Advance(std::chrono::milliseconds(80), false);
    OnMessage(&board_, now_, kEntry, EntryNotice{known, 0});
    Advance(std::chrono::milliseconds(20), false);
    CPPUNIT_ASSERT(TakeActions<OrderStop>().empty());
    OnMessage(&board_, now_, kOtherEntry, EntryNotice{known, 0});
    Advance(std::chrono::milliseconds(20), false);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderStop>().size());
  }

  void StopsUnclaimedRunsAfterClaimTime() {
    Restart({MakeRun(0)});
    Advance(std::chrono::milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderStop>().size());
  }

  void FindsTargetByHintOfEntry() {
    const auto reports = TakeActions<SendTo<TargetReport>>();
    StartAndAccept(MakeRun(0));
    TargetReport last = TakeActions<SendTo<TargetReport>>().back().message;
    board_ = GateBoard{};
    board_.domain = core::DomainId("szeged");
    OnMessage(&board_, now_, kEntry, TargetHint{last});
    const auto polls = TakeActions<OrderPoll>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, polls.size());
    CPPUNIT_ASSERT(!polls[0].lease_until.has_value());
    AnswerPoll({MakeRun(0)}, {});
    OnMessage(&board_, now_, kEntry, AskRun{MakeRun(0), false, {1600, 10, 0}});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{14400},
                         ComputeFreeRoom(board_).millicores);
    Start(MakeRun(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderStart>().size());
  }

  void StoresEachIncarnationOfTargetOnce() {
    TakeActions<StoreTarget>();
    Announce(1, 2);
    CPPUNIT_ASSERT(TakeActions<StoreTarget>().empty());
    Announce(2, 1);
    CPPUNIT_ASSERT(TakeActions<StoreTarget>().empty());
    AnswerPoll({}, {}, 2);
    const std::vector<StoreTarget> kept = TakeActions<StoreTarget>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, kept.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, kept[0].target.born.value());
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.9:80"),
                         kept[0].target.address.value());
    // A delayed announcement of the earlier incarnation changes nothing.
    Announce(1, 3);
    CPPUNIT_ASSERT(TakeActions<StoreTarget>().empty());
  }

  void FindsStoredTarget() {
    OnAnnouncement(&board_, now_, board_.target->announcement);
    const TargetReport kept = *board_.target->stored_report;
    board_ = GateBoard{};
    board_.domain = core::DomainId("szeged");
    OnPreviousTargetFound(&board_, now_, kept, "store");
    CPPUNIT_ASSERT(TakeActions<StoreTarget>().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderPoll>().size());
    AnswerPoll({}, {});
    Start(MakeRun(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderStart>().size());
  }

  void IgnoresHintWhileTargetIsKnown() {
    TargetReport other;
    other.target = TargetId("t-2");
    other.born = TargetIncarnation(99);
    OnMessage(&board_, now_, kEntry, TargetHint{other});
    CPPUNIT_ASSERT_EQUAL(std::string("t-1"),
                         board_.target->announcement.target.value());
  }

  void ConnectsToEntryThatDoesNotConnect() {
    const core::Address silent("10.0.0.3:7000");
    OnEntryFound(&board_, now_, silent);
    Advance(std::chrono::milliseconds(140));
    for (const auto& sent : TakeActions<SendTo<TargetReport>>()) {
      CPPUNIT_ASSERT(sent.to.address != silent);
    }
    Advance(std::chrono::milliseconds(20));
    bool reached = false;
    for (const auto& sent : TakeActions<SendTo<TargetReport>>()) {
      reached = reached || sent.to.address == silent;
    }
    CPPUNIT_ASSERT(reached);
  }

  void ReconnectsToLostEntry() {
    OnEntryDisconnected(&board_, now_, kEntry);
    board_.actions.clear();
    Advance(std::chrono::milliseconds(450), false);
    bool reached = false;
    for (const auto& sent : TakeActions<SendTo<TargetReport>>()) {
      reached = reached || sent.to == kEntry;
    }
    CPPUNIT_ASSERT(reached);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateHomeTest);

}  // namespace
}  // namespace tarragon::coordinator
