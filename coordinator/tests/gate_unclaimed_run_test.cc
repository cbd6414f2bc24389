#include "gate_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// Runs that a restarted gate finds at its target.
class GateUnclaimedRunTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GateUnclaimedRunTest);
  CPPUNIT_TEST(OlderListDoesNotEndUnclaimedRun);
  CPPUNIT_TEST(LaterListEndsUnclaimedRun);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a run that its entry places again while it is at work: the
  // answer to an earlier poll, which did not list it yet, came after the list.
  void OlderListDoesNotEndUnclaimedRun() {
    const std::uint64_t older = FindRunByLaterOfTwoPolls();
    AnswerPollNumber(older, {});
    OnMessage(&board_, now_, kEntry, AskRun{MakeRun(0), false, {1600, 10, 0}});
    const std::optional<RunEnded> ended = TakeEndOf(MakeRun(0));
    CPPUNIT_ASSERT_MESSAGE(
        ended.has_value() ? std::string("Told as ") + Name(ended->end) : "",
        !ended.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountOpenRuns(board_));
  }

  void LaterListEndsUnclaimedRun() {
    FindRunByLaterOfTwoPolls();
    AnswerNextPoll({}, {});
    OnMessage(&board_, now_, kEntry, AskRun{MakeRun(0), false, {1600, 10, 0}});
    AssertEnded(MakeRun(0), RunEnd::kStopped);
  }

 private:
  /// The gate restarts while polls get lost, so that it sends two at a time. A
  /// start that the earlier process has sent is carried out between them.
  std::uint64_t FindRunByLaterOfTwoPolls() {
    board_ = GateBoard{};
    board_.domain = core::DomainId("szeged");
    Announce(1, 5);
    LosePolls();
    Advance(milliseconds(80), false);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, board_.polls.size());
    const std::uint64_t older = board_.polls.begin()->first;
    AnswerPoll({MakeRun(0)}, {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountOpenRuns(board_));
    now_ = now_ + milliseconds(1);
    board_.actions.clear();
    return older;
  }

  void AnswerPollNumber(std::uint64_t number,
                        const std::vector<RunRef>& running) {
    PollReply poll;
    poll.born = TargetIncarnation(1);
    poll.clock = CurrentTargetClock();
    for (const RunRef& run : running) poll.running.push_back({run, {}});
    OnPollAnswer(&board_, now_, number, poll);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateUnclaimedRunTest);

}  // namespace
}  // namespace tarragon::coordinator
