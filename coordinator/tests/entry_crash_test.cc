#include "tests/entry_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// Tasks under which targets crash.
class EntryCrashTest : public EntryFixture {
  CPPUNIT_TEST_SUITE(EntryCrashTest);
  CPPUNIT_TEST(FailsJobOfTaskThatCrashesOneTargetAfterAnother);
  CPPUNIT_TEST(RestartsTaskThatIsLostWithoutACrash);
  CPPUNIT_TEST(CountsCrashesOfEachTaskByItself);
  CPPUNIT_TEST(PlacesNoTwoSuspectsAtOneTarget);
  CPPUNIT_TEST(PrefersTargetsWithoutSuspects);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Crash(const SendTo<StartRun>& start) {
    OnMessage(&board_, now_, start.to,
              RunEnded{start.message.run, RunEnd::kLapsed, RefusalReason::kNone,
                       milliseconds(100), true});
  }

  void ReportAll(std::int64_t free = 16000) {
    for (int gate = 1; gate <= 4; ++gate) Report(GateId(gate), free);
  }

  /// A job that stays useful for much longer than a crash takes.
  CallId SubmitLongJob(const std::string& id, std::uint32_t tasks) {
    return Submit(id, tasks, milliseconds(3000));
  }

  void FailsJobOfTaskThatCrashesOneTargetAfterAnother() {
    ReportAll();
    const CallId call = SubmitLongJob("deadly", 2);
    std::vector<SendTo<StartRun>> starts = TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, starts.size());
    CPPUNIT_ASSERT(!starts[0].message.suspect);
    Crash(starts[0]);
    ReportAll();
    const std::vector<SendTo<StartRun>> again = TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.size());
    CPPUNIT_ASSERT(again[0].message.suspect);
    Crash(again[0]);
    AssertState(call, JobState::kFailed);
    ReportAll();
    CPPUNIT_ASSERT(TakeStarts().empty());
  }

  void RestartsTaskThatIsLostWithoutACrash() {
    ReportAll();
    const CallId call = SubmitLongJob("lost", 1);
    for (int i = 0; i < 4; ++i) {
      const std::vector<SendTo<StartRun>> starts = TakeStarts();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
      CPPUNIT_ASSERT(!starts[0].message.suspect);
      ReportEnd(starts[0], RunEnd::kLapsed);
      ReportAll();
    }
    CPPUNIT_ASSERT(!TakeAnswerTo(call).has_value());
  }

  void CountsCrashesOfEachTaskByItself() {
    ReportAll();
    const CallId call = SubmitLongJob("wide", 2);
    const std::vector<SendTo<StartRun>> starts = TakeStarts();
    Crash(starts[0]);
    Crash(starts[1]);
    ReportAll();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, TakeStarts().size());
    CPPUNIT_ASSERT(!TakeAnswerTo(call).has_value());
  }

  void PlacesNoTwoSuspectsAtOneTarget() {
    Report(GateId(1), 16000);
    SubmitLongJob("wide", 3);
    const std::vector<SendTo<StartRun>> starts = TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, starts.size());
    for (const SendTo<StartRun>& start : starts) Crash(start);
    Report(GateId(1), 16000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeStarts().size());
    Report(GateId(1), 14400);
    CPPUNIT_ASSERT(TakeStarts().empty());
    Report(GateId(2), 16000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeStarts().size());
    TargetReport other = *board_.gates[GateId(2).address].report;
    other.target = TargetId("t-3");
    other.has_suspect = true;
    OnMessage(&board_, now_, GateId(3), other);
    CPPUNIT_ASSERT(TakeStarts().empty());
  }

  void PrefersTargetsWithoutSuspects() {
    Report(GateId(1), 16000);
    Report(GateId(2), 12000);
    board_.gates[GateId(1).address].report->has_suspect = true;
    Submit("sound", 1);
    const std::vector<SendTo<StartRun>> starts = TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    CPPUNIT_ASSERT(GateId(2) == starts[0].to);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryCrashTest);

}  // namespace
}  // namespace tarragon::coordinator
