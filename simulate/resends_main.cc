#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "tarragon/simulate/resend_world.h"

/// Usage: tarragon-resends [SEEDS [FIRST_SEED [trace]]]. Simulates clients that
/// submit their jobs again while processes, links and targets fail, and prints
/// the runs of one task that were at work at the same time. Ends with 1 if
/// there were any.
int main(int argc, char* argv[]) {
  const std::uint64_t seeds =
      argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 100;
  const std::uint64_t first =
      argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
  const bool trace = argc > 3 && std::strcmp(argv[3], "trace") == 0;
  std::uint64_t failing = 0;
  tarragon::simulate::ResendResult sum;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    tarragon::simulate::ResendPlan plan;
    plan.seed = seed;
    plan.trace = trace;
    const tarragon::simulate::ResendResult result =
        tarragon::simulate::SimulateResends(plan);
    sum.jobs += result.jobs;
    sum.completed += result.completed;
    sum.resubmitted += result.resubmitted;
    sum.accepted_again += result.accepted_again;
    sum.completed_again += result.completed_again;
    sum.runs += result.runs;
    sum.done += result.done;
    sum.stopped += result.stopped;
    sum.lapsed += result.lapsed;
    sum.crashed += result.crashed;
    sum.late_starts += result.late_starts;
    for (const std::string& line : result.trace) std::puts(line.c_str());
    if (result.overlaps.empty()) continue;
    ++failing;
    std::printf("seed %llu: %zu overlaps\n%s",
                static_cast<unsigned long long>(seed), result.overlaps.size(),
                tarragon::simulate::FormatOverlaps(result).c_str());
  }
  std::printf(
      "seeds %llu failing %llu | jobs %llu completed %llu | submitted again "
      "%llu accepted %llu completed %llu | runs %llu done %llu stopped %llu "
      "lapsed %llu crashed %llu started late %llu\n",
      static_cast<unsigned long long>(seeds),
      static_cast<unsigned long long>(failing),
      static_cast<unsigned long long>(sum.jobs),
      static_cast<unsigned long long>(sum.completed),
      static_cast<unsigned long long>(sum.resubmitted),
      static_cast<unsigned long long>(sum.accepted_again),
      static_cast<unsigned long long>(sum.completed_again),
      static_cast<unsigned long long>(sum.runs),
      static_cast<unsigned long long>(sum.done),
      static_cast<unsigned long long>(sum.stopped),
      static_cast<unsigned long long>(sum.lapsed),
      static_cast<unsigned long long>(sum.crashed),
      static_cast<unsigned long long>(sum.late_starts));
  return failing == 0 ? 0 : 1;
}
