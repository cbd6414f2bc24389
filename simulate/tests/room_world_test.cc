#include "tarragon/simulate/room_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace tarragon::simulate {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 3;

/// What callers get under the loads for which the queueing, refusing and
/// placing of coordinating entries is made, beside a baseline that does
/// without.
class RoomWorldTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoomWorldTest);
  CPPUNIT_TEST(RepeatsItself);
  CPPUNIT_TEST(ServesACalmDayInTime);
  CPPUNIT_TEST(ServesAShortBurst);
  CPPUNIT_TEST(SharesALongOverloadAmongKinds);
  CPPUNIT_TEST(SharesFreedRoomAmongUnequalEntries);
  CPPUNIT_TEST(RefusesWhatWouldLikelyBeLate);
  CPPUNIT_TEST(RefusesWhileThereIsTimeToGoElsewhere);
  CPPUNIT_TEST(AvoidsASlowTarget);
  CPPUNIT_TEST(AvoidsATargetThatStandsStill);
  CPPUNIT_TEST(AvoidsATargetThatFailsAll);
  CPPUNIT_TEST_SUITE_END();

 public:
  static CoordinatorPlan Plan(std::vector<Disturbance> spells) {
    CoordinatorPlan plan = MakeDefaultPlan();
    plan.length = seconds(12);
    plan.disturbances = std::move(spells);
    return plan;
  }

  /// Entries that trust every target.
  static CoordinatorPlan Trusting(CoordinatorPlan plan) {
    plan.policy.suspect_slowness = 1e9;
    plan.policy.suspect_failed_permille = 1001;
    return plan;
  }

  struct Mean {
    double worth = 0;
    double worst_kind = 0;
  };

  static Mean Play(CoordinatorPlan plan) {
    Mean mean;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      plan.seed = seed;
      const CoordinatorResult result = SimulateCoordinators(plan);
      mean.worth += result.earned_share / kSeeds;
      mean.worst_kind += result.worst_kind_share / kSeeds;
    }
    return mean;
  }

  static std::string Text(const Mean& mean) {
    return std::to_string(mean.worth) + " " + std::to_string(mean.worst_kind);
  }

  void RepeatsItself() {
    const CoordinatorPlan plan = Plan({});
    CPPUNIT_ASSERT_EQUAL(
        SimulateCoordinators(plan).kinds.at("check").earned_worth,
        SimulateCoordinators(plan).kinds.at("check").earned_worth);
  }

  void ServesACalmDayInTime() {
    const Mean mean = Play(Plan({}));
    CPPUNIT_ASSERT_MESSAGE(Text(mean), mean.worst_kind >= 0.99);
  }

  void ServesAShortBurst() {
    Disturbance burst;
    burst.from = seconds(3);
    burst.until = seconds(7);
    burst.arrival_factor = 1.5;
    const Mean mean = Play(Plan({burst}));
    CPPUNIT_ASSERT_MESSAGE(Text(mean), mean.worst_kind >= 0.95);
  }

  void SharesALongOverloadAmongKinds() {
    Disturbance burst;
    burst.until = seconds(12);
    burst.arrival_factor = 2.0;
    const Mean mean = Play(Plan({burst}));
    // The room is enough for four fifths of what is asked for.
    CPPUNIT_ASSERT_MESSAGE(Text(mean), mean.worth >= 0.7);
    CPPUNIT_ASSERT_MESSAGE(Text(mean), mean.worst_kind >= 0.6);
  }

  /// Slightly more work than there is room, for entries of unequal shares.
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

  void SharesFreedRoomAmongUnequalEntries() {
    CoordinatorPlan plan = FullPlan();
    const Mean mean = Play(plan);
    plan.policy.max_wants = 0;
    const Mean baseline = Play(plan);
    const std::string text = Text(mean) + " against " + Text(baseline);
    CPPUNIT_ASSERT_MESSAGE(text, mean.worth >= baseline.worth);
    CPPUNIT_ASSERT_MESSAGE(text, mean.worst_kind > baseline.worst_kind + 0.01);
  }

  void RefusesWhatWouldLikelyBeLate() {
    CoordinatorPlan plan = FullPlan();
    const Mean mean = Play(plan);
    plan.policy.wait_margin = 1;
    const Mean baseline = Play(plan);
    const std::string text = Text(mean) + " against " + Text(baseline);
    CPPUNIT_ASSERT_MESSAGE(text, mean.worth > baseline.worth + 0.01);
    CPPUNIT_ASSERT_MESSAGE(text, mean.worst_kind > baseline.worst_kind + 0.01);
  }

  void RefusesWhileThereIsTimeToGoElsewhere() {
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

  void AssertBetterThanTrusting(const Disturbance& spell) {
    const Mean mean = Play(Plan({spell}));
    const Mean baseline = Play(Trusting(Plan({spell})));
    const std::string text = Text(mean) + " against " + Text(baseline);
    CPPUNIT_ASSERT_MESSAGE(text, mean.worst_kind >= 0.95);
    CPPUNIT_ASSERT_MESSAGE(text, mean.worth > baseline.worth + 0.03);
  }

  void AvoidsASlowTarget() {
    Disturbance slow;
    slow.from = seconds(2);
    slow.until = seconds(10);
    slow.affected_targetsmillicores = 2;
    slow.run_time_factor = 6.5;
    AssertBetterThanTrusting(slow);
  }

  void AvoidsATargetThatStandsStill() {
    Disturbance hang;
    hang.from = seconds(2);
    hang.until = seconds(10);
    hang.affected_targetsmillicores = 1;
    hang.hang_share = 1;
    AssertBetterThanTrusting(hang);
  }

  void AvoidsATargetThatFailsAll() {
    Disturbance grey;
    grey.from = seconds(2);
    grey.until = seconds(10);
    grey.affected_targetsmillicores = 2;
    grey.failure_share = 1;
    const Mean mean = Play(Plan({grey}));
    const Mean baseline = Play(Trusting(Plan({grey})));
    const std::string text = Text(mean) + " against " + Text(baseline);
    CPPUNIT_ASSERT_MESSAGE(text, mean.worst_kind >= 0.95);
    CPPUNIT_ASSERT_MESSAGE(text, mean.worth >= baseline.worth);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoomWorldTest);

}  // namespace
}  // namespace tarragon::simulate
