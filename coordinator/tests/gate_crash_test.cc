#include "tests/gate_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A target that crashes under its runs.
class GateCrashTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GateCrashTest);
  CPPUNIT_TEST(ReportsRunsOfTargetWhoseProcessIsGone);
  CPPUNIT_TEST(ReportsRunsOfTargetThatWasRestarted);
  CPPUNIT_TEST(SilentTargetHasNotCrashed);
  CPPUNIT_TEST(DrainingTargetHasNotCrashed);
  CPPUNIT_TEST(AnsweringTargetHasNotCrashed);
  CPPUNIT_TEST(StartsOneSuspectAtATime);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FailPolls(PollFailure failure) {
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, poll] : board_.polls) numbers.push_back(number);
    for (const std::uint64_t number : numbers) {
      OnPollAnswer(&board_, now_, number, std::nullopt, failure);
    }
  }

  /// Fails all polls until the last lease has expired.
  void FailPollsUntilLeaseExpires(PollFailure failure) {
    for (int i = 0; i < 30; ++i) {
      FailPolls(failure);
      Advance(milliseconds(50));
    }
  }

  void AssertCrash(const RunRef& run, bool crashed) {
    const std::optional<RunEnded> ended = TakeEndOf(run);
    CPPUNIT_ASSERT(ended.has_value());
    CPPUNIT_ASSERT(ended->end == RunEnd::kLapsed);
    CPPUNIT_ASSERT_EQUAL(crashed, ended->target_crashed);
  }

  void ReportsRunsOfTargetWhoseProcessIsGone() {
    StartAndAccept(MakeRun(0));
    FailPollsUntilLeaseExpires(PollFailure::kRefused);
    AssertCrash(MakeRun(0), true);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, board_.counts.target_crashes);
  }

  void ReportsRunsOfTargetThatWasRestarted() {
    StartAndAccept(MakeRun(0));
    Announce(2, 1);
    now_ = now_ + milliseconds(1);
    Advance(milliseconds(20));
    AnswerPoll({}, {}, 2);
    AssertCrash(MakeRun(0), true);
  }

  void SilentTargetHasNotCrashed() {
    StartAndAccept(MakeRun(0));
    FailPollsUntilLeaseExpires(PollFailure::kNoAnswer);
    AssertCrash(MakeRun(0), false);
  }

  void DrainingTargetHasNotCrashed() {
    StartAndAccept(MakeRun(0));
    Announce(1, 2, true);
    FailPollsUntilLeaseExpires(PollFailure::kRefused);
    AssertCrash(MakeRun(0), false);
  }

  void AnsweringTargetHasNotCrashed() {
    StartAndAccept(MakeRun(0));
    Advance(milliseconds(20));
    FailPolls(PollFailure::kRefused);
    Advance(milliseconds(80));
    AnswerPoll({MakeRun(0)}, {});
    Advance(milliseconds(20));
    FailPollsUntilLeaseExpires(PollFailure::kNoAnswer);
    AssertCrash(MakeRun(0), false);
  }

  void StartSuspect(const RunRef& run) {
    StartRun start;
    start.run = run;
    start.sequence = ++sequence_;
    start.service = core::ServiceId("carve");
    start.room = {1600, 10, 0};
    start.start_by = now_ + milliseconds(400);
    start.suspect = true;
    OnMessage(&board_, now_, kEntry, start);
  }

  void StartsOneSuspectAtATime() {
    StartSuspect(MakeRun(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderStart>().size());
    for (const auto& sent : TakeActions<SendTo<TargetReport>>()) {
      CPPUNIT_ASSERT(sent.message.has_suspect);
    }
    StartSuspect(MakeRun(1));
    AssertRefused(MakeRun(1), RefusalReason::kOtherSuspect);
    StartAndAccept(MakeRun(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderStart>().size());
    OnStartAnswer(&board_, now_, MakeRun(0), OrderAnswer::kAccepted,
                  std::nullopt);
    AnswerPoll({MakeRun(2)}, {{1, MakeRun(0), RunEnd::kDone}});
    StartSuspect(MakeRun(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderStart>().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateCrashTest);

}  // namespace
}  // namespace tarragon::coordinator
