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

/// Tests that targets far slower than their peers are ejected and get only
/// trial tasks, and that healthy targets are not ejected.
class SlowTargetTest : public AgentFixture {
  CPPUNIT_TEST_SUITE(SlowTargetTest);
  CPPUNIT_TEST(EjectsOnlySlowTarget);
  CPPUNIT_TEST(CountsLateRunningTasksBeforeTheyEnd);
  CPPUNIT_TEST(EjectionKeepsRunningTasks);
  CPPUNIT_TEST(EjectsNoTargetWhenAllAreSlow);
  CPPUNIT_TEST(WaitsForStatusOfPeers);
  CPPUNIT_TEST(EjectsNoTargetAfterFewSamples);
  CPPUNIT_TEST(EjectsNoIdleTarget);
  CPPUNIT_TEST(EjectsNoTargetForMixedTaskSizes);
  CPPUNIT_TEST(EjectsNoTargetForServiceWithLongTasks);
  CPPUNIT_TEST(EjectsNoTargetWithoutUsualRunTime);
  CPPUNIT_TEST(IgnoresSchedulingDelaysOfShortTasks);
  CPPUNIT_TEST(EjectsAtMostAQuarterOfTargets);
  CPPUNIT_TEST(AllowsOneTrialAtATime);
  CPPUNIT_TEST(EndsEjectionAfterTrialsInTime);
  CPPUNIT_TEST(StaysEjectedAfterOneTrialInTime);
  CPPUNIT_TEST(StaysEjectedWhileTrialsAreLate);
  CPPUNIT_TEST(ZeroLateFactorEjectsNoTarget);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EjectsOnlySlowTarget() {
    SetUpTarget({0, 0, 0});
    RunMany(kSlots, kLate);
    CPPUNIT_ASSERT(!board_.health.ejected);
    PassConfirmTime();
    CPPUNIT_ASSERT(board_.health.ejected);
    CPPUNIT_ASSERT_EQUAL(0U, FreeSlots(board_, now_));
  }

  /// No task has ended yet.
  void CountsLateRunningTasksBeforeTheyEnd() {
    SetUpTarget({0, 0, 0});
    StartMany(kSlots, kUsual);
    PassTime(kLate);
    CPPUNIT_ASSERT_EQUAL(kSlots, board_.running_tasks);
    PassConfirmTime();
    CPPUNIT_ASSERT(board_.health.ejected);
  }

  /// Running tasks may have had an effect, so they are neither stopped nor
  /// refused.
  void EjectionKeepsRunningTasks() {
    SetUpTarget({0, 0, 0});
    StartMany(kSlots, kUsual);
    PassTime(kLate);
    PassConfirmTime();
    CPPUNIT_ASSERT(board_.health.ejected);
    CPPUNIT_ASSERT_EQUAL(kSlots, board_.running_tasks);
    CPPUNIT_ASSERT(TakeStops().empty());
    CPPUNIT_ASSERT(TakeMessages<Refused>().empty());
  }

  void EjectsNoTargetWhenAllAreSlow() {
    SetUpTarget({600, 300, 600});
    RunMany(3 * kSlots, kLate);
    PassConfirmTime();
    CPPUNIT_ASSERT(LatePermille(board_.health) > 400);
    CPPUNIT_ASSERT(!board_.health.ejected);
  }

  /// When all slow down at once, each agent notices itself first.
  void WaitsForStatusOfPeers() {
    SetUpTarget({0, 0, 0});
    RunMany(kSlots, kLate);
    StartMany(kSlots, core::Duration(0));
    Advance(2 * board_.policy.slow_confirm);
    UpdateEjection(&board_, now_);
    CPPUNIT_ASSERT(!board_.health.ejected);
    others_late_permille_ = {300, 300, 300};
    PassTime(board_.policy.slow_confirm);
    CPPUNIT_ASSERT(!board_.health.ejected);
  }

  void EjectsNoTargetAfterFewSamples() {
    SetUpTarget({0, 0, 0});
    RunMany(4, kLate);
    PassConfirmTime();
    CPPUNIT_ASSERT(!board_.health.ejected);
  }

  void EjectsNoIdleTarget() {
    SetUpTarget({0, 0, 0});
    RunMany(kSlots, kLate);
    PassTime(2 * board_.policy.slow_confirm);
    CPPUNIT_ASSERT(!board_.health.ejected);
  }

  /// A tenth of the tasks of any service may run far longer than usual.
  void EjectsNoTargetForMixedTaskSizes() {
    SetUpTarget({0, 0, 0});
    for (int round = 0; round < 20; ++round) {
      RunMany(2, kLong);
      RunMany(7, kQuick);
      RunMany(1, 10 * kUsual);
      PassConfirmTime();
      CPPUNIT_ASSERT(!board_.health.ejected);
    }
  }

  /// The service's tasks are long at all targets.
  void EjectsNoTargetForServiceWithLongTasks() {
    SetUpTarget({0, 0, 0});
    usual_run_time_ = 10 * kUsual;
    RunMany(3 * kSlots, 8 * kUsual);
    PassConfirmTime();
    CPPUNIT_ASSERT_EQUAL(0U, LatePermille(board_.health));
    CPPUNIT_ASSERT(!board_.health.ejected);
  }

  void EjectsNoTargetWithoutUsualRunTime() {
    SetUpTarget({0, 0, 0});
    usual_run_time_ = core::Duration(0);
    RunMany(3 * kSlots, 10 * kUsual);
    PassConfirmTime();
    CPPUNIT_ASSERT(!board_.health.ejected);
  }

  void IgnoresSchedulingDelaysOfShortTasks() {
    SetUpTarget({0, 0, 0});
    usual_run_time_ = std::chrono::milliseconds(2);
    RunMany(3 * kSlots, std::chrono::milliseconds(40));
    PassConfirmTime();
    CPPUNIT_ASSERT(!board_.health.ejected);
  }

  void EjectsAtMostAQuarterOfTargets() {
    // Two of eight targets may be ejected, and two others are worse.
    SetUpTarget({1000, 1000, 0, 0, 0, 0, 0});
    RunMany(2 * kSlots, kLate);
    PassConfirmTime();
    CPPUNIT_ASSERT(!board_.health.ejected);
    others_late_permille_ = {1000, 0, 0, 0, 0, 0, 0};
    PassConfirmTime();
    CPPUNIT_ASSERT(board_.health.ejected);
  }

  void AllowsOneTrialAtATime() {
    EjectTarget();
    PassTime(board_.policy.trial_interval);
    CPPUNIT_ASSERT_EQUAL(1U, FreeSlots(board_, now_));
    StartMany(1, kUsual);
    PassTime(board_.policy.trial_interval);
    CPPUNIT_ASSERT_EQUAL(0U, FreeSlots(board_, now_));
  }

  void EndsEjectionAfterTrialsInTime() {
    EjectTarget();
    PassTime(board_.policy.trial_interval);
    for (int i = 0; i < 3 && board_.health.ejected; ++i) {
      // The next trial does not wait for another interval.
      CPPUNIT_ASSERT_EQUAL(1U, FreeSlots(board_, now_));
      RunMany(1, kQuick);
    }
    CPPUNIT_ASSERT(!board_.health.ejected);
    CPPUNIT_ASSERT_EQUAL(kSlots, FreeSlots(board_, now_));
  }

  /// A short task can be in time even at a tenth of the usual speed.
  void StaysEjectedAfterOneTrialInTime() {
    EjectTarget();
    PassTime(board_.policy.trial_interval);
    RunMany(1, kQuick);
    CPPUNIT_ASSERT(board_.health.ejected);
  }

  void StaysEjectedWhileTrialsAreLate() {
    EjectTarget();
    for (int i = 0; i < 10; ++i) {
      PassTime(board_.policy.trial_interval);
      CPPUNIT_ASSERT_EQUAL(1U, FreeSlots(board_, now_));
      RunMany(1, kLate);
      CPPUNIT_ASSERT_EQUAL(0U, FreeSlots(board_, now_));
    }
    CPPUNIT_ASSERT(board_.health.ejected);
  }

  void ZeroLateFactorEjectsNoTarget() {
    board_.policy.late_factor = 0;
    SetUpTarget({0, 0, 0});
    RunMany(3 * kSlots, 10 * kUsual);
    PassConfirmTime();
    CPPUNIT_ASSERT(!board_.health.ejected);
  }

 private:
  static std::vector<AgentStatus> MakeOthers(
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

  /// Announces the target and sets the others' shares of late tasks, in
  /// thousandths.
  void SetUpTarget(const std::vector<std::uint32_t>& others) {
    AnnounceTarget(kSlots);
    others_late_permille_ = others;
    GrantPermit(MakeWorld(1), MakeOthers(others_late_permille_));
  }

  /// Lets time pass, then delivers a target announcement and a permit with the
  /// status of the others.
  void PassTime(core::Duration time) {
    Advance(time);
    AnnounceTarget(kSlots);
    GrantPermit(MakeWorld(1), MakeOthers(others_late_permille_));
    OnTick(&board_, now_);
  }

  /// Lets `slow_confirm` pass with all slots busy.
  void PassConfirmTime() {
    const std::vector<TaskRef> started =
        StartMany(kSlots - board_.running_tasks, core::Duration(0));
    PassTime(board_.policy.slow_confirm);
    for (const TaskRef& ref : started) {
      OnTaskEnd(&board_, now_, ref, TaskEnd::kOk, "");
    }
  }

  std::vector<TaskRef> StartMany(std::uint32_t tasks, core::Duration usual) {
    std::vector<TaskRef> started;
    for (std::uint32_t i = 0; i < tasks; ++i) {
      Assign assign = MakeAssign("key" + std::to_string(next_key_++), 1);
      assign.usual_run = usual;
      started.push_back(assign.ref);
      Receive(kOtherNode, assign);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{tasks}, TakeRuns().size());
    return started;
  }

  /// Runs this number of tasks, in batches of `kSlots`.
  void RunMany(std::uint32_t tasks, core::Duration run) {
    for (std::uint32_t done = 0; done < tasks; done += kSlots) {
      const std::vector<TaskRef> started =
          StartMany(std::min(kSlots, tasks - done), usual_run_time_);
      PassTime(run);
      for (const TaskRef& ref : started) {
        OnTaskEnd(&board_, now_, ref, TaskEnd::kOk, "");
      }
    }
  }

  void EjectTarget() {
    SetUpTarget({0, 0, 0});
    RunMany(kSlots, kLate);
    PassConfirmTime();
    CPPUNIT_ASSERT(board_.health.ejected);
  }

  core::Duration usual_run_time_ = kUsual;
  std::vector<std::uint32_t> others_late_permille_;
  int next_key_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowTargetTest);

}  // namespace
}  // namespace tarragon::dispatch
