#include "gate_fixture.h"
#include "log_lines.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

constexpr char kListedAfterEnd[] =
    "The target lists a run that had ended here.";

/// Log lines and counters by which two runs of one task are told apart.
class GateLogTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GateLogTest);
  CPPUNIT_TEST(WarnsOnceOfRunListedAfterItsRefusal);
  CPPUNIT_TEST(WarnsOfRunListedAfterItsEnd);
  CPPUNIT_TEST(SilentAboutListOlderThanTheEnd);
  CPPUNIT_TEST(TellsWhyAndForHowLongRunWasToStop);
  CPPUNIT_TEST(KeepsFirstReasonOfStop);
  CPPUNIT_TEST(TellsThatStartWasNotAnswered);
  CPPUNIT_TEST(TellsThatNobodyClaimedRun);
  CPPUNIT_TEST(TellsThatEntryWasReplaced);
  CPPUNIT_TEST(TellsWhichRunKeepsStartFromBeingOnlyOne);
  CPPUNIT_TEST(TellsAgeOfRefusedStart);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a start that is taken for refused and carried out all the
  // same, without a trace in the log.
  void WarnsOnceOfRunListedAfterItsRefusal() {
    StartAndAccept(MakeRun(1));
    Start(MakeRun(0));
    OnStartAnswer(&board_, now_, MakeRun(0), OrderAnswer::kRefused,
                  std::nullopt);
    AnswerNextPoll({MakeRun(0), MakeRun(1)}, {});
    const std::vector<LogLine> lines =
        TakeLines(kListedAfterEnd, &board_.log_lines);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines.size());
    CPPUNIT_ASSERT(lines[0].level == core::LogLevel::kWarn);
    CPPUNIT_ASSERT_EQUAL(ToString(MakeRun(0)), lines[0].subject);
    AssertField(lines[0], "end", "refused");
    AssertField(lines[0], "reason", "target_refused");
    AssertField(lines[0], "ended", "81ms");
    AssertField(lines[0], "entry", core::ToString(kEntry));
    AnswerNextPoll({MakeRun(0), MakeRun(1)}, {});
    CPPUNIT_ASSERT(TakeLines(kListedAfterEnd, &board_.log_lines).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, board_.counts.runs_listed_after_end);
  }

  void WarnsOfRunListedAfterItsEnd() {
    StartAndAccept(MakeRun(0));
    StartAndAccept(MakeRun(1));
    AnswerNextPoll({MakeRun(1)}, {});
    AnswerNextPoll({MakeRun(0), MakeRun(1)}, {});
    const std::vector<LogLine> lines =
        TakeLines(kListedAfterEnd, &board_.log_lines);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines.size());
    AssertField(lines[0], "end", "lapsed");
  }

  void SilentAboutListOlderThanTheEnd() {
    StartAndAccept(MakeRun(0));
    StartAndAccept(MakeRun(1));
    Advance(milliseconds(20));
    const std::uint64_t older_poll = board_.last_poll;
    Start(MakeRun(2));
    now_ = now_ + milliseconds(1);
    OnStartAnswer(&board_, now_, MakeRun(2), OrderAnswer::kRefused,
                  std::nullopt);
    PollReply poll;
    poll.born = TargetIncarnation(1);
    poll.clock = CurrentTargetClock();
    for (std::uint32_t i = 0; i < 3; ++i)
      poll.running.push_back({MakeRun(i), {}});
    OnPollAnswer(&board_, now_, older_poll, poll);
    CPPUNIT_ASSERT(TakeLines(kListedAfterEnd, &board_.log_lines).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, board_.counts.runs_listed_after_end);
  }

  void TellsWhyAndForHowLongRunWasToStop() {
    StartAndAccept(MakeRun(0));
    StartAndAccept(MakeRun(1));
    // The other entry goes on.
    for (int i = 0; i < 40; ++i) {
      now_ = now_ + milliseconds(20);
      OnMessage(&board_, now_, kOtherEntry, MakeNotice(now_));
      OnTick(&board_, now_);
    }
    const std::vector<LogLine> silent =
        TakeLines("An entry is silent; stopping its runs.", &board_.log_lines);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, silent.size());
    AssertField(silent[0], "runs", "2");
    AssertField(silent[0], "connected", "true");
    AnswerNextPollWithoutEntry({MakeRun(1)},
                               {{1, MakeRun(0), RunEnd::kStopped}});
    const LogLine line = TakeEndLine(MakeRun(0));
    AssertField(line, "entry", core::ToString(kEntry));
    AssertField(line, "stop", "entry_silent");
    CPPUNIT_ASSERT(ReadMillis(line, "entry_silent") > 700);
    CPPUNIT_ASSERT(ReadMillis(line, "stop_age") > 0);
    CPPUNIT_ASSERT(ReadMillis(line, "ordered") > 700);
  }

  void KeepsFirstReasonOfStop() {
    StartAndAccept(MakeRun(0));
    StartAndAccept(MakeRun(1));
    OnMessage(&board_, now_, kEntry, AskRun{MakeRun(0), true, {}});
    OnEntryReplaced(&board_, now_, kEntry);
    AnswerNextPoll({}, {{1, MakeRun(0), RunEnd::kStopped},
                        {2, MakeRun(1), RunEnd::kStopped}});
    AssertField(TakeEndLine(MakeRun(0), false), "stop", "by_entry");
    AssertField(TakeEndLine(MakeRun(1)), "stop", "entry_replaced");
  }

  void TellsThatStartWasNotAnswered() {
    StartAndAccept(MakeRun(1));
    Start(MakeRun(0));
    OnStartAnswer(&board_, now_, MakeRun(0), OrderAnswer::kUnclear,
                  std::nullopt);
    AnswerNextPoll({MakeRun(1)}, {{1, MakeRun(0), RunEnd::kStopped}});
    AssertField(TakeEndLine(MakeRun(0)), "stop", "unanswered_start");
  }

  void TellsThatNobodyClaimedRun() {
    StartAndAccept(MakeRun(1));
    AnswerNextPoll({MakeRun(0), MakeRun(1)}, {});
    const std::vector<LogLine> found = TakeLines(
        "Found a run that this gate did not order.", &board_.log_lines);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
    AssertField(found[0], "target", "t-1");
    CPPUNIT_ASSERT(ReadMillis(found[0], "runs_known_for") > 0);
    Advance(milliseconds(400));
    AnswerNextPoll({MakeRun(1)}, {{1, MakeRun(0), RunEnd::kStopped}});
    const LogLine line = TakeEndLine(MakeRun(0));
    AssertField(line, "stop", "unclaimed");
    CPPUNIT_ASSERT(ReadMillis(line, "found") >= 400);
  }

  void TellsThatEntryWasReplaced() {
    StartAndAccept(MakeRun(0));
    board_.log_lines.clear();
    OnMessage(&board_, now_, kEntryAgain, MakeNotice(now_));
    const std::vector<LogLine> lines =
        TakeLines("Connected to an entry.", &board_.log_lines);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines.size());
    AssertField(lines[0], "replaces", core::ToString(kEntry));
    AssertField(lines[0], "runs", "1");
  }

  void TellsWhichRunKeepsStartFromBeingOnlyOne() {
    StartAndAccept(MakeRun(0));
    Start(MakeRun(0, 2), 1600, kOtherEntry);
    std::vector<LogLine> lines =
        TakeLines("Refused a start.", &board_.log_lines);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines.size());
    AssertField(lines[0], "reason", "duplicate");
    AssertField(lines[0], "entry", core::ToString(kOtherEntry));
    AssertField(lines[0], "other_run", "1");
    AssertField(lines[0], "other_entry", core::ToString(kEntry));
    AssertField(lines[0], "other_ordered", "1ms");
    AnswerNextPoll({}, {{1, MakeRun(0), RunEnd::kDone}});
    Start(MakeRun(0), 1600, kOtherEntry);
    lines = TakeLines("Refused a start.", &board_.log_lines);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines.size());
    AssertField(lines[0], "reason", "sealed");
    AssertField(lines[0], "past_end", "done");
    AssertField(lines[0], "past_entry", core::ToString(kEntry));
  }

  void TellsAgeOfRefusedStart() {
    StartRun start;
    start.run = MakeRun(0);
    start.service = core::ServiceId("carve");
    start.start_by = now_ - milliseconds(100);
    OnMessage(&board_, now_, kEntry, start);
    const std::vector<LogLine> lines =
        TakeLines("Refused a start.", &board_.log_lines);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines.size());
    AssertField(lines[0], "reason", "stale");
    AssertField(
        lines[0], "ordered",
        std::to_string(core::Millis(board_.policy.start_window) + 100) + "ms");
  }

 private:
  /// As AnswerNextPoll, while kEntry stays silent.
  void AnswerNextPollWithoutEntry(const std::vector<RunRef>& running,
                                  const std::vector<ListedEnd>& ended) {
    LosePolls();
    Advance(milliseconds(80), false);
    AnswerPoll(running, ended);
  }

  LogLine TakeEndLine(const RunRef& run, bool remove = true) {
    const std::vector<LogLine> kept = board_.log_lines;
    for (const LogLine& line : TakeLines("A run ended.", &board_.log_lines)) {
      if (line.subject != ToString(run)) continue;
      if (!remove) board_.log_lines = kept;
      return line;
    }
    CPPUNIT_FAIL("no end of " + ToString(run));
    return {};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateLogTest);

}  // namespace
}  // namespace tarragon::coordinator
