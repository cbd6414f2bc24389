#include "decision_log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <sstream>
#include <string>

namespace tarragon::daemons {
namespace {

using coordinator::LogLine;

/// The lines of a board in the log of its daemon.
class DecisionLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DecisionLogTest);
  CPPUNIT_TEST(WritesSubjectAndFields);
  CPPUNIT_TEST(WritesWarningsWhereInfoIsOff);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override { core::SetLogLevel("*", core::LogLevel::kInfo); }

  void WritesSubjectAndFields() {
    const std::string text =
        Write({{"Placed a task.", "j/0.1#1", {{"target", "t-9"}}}});
    CPPUNIT_ASSERT(text.ends_with(
        "Z info  decision-log-test: Placed a task. id=j/0.1#1 target=t-9\n"));
  }

  // Guards against warnings that are lost as the level of their part is "warn".
  void WritesWarningsWhereInfoIsOff() {
    core::SetLogLevel("*", core::LogLevel::kWarn);
    const std::string text =
        Write({{"Placed a task.", "j/0.1#1", {}},
               {"Odd.", "j/0.1#1", {}, core::LogLevel::kWarn}});
    CPPUNIT_ASSERT(
        text.ends_with("Z warn  decision-log-test: Odd. id=j/0.1#1\n"));
    CPPUNIT_ASSERT(text.find("Placed") == std::string::npos);
  }

 private:
  static std::string Write(std::vector<LogLine> lines) {
    std::ostringstream text;
    std::streambuf* const before = std::cerr.rdbuf(text.rdbuf());
    LogDecisions(core::Log("decision-log-test"), &lines);
    std::cerr.rdbuf(before);
    CPPUNIT_ASSERT(lines.empty());
    return text.str();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecisionLogTest);

}  // namespace
}  // namespace tarragon::daemons
