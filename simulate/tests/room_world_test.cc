#include "tarragon/simulate/room_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace tarragon::simulate {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 3;

/// Checks the outcomes of jobs under the loads that queueing, admission and
/// placement of coordinating entries are designed for, some against a baseline
/// with one of these mechanisms switched off.
class RoomWorldTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoomWorldTest);
  CPPUNIT_TEST(EqualPlansGiveEqualResults);
  CPPUNIT_TEST(CompletesJobsInTimeAtNormalLoad);
  CPPUNIT_TEST(CompletesJobsInTimeDuringShortBurst);
  CPPUNIT_TEST(SharesCapacityAmongKindsUnderLongOverload);
  CPPUNIT_TEST(SharesFreedCapacityAmongUnequalEntries);
  CPPUNIT_TEST(RefusesJobsThatWouldLikelyBeLate);
  CPPUNIT_TEST(RefusesEarlyEnoughToRetryElsewhere);
  CPPUNIT_TEST(AvoidsSlowTarget);
  CPPUNIT_TEST(AvoidsTargetWhoseRunsHang);
  CPPUNIT_TEST(AvoidsTargetThatFailsAllRuns);
  CPPUNIT_TEST(ServesOthersWhileTasksCrashTargets);
  CPPUNIT_TEST_SUITE_END();

 public:
  static CoordinatorPlan Plan(std::vector<Disturbance> disturbances) {
    CoordinatorPlan plan = MakeDefaultPlan();
    plan.length = seconds(12);
    plan.disturbances = std::move(disturbances);
    return plan;
  }

  /// Disables the detection of suspect targets.
  static CoordinatorPlan WithoutSuspicion(CoordinatorPlan plan) {
    plan.policy.suspect_slowness = 1e9;
    plan.policy.suspect_failed_permille = 1001;
    return plan;
  }

  struct Mean {
    double earned_share = 0;
    double worst_kind_share = 0;
  };

  static Mean Play(CoordinatorPlan plan) {
    Mean mean;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      plan.seed = seed;
      const CoordinatorResult result = SimulateCoordinators(plan);
      mean.earned_share += result.earned_share / kSeeds;
      mean.worst_kind_share += result.worst_kind_share / kSeeds;
    }
    return mean;
  }

  static std::string Text(const Mean& mean) {
    return std::to_string(mean.earned_share) + " " +
           std::to_string(mean.worst_kind_share);
  }

  void EqualPlansGiveEqualResults() {
    const CoordinatorPlan plan = Plan({});
    CPPUNIT_ASSERT_EQUAL(
        SimulateCoordinators(plan).kinds.at("check").earned_worth,
        SimulateCoordinators(plan).kinds.at("check").earned_worth);
  }

  void CompletesJobsInTimeAtNormalLoad() {
    const Mean mean = Play(Plan({}));
    CPPUNIT_ASSERT_MESSAGE(Text(mean), mean.worst_kind_share >= 0.99);
  }

  void CompletesJobsInTimeDuringShortBurst() {
    Disturbance burst;
    burst.from = seconds(3);
    burst.until = seconds(7);
    burst.arrival_factor = 1.5;
    const Mean mean = Play(Plan({burst}));
    CPPUNIT_ASSERT_MESSAGE(Text(mean), mean.worst_kind_share >= 0.95);
  }

  void SharesCapacityAmongKindsUnderLongOverload() {
    Disturbance burst;
    burst.until = seconds(12);
    burst.arrival_factor = 2.0;
    const Mean mean = Play(Plan({burst}));
    // The capacity covers four fifths of the offered work.
    CPPUNIT_ASSERT_MESSAGE(Text(mean), mean.earned_share >= 0.7);
    CPPUNIT_ASSERT_MESSAGE(Text(mean), mean.worst_kind_share >= 0.6);
  }

  /// Returns a plan with slightly more work than capacity and entries of
  /// unequal shares.
  static CoordinatorPlan FullPlan() {
    CoordinatorPlan plan = MakeUnequalEntriesPlan();
    plan.length = seconds(12);
    Disturbance full;
    full.from = seconds(2);
    full.until = seconds(10);
    full.arrival_factor = 1.7;
    plan.disturbances = {full};
    return plan;
  }

  void SharesFreedCapacityAmongUnequalEntries() {
    CoordinatorPlan plan = FullPlan();
    const Mean mean = Play(plan);
    plan.policy.max_wants = 0;
    const Mean baseline = Play(plan);
    const std::string text = Text(mean) + " against " + Text(baseline);
    CPPUNIT_ASSERT_MESSAGE(text, mean.earned_share >= baseline.earned_share);
    CPPUNIT_ASSERT_MESSAGE(
        text, mean.worst_kind_share > baseline.worst_kind_share + 0.01);
  }

  void RefusesJobsThatWouldLikelyBeLate() {
    CoordinatorPlan plan = FullPlan();
    const Mean mean = Play(plan);
    plan.policy.wait_margin = 1;
    const Mean baseline = Play(plan);
    const std::string text = Text(mean) + " against " + Text(baseline);
    CPPUNIT_ASSERT_MESSAGE(text,
                           mean.earned_share > baseline.earned_share + 0.01);
    CPPUNIT_ASSERT_MESSAGE(
        text, mean.worst_kind_share > baseline.worst_kind_share + 0.01);
  }

  void RefusesEarlyEnoughToRetryElsewhere() {
    Disturbance burst;
    burst.until = seconds(12);
    burst.arrival_factor = 2.5;
    const CoordinatorResult result = SimulateCoordinators(Plan({burst}));
    for (const auto& [name, got] : result.kinds) {
      CPPUNIT_ASSERT_MESSAGE(name, got.refused > got.failed);
      if (got.refused == 0) continue;
      const core::Duration mean =
          got.refused_wait_sum / static_cast<std::int64_t>(got.refused);
      CPPUNIT_ASSERT_MESSAGE(name, mean < std::chrono::milliseconds(700));
    }
  }

  void AssertBetterThanWithoutSuspicion(const Disturbance& disturbance) {
    const Mean mean = Play(Plan({disturbance}));
    const Mean baseline = Play(WithoutSuspicion(Plan({disturbance})));
    const std::string text = Text(mean) + " against " + Text(baseline);
    CPPUNIT_ASSERT_MESSAGE(text, mean.worst_kind_share >= 0.95);
    CPPUNIT_ASSERT_MESSAGE(text,
                           mean.earned_share > baseline.earned_share + 0.03);
  }

  void AvoidsSlowTarget() {
    Disturbance slow;
    slow.from = seconds(2);
    slow.until = seconds(10);
    slow.affected_targets = 2;
    slow.run_time_factor = 6.5;
    AssertBetterThanWithoutSuspicion(slow);
  }

  void AvoidsTargetWhoseRunsHang() {
    Disturbance hang;
    hang.from = seconds(2);
    hang.until = seconds(10);
    hang.affected_targets = 1;
    hang.hang_share = 1;
    AssertBetterThanWithoutSuspicion(hang);
  }

  void AvoidsTargetThatFailsAllRuns() {
    Disturbance grey;
    grey.from = seconds(2);
    grey.until = seconds(10);
    grey.affected_targets = 2;
    grey.failure_share = 1;
    const Mean mean = Play(Plan({grey}));
    const Mean baseline = Play(WithoutSuspicion(Plan({grey})));
    const std::string text = Text(mean) + " against " + Text(baseline);
    CPPUNIT_ASSERT_MESSAGE(text, mean.worst_kind_share >= 0.95);
    CPPUNIT_ASSERT_MESSAGE(text, mean.earned_share >= baseline.earned_share);
  }

  /// Every fifth job of the kind with the longest tasks is deadly, about one a
  /// second against eleven targets that are down for 3 s each time.
  void ServesOthersWhileTasksCrashTargets() {
    CoordinatorPlan plan = Plan({});
    plan.length = seconds(20);
    for (JobKind& kind : plan.kinds) {
      if (kind.name == "carve") kind.deadly_share = 0.2;
    }
    CoordinatorPlan baseline = plan;
    baseline.policy.max_crashes = 1000000;
    double earned = 0;
    double baseline_earned = 0;
    for (std::uint64_t seed = 1; seed <= 2 * kSeeds; ++seed) {
      plan.seed = baseline.seed = seed;
      const CoordinatorResult result = SimulateCoordinators(plan);
      CPPUNIT_ASSERT(result.max_crashes_of_job <= 2);
      earned += result.earned_share;
      baseline_earned += SimulateCoordinators(baseline).earned_share;
    }
    const std::string text =
        std::to_string(earned) + " against " + std::to_string(baseline_earned);
    CPPUNIT_ASSERT_MESSAGE(text, earned > baseline_earned * 1.05);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoomWorldTest);

}  // namespace
}  // namespace tarragon::simulate
