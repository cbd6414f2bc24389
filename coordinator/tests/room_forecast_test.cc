#include "../room_forecast.h"

#include <string>

#include "entry_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Checks what an entry places at a leaving target and when it tells refused
/// clients to retry.
class RoomForecastTest : public EntryFixture {
  CPPUNIT_TEST_SUITE(RoomForecastTest);
  CPPUNIT_TEST(PlacesOnlyShortTasksAtLeavingTarget);
  CPPUNIT_TEST(PrefersTargetsThatStay);
  CPPUNIT_TEST(IgnoresLeavingTargetInDrainedDomain);
  CPPUNIT_TEST(RetryAfterWaitsForReturningTarget);
  CPPUNIT_TEST(SufficientRoomCountsArrivingWork);
  CPPUNIT_TEST(RefusesClientWithoutTimeAtOnce);
  CPPUNIT_TEST(RefusesSurplusAfterRestart);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReportLeaving(const core::NodeId& gate, core::Duration leaves_in) {
    TargetReport report;
    report.clock = now_;
    report.starts_seen = board_.last_start_sequence;
    report.runs_known = true;
    report.draining = true;
    report.leaves_in = leaves_in;
    report.target = TargetId("t-" + gate.address.value());
    report.service = core::ServiceId("carve");
    report.domain = core::DomainId("szeged");
    report.capacity = {16000, 64000, 0};
    report.free = report.capacity;
    report.operator_revision = board_.operator_state.revision;
    OnMessage(&board_, now_, gate, report);
  }

  void PlacesOnlyShortTasksAtLeavingTarget() {
    Report(GateId(2), 0);
    ReportLeaving(GateId(1), milliseconds(1800));
    Submit("long", 1, milliseconds(400));
    CPPUNIT_ASSERT(TakeStarts().empty());
    Submit("short", 1, milliseconds(50));
    const auto starts = TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    CPPUNIT_ASSERT(starts[0].message.longest_run >= milliseconds(350));
    Advance(milliseconds(20));
    ReportLeaving(GateId(1), milliseconds(0));
    Submit("none", 1, milliseconds(50));
    CPPUNIT_ASSERT(TakeStarts().empty());
  }

  void PrefersTargetsThatStay() {
    ReportLeaving(GateId(1), milliseconds(1800));
    Report(GateId(2), 1600);
    Submit("short", 1, milliseconds(50));
    const auto starts = TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    CPPUNIT_ASSERT(starts[0].to == GateId(2));
  }

  void IgnoresLeavingTargetInDrainedDomain() {
    Report(GateId(2), 0);
    OperatorState state = board_.operator_state;
    state.revision = 5;
    state.drained = {core::DomainId("szeged")};
    OnOperatorState(&board_, now_, state, "test");
    ReportLeaving(GateId(1), milliseconds(1800));
    Submit("short", 1, milliseconds(50));
    CPPUNIT_ASSERT(TakeStarts().empty());
  }

  core::Duration RetryAfter() {
    const auto answer = TakeAnswerTo(Submit("refused", 1, milliseconds(50)));
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT(answer->refusal == Refusal::kNoTarget);
    return answer->retry_after;
  }

  void RetryAfterWaitsForReturningTarget() {
    ReportLeaving(GateId(1), milliseconds(1000));
    Advance(milliseconds(1000));
    ReportLeaving(GateId(1), milliseconds(0));
    CPPUNIT_ASSERT(RetryAfter() >= seconds(4) && RetryAfter() <= seconds(6));
    // The target stays after all, then its gate is stopped.
    Report(GateId(1), 16000);
    Report(GateId(1), 16000, false);
    CPPUNIT_ASSERT(RetryAfter() >= seconds(1) && RetryAfter() <= seconds(3));
  }

  void SufficientRoomCountsArrivingWork() {
    const std::vector<RoomStep> steps = {{seconds(0), 10000},
                                         {seconds(4), 20000}};
    const auto at = [&steps](double work, double arriving) {
      return FindSufficientRoom(steps, work, arriving);
    };
    CPPUNIT_ASSERT(at(10000, 0) == core::Duration(seconds(1)));
    CPPUNIT_ASSERT(at(10000, 10000) == core::Duration(seconds(5)));
    CPPUNIT_ASSERT(at(35000, 5000) == core::Duration(seconds(5)));
    CPPUNIT_ASSERT(!at(1, 20000).has_value());
  }

  void RefusesClientWithoutTimeAtOnce() {
    Report(GateId(1), 16000);
    JobRequest request;
    request.id = JobId("hurried");
    StepSpec step;
    step.count = 1;
    step.room = {1600, 64, 0};
    step.declared_run_time = milliseconds(100);
    request.steps = {step};
    OnSubmit(&board_, now_, CallId(77), board_.operator_state.queues.at(0),
             request, now_ + milliseconds(120));
    CPPUNIT_ASSERT(TakeStarts().empty());
    AssertRefusal(CallId(77), Refusal::kExpired);
  }

  /// An entry that knows no gate yet accepts every job. Those that cannot be
  /// served would make the others late once there is room.
  void RefusesSurplusAfterRestart() {
    board_.started_at = now_;
    for (int i = 0; i < 40; ++i) {
      Submit("job" + std::to_string(i), 8, milliseconds(1000));
    }
    CPPUNIT_ASSERT(TakeActions<AnswerCall>().empty());
    Report(GateId(1), 0);
    Advance(milliseconds(20));
    const auto answers = TakeActions<AnswerCall>();
    // The slack of 660 ms suffices for one job on 16 cores.
    CPPUNIT_ASSERT(answers.size() >= 38 && answers.size() <= 39);
    CPPUNIT_ASSERT(answers[0].answer.refusal == Refusal::kOverload);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoomForecastTest);

}  // namespace
}  // namespace tarragon::coordinator
