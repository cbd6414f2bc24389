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
  static RoomPlan Plan(std::vector<Spell> spells) {
    RoomPlan plan = UsualPlan();
    plan.length = seconds(12);
    plan.spells = std::move(spells);
    return plan;
  }

  /// Entries that trust every target.
  static RoomPlan Trusting(RoomPlan plan) {
    plan.policy.suspect_slowness = 1e9;
    plan.policy.suspect_failed_permille = 1001;
    return plan;
  }

  struct Mean {
    double worth = 0;
    double worst_kind = 0;
  };

  static Mean Play(RoomPlan plan) {
    Mean mean;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      plan.seed = seed;
      const RoomResult result = PlayRooms(plan);
      mean.worth += result.worth / kSeeds;
      mean.worst_kind += result.worst_kind / kSeeds;
    }
    return mean;
  }

  static std::string Text(const Mean& mean) {
    return std::to_string(mean.worth) + " " + std::to_string(mean.worst_kind);
  }

  void RepeatsItself() {
    const RoomPlan plan = Plan({});
    CPPUNIT_ASSERT_EQUAL(PlayRooms(plan).kinds.at("check").earned,
                         PlayRooms(plan).kinds.at("check").earned);
  }

  void ServesACalmDayInTime() {
    const Mean mean = Play(Plan({}));
    CPPUNIT_ASSERT_MESSAGE(Text(mean), mean.worst_kind >= 0.99);
  }

  void ServesAShortBurst() {
    Spell burst;
    burst.from = seconds(3);
    burst.until = seconds(7);
    burst.load = 1.5;
    const Mean mean = Play(Plan({burst}));
    CPPUNIT_ASSERT_MESSAGE(Text(mean), mean.worst_kind >= 0.95);
  }

  void SharesALongOverloadAmongKinds() {
    Spell burst;
    burst.until = seconds(12);
    burst.load = 2.0;
    const Mean mean = Play(Plan({burst}));
    // The room is enough for four fifths of what is asked for.
    CPPUNIT_ASSERT_MESSAGE(Text(mean), mean.worth >= 0.7);
    CPPUNIT_ASSERT_MESSAGE(Text(mean), mean.worst_kind >= 0.6);
  }

  /// Slightly more work than there is room, for entries of unequal shares.
  static RoomPlan FullPlan() {
    RoomPlan plan = UnequalPlan();
    plan.length = seconds(12);
    Spell full;
    full.from = seconds(2);
    full.until = seconds(10);
    full.load = 1.7;
    plan.spells = {full};
    return plan;
  }

  void SharesFreedRoomAmongUnequalEntries() {
    RoomPlan plan = FullPlan();
    const Mean mean = Play(plan);
    plan.policy.max_wants = 0;
    const Mean baseline = Play(plan);
    const std::string text = Text(mean) + " against " + Text(baseline);
    CPPUNIT_ASSERT_MESSAGE(text, mean.worth >= baseline.worth);
    CPPUNIT_ASSERT_MESSAGE(text, mean.worst_kind > baseline.worst_kind + 0.01);
  }

  void RefusesWhatWouldLikelyBeLate() {
    RoomPlan plan = FullPlan();
    const Mean mean = Play(plan);
    plan.policy.wait_margin = 1;
    const Mean baseline = Play(plan);
    const std::string text = Text(mean) + " against " + Text(baseline);
    CPPUNIT_ASSERT_MESSAGE(text, mean.worth > baseline.worth + 0.01);
    CPPUNIT_ASSERT_MESSAGE(text, mean.worst_kind > baseline.worst_kind + 0.01);
  }

  void RefusesWhileThereIsTimeToGoElsewhere() {
    Spell burst;
    burst.until = seconds(12);
    burst.load = 2.5;
    const RoomResult result = PlayRooms(Plan({burst}));
    for (const auto& [name, got] : result.kinds) {
      CPPUNIT_ASSERT_MESSAGE(name, got.refused > got.failed);
      if (got.refused == 0) continue;
      const core::Duration mean =
          got.refused_after / static_cast<std::int64_t>(got.refused);
      CPPUNIT_ASSERT_MESSAGE(name, mean < std::chrono::milliseconds(700));
    }
  }

  void AssertBetterThanTrusting(const Spell& spell) {
    const Mean mean = Play(Plan({spell}));
    const Mean baseline = Play(Trusting(Plan({spell})));
    const std::string text = Text(mean) + " against " + Text(baseline);
    CPPUNIT_ASSERT_MESSAGE(text, mean.worst_kind >= 0.95);
    CPPUNIT_ASSERT_MESSAGE(text, mean.worth > baseline.worth + 0.03);
  }

  void AvoidsASlowTarget() {
    Spell slow;
    slow.from = seconds(2);
    slow.until = seconds(10);
    slow.targets = 2;
    slow.slowness = 6.5;
    AssertBetterThanTrusting(slow);
  }

  void AvoidsATargetThatStandsStill() {
    Spell hang;
    hang.from = seconds(2);
    hang.until = seconds(10);
    hang.targets = 1;
    hang.hangs = 1;
    AssertBetterThanTrusting(hang);
  }

  void AvoidsATargetThatFailsAll() {
    Spell grey;
    grey.from = seconds(2);
    grey.until = seconds(10);
    grey.targets = 2;
    grey.failures = 1;
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
