#ifndef TARRAGON_COORDINATOR_JOB_MEMORY_H_
#define TARRAGON_COORDINATOR_JOB_MEMORY_H_

#include <cstddef>

#include "tarragon/coordinator/job_board.h"

/// Bound on the memory of the accepted jobs. A body of a few bytes can ask for
/// thousands of tasks, so the size of the body says little.

namespace tarragon::coordinator {

/// Memory that a job takes from its submission to its end, in bytes.
std::size_t EstimateMemory(const JobRequest& request);

/// True if an entry may accept a job of this size. One job takes at most half
/// of what is free, so that large jobs leave room for ordinary ones.
bool HasMemoryFor(const JobBoard& board, std::size_t job_bytes);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_JOB_MEMORY_H_
