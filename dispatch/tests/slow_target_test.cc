#include <algorithm>

#include "agent_fixture.h"
#include "ejection.h"
#include "executor.h"

namespace tarragon::dispatch {
namespace {

constexpr core::Duration kUsual = std::chrono::milliseconds(500);
constexpr core::Duration kQuick = std::chrono::milliseconds(50);
constexpr core::Duration kLong = std::chrono::milliseconds(900);
constexpr core::Duration kLate = std::chrono::milliseconds(1100);
constexpr std::uint32_t kSlots = 8;

/// Targets that are far slower than their peers get single trials only; a
/// healthy one is never mistaken for such.
class SlowTargetTest : public AgentFixture {
  CPPUNIT_TEST_SUITE(SlowTargetTest);
  CPPUNIT_TEST(EjectsTheOneThatIsSlowAlone);
  CPPUNIT_TEST(JudgesRunningTasksBeforeTheyEnd);
  CPPUNIT_TEST(LeavesRunningTasksAlone);
  CPPUNIT_TEST(EjectsNobodyWhenAllAreSlow);
  CPPUNIT_TEST(WaitsForNewsOfThePeers);
  CPPUNIT_TEST(EjectsNobodyAfterFewSamples);
  CPPUNIT_TEST(EjectsNoIdleTarget);
  CPPUNIT_TEST(EjectsNobodyForMixedSizes);
  CPPUNIT_TEST(EjectsNobodyForAnotherService);
  CPPUNIT_TEST(EjectsNobodyWithoutAUsualRunTime);
  CPPUNIT_TEST(IgnoresSchedulingDelaysOfShortTasks);
  CPPUNIT_TEST(EjectsAQuarterAtMost);
  CPPUNIT_TEST(TriesOneTaskAtATime);
  CPPUNIT_TEST(ReturnsAfterTrialsInTime);
  CPPUNIT_TEST(StaysOutAfterOneTrialInTime);
  CPPUNIT_TEST(StaysOutWhileTrialsAreLate);
  CPPUNIT_TEST(NoFactorEjectsNobody);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EjectsTheOneThatIsSlowAlone() {
    Begin({0, 0, 0});
    RunMany(kSlots, kLate);
    CPPUNIT_ASSERT(!board_.health.ejected);
    Confirm();
    CPPUNIT_ASSERT(board_.health.ejected);
    CPPUNIT_ASSERT_EQUAL(0U, FreeSlots(board_, now_));
  }

  /// No task has ended yet.
  void JudgesRunningTasksBeforeTheyEnd() {
    Begin({0, 0, 0});
    StartMany(kSlots, kUsual);
    Pass(kLate);
    CPPUNIT_ASSERT_EQUAL(kSlots, board_.running_tasks);
    Confirm();
    CPPUNIT_ASSERT(board_.health.ejected);
  }

  /// What runs may have had an effect: it is neither stopped nor given back.
  void LeavesRunningTasksAlone() {
    Begin({0, 0, 0});
    StartMany(kSlots, kUsual);
    Pass(kLate);
    Confirm();
    CPPUNIT_ASSERT(board_.health.ejected);
    CPPUNIT_ASSERT_EQUAL(kSlots, board_.running_tasks);
    CPPUNIT_ASSERT(TakeStops().empty());
    CPPUNIT_ASSERT(Take<Refused>().empty());
  }

  void EjectsNobodyWhenAllAreSlow() {
    Begin({600, 300, 600});
    RunMany(3 * kSlots, kLate);
    Confirm();
    CPPUNIT_ASSERT(LatePermille(board_.health) > 400);
    CPPUNIT_ASSERT(!board_.health.ejected);
  }

  /// When all slow down at once, each agent notices itself first.
  void WaitsForNewsOfThePeers() {
    Begin({0, 0, 0});
    RunMany(kSlots, kLate);
    StartMany(kSlots, core::Duration(0));
    Advance(2 * board_.policy.slow_confirm);
    ReviewEjection(&board_, now_);
    CPPUNIT_ASSERT(!board_.health.ejected);
    others_ = {300, 300, 300};
    Pass(board_.policy.slow_confirm);
    CPPUNIT_ASSERT(!board_.health.ejected);
  }

  void EjectsNobodyAfterFewSamples() {
    Begin({0, 0, 0});
    RunMany(4, kLate);
    Confirm();
    CPPUNIT_ASSERT(!board_.health.ejected);
  }

  void EjectsNoIdleTarget() {
    Begin({0, 0, 0});
    RunMany(kSlots, kLate);
    Pass(2 * board_.policy.slow_confirm);
    CPPUNIT_ASSERT(!board_.health.ejected);
  }

  /// A tenth of the tasks of any service may run far longer than usual.
  void EjectsNobodyForMixedSizes() {
    Begin({0, 0, 0});
    for (int round = 0; round < 20; ++round) {
      RunMany(2, kLong);
      RunMany(7, kQuick);
      RunMany(1, 10 * kUsual);
      Confirm();
      CPPUNIT_ASSERT(!board_.health.ejected);
    }
  }

  /// Long tasks of a service whose tasks are long everywhere.
  void EjectsNobodyForAnotherService() {
    Begin({0, 0, 0});
    usual_ = 10 * kUsual;
    RunMany(3 * kSlots, 8 * kUsual);
    Confirm();
    CPPUNIT_ASSERT_EQUAL(0U, LatePermille(board_.health));
    CPPUNIT_ASSERT(!board_.health.ejected);
  }

  void EjectsNobodyWithoutAUsualRunTime() {
    Begin({0, 0, 0});
    usual_ = core::Duration(0);
    RunMany(3 * kSlots, 10 * kUsual);
    Confirm();
    CPPUNIT_ASSERT(!board_.health.ejected);
  }

  void IgnoresSchedulingDelaysOfShortTasks() {
    Begin({0, 0, 0});
    usual_ = std::chrono::milliseconds(2);
    RunMany(3 * kSlots, std::chrono::milliseconds(40));
    Confirm();
    CPPUNIT_ASSERT(!board_.health.ejected);
  }

  void EjectsAQuarterAtMost() {
    // Two of eight may go; two others are worse.
    Begin({1000, 1000, 0, 0, 0, 0, 0});
    RunMany(2 * kSlots, kLate);
    Confirm();
    CPPUNIT_ASSERT(!board_.health.ejected);
    others_ = {1000, 0, 0, 0, 0, 0, 0};
    Confirm();
    CPPUNIT_ASSERT(board_.health.ejected);
  }

  void TriesOneTaskAtATime() {
    Eject();
    Pass(board_.policy.trial_interval);
    CPPUNIT_ASSERT_EQUAL(1U, FreeSlots(board_, now_));
    StartMany(1, kUsual);
    Pass(board_.policy.trial_interval);
    CPPUNIT_ASSERT_EQUAL(0U, FreeSlots(board_, now_));
  }

  void ReturnsAfterTrialsInTime() {
    Eject();
    Pass(board_.policy.trial_interval);
    for (int i = 0; i < 3 && board_.health.ejected; ++i) {
      // The next trial does not wait for another interval.
      CPPUNIT_ASSERT_EQUAL(1U, FreeSlots(board_, now_));
      RunMany(1, kQuick);
    }
    CPPUNIT_ASSERT(!board_.health.ejected);
    CPPUNIT_ASSERT_EQUAL(kSlots, FreeSlots(board_, now_));
  }

  /// A short task is in time even at a tenth of the speed.
  void StaysOutAfterOneTrialInTime() {
    Eject();
    Pass(board_.policy.trial_interval);
    RunMany(1, kQuick);
    CPPUNIT_ASSERT(board_.health.ejected);
  }

  void StaysOutWhileTrialsAreLate() {
    Eject();
    for (int i = 0; i < 10; ++i) {
      Pass(board_.policy.trial_interval);
      CPPUNIT_ASSERT_EQUAL(1U, FreeSlots(board_, now_));
      RunMany(1, kLate);
      CPPUNIT_ASSERT_EQUAL(0U, FreeSlots(board_, now_));
    }
    CPPUNIT_ASSERT(board_.health.ejected);
  }

  void NoFactorEjectsNobody() {
    board_.policy.late_factor = 0;
    Begin({0, 0, 0});
    RunMany(3 * kSlots, 10 * kUsual);
    Confirm();
    CPPUNIT_ASSERT(!board_.health.ejected);
  }

 private:
  static std::vector<AgentStatus> Others(
      const std::vector<std::uint32_t>& late) {
    std::vector<AgentStatus> others;
    for (std::size_t i = 0; i < late.size(); ++i) {
      const core::NodeId node{
          core::Address("10.0.1." + std::to_string(i) + ":7100"),
          core::Incarnation(100 + i)};
      AgentStatus status = StatusOf(node, kSlots);
      status.late_permille = late[i];
      others.push_back(status);
    }
    return others;
  }

  /// The target is announced; the others have these shares of late tasks.
  void Begin(const std::vector<std::uint32_t>& others) {
    AnnounceTarget(kSlots);
    others_ = others;
    Admit(MakeWorld(1), Others(others_));
  }

  /// Lets time pass, with permits and news of the others.
  void Pass(core::Duration time) {
    Advance(time);
    AnnounceTarget(kSlots);
    Admit(MakeWorld(1), Others(others_));
    OnTick(&board_, now_);
  }

  /// Lets the time pass after which slowness is believed, at a busy target.
  void Confirm() {
    const std::vector<TaskRef> started =
        StartMany(kSlots - board_.running_tasks, core::Duration(0));
    Pass(board_.policy.slow_confirm);
    for (const TaskRef& ref : started) {
      OnTaskEnd(&board_, now_, ref, TaskEnd::kOk, "");
    }
  }

  std::vector<TaskRef> StartMany(std::uint32_t tasks, core::Duration usual) {
    std::vector<TaskRef> started;
    for (std::uint32_t i = 0; i < tasks; ++i) {
      Assign assign = MakeAssign("key" + std::to_string(next_++), 1);
      assign.usual_run = usual;
      started.push_back(assign.ref);
      Receive(kOtherNode, assign);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{tasks}, TakeRuns().size());
    return started;
  }

  /// Runs tasks, as many at once as there are slots.
  void RunMany(std::uint32_t tasks, core::Duration run) {
    for (std::uint32_t done = 0; done < tasks; done += kSlots) {
      const std::vector<TaskRef> started =
          StartMany(std::min(kSlots, tasks - done), usual_);
      Pass(run);
      for (const TaskRef& ref : started) {
        OnTaskEnd(&board_, now_, ref, TaskEnd::kOk, "");
      }
    }
  }

  void Eject() {
    Begin({0, 0, 0});
    RunMany(kSlots, kLate);
    Confirm();
    CPPUNIT_ASSERT(board_.health.ejected);
  }

  core::Duration usual_ = kUsual;
  std::vector<std::uint32_t> others_;
  int next_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowTargetTest);

}  // namespace
}  // namespace tarragon::dispatch
