#include "tarragon/bench/ideal.h"

#include <algorithm>
#include <functional>
#include <queue>

namespace tarragon::bench {

std::vector<core::Duration> SimulateIdeal(const std::vector<IdealJob>& jobs,
                                          std::uint32_t slots) {
  // When each slot is next free, the earliest on top.
  std::priority_queue<core::Duration, std::vector<core::Duration>,
                      std::greater<>>
      free_at;
  for (std::uint32_t i = 0; i < slots; ++i) free_at.push(core::Duration(0));
  std::vector<core::Duration> responses;
  responses.reserve(jobs.size());
  for (const IdealJob& job : jobs) {
    core::Duration last_end = job.at;
    for (const core::Duration run : job.runs) {
      const core::Duration start = std::max(job.at, free_at.top());
      free_at.pop();
      free_at.push(start + run);
      last_end = std::max(last_end, start + run);
    }
    responses.push_back(last_end - job.at);
  }
  return responses;
}

}  // namespace tarragon::bench
