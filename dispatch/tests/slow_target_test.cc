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
    SetUpTarget({0, 0, 0});
    RunMany(kSlots, kLate);
    CPPUNIT_ASSERT(!board_.health.ejected);
    PassConfirmTime();
    CPPUNIT_ASSERT(board_.health.ejected);
    CPPUNIT_ASSERT_EQUAL(0U, FreeSlots(board_, now_));
  }

  /// No task has ended yet.
  void JudgesRunningTasksBeforeTheyEnd() {
    SetUpTarget({0, 0, 0});
    StartMany(kSlots, kUsual);
    PassTime(kLate);
    CPPUNIT_ASSERT_EQUAL(kSlots, board_.running_tasks);
    PassConfirmTime();
    CPPUNIT_ASSERT(board_.health.ejected);
  }

  /// What runs may have had an effect: it is neither stopped nor given back.
  void LeavesRunningTasksAlone() {
    SetUpTarget({0, 0, 0});
    StartMany(kSlots, kUsual);
    PassTime(kLate);
    PassConfirmTime();
    CPPUNIT_ASSERT(board_.health.ejected);
    CPPUNIT_ASSERT_EQUAL(kSlots, board_.running_tasks);
    CPPUNIT_ASSERT(TakeStops().empty());
    CPPUNIT_ASSERT(TakeMessages<Refused>().empty());
  }

  void EjectsNobodyWhenAllAreSlow() {
    SetUpTarget({600, 300, 600});
    RunMany(3 * kSlots, kLate);
    PassConfirmTime();
    CPPUNIT_ASSERT(LatePermille(board_.health) > 400);
    CPPUNIT_ASSERT(!board_.health.ejected);
  }

  /// When all slow down at once, each agent notices itself first.
  void WaitsForNewsOfThePeers() {
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

  void EjectsNobodyAfterFewSamples() {
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
  void EjectsNobodyForMixedSizes() {
    SetUpTarget({0, 0, 0});
    for (int round = 0; round < 20; ++round) {
      RunMany(2, kLong);
      RunMany(7, kQuick);
      RunMany(1, 10 * kUsual);
      PassConfirmTime();
      CPPUNIT_ASSERT(!board_.health.ejected);
    }
  }

  /// Long tasks of a service whose tasks are long everywhere.
  void EjectsNobodyForAnotherService() {
    SetUpTarget({0, 0, 0});
    usual_run_time_ = 10 * kUsual;
    RunMany(3 * kSlots, 8 * kUsual);
    PassConfirmTime();
    CPPUNIT_ASSERT_EQUAL(0U, LatePermille(board_.health));
    CPPUNIT_ASSERT(!board_.health.ejected);
  }

  void EjectsNobodyWithoutAUsualRunTime() {
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

  void EjectsAQuarterAtMost() {
    // Two of eight may go; two others are worse.
    SetUpTarget({1000, 1000, 0, 0, 0, 0, 0});
    RunMany(2 * kSlots, kLate);
    PassConfirmTime();
    CPPUNIT_ASSERT(!board_.health.ejected);
    others_late_permille_ = {1000, 0, 0, 0, 0, 0, 0};
    PassConfirmTime();
    CPPUNIT_ASSERT(board_.health.ejected);
  }

  void TriesOneTaskAtATime() {
    EjectTarget();
    PassTime(board_.policy.trial_interval);
    CPPUNIT_ASSERT_EQUAL(1U, FreeSlots(board_, now_));
    StartMany(1, kUsual);
    PassTime(board_.policy.trial_interval);
    CPPUNIT_ASSERT_EQUAL(0U, FreeSlots(board_, now_));
  }

  void ReturnsAfterTrialsInTime() {
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

  /// A short task is in time even at a tenth of the speed.
  void StaysOutAfterOneTrialInTime() {
    EjectTarget();
    PassTime(board_.policy.trial_interval);
    RunMany(1, kQuick);
    CPPUNIT_ASSERT(board_.health.ejected);
  }

  void StaysOutWhileTrialsAreLate() {
    EjectTarget();
    for (int i = 0; i < 10; ++i) {
      PassTime(board_.policy.trial_interval);
      CPPUNIT_ASSERT_EQUAL(1U, FreeSlots(board_, now_));
      RunMany(1, kLate);
      CPPUNIT_ASSERT_EQUAL(0U, FreeSlots(board_, now_));
    }
    CPPUNIT_ASSERT(board_.health.ejected);
  }

  void NoFactorEjectsNobody() {
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

  /// The target is announced; the others have these shares of late tasks.
  void SetUpTarget(const std::vector<std::uint32_t>& others) {
    AnnounceTarget(kSlots);
    others_late_permille_ = others;
    GrantPermit(MakeWorld(1), MakeOthers(others_late_permille_));
  }

  /// Lets time pass, with permits and news of the others.
  void PassTime(core::Duration time) {
    Advance(time);
    AnnounceTarget(kSlots);
    GrantPermit(MakeWorld(1), MakeOthers(others_late_permille_));
    OnTick(&board_, now_);
  }

  /// Lets the time pass after which slowness is believed, at a busy target.
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

  /// Runs tasks, as many at once as there are slots.
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
