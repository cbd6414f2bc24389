#include "tarragon/bench/preset.h"

#include <cmath>
#include <fstream>
#include <iterator>
#include <numbers>

namespace tarragon::bench {
namespace {

std::vector<SizeClass> UsualSizes() {
  return {{"1", 1, 1, 70},
          {"2-8", 2, 8, 20},
          {"9-32", 9, 32, 8},
          {"33-110", 33, 110, 2}};
}

Preset Kaptafa() {
  Preset preset;
  preset.name = "kaptafa";
  preset.services = {{core::ServiceId("heel-pitch"), true, 50},
                     {core::ServiceId("fit-check"), true, 35},
                     {core::ServiceId("carve"), false, 15}};
  preset.tenants = {{core::TenantId("workshop-szeged"), 1},
                    {core::TenantId("workshop-bekes"), 1},
                    {core::TenantId("workshop-debrecen"), 1}};
  preset.sizes = UsualSizes();
  return preset;
}

Preset Agence() {
  Preset preset;
  preset.name = "agence";
  preset.services = {{core::ServiceId("check-signature"), true, 50},
                     {core::ServiceId("retrieve-form"), true, 35},
                     {core::ServiceId("consent"), false, 15}};
  preset.tenants = {{core::TenantId("park-rabat"), 1},
                    {core::TenantId("park-casablanca"), 1},
                    {core::TenantId("park-fes"), 1}};
  preset.sizes = UsualSizes();
  return preset;
}

/// Share of a standard normal variable below `x`.
double NormalBelow(double x) {
  return 0.5 * std::erfc(-x / std::numbers::sqrt2);
}

}  // namespace

std::optional<Preset> LoadPreset(const std::string& name, BenchError* reason) {
  if (name == "kaptafa") return Kaptafa();
  if (name == "agence") return Agence();
  std::ifstream file(name);
  if (!file) {
    reason->text = "There is no preset " + name +
                   "; give kaptafa, agence or the name of a file.";
    return std::nullopt;
  }
  return ParsePreset(std::string(std::istreambuf_iterator<char>(file), {}),
                     reason);
}

std::uint32_t Slots(const Preset& preset) {
  return preset.targets * preset.slots_per_target;
}

core::Duration MeanRun(const RunTimes& runs) {
  if (runs.sigma <= 0) return runs.median;
  const double median = static_cast<double>(runs.median.count());
  const double shortest = static_cast<double>(runs.shortest.count());
  const double longest = static_cast<double>(runs.longest.count());
  const double low = std::log(shortest / median) / runs.sigma;
  const double high = std::log(longest / median) / runs.sigma;
  const double between =
      median * std::exp(runs.sigma * runs.sigma / 2) *
      (NormalBelow(high - runs.sigma) - NormalBelow(low - runs.sigma));
  const double mean =
      shortest * NormalBelow(low) + between + longest * NormalBelow(-high);
  return core::Duration(std::llround(mean));
}

double MeanTasks(const Preset& preset) {
  double sum = 0;
  double weights = 0;
  for (const SizeClass& size : preset.sizes) {
    sum += size.weight * (size.min_tasks + size.max_tasks) / 2.0;
    weights += size.weight;
  }
  return weights > 0 ? sum / weights : 0;
}

}  // namespace tarragon::bench
