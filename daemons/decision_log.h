#ifndef TARRAGON_DAEMONS_DECISION_LOG_H_
#define TARRAGON_DAEMONS_DECISION_LOG_H_

#include <vector>

#include "tarragon/coordinator/gate_board.h"
#include "tarragon/core/log.h"

namespace tarragon::daemons {

/// Writes each of `log_lines`, which a board collected about its decisions, as
/// one line, and clears the vector.
void LogDecisions(const core::Log& log,
                  std::vector<coordinator::LogLine>* log_lines);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_DECISION_LOG_H_
