#ifndef TARRAGON_DAEMONS_REMARK_LOG_H_
#define TARRAGON_DAEMONS_REMARK_LOG_H_

#include <vector>

#include "tarragon/coordinator/gate_board.h"
#include "tarragon/core/log.h"

namespace tarragon::daemons {

/// Writes what the decisions have noted, one line each, and forgets it.
void WriteRemarks(const core::Log& log,
                  std::vector<coordinator::LogLine>* remarks);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_REMARK_LOG_H_
