#include "gate_fixture.h"

namespace tarragon::coordinator {
namespace {

/// How a gate proves that a run is over, or will never start.
class GateProofTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GateProofTest);
  CPPUNIT_TEST(TellsTheEndThatIsListed);
  CPPUNIT_TEST(TellsAnEndOnce);
  CPPUNIT_TEST(EndsARunThatIsNotListedAnyMore);
  CPPUNIT_TEST(DoesNotTakeAnOlderPollForProof);
  CPPUNIT_TEST(KeepsTheRoomOfAnUnansweredStart);
  CPPUNIT_TEST(SettlesAnUnansweredStartByAStop);
  CPPUNIT_TEST(SettlesAnUnansweredStartByTime);
  CPPUNIT_TEST(KeepsAnUnansweredStartThatIsListed);
  CPPUNIT_TEST(RepeatsAStopWithoutAnswer);
  CPPUNIT_TEST(ProvesAnUnknownRunBeforeItAnswers);
  CPPUNIT_TEST(RepeatsAnEndThatIsAskedFor);
  CPPUNIT_TEST(AnswersNothingBeforeTheRunsAreKnown);
  CPPUNIT_TEST(EndsAllRunsOfAnEarlierLife);
  CPPUNIT_TEST(KeepsARunThatHasReachedANewLife);
  CPPUNIT_TEST(EndsAllRunsOfAnotherTarget);
  CPPUNIT_TEST(ReadsTheClockOfANewLife);
  CPPUNIT_TEST(EndsRunsOfASilentTargetWhenTheLeaseIsOver);
  CPPUNIT_TEST(ConfirmsTheLastEnd);
  CPPUNIT_TEST(SendsNoPollsToATargetThatIsGone);
  CPPUNIT_TEST(SendsAnotherPollBesideAnOverdueOne);
  CPPUNIT_TEST(TakesAnAnsweredOrderForASignOfLife);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TellsTheEndThatIsListed() {
    StartAndAccept(Run(0));
    AnswerPoll({}, {{1, Run(0), RunEnd::kDone}});
    AssertEnded(Run(0), RunEnd::kDone);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{16000},
                         ComputeFreeRoom(board_).millicores);
  }

  void TellsAnEndOnce() {
    StartAndAccept(Run(0));
    AnswerPoll({}, {{1, Run(0), RunEnd::kDone}});
    AssertEnded(Run(0), RunEnd::kDone);
    AnswerPoll({}, {{1, Run(0), RunEnd::kDone}});
    CPPUNIT_ASSERT(!Ended(Run(0)).has_value());
  }

  void EndsARunThatIsNotListedAnyMore() {
    StartAndAccept(Run(0));
    AnswerNextPoll({}, {});
    AssertEnded(Run(0), RunEnd::kLapsed);
  }

  void DoesNotTakeAnOlderPollForProof() {
    Start(Run(0));  // A poll is sent beside it.
    now_ = now_ + std::chrono::milliseconds(5);
    OnStartAnswer(&board_, now_, Run(0), OrderAnswer::kAccepted, std::nullopt);
    AnswerPoll({}, {});
    CPPUNIT_ASSERT(!Ended(Run(0)).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountOpenRuns(board_));
  }

  void KeepsTheRoomOfAnUnansweredStart() {
    Start(Run(0), 16000);
    OnStartAnswer(&board_, now_, Run(0), OrderAnswer::kUnclear, std::nullopt);
    Take<OrderStart>();
    AnswerPoll({}, {});
    Start(Run(1));
    AssertRefused(Run(1), RefusalReason::kNoRoom);
  }

  void SettlesAnUnansweredStartByAStop() {
    Start(Run(0));
    OnStartAnswer(&board_, now_, Run(0), OrderAnswer::kUnclear, std::nullopt);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Take<OrderStop>().size());
    OnStopAnswer(&board_, now_, Run(0), OrderAnswer::kAccepted);
    // This poll was sent before the stop was answered.
    AnswerPoll({}, {});
    CPPUNIT_ASSERT(!Ended(Run(0)).has_value());
    AnswerNextPoll({}, {});
    AssertEnded(Run(0), RunEnd::kStopped);
  }

  void SettlesAnUnansweredStartByTime() {
    Start(Run(0));
    OnStartAnswer(&board_, now_, Run(0), OrderAnswer::kUnclear, std::nullopt);
    OnStopAnswer(&board_, now_, Run(0), OrderAnswer::kUnclear);
    AnswerNextPoll({}, {});
    CPPUNIT_ASSERT(!Ended(Run(0)).has_value());
    Advance(std::chrono::milliseconds(1000));
    AnswerNextPoll({}, {});
    AssertEnded(Run(0), RunEnd::kStopped);
  }

  void KeepsAnUnansweredStartThatIsListed() {
    Start(Run(0));
    AnswerPoll({Run(0)}, {});
    OnStartAnswer(&board_, now_, Run(0), OrderAnswer::kUnclear, std::nullopt);
    CPPUNIT_ASSERT(Take<OrderStop>().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountOpenRuns(board_));
  }

  void RepeatsAStopWithoutAnswer() {
    StartAndAccept(Run(0));
    OnMessage(&board_, now_, kEntry, AskRun{Run(0), true, {}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Take<OrderStop>().size());
    OnStopAnswer(&board_, now_, Run(0), OrderAnswer::kUnclear);
    Advance(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Take<OrderStop>().size());
  }

  void ProvesAnUnknownRunBeforeItAnswers() {
    OnMessage(&board_, now_, kEntry, AskRun{Run(0), false, {1600, 0, 0}});
    CPPUNIT_ASSERT(!Ended(Run(0)).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Take<OrderStop>().size());
    OnStopAnswer(&board_, now_, Run(0), OrderAnswer::kAccepted);
    AnswerNextPoll({}, {});
    AssertEnded(Run(0), RunEnd::kStopped);
    // A copy of its start that comes late is refused.
    Take<OrderStart>();
    Start(Run(0));
    AssertRefused(Run(0), RefusalReason::kSealed);
  }

  void RepeatsAnEndThatIsAskedFor() {
    StartAndAccept(Run(0));
    AnswerPoll({}, {{1, Run(0), RunEnd::kDone}});
    AssertEnded(Run(0), RunEnd::kDone);
    OnMessage(&board_, now_, kEntry, AskRun{Run(0), true, {}});
    AssertEnded(Run(0), RunEnd::kDone);
  }

  void AnswersNothingBeforeTheRunsAreKnown() {
    board_ = GateBoard{};
    OnMessage(&board_, now_, kEntry, AskRun{Run(0), true, {}});
    CPPUNIT_ASSERT(!Ended(Run(0)).has_value());
  }

  void EndsAllRunsOfAnEarlierLife() {
    StartAndAccept(Run(0));
    Announce(2, 1);
    now_ = now_ + std::chrono::milliseconds(1);
    AnswerPoll({}, {}, 2);
    AssertEnded(Run(0), RunEnd::kLapsed);
  }

  // Soak seed 4010: a target that was back under its name took orders before it
  // had announced itself; its runs were taken for over.
  void KeepsARunThatHasReachedANewLife() {
    StartAndAccept(Run(0));
    StartAndAccept(Run(1));
    Start(Run(2));
    Announce(2, 1);
    CPPUNIT_ASSERT(!Ended(Run(1)).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, CountOpenRuns(board_));
    Take<OrderStart>();
    Start(Run(3));
    AssertRefused(Run(3), RefusalReason::kNoTarget);
    now_ = now_ + std::chrono::milliseconds(1);
    AnswerPoll({Run(1)}, {{1, Run(2), RunEnd::kDone}}, 2);
    const auto ended = Take<SendTo<RunEnded>>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ended.size());
    CPPUNIT_ASSERT(ended[0].message.run == Run(2));
    CPPUNIT_ASSERT(ended[0].message.end == RunEnd::kDone);
    CPPUNIT_ASSERT(ended[1].message.run == Run(0));
    CPPUNIT_ASSERT(ended[1].message.end == RunEnd::kLapsed);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{14400},
                         ComputeFreeRoom(board_).millicores);
  }

  void EndsAllRunsOfAnotherTarget() {
    StartAndAccept(Run(0));
    Announcement other = board_.target->announcement;
    other.target = TargetId("t-2");
    other.born = TargetIncarnation(9);
    OnAnnouncement(&board_, now_, other);
    AssertEnded(Run(0), RunEnd::kLapsed);
  }

  void ReadsTheClockOfANewLife() {
    StartAndAccept(Run(0));
    PollReply reply;
    reply.born = TargetIncarnation(2);
    reply.clock = TargetClock(50);
    OnPollAnswer(&board_, now_, board_.last_poll, reply);
    Take<OrderStart>();
    Start(Run(1));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{50 + 950},
                         Take<OrderStart>().at(0).start_deadline.value());
  }

  void EndsRunsOfASilentTargetWhenTheLeaseIsOver() {
    StartAndAccept(Run(0));
    AnswerPoll({Run(0)}, {});
    OnPollAnswer(&board_, now_, board_.last_poll, std::nullopt);
    // Lost polls that may have arrived renew the lease for a while.
    for (int i = 0; i < 55; ++i) {
      Advance(std::chrono::milliseconds(20));
      LosePolls();
    }
    CPPUNIT_ASSERT(!Ended(Run(0)).has_value());
    for (int i = 0; i < 20; ++i) {
      Advance(std::chrono::milliseconds(20));
      LosePolls();
    }
    AssertEnded(Run(0), RunEnd::kLapsed);
  }

  void ConfirmsTheLastEnd() {
    StartAndAccept(Run(0));
    Take<OrderPoll>();
    AnswerPoll({}, {{1, Run(0), RunEnd::kDone}});
    const std::vector<OrderPoll> polls = Take<OrderPoll>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, polls.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, polls[0].last_end);
    AnswerPoll({}, {});
    CPPUNIT_ASSERT(Take<OrderPoll>().empty());
  }

  void SendsNoPollsToATargetThatIsGone() {
    StartAndAccept(Run(0));
    for (int i = 0; i < 60; ++i) {
      Advance(std::chrono::milliseconds(100));
      LosePolls();
    }
    Take<OrderPoll>();
    Advance(std::chrono::milliseconds(500));
    CPPUNIT_ASSERT(Take<OrderPoll>().empty());
    // It comes back as another life.
    Announce(2, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Take<OrderPoll>().size());
  }

  void SendsAnotherPollBesideAnOverdueOne() {
    StartAndAccept(Run(0));
    AnswerPoll({Run(0)}, {});
    Take<OrderPoll>();
    Advance(std::chrono::milliseconds(120));
    CPPUNIT_ASSERT(Take<OrderPoll>().empty());
    Advance(std::chrono::milliseconds(40));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Take<OrderPoll>().size());
    // The first one is answered after all.
    OnPollAnswer(
        &board_, now_, board_.last_poll - 1,
        PollReply{
            TargetIncarnation(1), Clock(), {}, {{1, Run(0), RunEnd::kDone}}});
    AssertEnded(Run(0), RunEnd::kDone);
  }

  void TakesAnAnsweredOrderForASignOfLife() {
    StartAndAccept(Run(0));
    OnPollAnswer(&board_, now_, board_.last_poll, std::nullopt);
    Advance(std::chrono::milliseconds(500));
    Start(Run(1));
    OnStartAnswer(&board_, now_, Run(1), OrderAnswer::kAccepted, std::nullopt);
    Advance(std::chrono::milliseconds(200));
    Take<OrderStart>();
    Start(Run(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Take<OrderStart>().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateProofTest);

/// What a gate does about entries that are lost, silent or replaced, and after
/// a restart of its own.
class GateHomeTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GateHomeTest);
  CPPUNIT_TEST(EndsTheRunsOfASilentEntry);
  CPPUNIT_TEST(EndsRunsWhenItsReportsAreNotHeard);
  CPPUNIT_TEST(IgnoresTheEchoOfAnotherVm);
  CPPUNIT_TEST(KeepsRunsOverALostConnection);
  CPPUNIT_TEST(EndsTheRunsOfAnEntryThatIsGone);
  CPPUNIT_TEST(EndsTheRunsOfAReplacedEntry);
  CPPUNIT_TEST(HasNoRoomWhileFoundRunsAreUnclaimed);
  CPPUNIT_TEST(GivesFoundRunsToTheEntryThatClaimsThem);
  CPPUNIT_TEST(EndsFoundRunsOnceAllEntriesHaveSpoken);
  CPPUNIT_TEST(EndsFoundRunsThatNobodyClaims);
  CPPUNIT_TEST(ReachesForAnEntryThatDoesNotReachForIt);
  CPPUNIT_TEST(ReachesForAnEntryThatItHasLost);
  CPPUNIT_TEST(FindsItsTargetByTheWordOfAnEntry);
  CPPUNIT_TEST(AsksToKeepEachLifeOfItsTargetOnce);
  CPPUNIT_TEST(FindsItsTargetByWhatWasKept);
  CPPUNIT_TEST(TrustsItsTargetMoreThanAnEntry);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EndsTheRunsOfASilentEntry() {
    StartAndAccept(Run(0));
    Advance(std::chrono::milliseconds(680), false);
    CPPUNIT_ASSERT(Take<OrderStop>().empty());
    Advance(std::chrono::milliseconds(60), false);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Take<OrderStop>().size());
  }

  void EndsRunsWhenItsReportsAreNotHeard() {
    StartAndAccept(Run(0));
    const core::Time heard = now_;
    for (int i = 0; i < 40; ++i) {
      Advance(std::chrono::milliseconds(20), false);
      OnMessage(&board_, now_, kEntry, EntryNotice{heard, 0});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Take<OrderStop>().size());
  }

  void IgnoresTheEchoOfAnotherVm() {
    StartAndAccept(Run(0));
    OnMessage(&board_, now_, kEntry,
              EntryNotice{now_ + std::chrono::hours(1), 0});
    Advance(std::chrono::milliseconds(800), false);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Take<OrderStop>().size());
  }

  void KeepsRunsOverALostConnection() {
    StartAndAccept(Run(0));
    OnEntryDisconnected(&board_, now_, kEntry);
    Advance(std::chrono::milliseconds(200));
    CPPUNIT_ASSERT(Take<OrderStop>().empty());
  }

  void EndsTheRunsOfAnEntryThatIsGone() {
    StartAndAccept(Run(0));
    OnEntryReplaced(&board_, now_, kEntry);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Take<OrderStop>().size());
  }

  void EndsTheRunsOfAReplacedEntry() {
    StartAndAccept(Run(0));
    OnMessage(&board_, now_, kEntryAgain, EntryNotice{});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Take<OrderStop>().size());
  }

  void Restart(const std::vector<RunRef>& running) {
    board_ = GateBoard{};
    board_.domain = core::DomainId("szeged");
    Announce(1, 5);
    AnswerPoll(running, {});
    board_.actions.clear();
  }

  void HasNoRoomWhileFoundRunsAreUnclaimed() {
    Restart({Run(0)});
    Start(Run(1));
    AssertRefused(Run(1), RefusalReason::kNoRoom);
  }

  void GivesFoundRunsToTheEntryThatClaimsThem() {
    Restart({Run(0)});
    OnMessage(&board_, now_, kEntry, AskRun{Run(0), false, {1600, 10, 0}});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{14400},
                         ComputeFreeRoom(board_).millicores);
    Advance(std::chrono::milliseconds(400));
    CPPUNIT_ASSERT(Take<OrderStop>().empty());
    AnswerPoll({}, {{3, Run(0), RunEnd::kDone}});
    AssertEnded(Run(0), RunEnd::kDone);
  }

  void EndsFoundRunsOnceAllEntriesHaveSpoken() {
    Restart({Run(0)});
    const core::Time known = now_;
    OnMessage(&board_, now_, kEntry, EntryNotice{});
    OnMessage(&board_, now_, kOtherEntry, EntryNotice{});
    Advance(std::chrono::milliseconds(80), false);
    OnMessage(&board_, now_, kEntry, EntryNotice{known, 0});
    Advance(std::chrono::milliseconds(20), false);
    CPPUNIT_ASSERT(Take<OrderStop>().empty());
    OnMessage(&board_, now_, kOtherEntry, EntryNotice{known, 0});
    Advance(std::chrono::milliseconds(20), false);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Take<OrderStop>().size());
  }

  void EndsFoundRunsThatNobodyClaims() {
    Restart({Run(0)});
    Advance(std::chrono::milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Take<OrderStop>().size());
  }

  void FindsItsTargetByTheWordOfAnEntry() {
    const auto reports = Take<SendTo<TargetReport>>();
    StartAndAccept(Run(0));
    TargetReport last = Take<SendTo<TargetReport>>().back().message;
    board_ = GateBoard{};
    board_.domain = core::DomainId("szeged");
    OnMessage(&board_, now_, kEntry, TargetHint{last});
    const auto polls = Take<OrderPoll>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, polls.size());
    CPPUNIT_ASSERT(!polls[0].lease_until.has_value());
    AnswerPoll({Run(0)}, {});
    OnMessage(&board_, now_, kEntry, AskRun{Run(0), false, {1600, 10, 0}});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{14400},
                         ComputeFreeRoom(board_).millicores);
    Start(Run(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Take<OrderStart>().size());
  }

  void AsksToKeepEachLifeOfItsTargetOnce() {
    Take<StoreTarget>();
    Announce(1, 2);
    CPPUNIT_ASSERT(Take<StoreTarget>().empty());
    Announce(2, 1);
    const std::vector<StoreTarget> kept = Take<StoreTarget>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, kept.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, kept[0].target.born.value());
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.9:80"),
                         kept[0].target.address.value());
    // An old announcement that comes late changes nothing.
    Announce(1, 3);
    CPPUNIT_ASSERT(Take<StoreTarget>().empty());
  }

  void FindsItsTargetByWhatWasKept() {
    OnAnnouncement(&board_, now_, board_.target->announcement);
    const TargetReport kept = *board_.target->stored_report;
    board_ = GateBoard{};
    board_.domain = core::DomainId("szeged");
    OnPreviousTargetFound(&board_, now_, kept, "store");
    CPPUNIT_ASSERT(Take<StoreTarget>().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Take<OrderPoll>().size());
    AnswerPoll({}, {});
    Start(Run(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Take<OrderStart>().size());
  }

  void TrustsItsTargetMoreThanAnEntry() {
    TargetReport other;
    other.target = TargetId("t-2");
    other.born = TargetIncarnation(99);
    OnMessage(&board_, now_, kEntry, TargetHint{other});
    CPPUNIT_ASSERT_EQUAL(std::string("t-1"),
                         board_.target->announcement.target.value());
  }

  void ReachesForAnEntryThatDoesNotReachForIt() {
    const core::Address silent("10.0.0.3:7000");
    OnEntryFound(&board_, now_, silent);
    Advance(std::chrono::milliseconds(140));
    for (const auto& sent : Take<SendTo<TargetReport>>()) {
      CPPUNIT_ASSERT(sent.to.address != silent);
    }
    Advance(std::chrono::milliseconds(20));
    bool reached = false;
    for (const auto& sent : Take<SendTo<TargetReport>>()) {
      reached = reached || sent.to.address == silent;
    }
    CPPUNIT_ASSERT(reached);
  }

  void ReachesForAnEntryThatItHasLost() {
    OnEntryDisconnected(&board_, now_, kEntry);
    board_.actions.clear();
    Advance(std::chrono::milliseconds(450), false);
    bool reached = false;
    for (const auto& sent : Take<SendTo<TargetReport>>()) {
      reached = reached || sent.to == kEntry;
    }
    CPPUNIT_ASSERT(reached);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateHomeTest);

}  // namespace
}  // namespace tarragon::coordinator
