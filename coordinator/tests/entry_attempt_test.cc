#include "entry_fixture.h"

namespace tarragon::coordinator {
namespace {

constexpr core::Duration kLongRun = std::chrono::milliseconds(2000);

/// Jobs that their clients submit again under the same id after the entry has
/// ended an earlier attempt.
class EntryAttemptTest : public EntryFixture {
  CPPUNIT_TEST_SUITE(EntryAttemptTest);
  CPPUNIT_TEST(EndOfEarlierRunLeavesRunOfLaterAttempt);
  CPPUNIT_TEST(RepeatedEndOfEarlierRunLeavesRunOfLaterAttempt);
  CPPUNIT_TEST(LaterAttemptWaitsForEndOfEarlierRun);
  CPPUNIT_TEST(LaterAttemptContinuesRunNumbers);
  CPPUNIT_TEST(ProgressOfEarlierRunLeavesLaterAttempt);
  CPPUNIT_TEST(StandingEarlierRunLeavesLaterAttempt);
  CPPUNIT_TEST(RemembersRunNumbersOfBoundedNumberOfJobs);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against two runs of a task at the same time (TWICE): the run of an
  // ended attempt at a silent gate was taken for the run of the next attempt at
  // another gate, so the end of the one started the task again beside the
  // other.
  void EndOfEarlierRunLeavesRunOfLaterAttempt() {
    const SendTo<StartRun> earlier = EndAttemptWithOpenRun();
    PassTime(std::chrono::milliseconds(1700));
    const CallId again = Submit("j1", 1, kLongRun);
    std::vector<SendTo<StartRun>> starts;
    for (int i = 0; i < 5; ++i) {
      PassTime(std::chrono::milliseconds(100));
      for (const SendTo<StartRun>& start : TakeStarts())
        starts.push_back(start);
    }
    CPPUNIT_ASSERT(board_.gates.at(earlier.to.address).runs.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    CPPUNIT_ASSERT(starts[0].to == GateId(2));
    ReportEnd(starts[0], RunEnd::kDone);
    AssertState(again, JobState::kCompleted);
  }

  // Guards against the same overlap by a report that a gate repeats.
  void RepeatedEndOfEarlierRunLeavesRunOfLaterAttempt() {
    const SendTo<StartRun> earlier = EndAttemptWithOpenRun();
    ReportEnd(earlier, RunEnd::kStopped);
    Report(GateId(2), 0);
    Submit("j1", 1, kLongRun);
    const std::vector<SendTo<StartRun>> starts = TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    CPPUNIT_ASSERT(starts[0].to == earlier.to);
    ReportEnd(earlier, RunEnd::kStopped);
    CPPUNIT_ASSERT(TakeStarts().empty());
    ReportEnd(earlier, RunEnd::kDone);
    CPPUNIT_ASSERT(TakeActions<AnswerCall>().empty());
  }

  // Guards against a run of the next attempt beside one that is still being
  // stopped.
  void LaterAttemptWaitsForEndOfEarlierRun() {
    const SendTo<StartRun> earlier = EndAttemptWithOpenRun();
    Report(GateId(2), 16000);
    Submit("j1", 1, kLongRun);
    CPPUNIT_ASSERT(TakeStarts().empty());
    ReportEnd(earlier, RunEnd::kStopped);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeStarts().size());
  }

  void LaterAttemptContinuesRunNumbers() {
    const SendTo<StartRun> earlier = EndAttemptWithOpenRun();
    CPPUNIT_ASSERT_EQUAL(1U, earlier.message.run.number);
    ReportEnd(earlier, RunEnd::kStopped);
    const CallId second = Submit("j1", 1, kLongRun);
    SendTo<StartRun> start = TakeStarts().at(0);
    CPPUNIT_ASSERT_EQUAL(2U, start.message.run.number);
    OnCallClosed(&board_, now_, second);
    ReportEnd(start, RunEnd::kStopped);
    // An attempt without a run of its own keeps the number.
    Report(GateId(1), 0);
    Report(GateId(2), 0);
    const CallId third = Submit("j1", 1, kLongRun);
    CPPUNIT_ASSERT(TakeStarts().empty());
    OnCallClosed(&board_, now_, third);
    Report(GateId(1), 16000);
    Submit("j1", 1, kLongRun);
    start = TakeStarts().at(0);
    CPPUNIT_ASSERT_EQUAL(3U, start.message.run.number);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, board_.counts.restarted_tasks);
  }

  // Guards against progress of an ended attempt's run that changes the
  // objective of the next attempt.
  void ProgressOfEarlierRunLeavesLaterAttempt() {
    const SendTo<StartRun> earlier = EndAttemptWithOpenRun();
    Submit("j1", 1, kLongRun);
    const core::Time objective = board_.jobs.at(JobId("j1"))->objective;
    OnMessage(&board_, now_, earlier.to,
              RunProgress{earlier.message.run, 10,
                          std::chrono::milliseconds(9000), false});
    CPPUNIT_ASSERT(board_.jobs.at(JobId("j1"))->objective == objective);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, board_.counts.extended_objectives);
  }

  // Guards against a standing run of an ended attempt that counts as stalled in
  // the next attempt.
  void StandingEarlierRunLeavesLaterAttempt() {
    const SendTo<StartRun> earlier = EndAttemptWithOpenRun();
    board_.gates.at(earlier.to.address).runs.begin()->second.stop_requested =
        false;
    Submit("j1", 1, kLongRun);
    OnMessage(&board_, now_, earlier.to,
              RunProgress{earlier.message.run, 10, core::Duration{0}, true});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, board_.counts.stalled_runs);
  }

  void RemembersRunNumbersOfBoundedNumberOfJobs() {
    board_.policy.max_ended_states = 2;
    Report(GateId(1), 16000);
    for (const char* id : {"j1", "j2", "j3", "j3"}) {
      OnCallClosed(&board_, now_, Submit(id, 1));
      for (const SendTo<StartRun>& start : TakeStarts()) {
        ReportEnd(start, RunEnd::kStopped);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, board_.last_runs.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, board_.last_runs_order.size());
    CPPUNIT_ASSERT(!board_.last_runs.contains(JobId("j1")));
    CPPUNIT_ASSERT_EQUAL(2U, board_.last_runs.at(JobId("j3")));
  }

 private:
  /// Starts a task of job j1 at gate 1, which does not tell how it ends, and
  /// lets the client leave.
  SendTo<StartRun> EndAttemptWithOpenRun() {
    Report(GateId(1), 16000);
    const CallId call = Submit("j1", 1, kLongRun);
    const std::vector<SendTo<StartRun>> starts = TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    OnCallClosed(&board_, now_, call);
    CPPUNIT_ASSERT(board_.jobs.empty());
    TakeActions<AnswerCall>();
    return starts[0];
  }

  /// Advances the clock. Gate 2 has free room and sends reports; gate 1 is
  /// silent.
  void PassTime(core::Duration time) {
    constexpr core::Duration kReportPause = std::chrono::milliseconds(100);
    const core::Time end = now_ + time;
    while (now_ < end) {
      Report(GateId(2), 16000);
      Advance(kReportPause);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryAttemptTest);

}  // namespace
}  // namespace tarragon::coordinator
