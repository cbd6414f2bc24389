#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <string>
#include <vector>

#include "tarragon/simulate/room_world.h"

namespace tarragon::simulate {
namespace {

/// Compares placing by expected finish with placing by free room on targets of
/// unequal speed, with a tail of long tasks, on the same seeds.
class TargetSpeedWorldTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetSpeedWorldTest);
  CPPUNIT_TEST(EndsMoreJobsInTimeOnUnequalTargets);
  CPPUNIT_TEST(PlacesAsBeforeOnEqualTargets);
  CPPUNIT_TEST_SUITE_END();

  struct Outcome {
    double in_time_share = 0;
    /// Ratio of duration to objective.
    double p99 = 0;
    /// Largest factor by which a learned speed ratio is off.
    double worst_error = 0;
  };

  static CoordinatorPlan MakePlan(double load) {
    CoordinatorPlan plan = MakeDefaultPlan();
    plan.length = std::chrono::seconds(12);
    constexpr double kSpeeds[] = {0.6, 1.0, 1.6};
    for (std::size_t i = 0; i < plan.target_millicores.size(); ++i) {
      plan.target_speeds.push_back(kSpeeds[(i + i / 3) % 3]);
    }
    for (JobKind& kind : plan.kinds) {
      kind.long_share = 0.03;
      kind.arrivals_per_second *= load;
    }
    return plan;
  }

  static Outcome Play(CoordinatorPlan plan) {
    constexpr std::uint64_t kSeeds = 3;
    Outcome outcome;
    std::vector<double> durations;
    double submitted = 0;
    double in_time = 0;
    for (plan.seed = 1; plan.seed <= kSeeds; ++plan.seed) {
      const CoordinatorResult result = SimulateCoordinators(plan);
      for (const auto& [name, got] : result.kinds) {
        submitted += static_cast<double>(got.submitted);
        in_time += static_cast<double>(got.in_time);
        durations.insert(durations.end(), got.relative_durations.begin(),
                         got.relative_durations.end());
      }
      double mean_log = 0;
      std::vector<double> errors;
      for (std::size_t i = 0; i < plan.target_speeds.size(); ++i) {
        errors.push_back(std::log(result.learned_permille[i] /
                                  (1000 * plan.target_speeds[i])));
        mean_log +=
            errors.back() / static_cast<double>(plan.target_speeds.size());
      }
      for (const double error : errors) {
        outcome.worst_error =
            std::max(outcome.worst_error, std::exp(std::abs(error - mean_log)));
      }
    }
    outcome.in_time_share = in_time / submitted;
    std::sort(durations.begin(), durations.end());
    outcome.p99 = durations.at(durations.size() * 99 / 100);
    return outcome;
  }

  static std::string Text(const Outcome& outcome) {
    return "in time " + std::to_string(outcome.in_time_share) + ", p99 " +
           std::to_string(outcome.p99) + ", speed error " +
           std::to_string(outcome.worst_error);
  }

  void EndsMoreJobsInTimeOnUnequalTargets() {
    for (const double load : {1.0, 1.25, 1.4}) {
      CoordinatorPlan plan = MakePlan(load);
      // A task of seven times the length is not stalled, and its client waits.
      // Telling it from a stalled one is not up to the placement.
      plan.policy.stall_factor = 30;
      plan.policy.useful_factor = 30;
      const Outcome now = Play(plan);
      plan.policy.place_by_finish = false;
      const Outcome before = Play(plan);
      const std::string text = "load " + std::to_string(load) + ": " +
                               Text(now) + "; before: " + Text(before);
      CPPUNIT_ASSERT_MESSAGE(text, now.in_time_share > before.in_time_share);
      CPPUNIT_ASSERT_MESSAGE(text, now.p99 < before.p99);
      CPPUNIT_ASSERT_MESSAGE(text, now.worst_error < 1.25);
    }
  }

  void PlacesAsBeforeOnEqualTargets() {
    CoordinatorPlan plan = MakeDefaultPlan();
    plan.length = std::chrono::seconds(6);
    const CoordinatorResult now = SimulateCoordinators(plan);
    plan.policy.place_by_finish = false;
    const CoordinatorResult before = SimulateCoordinators(plan);
    for (const auto& [name, got] : before.kinds) {
      CPPUNIT_ASSERT(got.relative_durations ==
                     now.kinds.at(name).relative_durations);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetSpeedWorldTest);

}  // namespace
}  // namespace tarragon::simulate
