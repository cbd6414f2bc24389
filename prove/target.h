#ifndef TARRAGON_PROVE_TARGET_H_
#define TARRAGON_PROVE_TARGET_H_

#include <cstdint>
#include <map>
#include <vector>

#include "process.h"
#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/agent.h"

/// Targets beside the agents. They outlive their agents.

namespace tarragon::prove {

/// Cores of targets.
inline constexpr std::uint32_t kSmallCores = 4;
inline constexpr std::uint32_t kLargeCores = 16;

enum class TargetMode : std::uint8_t {
  kFine,
  kFail,    // Every task fails.
  kHang,    // Some tasks never end.
  kLinger,  // Tasks take many times longer.
  kBusy,    // Refuses tasks without starting them.
  kLose,    // Runs tasks and loses some answers.
};

/// A task that the target runs.
struct TargetRun {
  dispatch::TaskRef ref;
  ProcessLife agent;
  std::string payload;
  bool reported = false;
};

struct FakeTarget {
  bool present = true;
  bool leaving = false;
  core::Time leaving_since;
  std::vector<core::ServiceId> services;
  std::uint32_t slots = 2;
  std::uint32_t cores = kLargeCores;
  TargetMode mode = TargetMode::kFine;
  std::map<std::uint64_t, TargetRun> runs;
};

struct Targets {
  /// One for each agent, by the agent's index.
  std::vector<FakeTarget> all;
  std::uint64_t next_run = 1;
};

/// Announces each target to its agent again and again.
void AnnounceLoop(Setup* setup, int target);
void AnnounceNow(Setup* setup, int target);

void RunAtTarget(Setup* setup, const ProcessLife& agent,
                 const dispatch::RunTask& task);
void StopAtTarget(Setup* setup, const ProcessLife& agent,
                  const dispatch::StopTask& task);

/// The target dies with all it runs, or comes back.
void KillTarget(Setup* setup, int target);
void ReviveTarget(Setup* setup, int target);
void SetLeaving(Setup* setup, int target, bool leaving);

}  // namespace tarragon::prove

#endif  // TARRAGON_PROVE_TARGET_H_
