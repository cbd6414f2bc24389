#include "gate_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// Announcements of another target, or of another incarnation, than the known
/// one. Anyone can send them.
class GateCandidateTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GateCandidateTest);
  CPPUNIT_TEST(AnnouncementOfOtherWriterLeavesRuns);
  CPPUNIT_TEST(TargetStaysInUseAfterAnnouncementOfOtherWriter);
  CPPUNIT_TEST(AnnouncementUnderKnownIdLeavesRuns);
  CPPUNIT_TEST(AnnouncementAtKnownAddressLeavesTargetInUse);
  CPPUNIT_TEST(ChangedServiceOfKnownIncarnationChangesNothing);
  CPPUNIT_TEST(FirstAnnouncementOfOtherWriterIsReplaced);
  CPPUNIT_TEST(OddStoredTargetIsReplaced);
  CPPUNIT_TEST(AdoptsTargetThatAnswersAtKnownAddress);
  CPPUNIT_TEST(AdoptsOtherTargetOnceKnownOneRefusesConnections);
  CPPUNIT_TEST(AdoptsOtherTargetOnceLeaseOfSilentOneExpires);
  CPPUNIT_TEST(IgnoresOtherTargetWhileKnownOneAnswers);
  CPPUNIT_TEST(AdoptsOtherTargetBesideIdleDrainingOne);
  CPPUNIT_TEST(StartsNothingWhileNewIncarnationIsUnproved);
  CPPUNIT_TEST(RepeatsUnansweredPollOfCandidate);
  CPPUNIT_TEST(CountsDrainingFromItsAnnouncement);
  CPPUNIT_TEST(AdoptsIncarnationWithEarlierStartTime);
  CPPUNIT_TEST(PollFindsIncarnationWithEarlierStartTime);
  CPPUNIT_TEST(PollOfKnownTargetProvesAnnouncedIncarnation);
  CPPUNIT_TEST(CandidateThatLeavesIsDropped);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against runs that are started again beside the first ones (TWICE):
  // one announcement under another id ended all runs at the gate although the
  // real target went on with them.
  void AnnouncementOfOtherWriterLeavesRuns() {
    StartAndAccept(MakeRun(0));
    OnAnnouncement(&board_, now_, MakeForeign());
    CPPUNIT_ASSERT(!TakeEndOf(MakeRun(0)).has_value());
    RefuseCandidatePoll();
    for (int i = 0; i < 10; ++i) {
      AnswerNextPoll({MakeRun(0)}, {});
      RefuseCandidatePoll();
    }
    CPPUNIT_ASSERT(!TakeEndOf(MakeRun(0)).has_value());
    CPPUNIT_ASSERT(!board_.candidate.has_value());
    AnswerNextPoll({}, {{1, MakeRun(0), RunEnd::kDone}});
    AssertEnded(MakeRun(0), RunEnd::kDone);
  }

  // Guards against a real target that stays unused, because its announcements
  // have an earlier start time than that of another writer.
  void TargetStaysInUseAfterAnnouncementOfOtherWriter() {
    OnAnnouncement(&board_, now_, MakeForeign());
    AssertAcceptsStart(MakeRun(0));
    RefuseCandidatePoll();
    Announce(1, 2);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, board_.target->announcement.sequence);
    AssertAcceptsStart(MakeRun(1));
  }

  void AnnouncementUnderKnownIdLeavesRuns() {
    StartAndAccept(MakeRun(0));
    Announcement foreign = MakeForeign();
    foreign.target = TargetId("t-1");
    OnAnnouncement(&board_, now_, foreign);
    RefuseCandidatePoll();
    AnswerNextPoll({MakeRun(0)}, {});
    CPPUNIT_ASSERT(!TakeEndOf(MakeRun(0)).has_value());
    AssertAcceptsStart(MakeRun(1));
  }

  // Guards against a target that stays unused for seconds after an announcement
  // of another writer with its address.
  void AnnouncementAtKnownAddressLeavesTargetInUse() {
    Announcement foreign = MakeForeign();
    foreign.address = board_.target->announcement.address;
    OnAnnouncement(&board_, now_, foreign);
    FailCandidatePoll(PollFailure::kOtherTarget);
    CPPUNIT_ASSERT(!board_.candidate.has_value());
    AssertAcceptsStart(MakeRun(0));
  }

  void ChangedServiceOfKnownIncarnationChangesNothing() {
    Announcement foreign = board_.target->announcement;
    foreign.sequence = 2;
    foreign.service = core::ServiceId("no-such-service");
    OnAnnouncement(&board_, now_, foreign);
    AssertAcceptsStart(MakeRun(0));
    foreign = board_.target->announcement;
    foreign.sequence = 3;
    foreign.address = core::Address("127.0.0.1:1");
    OnAnnouncement(&board_, now_, foreign);
    AssertAcceptsStart(MakeRun(1));
  }

  void FirstAnnouncementOfOtherWriterIsReplaced() {
    board_ = GateBoard{};
    board_.domain = core::DomainId("szeged");
    OnAnnouncement(&board_, now_, MakeForeign());
    LosePolls();
    Announce(1, 1);
    AnswerPoll({}, {}, 1);
    AssertAcceptsStart(MakeRun(0));
  }

  // Guards against a restarted gate that never uses its target, because an odd
  // entry for it lies in the store.
  void OddStoredTargetIsReplaced() {
    constexpr std::int64_t kHuge = std::int64_t{1} << 62;
    TargetReport odd;
    odd.target = TargetId("t-1");
    odd.born = TargetIncarnation(kHuge);
    odd.sequence = kHuge;
    odd.address = core::Address("10.0.0.9:70000");
    odd.capacity = {std::int64_t{1} << 40, -1, 0};
    odd.speed_permille = 0xffffffff;
    board_ = GateBoard{};
    board_.domain = core::DomainId("szeged");
    OnPreviousTargetFound(&board_, now_, odd, "store");
    LosePolls();
    Announce(1, 1);
    AnswerPoll({}, {}, 1);
    AssertAcceptsStart(MakeRun(0));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{16000},
                         board_.target->announcement.capacity.millicores);
  }

  void AdoptsTargetThatAnswersAtKnownAddress() {
    StartAndAccept(MakeRun(0));
    Announcement other = MakeOther();
    other.address = board_.target->announcement.address;
    OnAnnouncement(&board_, now_, other);
    AnswerCandidatePoll();
    AssertEnded(MakeRun(0), RunEnd::kLapsed);
    AssertAcceptsStart(MakeRun(1));
    const OrderStart order = last_start_;
    CPPUNIT_ASSERT(order.target == other.target);
  }

  void AdoptsOtherTargetOnceKnownOneRefusesConnections() {
    StartAndAccept(MakeRun(0));
    OnAnnouncement(&board_, now_, MakeOther());
    AnswerCandidatePoll();
    CPPUNIT_ASSERT(!TakeEndOf(MakeRun(0)).has_value());
    RefusePolls();
    AssertEnded(MakeRun(0), RunEnd::kLapsed);
    AnswerPoll({}, {}, 9);
    AssertAcceptsStart(MakeRun(1));
  }

  void AdoptsOtherTargetOnceLeaseOfSilentOneExpires() {
    StartAndAccept(MakeRun(0));
    AnswerPoll({MakeRun(0)}, {});
    Advance(milliseconds(20));
    OnAnnouncement(&board_, now_, MakeOther());
    AnswerCandidatePoll();
    for (int i = 0; i < 45; ++i) {
      LosePolls();
      Advance(milliseconds(20));
    }
    CPPUNIT_ASSERT(!TakeEndOf(MakeRun(0)).has_value());
    for (int i = 0; i < 30; ++i) {
      LosePolls();
      Advance(milliseconds(20));
    }
    AssertEnded(MakeRun(0), RunEnd::kLapsed);
    CPPUNIT_ASSERT(board_.target->announcement.target == MakeOther().target);
  }

  void IgnoresOtherTargetWhileKnownOneAnswers() {
    AssertAcceptsStart(MakeRun(0));
    OnStartAnswer(&board_, now_, MakeRun(0), OrderAnswer::kAccepted,
                  std::nullopt);
    OnAnnouncement(&board_, now_, MakeOther());
    AnswerCandidatePoll();
    AnswerNextPoll({MakeRun(0)}, {});
    CPPUNIT_ASSERT(!board_.candidate.has_value());
    CPPUNIT_ASSERT(!TakeEndOf(MakeRun(0)).has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, board_.counts.ignored_candidates);
  }

  void AdoptsOtherTargetBesideIdleDrainingOne() {
    Announce(1, 2, true);
    OnAnnouncement(&board_, now_, MakeOther());
    AnswerCandidatePoll();
    CPPUNIT_ASSERT(board_.target->announcement.target == MakeOther().target);
    AssertAcceptsStart(MakeRun(0));
  }

  void StartsNothingWhileNewIncarnationIsUnproved() {
    Announce(2, 1);
    Start(MakeRun(0));
    AssertRefused(MakeRun(0), RefusalReason::kNoTarget);
    AnswerCandidatePoll();
    AssertAcceptsStart(MakeRun(1));
  }

  void RepeatsUnansweredPollOfCandidate() {
    Announce(2, 1);
    TakeActions<OrderPoll>();
    FailCandidatePoll(PollFailure::kNoAnswer);
    CPPUNIT_ASSERT(TakeActions<OrderPoll>().empty());
    Advance(milliseconds(80));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderPoll>().size());
    AnswerCandidatePoll();
    AssertAcceptsStart(MakeRun(0));
  }

  void CountsDrainingFromItsAnnouncement() {
    Announcement other = MakeOther();
    other.address = board_.target->announcement.address;
    other.draining = true;
    OnAnnouncement(&board_, now_, other);
    now_ = now_ + milliseconds(30);
    AnswerCandidatePoll();
    CPPUNIT_ASSERT(board_.target->announced_at == now_ - milliseconds(30));
    Start(MakeRun(0));
    AssertRefused(MakeRun(0), RefusalReason::kNoTarget);
  }

  // Guards against a target that stays unused because the clock was set back
  // before it was started again.
  void AdoptsIncarnationWithEarlierStartTime() {
    StartAndAccept(MakeRun(0));
    Announce(0, 1);
    CPPUNIT_ASSERT(!TakeEndOf(MakeRun(0)).has_value());
    AnswerCandidatePoll();
    AssertEnded(MakeRun(0), RunEnd::kLapsed);
    AssertAcceptsStart(MakeRun(1));
  }

  void PollFindsIncarnationWithEarlierStartTime() {
    StartAndAccept(MakeRun(0));
    AnswerNextPollBorn(0);
    AssertEnded(MakeRun(0), RunEnd::kLapsed);
  }

  void PollOfKnownTargetProvesAnnouncedIncarnation() {
    StartAndAccept(MakeRun(0));
    Announce(2, 1);
    AnswerNextPollBorn(2);
    CPPUNIT_ASSERT(!board_.candidate.has_value());
    AssertEnded(MakeRun(0), RunEnd::kLapsed);
    AssertAcceptsStart(MakeRun(1));
  }

  void CandidateThatLeavesIsDropped() {
    OnAnnouncement(&board_, now_, MakeOther());
    OnTargetLeft(&board_, now_, MakeOther().target);
    CPPUNIT_ASSERT(!board_.candidate.has_value());
    AssertAcceptsStart(MakeRun(0));
  }

 private:
  /// A well-formed announcement at whose address nobody answers.
  static Announcement MakeForeign() {
    Announcement foreign = MakeOther();
    foreign.target = TargetId("i-of-another-writer");
    foreign.address = core::Address("127.0.0.1:1");
    foreign.service = core::ServiceId("no-such-service");
    return foreign;
  }

  /// The announcement of a target with another id at another address.
  static Announcement MakeOther() {
    Announcement other;
    other.target = TargetId("t-2");
    other.born = TargetIncarnation(9);
    other.sequence = 1;
    other.address = core::Address("10.0.0.9:81");
    other.service = core::ServiceId("carve");
    other.domain = core::DomainId("szeged");
    other.capacity = {16000, 1000, 0};
    other.clock = TargetClock(1000);
    return other;
  }

  void AnswerCandidatePoll() {
    CPPUNIT_ASSERT(board_.candidate.has_value());
    PollReply poll;
    poll.born = board_.candidate->announcement.born;
    poll.clock = CurrentTargetClock();
    OnPollAnswer(&board_, now_, board_.candidate->open_poll, poll);
  }

  void FailCandidatePoll(PollFailure failure) {
    if (!board_.candidate.has_value()) return;
    if (board_.candidate->open_poll == 0) return;
    OnPollAnswer(&board_, now_, board_.candidate->open_poll, std::nullopt,
                 failure);
  }

  void RefuseCandidatePoll() { FailCandidatePoll(PollFailure::kRefused); }

  /// The process of the known target is gone.
  void RefusePolls() {
    now_ = now_ + milliseconds(1);
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, poll] : board_.polls) numbers.push_back(number);
    for (const std::uint64_t number : numbers) {
      OnPollAnswer(&board_, now_, number, std::nullopt, PollFailure::kRefused);
    }
  }

  /// Fails the pending polls of the known target, and answers the next one as
  /// the incarnation `born`.
  void AnswerNextPollBorn(std::int64_t born) {
    LosePolls();
    Advance(milliseconds(80));
    PollReply poll;
    poll.born = TargetIncarnation(born);
    poll.clock = CurrentTargetClock();
    OnPollAnswer(&board_, now_, board_.polls.rbegin()->first, poll);
  }

  void AssertAcceptsStart(const RunRef& run) {
    TakeActions<OrderStart>();
    Start(run);
    const std::vector<OrderStart> orders = TakeActions<OrderStart>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
    last_start_ = orders[0];
  }

  OrderStart last_start_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateCandidateTest);

}  // namespace
}  // namespace tarragon::coordinator
