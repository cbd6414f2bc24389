#include "tarragon/core/log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>

#include "log_limiter.h"
#include "log_line.h"
#include "tarragon/core/ids.h"
#include "tests/capture.h"

namespace tarragon::core {
namespace {

std::ptrdiff_t LineCount(const std::string& text) {
  return std::count(text.begin(), text.end(), '\n');
}

std::string Line(std::initializer_list<Field> fields) {
  const std::string line =
      LogLine({}, LogLevel::kInfo, "gate", "Refused a task.", fields);
  return line.substr(line.find("task.") + 5);
}

class LogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogTest);
  CPPUNIT_TEST(WritesTimeLevelPartAndSentence);
  CPPUNIT_TEST(WritesFieldsOfEveryType);
  CPPUNIT_TEST(QuotesAndEscapesValues);
  CPPUNIT_TEST(CutsLongValues);
  CPPUNIT_TEST(WritesToStandardErrorOnly);
  CPPUNIT_TEST(KeepsToTheLevels);
  CPPUNIT_TEST(PutsTheProgramBeforeThePart);
  CPPUNIT_TEST(LimitsOneSentence);
  CPPUNIT_TEST(LimiterCountsWhatIsLeftOut);
  CPPUNIT_TEST(LimiterBoundsItsSentences);
  CPPUNIT_TEST(ParsesLevels);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { SetLogClock(&clock_); }

  void tearDown() override {
    FlushAll();
    SetLogClock(nullptr);
    SetLogLimit(kMaxLinesPerSecond);
    SetLogProgram("");
    SetLogLevel("*", LogLevel::kInfo);
  }

  void WritesTimeLevelPartAndSentence() {
    // 2026-12-04 00:20:45.123 UTC.
    const std::chrono::system_clock::time_point when{
        std::chrono::milliseconds(1796343645123)};
    CPPUNIT_ASSERT_EQUAL(
        std::string("2026-12-04T00:20:45.123Z info  agent/gate: Refused a "
                    "task. key=H.1 reason=busy"),
        LogLine(when, LogLevel::kInfo, "agent/gate", "Refused a task.",
                {{"key", "H.1"}, {"reason", "busy"}}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("2026-12-04T00:20:45.123Z error gate: Two\\nlines."),
        LogLine(when, LogLevel::kError, "gate", "Two\nlines.", {}));
  }

  void WritesFieldsOfEveryType() {
    CPPUNIT_ASSERT_EQUAL(
        std::string(" a=text b=-5 c=18446744073709551615 d=true e=H f=7"),
        Line({{"a", std::string("text")},
              {"b", -5},
              {"c", std::uint64_t{18446744073709551615U}},
              {"d", true},
              {"e", TenantId("H")},
              {"f", TaskIndex(7)}}));
    CPPUNIT_ASSERT_EQUAL(std::string(" a=2s b=1500ms c=1001us d=0s"),
                         Line({{"a", std::chrono::seconds(2)},
                               {"b", std::chrono::milliseconds(1500)},
                               {"c", Duration(1001)},
                               {"d", Duration(0)}}));
  }

  void QuotesAndEscapesValues() {
    CPPUNIT_ASSERT_EQUAL(std::string(" a=\"two words\""),
                         Line({{"a", "two words"}}));
    CPPUNIT_ASSERT_EQUAL(std::string(" a=\"\""), Line({{"a", ""}}));
    CPPUNIT_ASSERT_EQUAL(std::string(" a=\"b=c\""), Line({{"a", "b=c"}}));
    CPPUNIT_ASSERT_EQUAL(std::string(" a=\"x\\n2026 y\\r\\t\""),
                         Line({{"a", "x\n2026 y\r\t"}}));
    CPPUNIT_ASSERT_EQUAL(std::string(" a=\"\\\"\\\\\\x1b\\x7f\""),
                         Line({{"a", "\"\\\x1b\x7f"}}));
  }

  void CutsLongValues() {
    const std::string line = Line({{"a", std::string(100000, 'x')}});
    CPPUNIT_ASSERT_EQUAL(" a=" + std::string(512, 'x') + "...", line);
  }

  void WritesToStandardErrorOnly() {
    const Capture output(&std::cout);
    const Capture errors(&std::cerr);
    // What easylogging++ might take for a format stands for itself.
    Log("log-test").Warn("Odd text %msg %level %v.", {{"percent", "100%"}});
    CPPUNIT_ASSERT_EQUAL(std::string(), output.text());
    CPPUNIT_ASSERT(errors.text().ends_with(
        "Z warn  log-test: Odd text %msg %level %v. percent=100%\n"));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, LineCount(errors.text()));
  }

  void KeepsToTheLevels() {
    const Log first("log-test/one");
    const Log second("log-test/two");
    const Capture errors(&std::cerr);
    first.Debug("Not written.");
    SetLogLevel("one", LogLevel::kDebug);
    first.Debug("Written.");
    second.Debug("Not written.");
    SetLogLevel("*", LogLevel::kError);
    second.Warn("Not written.");
    first.Info("Written too.");
    SetLogLevel("log-test/one", LogLevel::kWarn);
    first.Info("Not written.");
    // A part that is made later gets its level too.
    CPPUNIT_ASSERT(!Log("log-test/three").Enabled(LogLevel::kWarn));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, LineCount(errors.text()));
    CPPUNIT_ASSERT(errors.text().find("Not written.") == std::string::npos);
  }

  void PutsTheProgramBeforeThePart() {
    SetLogProgram("agent");
    const Capture errors(&std::cerr);
    Log("log-test").Info("Started.");
    Log("entry/log-test").Info("Started.");
    CPPUNIT_ASSERT(errors.text().find(" agent/log-test: ") !=
                   std::string::npos);
    CPPUNIT_ASSERT(errors.text().find(" entry/log-test: ") !=
                   std::string::npos);
  }

  void LimitsOneSentence() {
    SetLogLimit(3);
    const Log log("log-test/limited");
    const Capture errors(&std::cerr);
    for (int i = 0; i < 10; ++i) log.Info("Refused a task.", {{"n", i}});
    log.Info("Another sentence.");
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{4}, LineCount(errors.text()));
    clock_.Advance(std::chrono::seconds(1));
    log.Info("Refused a task.", {{"n", 10}});
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{6}, LineCount(errors.text()));
    CPPUNIT_ASSERT(errors.text().find(
                       "Left out lines of the same sentence. count=7 "
                       "sentence=\"Refused a task.\"\n") != std::string::npos);
    FlushAll();
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{6}, LineCount(errors.text()));
  }

  void LimiterCountsWhatIsLeftOut() {
    LogLimiter limiter;
    Time now;
    for (int i = 0; i < 9; ++i) {
      CPPUNIT_ASSERT_EQUAL(i < 5, AdmitLine(&limiter, "A.", LogLevel::kWarn,
                                            now, kMaxLinesPerSecond));
    }
    CPPUNIT_ASSERT(
        AdmitLine(&limiter, "B.", LogLevel::kInfo, now, kMaxLinesPerSecond));
    now = now + std::chrono::milliseconds(999);
    CPPUNIT_ASSERT(CloseWindows(&limiter, now).empty());
    now = now + std::chrono::milliseconds(1);
    const std::vector<LeftOut> left_out = CloseWindows(&limiter, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, left_out.size());
    CPPUNIT_ASSERT_EQUAL(std::string("A."), left_out.front().sentence);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{4}, left_out.front().count);
    CPPUNIT_ASSERT(left_out.front().level == LogLevel::kWarn);
    CPPUNIT_ASSERT(limiter.windows.empty());
  }

  void LimiterBoundsItsSentences() {
    LogLimiter limiter;
    int admitted = 0;
    for (int i = 0; i < 10000; ++i) {
      if (AdmitLine(&limiter, std::to_string(i), LogLevel::kInfo, {}, 5)) {
        ++admitted;
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{257}, limiter.windows.size());
    CPPUNIT_ASSERT_EQUAL(256 + 5, admitted);
  }

  void ParsesLevels() {
    std::vector<LogLevelRule> rules;
    CPPUNIT_ASSERT(ParseLogLevels("gate=debug,*=warn", &rules));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, rules.size());
    CPPUNIT_ASSERT_EQUAL(std::string("gate"), rules[0].part);
    CPPUNIT_ASSERT(rules[0].level == LogLevel::kDebug);
    CPPUNIT_ASSERT_EQUAL(std::string("*"), rules[1].part);
    CPPUNIT_ASSERT(rules[1].level == LogLevel::kWarn);
    CPPUNIT_ASSERT(ParseLogLevels("error", &rules));
    CPPUNIT_ASSERT_EQUAL(std::string("*"), rules.front().part);
    for (const std::string text :
         {"", "noisy", "gate=", "=info", "gate=info,", "Info", "gate=info=x"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParseLogLevels(text, &rules));
    }
  }

 private:
  /// Ends the present second for every part.
  void FlushAll() {
    clock_.Advance(std::chrono::seconds(2));
    FlushLog();
  }

  ManualClock clock_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);

}  // namespace
}  // namespace tarragon::core
