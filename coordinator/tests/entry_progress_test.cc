#include "entry_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// What an entry makes of the progress of its runs. The job's objective is
/// 220 ms, and a run without known progress is stalled after 500 ms.
class EntryProgressTest : public EntryFixture {
  CPPUNIT_TEST_SUITE(EntryProgressTest);
  CPPUNIT_TEST(LetsSoundRunEnd);
  CPPUNIT_TEST(EndsJobWhenItsClientStopsWaiting);
  CPPUNIT_TEST(KeepsJobOfClientWithoutDeadlineWhileRunIsSound);
  CPPUNIT_TEST(StopsStandingRunAtOnce);
  CPPUNIT_TEST(StopsRunAsBeforeOnceProgressIsWithdrawnOrOld);
  CPPUNIT_TEST(WaitsForProgressAfterGateRestart);
  CPPUNIT_TEST(OtherTasksOfLongJobAreNotLate);
  CPPUNIT_TEST(StopsSoundRunAtSlowTargetOnly);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LetsSoundRunEnd() {
    const CallId call = SubmitAndStart();
    RunSoundly(milliseconds(3000));
    CPPUNIT_ASSERT(TakeQueries().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, board_.jobs.size());
    ReportEnd(start_, RunEnd::kDone);
    AssertState(call, JobState::kCompleted);
  }

  void EndsJobWhenItsClientStopsWaiting() {
    const CallId call = SubmitAndStart();
    RunSoundly(milliseconds(9900));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, board_.jobs.size());
    RunSoundly(milliseconds(100));
    AssertRefusal(call, Refusal::kGivenUp);
  }

  void KeepsJobOfClientWithoutDeadlineWhileRunIsSound() {
    const CallId call = SubmitAndStart(false);
    RunSoundly(milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, board_.jobs.size());
    Tell(50, milliseconds(0));
    for (int i = 0; i < 1000 && !board_.jobs.empty(); ++i) Pass();
    AssertRefusal(call, Refusal::kGivenUp);
  }

  void StopsStandingRunAtOnce() {
    SubmitAndStart();
    Advance(milliseconds(200));
    Report(GateId(1), 16000);
    Tell(60, milliseconds(0), true);
    const std::vector<SendTo<AskRun>> queries = TakeQueries();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queries.size());
    CPPUNIT_ASSERT(queries[0].message.stop);
  }

  void StopsRunAsBeforeOnceProgressIsWithdrawnOrOld() {
    for (const bool withdrawn : {true, false}) {
      setUp();
      SubmitAndStart();
      Advance(milliseconds(120));
      Report(GateId(1), 16000);
      Tell(60, milliseconds(500));
      if (withdrawn) Tell(0, milliseconds(0));
      core::Duration ran{120000};
      while (TakeQueries().empty() && ran < milliseconds(2000)) {
        Pass();
        ran += milliseconds(20);
      }
      CPPUNIT_ASSERT(ran > milliseconds(500));
      CPPUNIT_ASSERT(ran <=
                     (withdrawn ? milliseconds(520) : milliseconds(120 + 640)));
    }
  }

  void WaitsForProgressAfterGateRestart() {
    SubmitAndStart();
    RunSoundly(milliseconds(600));
    // The new process has no connection for a while, and then needs two polls
    // to see a rise.
    Advance(milliseconds(700));
    Report(GateId(1, 2), 16000);
    Advance(milliseconds(200));
    Report(GateId(1, 2), 16000);
    for (const SendTo<AskRun>& query : TakeQueries()) {
      CPPUNIT_ASSERT(!query.message.stop);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, board_.jobs.size());
  }

  void OtherTasksOfLongJobAreNotLate() {
    Report(GateId(1), 1600);
    Submit("j1", 2);
    start_ = TakeStarts().at(0);
    Advance(milliseconds(300));
    CPPUNIT_ASSERT(board_.waiting_tasks.begin()->late);
    Report(GateId(1), 0);
    Tell(30, milliseconds(700));
    CPPUNIT_ASSERT(!board_.waiting_tasks.begin()->late);
    // 1.6 times 1 s, and 60 ms.
    CPPUNIT_ASSERT(board_.jobs.begin()->second->objective -
                       board_.jobs.begin()->second->arrived_at >=
                   milliseconds(1660));
  }

  void StopsSoundRunAtSlowTargetOnly() {
    SubmitAndStart();
    for (int i = 0; i < 200; ++i) {
      RecordRunTime(&board_.run_times, QueueId("checks"), milliseconds(100),
                    milliseconds(i % 33 == 5 ? 300 : 100));
    }
    Advance(milliseconds(150));
    Report(GateId(1), 16000);
    GateLink& gate = board_.gates.at(GateId(1).address);
    gate.health.suspect = true;
    // A long task takes 300 ms elsewhere, so a restart may end later.
    Tell(30, milliseconds(350));
    OnTick(&board_, now_);
    CPPUNIT_ASSERT(TakeQueries().empty());
    Tell(20, milliseconds(600));
    gate.health.suspect = false;
    OnTick(&board_, now_);
    CPPUNIT_ASSERT(TakeQueries().empty());
    gate.health.suspect = true;
    OnTick(&board_, now_);
    CPPUNIT_ASSERT(TakeQueries().at(0).message.stop);
  }

 private:
  CallId SubmitAndStart(bool with_deadline = true) {
    Report(GateId(1), 16000);
    CallId call = Submit("j1", 1);
    if (!with_deadline) board_.jobs.begin()->second->answer_by.reset();
    start_ = TakeStarts().at(0);
    return call;
  }

  void Tell(std::uint32_t percent, core::Duration remaining,
            bool standing = false) {
    OnMessage(&board_, now_, start_.to,
              RunProgress{start_.message.run, percent, remaining, standing});
  }

  /// Passes 20 ms in which the gate is heard.
  void Pass() {
    Report(GateId(1), 16000);
    Advance(milliseconds(20));
  }

  /// The run makes progress for `time`, and the gate tells every 200 ms.
  void RunSoundly(core::Duration time) {
    const core::Time end = now_ + time;
    for (int i = 0; now_ < end; ++i) {
      Pass();
      if (i % 10 == 4)
        Tell(1 + static_cast<std::uint32_t>(i) / 8, milliseconds(100));
    }
  }

  SendTo<StartRun> start_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryProgressTest);

}  // namespace
}  // namespace tarragon::coordinator
