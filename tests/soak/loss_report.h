#ifndef TARRAGON_TESTS_SOAK_LOSS_REPORT_H_
#define TARRAGON_TESTS_SOAK_LOSS_REPORT_H_

#include <set>
#include <string>
#include <vector>

#include "loss_plan.h"
#include "run_ledger.h"

namespace tarragon::soak {

/// What a seed of losses has broken.
struct LossReport {
  const std::vector<LossSeries>* series = nullptr;
  RunLedger::Time begun_at;
  std::vector<RunOverlap> overlaps;
  std::set<std::string> violations;
};

/// Prints each overlap with both runs, in milliseconds since the begin of the
/// seed, and the series in which the second one started.
void Print(const LossReport& report);

}  // namespace tarragon::soak

#endif  // TARRAGON_TESTS_SOAK_LOSS_REPORT_H_
