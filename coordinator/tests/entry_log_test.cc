#include "entry_fixture.h"
#include "log_lines.h"

namespace tarragon::coordinator {
namespace {

/// Log lines by which the attempts at one job are told apart.
class EntryLogTest : public EntryFixture {
  CPPUNIT_TEST_SUITE(EntryLogTest);
  CPPUNIT_TEST(TellsAttemptOfEachRun);
  CPPUNIT_TEST(TellsAttemptThatEnded);
  CPPUNIT_TEST(TellsAttemptThatWasGivenUp);
  CPPUNIT_TEST(TellsAttemptThatWasRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TellsAttemptOfEachRun() {
    SubmitSecondAttempt(16000);
    const std::vector<LogLine> lines = board_.log_lines;
    AssertAttempt("Accepted a job.");
    board_.log_lines = lines;
    const LogLine placed = TakeLine("Placed a task.", &board_.log_lines);
    AssertField(placed, "attempt", "2");
    AssertField(placed, "earlier_runs", "1");
    AssertField(placed, "gate", core::ToString(GateId(1)));
    now_ = now_ + std::chrono::milliseconds(7);
    ReportEnd(TakeStarts().at(0), RunEnd::kRefused, RefusalReason::kNoRoom);
    const LogLine ended =
        TakeLine("A run did not complete.", &board_.log_lines);
    AssertField(ended, "attempt", "2");
    AssertField(ended, "earlier_runs", "1");
    AssertField(ended, "ordered", "7ms");
    AssertField(ended, "stop_requested", "false");
  }

  void TellsAttemptThatEnded() {
    SubmitSecondAttempt(16000);
    board_.log_lines.clear();
    ReportEnd(TakeStarts().at(0), RunEnd::kDone);
    AssertAttempt("A job ended.");
  }

  void TellsAttemptThatWasGivenUp() {
    SubmitSecondAttempt(16000);
    EndAllJobs(&board_, now_, "the process stops");
    AssertAttempt("Gave up a job that has run in part.");
  }

  void TellsAttemptThatWasRefused() {
    SubmitSecondAttempt(0);
    EndAllJobs(&board_, now_, "the process stops");
    AssertAttempt("Gave up a job that has not run.");
  }

 private:
  /// Submits a job again whose first attempt had one run. Gate 1 reports `free`
  /// before.
  void SubmitSecondAttempt(std::int64_t free) {
    Report(GateId(1), 16000);
    const CallId call = Submit("j1", 1);
    const SendTo<StartRun> start = TakeStarts().at(0);
    OnCallClosed(&board_, now_, call);
    ReportEnd(start, RunEnd::kStopped);
    Report(GateId(1), free);
    board_.log_lines.clear();
    Submit("j1", 1);
  }

  void AssertAttempt(const std::string& sentence) {
    const LogLine line = TakeLine(sentence, &board_.log_lines);
    CPPUNIT_ASSERT_EQUAL(std::string("j1"), line.subject);
    AssertField(line, "attempt", "2");
    AssertField(line, "earlier_runs", "1");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryLogTest);

}  // namespace
}  // namespace tarragon::coordinator
