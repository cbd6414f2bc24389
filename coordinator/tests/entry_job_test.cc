#include "entry_fixture.h"

namespace tarragon::coordinator {
namespace {

constexpr core::Duration kShort = std::chrono::milliseconds(100);

/// The life of a job at its entry.
class EntryJobTest : public EntryFixture {
  CPPUNIT_TEST_SUITE(EntryJobTest);
  CPPUNIT_TEST(CompletesWhenAllTasksAreDone);
  CPPUNIT_TEST(StartsAStepAfterThoseBeforeIt);
  CPPUNIT_TEST(FailsAfterTheLastAttempt);
  CPPUNIT_TEST(PlacesAFailedTaskElsewhere);
  CPPUNIT_TEST(NumbersRunsUpwards);
  CPPUNIT_TEST(EndsRunsWhenTheClientLeaves);
  CPPUNIT_TEST(AttachesASecondAttempt);
  CPPUNIT_TEST(GoesOnWhileOneClientWaits);
  CPPUNIT_TEST(RepeatsTheStateOfACompletedJob);
  CPPUNIT_TEST(RunsAgainWhatWasGivenUp);
  CPPUNIT_TEST(CancelsAndEndsRuns);
  CPPUNIT_TEST(TellsStates);
  CPPUNIT_TEST(CountsJobsThatHaveNotBegun);
  CPPUNIT_TEST(RefusesWhatFitsNowhere);
  CPPUNIT_TEST(RefusesWithoutAUsableTarget);
  CPPUNIT_TEST(RefusesWrongSteps);
  CPPUNIT_TEST(NeverSaysNotRunOfAJobThatMayHaveRun);
  CPPUNIT_TEST(SaysNotRunWhenAllStartsWereRefused);
  CPPUNIT_TEST(AnswersAllWhenItMustStop);
  CPPUNIT_TEST(TakesNoJobLateInAStop);
  CPPUNIT_TEST(LimitsTasksOfAStepOnOneTarget);
  CPPUNIT_TEST(WaitsForGatesThatWereJustFound);
  CPPUNIT_TEST(RefusesWhenFoundGatesStaySilent);
  CPPUNIT_TEST(PutsALostTaskOfALateJobBehindJobsInTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PutsALostTaskOfALateJobBehindJobsInTime() {
    Report(Gate(1), 1600);
    Submit("old", 1, std::chrono::milliseconds(100));
    const std::vector<SendTo<StartRun>> old = Starts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, old.size());
    // Far beyond its objective of 220 ms, but still of use.
    now_ = now_ + std::chrono::milliseconds(450);
    Report(Gate(1), 0);
    Submit("new", 1, std::chrono::milliseconds(400));
    End(old[0], RunEnd::kLapsed);
    Report(Gate(1), 1600);
    const std::vector<SendTo<StartRun>> next = Starts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.size());
    CPPUNIT_ASSERT_EQUAL(std::string("new"),
                         next[0].message.run.task.job.value());
  }

  void WaitsForGatesThatWereJustFound() {
    OnGateFound(&board_, now_, Gate(1).address);
    OnGateFound(&board_, now_, Gate(2).address);
    const CallId first = Submit("j1", 1);
    CPPUNIT_ASSERT(!AnswerTo(first).has_value());
    Report(Gate(1), 1600);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts().size());
    // Many wait, but the other gate may have room for them.
    for (int i = 0; i < 20; ++i) {
      const CallId call = Submit("more" + std::to_string(i), 4);
      CPPUNIT_ASSERT(!AnswerTo(call).has_value());
    }
  }

  void RefusesWhenFoundGatesStaySilent() {
    OnGateFound(&board_, now_, Gate(1).address);
    const CallId early = Submit("j1", 1);
    Advance(std::chrono::milliseconds(140));
    AssertRefusal(early, Refusal::kExpired);
    Advance(std::chrono::milliseconds(400));
    AssertRefusal(Submit("j2", 1), Refusal::kNoTarget);
  }

  void CompletesWhenAllTasksAreDone() {
    Report(Gate(1), 16000);
    const CallId call = Submit("j1", 3);
    const auto starts = Starts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, starts.size());
    End(starts[0], RunEnd::kDone);
    End(starts[1], RunEnd::kDone);
    CPPUNIT_ASSERT(!AnswerTo(call).has_value());
    End(starts[2], RunEnd::kDone);
    AssertState(call, JobState::kCompleted);
    CPPUNIT_ASSERT(board_.jobs.empty());
  }

  void StartsAStepAfterThoseBeforeIt() {
    Report(Gate(1), 16000);
    JobRequest request;
    request.id = JobId("j1");
    StepSpec step;
    step.count = 2;
    step.room = {1000, 1, 0};
    step.declared_run_time = kShort;
    request.steps.push_back(step);
    step.after = {0};
    request.steps.push_back(step);
    SubmitRequest(request);
    const auto first = Starts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first.size());
    End(first[0], RunEnd::kDone);
    CPPUNIT_ASSERT(Starts().empty());
    End(first[1], RunEnd::kDone);
    const auto second = Starts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, second.size());
    CPPUNIT_ASSERT_EQUAL(1U, second[0].message.run.task.step);
  }

  void FailsAfterTheLastAttempt() {
    Report(Gate(1), 16000);
    const CallId call = Submit("j1", 1);
    End(Starts().at(0), RunEnd::kFailed);
    CPPUNIT_ASSERT(!AnswerTo(call).has_value());
    End(Starts().at(0), RunEnd::kFailed);
    AssertState(call, JobState::kFailed);
  }

  void PlacesAFailedTaskElsewhere() {
    Report(Gate(1), 16000);
    Submit("j1", 1);
    const auto first = Starts();
    Report(Gate(1), 16000);
    Report(Gate(2), 3000);
    End(first.at(0), RunEnd::kFailed);
    CPPUNIT_ASSERT(Gate(2) == Starts().at(0).to);
  }

  void NumbersRunsUpwards() {
    Report(Gate(1), 16000);
    Submit("j1", 1);
    const auto first = Starts();
    CPPUNIT_ASSERT_EQUAL(1U, first.at(0).message.run.number);
    End(first[0], RunEnd::kStopped);
    CPPUNIT_ASSERT_EQUAL(2U, Starts().at(0).message.run.number);
  }

  void EndsRunsWhenTheClientLeaves() {
    Report(Gate(1), 16000);
    const CallId call = Submit("j1", 2);
    Starts();
    OnCallClosed(&board_, now_, call);
    const auto asks = Asks();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, asks.size());
    CPPUNIT_ASSERT(asks[0].message.stop);
    CPPUNIT_ASSERT(board_.jobs.empty());
  }

  void AttachesASecondAttempt() {
    Report(Gate(1), 16000);
    const CallId first = Submit("j1", 1);
    const auto starts = Starts();
    const CallId second = Submit("j1", 1);
    CPPUNIT_ASSERT(Starts().empty());
    End(starts.at(0), RunEnd::kDone);
    const std::vector<AnswerCall> answers = Take<AnswerCall>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, answers.size());
    CPPUNIT_ASSERT(answers[0].call == first);
    CPPUNIT_ASSERT(answers[1].call == second);
  }

  void GoesOnWhileOneClientWaits() {
    Report(Gate(1), 16000);
    const CallId first = Submit("j1", 1);
    const CallId second = Submit("j1", 1);
    const auto starts = Starts();
    OnCallClosed(&board_, now_, first);
    CPPUNIT_ASSERT(Asks().empty());
    End(starts.at(0), RunEnd::kDone);
    AssertState(second, JobState::kCompleted);
  }

  void RepeatsTheStateOfACompletedJob() {
    Report(Gate(1), 16000);
    Submit("j1", 1);
    End(Starts().at(0), RunEnd::kDone);
    Take<AnswerCall>();
    const CallId again = Submit("j1", 1);
    CPPUNIT_ASSERT(Starts().empty());
    AssertState(again, JobState::kCompleted);
  }

  void RunsAgainWhatWasGivenUp() {
    Report(Gate(1), 16000);
    const CallId call = Submit("j1", 1);
    End(Starts().at(0), RunEnd::kStopped);
    Starts();
    OnCallClosed(&board_, now_, call);
    Submit("j1", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts().size());
  }

  void CancelsAndEndsRuns() {
    Report(Gate(1), 16000);
    const CallId call = Submit("j1", 1);
    const CallId cancel(99);
    OnCancel(&board_, now_, cancel, JobId("j1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Asks().size());
    const std::vector<AnswerCall> answers = Take<AnswerCall>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, answers.size());
    CPPUNIT_ASSERT(answers[0].call == call);
    CPPUNIT_ASSERT(answers[1].call == cancel);
    OnCancel(&board_, now_, cancel, JobId("unknown"));
    AssertRefusal(cancel, Refusal::kUnknownJob);
  }

  void TellsStates() {
    Report(Gate(1), 16000);
    Submit("j1", 1);
    const auto starts = Starts();
    OnQuery(&board_, now_, CallId(90), JobId("j1"));
    AssertState(CallId(90), JobState::kRunning);
    End(starts.at(0), RunEnd::kDone);
    OnQuery(&board_, now_, CallId(91), JobId("j1"));
    AssertState(CallId(91), JobState::kCompleted);
    OnQuery(&board_, now_, CallId(92), JobId("j2"));
    AssertRefusal(CallId(92), Refusal::kUnknownJob);
  }

  void CountsJobsThatHaveNotBegun() {
    Report(Gate(1), 1600);
    Submit("j1", 1);
    Submit("j2", 1);
    OnPendingCountQuery(&board_, now_, CallId(90),
                        board_.operator_state.queues.at(0));
    const std::optional<ClientAnswer> answer = AnswerTo(CallId(90));
    CPPUNIT_ASSERT(answer.has_value() && answer->pending.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, *answer->pending);
  }

  void RefusesWhatFitsNowhere() {
    Report(Gate(1), 16000);
    AssertRefusal(Submit("j1", 1, kShort, 17000), Refusal::kNeverFits);
    CPPUNIT_ASSERT(Starts().empty());
  }

  void RefusesWithoutAUsableTarget() {
    Report(Gate(1), 16000, false);
    AssertRefusal(Submit("j1", 1), Refusal::kNoTarget);
  }

  void RefusesWrongSteps() {
    Report(Gate(1), 16000);
    JobRequest request;
    request.id = JobId("j1");
    AssertRefusal(SubmitRequest(request), Refusal::kBadJob);
    StepSpec step;
    step.count = 1;
    step.after = {0};
    request.steps = {step};
    AssertRefusal(SubmitRequest(request), Refusal::kBadJob);
    step.after = {};
    step.count = 0;
    request.steps = {step};
    AssertRefusal(SubmitRequest(request), Refusal::kBadJob);
  }

  void NeverSaysNotRunOfAJobThatMayHaveRun() {
    Report(Gate(1), 1600);
    const CallId call = Submit("j1", 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts().size());
    for (int i = 0; i < 60; ++i) {
      Advance(std::chrono::milliseconds(20));
      Report(Gate(1), 0);
    }
    AssertRefusal(call, Refusal::kGivenUp);
  }

  void SaysNotRunWhenAllStartsWereRefused() {
    Report(Gate(1), 1600);
    const CallId call = Submit("j1", 1);
    End(Starts().at(0), RunEnd::kRefused, RefusalReason::kNoRoom);
    Report(Gate(1), 0);
    Advance(std::chrono::milliseconds(900));
    AssertRefusal(call, Refusal::kExpired);
  }

  void AnswersAllWhenItMustStop() {
    Report(Gate(1), 1600);
    const CallId begun = Submit("j1", 1);
    const CallId waiting = Submit("j2", 1);
    EndAllJobs(&board_, now_, "test");
    const std::vector<AnswerCall> answers = Take<AnswerCall>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, answers.size());
    CPPUNIT_ASSERT(answers[0].call == begun);
    CPPUNIT_ASSERT(answers[0].answer.refusal == Refusal::kGivenUp);
    CPPUNIT_ASSERT(answers[1].call == waiting);
    CPPUNIT_ASSERT(answers[1].answer.refusal == Refusal::kStopping);
  }

  void TakesNoJobLateInAStop() {
    Report(Gate(1), 16000);
    RequestStop(&board_, now_);
    CPPUNIT_ASSERT(!IsReady(board_, now_));
    Submit("j1", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts().size());
    Advance(std::chrono::milliseconds(2600));
    Report(Gate(1), 16000);
    AssertRefusal(Submit("j2", 1), Refusal::kStopping);
  }

  void LimitsTasksOfAStepOnOneTarget() {
    Report(Gate(1), 16000);
    JobRequest request;
    request.id = JobId("j1");
    StepSpec step;
    step.count = 4;
    step.room = {1000, 1, 0};
    step.declared_run_time = kShort;
    step.max_per_target = 3;
    request.steps = {step};
    SubmitRequest(request);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Starts().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryJobTest);

}  // namespace
}  // namespace tarragon::coordinator
