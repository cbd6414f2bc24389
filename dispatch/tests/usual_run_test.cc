#include "admission.h"
#include "agent_fixture.h"

namespace tarragon::dispatch {
namespace {

constexpr core::Duration kUsual = std::chrono::milliseconds(500);

/// Tests that a home sends an executor the usual run time only if there are
/// enough recent runs at other executors.
class UsualRunTest : public AgentFixture {
  CPPUNIT_TEST_SUITE(UsualRunTest);
  CPPUNIT_TEST(ReturnsRunTimeAtOtherExecutors);
  CPPUNIT_TEST(ReturnsZeroAfterFewRuns);
  CPPUNIT_TEST(ReturnsZeroWithoutOtherExecutors);
  CPPUNIT_TEST(ReturnsZeroWhenMeasurementIsOld);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReturnsRunTimeAtOtherExecutors() {
    SetMeasuredRuns(20, kOtherNode);
    CPPUNIT_ASSERT(kUsual == UsualRunTime(board_, now_, kFit, kThirdNode));
  }

  void ReturnsZeroAfterFewRuns() {
    SetMeasuredRuns(19, kOtherNode);
    CPPUNIT_ASSERT(IsUnknownFor(kThirdNode));
  }

  void ReturnsZeroWithoutOtherExecutors() {
    SetMeasuredRuns(20, kOtherNode);
    CPPUNIT_ASSERT(IsUnknownFor(kOtherNode));
  }

  void ReturnsZeroWhenMeasurementIsOld() {
    SetMeasuredRuns(20, kOtherNode);
    Advance(board_.policy.run_time_validity + std::chrono::milliseconds(1));
    CPPUNIT_ASSERT(IsUnknownFor(kThirdNode));
  }

 private:
  void SetMeasuredRuns(std::uint64_t runs, const core::NodeId& executor) {
    ServiceQueue& queue = board_.service_queues[kFit];
    queue.usual_run = kUsual;
    queue.measured_runs = runs;
    queue.recent_ends.assign(runs, {now_, executor});
  }

  bool IsUnknownFor(const core::NodeId& executor) const {
    return UsualRunTime(board_, now_, kFit, executor) == core::Duration(0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsualRunTest);

}  // namespace
}  // namespace tarragon::dispatch
