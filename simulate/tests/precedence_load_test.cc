#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

#include "tarragon/simulate/room_world.h"

namespace tarragon::simulate {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 3;
/// Raises the default plan's load so that with `kBurst` it is 1.2 in all.
constexpr double kBaseLoad = 1.335;
constexpr double kBurst = 2.5;

/// Checks that jobs of low priority, and not those of high priority, bear an
/// overload that they cause.
class PrecedenceLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PrecedenceLoadTest);
  CPPUNIT_TEST(KeepsHighestPriorityInTimeDuringBurstOfLowest);
  CPPUNIT_TEST(KeepsHighestPriorityInTimeAmongUnequalEntries);
  CPPUNIT_TEST_SUITE_END();

 public:
  struct Outcome {
    /// Share of the jobs in time, by kind and of all.
    std::map<std::string, double> kinds;
    double all = 0;
  };

  static Outcome Play(CoordinatorPlan plan) {
    std::map<std::string, KindResult> kinds;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      plan.seed = seed;
      for (const auto& [name, got] : SimulateCoordinators(plan).kinds) {
        for (KindResult* sum : {&kinds[name], &kinds[""]}) {
          sum->submitted += got.submitted;
          sum->in_time += got.in_time;
        }
      }
    }
    Outcome outcome;
    for (const auto& [name, sum] : kinds) {
      outcome.kinds[name] =
          static_cast<double>(sum.in_time) / static_cast<double>(sum.submitted);
    }
    outcome.all = outcome.kinds.at("");
    outcome.kinds.erase("");
    return outcome;
  }

  static std::string Text(const Outcome& outcome) {
    std::string text = "all " + std::to_string(outcome.all);
    for (const auto& [name, share] : outcome.kinds) {
      text += " " + name + " " + std::to_string(share);
    }
    return text;
  }

  static void CheckBurst(CoordinatorPlan plan) {
    plan.length = seconds(12);
    Disturbance base;
    base.until = plan.length;
    base.arrival_factor = kBaseLoad;
    Disturbance burst = base;
    burst.arrival_factor = kBurst;
    burst.kind = "carve";
    plan.disturbances = {base, burst};
    const Outcome got = Play(plan);
    // With equal priorities the latest start alone orders the tasks.
    for (JobKind& kind : plan.kinds) kind.priority = 0;
    const Outcome baseline = Play(plan);
    const std::string text = Text(got) + " against " + Text(baseline);
    CPPUNIT_ASSERT_MESSAGE(text, got.kinds.at("check") >= 0.98);
    CPPUNIT_ASSERT_MESSAGE(text, got.all >= baseline.all);
    for (const auto& [name, share] : got.kinds) {
      CPPUNIT_ASSERT_MESSAGE(name + ": " + text, share >= got.all / 2);
    }
  }

  void KeepsHighestPriorityInTimeDuringBurstOfLowest() {
    CheckBurst(MakeDefaultPlan());
  }

  void KeepsHighestPriorityInTimeAmongUnequalEntries() {
    CheckBurst(MakeUnequalEntriesPlan());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrecedenceLoadTest);

}  // namespace
}  // namespace tarragon::simulate
