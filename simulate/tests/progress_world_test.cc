#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "tarragon/simulate/room_world.h"

namespace tarragon::simulate {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 3;

/// Jobs of which three tasks in a hundred run seven times as long as the
/// others, with and without percent in the targets' lists of runs.
class ProgressWorldTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProgressWorldTest);
  CPPUNIT_TEST(GivesUpNoSoundJobOnQuietDay);
  CPPUNIT_TEST(FindsHangingRunsAsBefore);
  CPPUNIT_TEST(AvoidsSlowTargetsAsBefore);
  CPPUNIT_TEST_SUITE_END();

 public:
  struct Sum {
    double earned_share = 0;
    std::uint64_t submitted = 0;
    std::uint64_t in_time = 0;
    std::uint64_t given_up = 0;
    std::uint64_t stopped = 0;
  };

  static Sum Play(CoordinatorPlan plan, bool lists_percent) {
    plan.lists_percent = lists_percent;
    Sum sum;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      plan.seed = seed;
      const CoordinatorResult result = SimulateCoordinators(plan);
      sum.earned_share += result.earned_share / kSeeds;
      sum.given_up += result.sound_jobs_given_up;
      sum.stopped += result.sound_runs_stopped;
      for (const auto& [name, got] : result.kinds) {
        sum.submitted += got.submitted;
        sum.in_time += got.in_time;
      }
    }
    return sum;
  }

  static std::string Text(const Sum& sum) {
    return std::to_string(sum.submitted) + " jobs, " +
           std::to_string(sum.in_time) + " in time, " +
           std::to_string(sum.given_up) + " given up, " +
           std::to_string(sum.stopped) + " runs stopped, earned " +
           std::to_string(sum.earned_share);
  }

  static CoordinatorPlan QuietPlan() {
    CoordinatorPlan plan = MakeDefaultPlan();
    plan.length = seconds(12);
    plan.tail_share = 0.03;
    plan.tail_factor = 7;
    for (JobKind& kind : plan.kinds) kind.arrivals_per_second *= 0.5;
    return plan;
  }

  void GivesUpNoSoundJobOnQuietDay() {
    const Sum sum = Play(QuietPlan(), true);
    const Sum baseline = Play(QuietPlan(), false);
    const std::string text = Text(sum) + " against " + Text(baseline);
    CPPUNIT_ASSERT_MESSAGE(text, baseline.given_up > 0);
    CPPUNIT_ASSERT_MESSAGE(text, baseline.stopped > 0);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::uint64_t{0}, sum.given_up);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::uint64_t{0}, sum.stopped);
    CPPUNIT_ASSERT_MESSAGE(text, sum.in_time >= baseline.in_time);
  }

  void FindsHangingRunsAsBefore() {
    CoordinatorPlan plan = QuietPlan();
    Disturbance hang;
    hang.from = seconds(2);
    hang.until = seconds(10);
    hang.affected_targets = 2;
    hang.hang_share = 0.5;
    plan.disturbances = {hang};
    const Sum sum = Play(plan, true);
    const Sum baseline = Play(plan, false);
    const std::string text = Text(sum) + " against " + Text(baseline);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::uint64_t{0}, sum.given_up);
    CPPUNIT_ASSERT_MESSAGE(text, sum.in_time >= baseline.in_time);
  }

  /// Without a tail, as in earlier deployments.
  void AvoidsSlowTargetsAsBefore() {
    CoordinatorPlan plan = MakeDefaultPlan();
    plan.length = seconds(12);
    Disturbance slow;
    slow.from = seconds(2);
    slow.until = seconds(10);
    slow.affected_targets = 2;
    slow.run_time_factor = 6.5;
    plan.disturbances = {slow};
    const Sum sum = Play(plan, true);
    const Sum baseline = Play(plan, false);
    const std::string text = Text(sum) + " against " + Text(baseline);
    CPPUNIT_ASSERT_MESSAGE(text, sum.earned_share >= baseline.earned_share);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProgressWorldTest);

}  // namespace
}  // namespace tarragon::simulate
