#include "gate_fixture.h"

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
    const std::vector<LogLine> lines = TakeLines(kListedAfterEnd);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines.size());
    CPPUNIT_ASSERT(lines[0].level == core::LogLevel::kWarn);
    CPPUNIT_ASSERT_EQUAL(ToString(MakeRun(0)), lines[0].subject);
    AssertField(lines[0], "end", "refused");
    AssertField(lines[0], "reason", "target_refused");
    AssertField(lines[0], "ended", "81ms");
    AssertField(lines[0], "entry", core::ToString(kEntry));
    AnswerNextPoll({MakeRun(0), MakeRun(1)}, {});
    CPPUNIT_ASSERT(TakeLines(kListedAfterEnd).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, board_.counts.runs_listed_after_end);
  }

  void WarnsOfRunListedAfterItsEnd() {
    StartAndAccept(MakeRun(0));
    StartAndAccept(MakeRun(1));
    AnswerNextPoll({MakeRun(1)}, {});
    AnswerNextPoll({MakeRun(0), MakeRun(1)}, {});
    const std::vector<LogLine> lines = TakeLines(kListedAfterEnd);
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
    CPPUNIT_ASSERT(TakeLines(kListedAfterEnd).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, board_.counts.runs_listed_after_end);
  }

 private:
  /// Removes all lines from the board and returns those with `sentence`.
  std::vector<LogLine> TakeLines(const std::string& sentence) {
    std::vector<LogLine> found;
    for (const LogLine& line : board_.log_lines) {
      if (sentence == line.message) found.push_back(line);
    }
    board_.log_lines.clear();
    return found;
  }

  static void AssertField(const LogLine& line, const std::string& name,
                          const std::string& value) {
    for (const auto& [field, text] : line.fields) {
      if (field != name) continue;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, value, text);
      return;
    }
    CPPUNIT_FAIL("no field " + name);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateLogTest);

}  // namespace
}  // namespace tarragon::coordinator
