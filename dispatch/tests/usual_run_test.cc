#include "admission.h"
#include "agent_fixture.h"

namespace tarragon::dispatch {
namespace {

constexpr core::Duration kUsual = std::chrono::milliseconds(500);

/// A home tells an executor a usual run time only if recent ends elsewhere make
/// it comparable.
class UsualRunTest : public AgentFixture {
  CPPUNIT_TEST_SUITE(UsualRunTest);
  CPPUNIT_TEST(TellsWhatOthersTake);
  CPPUNIT_TEST(TellsNothingAfterFewEnds);
  CPPUNIT_TEST(TellsNothingOfTheExecutorItself);
  CPPUNIT_TEST(TellsNothingOld);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TellsWhatOthersTake() {
    SetMeasuredRuns(20, kOtherNode);
    CPPUNIT_ASSERT(kUsual == UsualRunTime(board_, now_, kFit, kThirdNode));
  }

  void TellsNothingAfterFewEnds() {
    SetMeasuredRuns(19, kOtherNode);
    CPPUNIT_ASSERT(IsUnknownFor(kThirdNode));
  }

  void TellsNothingOfTheExecutorItself() {
    SetMeasuredRuns(20, kOtherNode);
    CPPUNIT_ASSERT(IsUnknownFor(kOtherNode));
  }

  void TellsNothingOld() {
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
