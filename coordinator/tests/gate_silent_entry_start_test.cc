#include <algorithm>

#include "gate_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// Starts that a gate reads after their entry has fallen silent.
class GateSilentEntryStartTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GateSilentEntryStartTest);
  CPPUNIT_TEST(EndsRunThatWasStartedAfterItsEntryFellSilent);
  CPPUNIT_TEST(EndsRunThatWasStartedBeforeItsEntryFellSilent);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a run that goes on beside the next attempt at its job, as
  // the runs of a silent entry were stopped only once.
  void EndsRunThatWasStartedAfterItsEntryFellSilent() {
    PassSilence(milliseconds(740));
    StartIfAccepted(MakeRun(0));
    PassSilence(milliseconds(1300));
    AssertEndedOrStopped();
  }

  void EndsRunThatWasStartedBeforeItsEntryFellSilent() {
    StartIfAccepted(MakeRun(0));
    PassSilence(milliseconds(1300));
    AssertEndedOrStopped();
  }

 private:
  void StartIfAccepted(const RunRef& run) {
    Start(run);
    started_ = !TakeEndOf(run).has_value();
    RecordLeases();
    if (!started_) return;
    OnStartAnswer(&board_, now_, run, OrderAnswer::kAccepted, std::nullopt);
    running_ = {run};
  }

  /// The target answers every poll; no entry is heard.
  void PassSilence(core::Duration time) {
    const core::Time end = now_ + time;
    while (now_ < end) {
      Advance(milliseconds(20), false);
      RecordLeases();
      if (!board_.polls.empty()) AnswerPoll(running_, {});
      RecordLeases();
    }
  }

  void RecordLeases() {
    for (const OrderPoll& poll : TakeActions<OrderPoll>()) {
      lease_ = std::max(lease_, poll.lease_until.value_or(lease_));
    }
    for (const OrderStart& start : TakeActions<OrderStart>()) {
      lease_ = std::max(lease_, start.start_deadline);
    }
    stopped_ = stopped_ || !TakeActions<OrderStop>().empty();
  }

  void AssertEndedOrStopped() {
    CPPUNIT_ASSERT_MESSAGE(
        "The run was not stopped, and its lease lasts for another " +
            std::to_string(lease_.value() - CurrentTargetClock().value()) +
            " ms.",
        !started_ || stopped_ || lease_ < CurrentTargetClock());
  }

  std::vector<RunRef> running_;
  TargetClock lease_;
  bool started_ = false;
  bool stopped_ = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateSilentEntryStartTest);

}  // namespace
}  // namespace tarragon::coordinator
