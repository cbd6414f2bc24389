#ifndef TARRAGON_PROVE_RUN_H_
#define TARRAGON_PROVE_RUN_H_

#include <cstdint>
#include <map>
#include <string>

#include "tarragon/core/clock.h"

/// Randomised runs of the decisions of agents and entries against fakes of
/// everything around them: network, table, targets, clients and operators. One
/// seed gives one run, the same each time.

namespace tarragon::prove {

/// How often each invariant and each branch of interest was exercised.
using CoverageCounts = std::map<std::string, std::uint64_t>;

struct RunOptions {
  std::uint64_t seed = 1;
  /// Faults and load go on for this many events; a quiet phase follows.
  std::uint64_t steps = 150'000;
  /// More faults at a time, longer freezes, and doubled messages.
  bool harsh = false;
};

struct RunResult {
  std::uint64_t seed = 0;
  std::uint64_t steps = 0;
  core::Duration simulated{0};
  CoverageCounts counts;
  /// Empty when every invariant held; else the violation with its history.
  std::string failure;
};

/// Runs one seed. A violation inside the program itself ends the process; its
/// history is written to the standard error first.
RunResult RunSeed(const RunOptions& options);

}  // namespace tarragon::prove

#endif  // TARRAGON_PROVE_RUN_H_
