#ifndef TARRAGON_PROVE_CAMPAIGN_H_
#define TARRAGON_PROVE_CAMPAIGN_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "tarragon/prove/run.h"

/// Many runs with the seeds that follow one another, on several threads.

namespace tarragon::prove {

struct CampaignOptions {
  std::uint64_t first_seed = 1;
  std::uint64_t seeds = 20;
  std::uint64_t steps = RunOptions{}.steps;
  bool harsh = false;
  unsigned threads = 4;
};

struct CampaignResult {
  /// Sum of the counts of all runs.
  CoverageCounts counts;
  /// The runs in which an invariant was violated, by seed.
  std::vector<RunResult> failures;
  /// Invariants and branches that no run exercised.
  std::vector<std::string> missing;
};

/// Runs all seeds. `report` is called once for each run, by one thread at a
/// time, in the order in which they end.
CampaignResult RunCampaign(const CampaignOptions& options,
                           const std::function<void(const RunResult&)>& report);

}  // namespace tarragon::prove

#endif  // TARRAGON_PROVE_CAMPAIGN_H_
