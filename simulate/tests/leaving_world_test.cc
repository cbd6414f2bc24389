#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <cstdlib>
#include <string>

#include "tarragon/simulate/room_world.h"

namespace tarragon::simulate {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 3;

struct Sum {
  std::uint64_t submitted = 0;
  std::uint64_t in_time = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t lost_runs = 0;
  double lost_core_seconds = 0;
  std::uint64_t starts_after_notice = 0;
  core::Duration last_start{0};
  std::uint64_t submitted_after_loss = 0;
  std::uint64_t in_time_after_loss = 0;
};

/// Checks announced departures of targets and the recovery from a power loss
/// under full load.
class LeavingWorldTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeavingWorldTest);
  CPPUNIT_TEST(UsesLeavingTargetsUntilTheyLeave);
  CPPUNIT_TEST(UsesTargetsDuringFalseNotice);
  CPPUNIT_TEST(ServesFreshJobsAfterPowerLoss);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Load 1.0; two of eleven targets leave.
  static CoordinatorPlan Plan(const Disturbance& disturbance) {
    CoordinatorPlan plan = MakeUnequalEntriesPlan();
    plan.length = seconds(10);
    Disturbance full;
    full.until = seconds(10);
    full.arrival_factor = 1.6;
    plan.disturbances = {full, disturbance};
    return plan;
  }

  static Disturbance Notice() {
    Disturbance notice;
    notice.from = seconds(3);
    notice.until = milliseconds(8800);
    notice.affected_targets = 2;
    notice.notice = milliseconds(1800);
    return notice;
  }

  static Sum Play(CoordinatorPlan plan) {
    Sum sum;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      plan.seed = seed;
      const CoordinatorResult result = SimulateCoordinators(plan);
      for (const auto& [kind, got] : result.kinds) {
        sum.submitted += got.submitted;
        sum.in_time += got.in_time;
        sum.late += got.late;
        sum.refused += got.refused;
        sum.failed += got.failed;
      }
      sum.lost_runs += result.lost_runs;
      sum.lost_core_seconds += result.lost_millicore_seconds / 1000;
      sum.starts_after_notice += result.starts_after_notice;
      sum.last_start = std::max(sum.last_start, result.last_start_after_notice);
      sum.submitted_after_loss += result.submitted_after_loss;
      sum.in_time_after_loss += result.in_time_after_loss;
    }
    if (std::getenv("TARRAGON_PRINT") != nullptr) {
      std::printf("%s\n", Text(sum).c_str());
    }
    return sum;
  }

  static std::string Text(const Sum& sum) {
    return std::to_string(sum.submitted) +
           " jobs: " + std::to_string(sum.in_time) + " in time, " +
           std::to_string(sum.late) + " late, " + std::to_string(sum.refused) +
           " refused, " + std::to_string(sum.failed) + " failed; lost " +
           std::to_string(sum.lost_runs) + " runs, " +
           std::to_string(sum.lost_core_seconds) + " core-s; " +
           std::to_string(sum.starts_after_notice) +
           " starts after the notice, last after " +
           std::to_string(core::Millis(sum.last_start)) +
           " ms; after power loss " + std::to_string(sum.in_time_after_loss) +
           " of " + std::to_string(sum.submitted_after_loss);
  }

  void UsesLeavingTargetsUntilTheyLeave() {
    CoordinatorPlan plan = Plan(Notice());
    const Sum now = Play(plan);
    plan.policy.drain_bound = core::Duration(0);
    const Sum before = Play(plan);
    const std::string text = Text(now) + " against " + Text(before);
    CPPUNIT_ASSERT_MESSAGE(text, now.starts_after_notice > 0);
    CPPUNIT_ASSERT_MESSAGE(text, now.last_start < milliseconds(1700));
    CPPUNIT_ASSERT_MESSAGE(text, now.lost_runs <= before.lost_runs);
    CPPUNIT_ASSERT_MESSAGE(text, now.in_time > before.in_time);
  }

  void UsesTargetsDuringFalseNotice() {
    Disturbance notice = Notice();
    notice.until = milliseconds(4800);
    notice.is_false_notice = true;
    const Sum now = Play(Plan(notice));
    CoordinatorPlan plan = Plan(notice);
    plan.policy.drain_bound = core::Duration(0);
    const Sum before = Play(plan);
    const std::string text = Text(now) + " against " + Text(before);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, now.lost_runs);
    CPPUNIT_ASSERT_MESSAGE(text, now.in_time > before.in_time);
  }

  void ServesFreshJobsAfterPowerLoss() {
    Disturbance loss;
    loss.from = seconds(3);
    loss.until = seconds(6);
    loss.power_loss = true;
    CoordinatorPlan plan = Plan(loss);
    const Sum now = Play(plan);
    plan.policy.recovery_time = core::Duration(0);
    const Sum before = Play(plan);
    const std::string text = Text(now) + " against " + Text(before);
    CPPUNIT_ASSERT_MESSAGE(text,
                           now.in_time_after_loss > before.in_time_after_loss);
    CPPUNIT_ASSERT_MESSAGE(text, now.late < before.late);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingWorldTest);

}  // namespace
}  // namespace tarragon::simulate
