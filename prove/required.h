#ifndef TARRAGON_PROVE_REQUIRED_H_
#define TARRAGON_PROVE_REQUIRED_H_

#include <string>
#include <vector>

#include "tarragon/prove/run.h"

namespace tarragon::prove {

/// The invariants and branches of interest that `counts` does not show. A set
/// of runs that leaves one out proves less than it says.
std::vector<std::string> MissingCoverage(const CoverageCounts& counts,
                                         bool harsh);

}  // namespace tarragon::prove

#endif  // TARRAGON_PROVE_REQUIRED_H_
