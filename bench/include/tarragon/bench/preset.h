#ifndef TARRAGON_BENCH_PRESET_H_
#define TARRAGON_BENCH_PRESET_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"

namespace tarragon::bench {

/// Why a call of this library failed.
struct BenchError {
  /// One sentence for people.
  std::string text;
};

/// One service of a workload.
struct ServiceMix {
  core::ServiceId service;
  bool idempotent = true;
  /// Share of the jobs, relative to the other services.
  std::uint32_t weight = 1;

  bool operator==(const ServiceMix&) const = default;
};

/// One tenant of a workload.
struct TenantMix {
  core::TenantId tenant;
  /// Share of the jobs, relative to the other tenants.
  std::uint32_t weight = 1;

  bool operator==(const TenantMix&) const = default;
};

/// Jobs of similar size. Within the class each size is equally likely.
struct SizeClass {
  /// "2-8".
  std::string name;
  std::uint32_t min_tasks = 1;
  std::uint32_t max_tasks = 1;
  /// Share of the jobs, relative to the other classes.
  std::uint32_t weight = 1;

  bool operator==(const SizeClass&) const = default;
};

/// Run times of tasks: log-normal, clamped.
struct RunTimes {
  core::Duration median{std::chrono::milliseconds(200)};
  /// Standard deviation of the logarithm.
  double sigma = 0.8;
  core::Duration shortest{std::chrono::milliseconds(50)};
  core::Duration longest{std::chrono::seconds(8)};

  bool operator==(const RunTimes&) const = default;
};

/// A workload and the targets that it is meant for.
struct Preset {
  std::string name;
  std::vector<ServiceMix> services;
  std::vector<TenantMix> tenants;
  std::vector<SizeClass> sizes;
  RunTimes runs;
  std::uint32_t targets = 10;
  std::uint32_t slots_per_target = 8;
  /// Deadline of each job.
  core::Duration deadline{std::chrono::seconds(30)};

  bool operator==(const Preset&) const = default;
};

/// The preset "kaptafa" or "agence", else the one in the INI file `name`.
/// Nothing, with a reason, if there is none or it is wrong.
std::optional<Preset> LoadPreset(const std::string& name, BenchError* reason);

/// Reads a preset from its INI text:
///   [preset]            name, targets, slots_per_target, deadline
///   [runs]              median, sigma, shortest, longest
///   [service NAME]      idempotent, weight
///   [tenant NAME]       weight
///   [size NAME]         min_tasks, max_tasks, weight
/// Durations are written "200ms". What is left out keeps its default. A section
/// without any key does not count.
std::optional<Preset> ParsePreset(const std::string& ini_text,
                                  BenchError* reason);

/// All slots of the targets that a preset is meant for.
std::uint32_t Slots(const Preset& preset);

/// Mean run time of a task.
core::Duration MeanRun(const RunTimes& runs);

/// Mean number of tasks in a job.
double MeanTasks(const Preset& preset);

}  // namespace tarragon::bench

#endif  // TARRAGON_BENCH_PRESET_H_
