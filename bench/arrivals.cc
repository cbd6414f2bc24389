#include "tarragon/bench/arrivals.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>
#include <random>

namespace tarragon::bench {
namespace {

constexpr double kMicrosPerMs = 1000;
constexpr double kPermille = 1000;
/// Of 64 random bits, those that a double cannot hold.
constexpr int kDroppedBits = 11;

/// Numbers that are the same with every standard library.
class Random {
 public:
  Random(std::uint64_t seed, std::uint64_t stream)
      : engine_(seed * 2 + stream) {}

  /// Uniform in (0, 1].
  double Uniform() {
    return static_cast<double>((engine_() >> kDroppedBits) + 1) * 0x1p-53;
  }

  /// Exponential with mean 1.
  double Exponential() { return -std::log(Uniform()); }

  /// Normal with mean 0 and deviation 1.
  double Normal() {
    const double radius = std::sqrt(2 * Exponential());
    return radius * std::cos(2 * std::numbers::pi * Uniform());
  }

  /// Uniform from 0 to `count` - 1.
  std::uint64_t Below(std::uint64_t count) { return engine_() % count; }

 private:
  std::mt19937_64 engine_;
};

/// Picks an item by its weight.
template <typename Item>
std::size_t Pick(const std::vector<Item>& items, Random* random) {
  std::uint64_t sum = 0;
  for (const Item& item : items) sum += item.weight;
  std::uint64_t left = random->Below(sum);
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (left < items[i].weight) return i;
    left -= items[i].weight;
  }
  return items.size() - 1;
}

core::Duration DrawRun(const RunTimes& runs, Random* random) {
  const double median = static_cast<double>(runs.median.count());
  const double drawn = median * std::exp(runs.sigma * random->Normal());
  const double clamped =
      std::clamp(drawn, static_cast<double>(runs.shortest.count()),
                 static_cast<double>(runs.longest.count()));
  return std::chrono::milliseconds(std::llround(clamped / kMicrosPerMs));
}

PlannedJob DrawJob(const Preset& preset, Random* random) {
  PlannedJob job;
  const ServiceMix& service = preset.services[Pick(preset.services, random)];
  job.service = service.service;
  job.idempotent = service.idempotent;
  job.tenant = preset.tenants[Pick(preset.tenants, random)].tenant;
  job.size_class = Pick(preset.sizes, random);
  const SizeClass& size = preset.sizes[job.size_class];
  const std::uint64_t tasks =
      size.min_tasks + random->Below(size.max_tasks - size.min_tasks + 1);
  for (std::uint64_t i = 0; i < tasks; ++i) {
    job.runs.push_back(DrawRun(preset.runs, random));
  }
  return job;
}

}  // namespace

RunPlan PlanRun(const Preset& preset, std::uint32_t load_permille,
                core::Duration length, std::uint64_t seed) {
  RunPlan plan;
  plan.preset = preset;
  plan.load_permille = load_permille;
  plan.length = length;
  plan.seed = seed;
  if (load_permille == 0) return plan;
  const double job_work =
      MeanTasks(preset) * static_cast<double>(MeanRun(preset.runs).count());
  const double mean_gap = job_work * kPermille /
                          (Slots(preset) * static_cast<double>(load_permille));
  Random gaps(seed, 0);
  Random contents(seed, 1);
  double at = mean_gap * gaps.Exponential();
  while (at < static_cast<double>(length.count())) {
    PlannedJob job = DrawJob(preset, &contents);
    job.at = core::Duration(std::llround(at));
    plan.jobs.push_back(std::move(job));
    at += mean_gap * gaps.Exponential();
  }
  return plan;
}

core::Duration Work(const PlannedJob& job) {
  return std::accumulate(job.runs.begin(), job.runs.end(), core::Duration(0));
}

}  // namespace tarragon::bench
