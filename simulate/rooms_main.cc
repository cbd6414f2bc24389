#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "tarragon/simulate/room_world.h"

namespace tarragon::simulate {
namespace {

struct Load {
  const char* name;
  std::vector<Disturbance> disturbances;
  bool unequal_entries = false;
};

std::vector<Load> Loads() {
  using std::chrono::seconds;
  Disturbance burst{seconds(4), seconds(8), 1.5, "", 0, 1, 0, 0};
  Disturbance heavy{seconds(4), seconds(13), 2.0, "", 0, 1, 0, 0};
  Disturbance full{seconds(4), seconds(13), 1.6, "", 0, 1, 0, 0};
  Disturbance over{seconds(4), seconds(13), 1.75, "", 0, 1, 0, 0};
  Disturbance carves{seconds(4), seconds(8), 1.8, "carve", 0, 1, 0, 0};
  Disturbance slow{seconds(6), seconds(13), 1, "", 2, 6.5, 0, 0};
  Disturbance grey{seconds(6), seconds(13), 1, "", 1, 1, 1.0, 0};
  Disturbance hang{seconds(6), seconds(13), 1, "", 1, 1, 0, 1.0};
  return {{"calm", {}},
          {"burst", {burst}},
          {"full", {full}},
          {"over", {over}},
          {"heavy", {heavy}},
          {"carves", {carves}},
          {"slow", {slow}},
          {"grey", {grey}},
          {"hang", {hang}},
          {"heavy+slow", {heavy, slow}},
          {"unequal", {full}, true},
          {"unequal+", {over}, true},
          {"unequal++", {heavy}, true}};
}

void Print(const Load& load, int seeds) {
  double worth = 0;
  double worst = 0;
  double wasted = 0;
  std::map<std::string, KindResult> kinds;
  for (int seed = 1; seed <= seeds; ++seed) {
    CoordinatorPlan plan =
        load.unequal_entries ? MakeUnequalEntriesPlan() : MakeDefaultPlan();
    plan.seed = static_cast<std::uint64_t>(seed);
    plan.length = std::chrono::seconds(16);
    plan.disturbances = load.disturbances;
    const CoordinatorResult result = SimulateCoordinators(plan);
    worth += result.earned_share / seeds;
    worst += result.worst_kind_share / seeds;
    wasted += result.wasted_millicore_seconds / 1000 / seeds;
    for (const auto& [name, got] : result.kinds) {
      KindResult& sum = kinds[name];
      sum.submitted += got.submitted;
      sum.in_time += got.in_time;
      sum.late += got.late;
      sum.refused += got.refused;
      sum.failed += got.failed;
    }
  }
  std::printf("%-11s worth %.3f  worst kind %.3f  wasted %5.1f core-s ",
              load.name, worth, worst, wasted);
  for (const auto& [name, sum] : kinds) {
    const double asked = static_cast<double>(sum.submitted);
    std::printf(" | %s %.2f in time %.2f late %.2f refused %.2f failed",
                name.c_str(), static_cast<double>(sum.in_time) / asked,
                static_cast<double>(sum.late) / asked,
                static_cast<double>(sum.refused) / asked,
                static_cast<double>(sum.failed) / asked);
  }
  std::printf("\n");
}

}  // namespace
}  // namespace tarragon::simulate

/// Usage: tarragon-rooms [SEEDS]. Prints the outcomes of jobs under a set of
/// loads and target faults, averaged over SEEDS random seeds.
int main(int argc, char* argv[]) {
  const int seeds = argc > 1 ? std::atoi(argv[1]) : 5;
  for (const tarragon::simulate::Load& load : tarragon::simulate::Loads()) {
    tarragon::simulate::Print(load, seeds);
  }
  return 0;
}
