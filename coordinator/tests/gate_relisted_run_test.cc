#include <algorithm>

#include "gate_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// Runs that the target lists although the gate has told their end.
class GateRelistedRunTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GateRelistedRunTest);
  CPPUNIT_TEST(StopsEndedRunThatNextIncarnationLists);
  CPPUNIT_TEST(StopsEndedRunThatLaterPollLists);
  CPPUNIT_TEST(OlderListDoesNotBringBackEndedRun);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a run that goes on beside its successor: a late start passed
  // the check for the target's id, and the next incarnation knew neither the
  // stop nor the clock of the start's deadline.
  void StopsEndedRunThatNextIncarnationLists() {
    EndUnansweredStart();
    LosePolls();
    Advance(milliseconds(80));
    board_.actions.clear();
    AnswerPoll({MakeRun(0)}, {}, 2);
    Advance(milliseconds(100));
    AssertStopOrdered();
  }

  void StopsEndedRunThatLaterPollLists() {
    EndUnansweredStart();
    LosePolls();
    Advance(milliseconds(80));
    board_.actions.clear();
    AnswerPoll({MakeRun(0), MakeRun(1)}, {});
    Advance(milliseconds(100));
    AssertStopOrdered();
  }

  void OlderListDoesNotBringBackEndedRun() {
    StartAndAccept(MakeRun(0));
    StartAndAccept(MakeRun(1));
    const std::uint64_t older = board_.last_poll;
    Advance(milliseconds(160));
    CPPUNIT_ASSERT(board_.last_poll > older);
    AnswerPoll({MakeRun(1)}, {{1, MakeRun(0), RunEnd::kDone}});
    board_.actions.clear();
    PollReply poll;
    poll.born = TargetIncarnation(1);
    poll.clock = CurrentTargetClock();
    poll.running = {{MakeRun(0), {}}, {MakeRun(1), {}}};
    OnPollAnswer(&board_, now_, older, poll);
    Advance(milliseconds(100));
    CPPUNIT_ASSERT(TakeActions<OrderStop>().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountOpenRuns(board_));
  }

 private:
  /// Run 0 is not answered and sealed; run 1 is at work.
  void EndUnansweredStart() {
    StartAndAccept(MakeRun(1));
    Start(MakeRun(0));
    OnStartAnswer(&board_, now_, MakeRun(0), OrderAnswer::kUnclear,
                  std::nullopt);
    OnStopAnswer(&board_, now_, MakeRun(0), OrderAnswer::kAccepted);
    AnswerNextPoll({MakeRun(1)}, {});
    AssertEnded(MakeRun(0), RunEnd::kStopped);
  }

  void AssertStopOrdered() {
    const std::vector<OrderStop> stops = TakeActions<OrderStop>();
    CPPUNIT_ASSERT_MESSAGE(
        "The run is listed and nobody stops it.",
        std::any_of(stops.begin(), stops.end(), [](const OrderStop& stop) {
          return stop.run == MakeRun(0);
        }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateRelistedRunTest);

}  // namespace
}  // namespace tarragon::coordinator
