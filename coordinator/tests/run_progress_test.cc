#include "tarragon/coordinator/run_progress.h"

#include <cppunit/extensions/HelperMacros.h>

#include "gate_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// What a gate makes of listed percent. Its run is expected to take 100 ms and
/// is polled every 50 ms.
class RunProgressTest : public GateFixture {
  CPPUNIT_TEST_SUITE(RunProgressTest);
  CPPUNIT_TEST(TellsRestOfLongRun);
  CPPUNIT_TEST(TellsNothingWithinExpectedTime);
  CPPUNIT_TEST(FindsStandingRunsInTime);
  CPPUNIT_TEST(RunThatIsPausedWithItsVmDoesNotStand);
  CPPUNIT_TEST(WithdrawsProgressThatFallsOrIsMissing);
  CPPUNIT_TEST(IgnoresListingThatArrivesLate);
  CPPUNIT_TEST(MeasuresRunFoundAfterRestart);
  CPPUNIT_TEST(LongRunAloneDoesNotMakeTargetSlow);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TellsRestOfLongRun() {
    Begin(MakeRun(0));
    List(milliseconds(100), 14);
    CPPUNIT_ASSERT(TakeProgress().empty());
    List(milliseconds(50), 21);
    const std::vector<RunProgress> sent = TakeProgress();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
    CPPUNIT_ASSERT(!sent[0].standing);
    CPPUNIT_ASSERT_EQUAL(21U, sent[0].percent);
    // 150 ms gave 21 percent, so 79 percent take 564 ms.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        564, static_cast<double>(core::Millis(sent[0].remaining)), 30);
    for (std::uint32_t percent = 28; percent < 49; percent += 7) {
      List(milliseconds(50), percent);
    }
    CPPUNIT_ASSERT(TakeProgress().empty());
    List(milliseconds(50), 49);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeProgress().size());
  }

  void TellsNothingWithinExpectedTime() {
    Begin(MakeRun(0));
    List(milliseconds(45), 40);
    List(milliseconds(50), 80);
    CPPUNIT_ASSERT(TakeProgress().empty());
  }

  /// Without progress the entry stops a run at 4 times 100 ms + 100 ms.
  void FindsStandingRunsInTime() {
    for (const std::uint32_t stop_at : {0U, 3U, 30U, 99U}) {
      setUp();
      Begin(MakeRun(0));
      core::Duration stands{0};
      for (core::Duration at = milliseconds(50); at < milliseconds(500);
           at += milliseconds(50)) {
        List(milliseconds(50),
             std::min<std::uint32_t>(
                 stop_at, static_cast<std::uint32_t>(core::Millis(at))));
        for (const RunProgress& sent : TakeProgress()) {
          if (sent.standing && stands.count() == 0) stands = at;
        }
      }
      CPPUNIT_ASSERT(stands > core::Duration(0));
      CPPUNIT_ASSERT(stands <= milliseconds(500));
    }
  }

  void RunThatIsPausedWithItsVmDoesNotStand() {
    Begin(MakeRun(0));
    List(milliseconds(100), 14);
    List(milliseconds(50), 21);
    List(milliseconds(400), 21);
    List(milliseconds(50), 28);
    List(milliseconds(200), 56);
    for (const RunProgress& sent : TakeProgress()) {
      CPPUNIT_ASSERT(!sent.standing);
    }
  }

  void WithdrawsProgressThatFallsOrIsMissing() {
    for (const std::optional<std::uint32_t> next :
         {std::optional<std::uint32_t>(5), std::optional<std::uint32_t>()}) {
      setUp();
      Begin(MakeRun(0));
      List(milliseconds(150), 21);
      TakeProgress();
      List(milliseconds(200), next);
      List(milliseconds(200), 60);
      for (const RunProgress& sent : TakeProgress()) {
        CPPUNIT_ASSERT(!sent.standing);
        CPPUNIT_ASSERT(sent.remaining == core::Duration(0));
      }
    }
  }

  void IgnoresListingThatArrivesLate() {
    Begin(MakeRun(0));
    List(milliseconds(150), 21);
    TakeProgress();
    const core::Time late = now_;
    List(milliseconds(200), 49);
    TakeProgress();
    // The answer to an earlier poll overtakes nothing.
    now_ = now_ + milliseconds(1);
    Answer(14, TargetClock(core::Millis(late.since_start)));
    List(milliseconds(250), 84);
    CPPUNIT_ASSERT_EQUAL(84U, TakeProgress().at(0).percent);
  }

  void MeasuresRunFoundAfterRestart() {
    run_ = MakeRun(0);
    List(milliseconds(50), 40);
    OnMessage(&board_, now_, kEntry, AskRun{run_, false, {1600, 10, 0}});
    List(milliseconds(50), 45);
    const std::vector<RunProgress> sent = TakeProgress();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{550}, core::Millis(sent[0].remaining));
  }

  /// Two jobs end in their time beside a run that takes seven times its own.
  void LongRunAloneDoesNotMakeTargetSlow() {
    Begin(MakeRun(0));
    for (std::uint32_t percent = 7; percent < 98; percent += 7) {
      List(milliseconds(50), percent);
    }
    TakeActions<SendTo<TargetReport>>();
    Advance(milliseconds(220));
    const std::vector<SendTo<TargetReport>> reports =
        TakeActions<SendTo<TargetReport>>();
    CPPUNIT_ASSERT(!reports.empty());
    for (const SendTo<TargetReport>& report : reports) {
      CPPUNIT_ASSERT_EQUAL(1000U, report.message.slowness_permille);
    }
  }

 private:
  void Begin(const RunRef& run) {
    run_ = run;
    StartAndAccept(run);
    board_.runs.at(run).expected_run_time = milliseconds(100);
    board_.runs.at(run).started_at = now_;
  }

  /// Lists the run with its percent after `pause`.
  void List(core::Duration pause, std::optional<std::uint32_t> percent) {
    now_ = now_ + pause;
    Answer(percent, CurrentTargetClock());
  }

  void Answer(std::optional<std::uint32_t> percent, TargetClock clock) {
    PollReply poll;
    poll.born = TargetIncarnation(1);
    poll.clock = clock;
    poll.running = {{run_, percent}};
    if (board_.polls.empty()) PollNow();
    OnPollAnswer(&board_, now_, board_.polls.rbegin()->first, poll);
  }

  void PollNow() {
    // The gate polls only while runs or ends are open.
    board_.polls[++board_.last_poll] = {now_, 0};
  }

  std::vector<RunProgress> TakeProgress() {
    std::vector<RunProgress> taken;
    for (const SendTo<RunProgress>& sent : TakeActions<SendTo<RunProgress>>()) {
      taken.push_back(sent.message);
    }
    return taken;
  }

  RunRef run_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunProgressTest);

}  // namespace
}  // namespace tarragon::coordinator
