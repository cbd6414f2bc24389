#include "tarragon/prove/campaign.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

#include "required.h"

namespace tarragon::prove {

CampaignResult RunCampaign(
    const CampaignOptions& options,
    const std::function<void(const RunResult&)>& report) {
  CampaignResult result;
  std::mutex mutex;
  std::atomic<std::uint64_t> next{0};
  const auto work = [&options, &report, &result, &mutex, &next]() {
    for (std::uint64_t i = next++; i < options.seeds; i = next++) {
      const RunResult run = RunSeed(
          RunOptions{options.first_seed + i, options.steps, options.harsh});
      const std::lock_guard<std::mutex> lock(mutex);
      report(run);
      for (const auto& [name, count] : run.counts) {
        result.counts[name] += count;
      }
      if (!run.failure.empty()) result.failures.push_back(run);
    }
  };
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < options.threads; ++i) threads.emplace_back(work);
  for (std::thread& thread : threads) thread.join();
  std::sort(
      result.failures.begin(), result.failures.end(),
      [](const RunResult& a, const RunResult& b) { return a.seed < b.seed; });
  result.missing = MissingCoverage(result.counts, options.harsh);
  return result;
}

}  // namespace tarragon::prove
