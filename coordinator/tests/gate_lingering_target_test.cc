#include "gate_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// A gate that restarts while its target, which is leaving, still runs tasks
/// and another target has joined beside it.
class GateLingeringTargetTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GateLingeringTargetTest);
  CPPUNIT_TEST(StoredTargetThatHasNotAnsweredMayRunTasks);
  CPPUNIT_TEST(FirstAnnouncementSaysNothingOfRunsAtEarlierTarget);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a second run of a task: the run at the silent target was
  // sealed at the other one, which knows nothing of it.
  void StoredTargetThatHasNotAnsweredMayRunTasks() {
    const TargetReport stored = *board_.target->stored_report;
    Restart();
    OnPreviousTargetFound(&board_, now_, stored, "store");
    LosePolls();
    AnnounceOther(1);
    AnswerAllPolls();
    AssertNoEndWithinLease();
  }

  void FirstAnnouncementSaysNothingOfRunsAtEarlierTarget() {
    const TargetReport stored = *board_.target->stored_report;
    Restart();
    AnnounceOther(1);
    AnswerAllPolls();
    OnPreviousTargetFound(&board_, now_, stored, "store");
    AssertNoEndWithinLease();
  }

 private:
  void Restart() {
    board_ = GateBoard{};
    board_.domain = core::DomainId("szeged");
    OnMessage(&board_, now_, kEntry, MakeNotice({}));
  }

  void AnnounceOther(std::int64_t sequence) {
    Announcement announcement;
    announcement.target = TargetId("t-2");
    announcement.born = TargetIncarnation(2);
    announcement.sequence = sequence;
    announcement.address = core::Address("10.0.0.9:81");
    announcement.service = core::ServiceId("carve");
    announcement.domain = core::DomainId("szeged");
    announcement.capacity = {16000, 1000, 0};
    announcement.clock = CurrentTargetClock();
    OnAnnouncement(&board_, now_, announcement);
  }

  /// Target t-2 answers polls and stops; t-1 does not.
  void AnswerAllPolls() {
    for (const OrderPoll& poll : TakeActions<OrderPoll>()) {
      if (poll.target != TargetId("t-2")) {
        OnPollAnswer(&board_, now_, poll.number, std::nullopt);
        continue;
      }
      PollReply reply;
      reply.born = TargetIncarnation(2);
      reply.clock = CurrentTargetClock();
      OnPollAnswer(&board_, now_, poll.number, reply);
    }
    for (const OrderStop& stop : TakeActions<OrderStop>()) {
      OnStopAnswer(&board_, now_, stop.run,
                   stop.target == TargetId("t-2") ? OrderAnswer::kAccepted
                                                  : OrderAnswer::kUnclear);
    }
  }

  /// The earlier process may have renewed the lease just before the restart.
  void AssertNoEndWithinLease() {
    for (int i = 0; i < 45; ++i) {
      OnMessage(&board_, now_, kEntry,
                AskRun{MakeRun(0), false, {1600, 10, 0}});
      Advance(milliseconds(20));
      AnswerAllPolls();
      const std::optional<RunEnded> ended = TakeEndOf(MakeRun(0));
      CPPUNIT_ASSERT_MESSAGE("Told as over " + std::to_string(20 * (i + 1)) +
                                 " ms after the restart.",
                             !ended.has_value());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateLingeringTargetTest);

}  // namespace
}  // namespace tarragon::coordinator
