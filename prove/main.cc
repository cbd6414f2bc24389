#include <getopt.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tarragon/core/exit_code.h"
#include "tarragon/prove/run.h"

namespace {

namespace core = tarragon::core;
namespace prove = tarragon::prove;

constexpr char kHelp[] =
    R"(Usage: tarragon-prove [OPTION]...
Runs the decisions of agents and entries against fakes with random faults and
checks what must always hold. Equal seeds give equal runs.

  --seeds N        how many seeds (20)
  --seed-base S    the first seed (1)
  --steps K        events with faults in each run (150000)
  --mode MODE      normal or harsh (normal)
  --jobs J         threads (4)
  --coverage       print how often each check and branch was exercised
  -h, --help       print this and end

Exit codes: 0 every check held, 1 one failed, 2 wrong command line. A check of
the program itself that fails ends the process after its history.
)";

struct Options {
  std::uint64_t seeds = 20;
  std::uint64_t seed_base = 1;
  std::uint64_t steps = prove::RunOptions{}.steps;
  bool harsh = false;
  unsigned jobs = 4;
  bool coverage = false;
};

enum OptionCode { kSeeds = 1, kSeedBase, kSteps, kMode, kJobs, kCoverage };

constexpr option kOptions[] = {
    {"seeds", required_argument, nullptr, kSeeds},
    {"seed-base", required_argument, nullptr, kSeedBase},
    {"steps", required_argument, nullptr, kSteps},
    {"mode", required_argument, nullptr, kMode},
    {"jobs", required_argument, nullptr, kJobs},
    {"coverage", no_argument, nullptr, kCoverage},
    {"help", no_argument, nullptr, 'h'},
    {nullptr, 0, nullptr, 0}};

/// Reads the options. False, with the exit code, when the program is to end.
bool ReadOptions(int argc, char* argv[], Options* options, int* exit_code) {
  int code = 0;
  while ((code = getopt_long(argc, argv, "h", kOptions, nullptr)) != -1) {
    switch (code) {
      case kSeeds:
        options->seeds = std::strtoull(optarg, nullptr, 10);
        break;
      case kSeedBase:
        options->seed_base = std::strtoull(optarg, nullptr, 10);
        break;
      case kSteps:
        options->steps = std::strtoull(optarg, nullptr, 10);
        break;
      case kMode:
        options->harsh = std::string(optarg) == "harsh";
        break;
      case kJobs:
        options->jobs = static_cast<unsigned>(
            std::max(1UL, std::strtoul(optarg, nullptr, 10)));
        break;
      case kCoverage:
        options->coverage = true;
        break;
      case 'h':
        std::fputs(kHelp, stdout);
        *exit_code = core::kExitOk;
        return false;
      default:
        *exit_code = core::kExitUsage;
        return false;
    }
  }
  return true;
}

/// Runs the seeds on several threads; each run stands alone.
class Runner {
 public:
  explicit Runner(const Options& options) : options_(options) {}

  /// True when every check held in every run.
  bool Run() {
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < options_.jobs; ++i) {
      threads.emplace_back([this]() { RunSeeds(); });
    }
    for (std::thread& thread : threads) thread.join();
    if (options_.coverage) PrintCoverage();
    return failures_ == 0;
  }

 private:
  void RunSeeds() {
    while (true) {
      const std::uint64_t index = next_++;
      if (index >= options_.seeds) return;
      prove::RunOptions run;
      run.seed = options_.seed_base + index;
      run.steps = options_.steps;
      run.harsh = options_.harsh;
      Record(prove::RunSeed(run));
    }
  }

  void Record(const prove::RunResult& result) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const long long seconds =
        std::chrono::duration_cast<std::chrono::seconds>(result.simulated)
            .count();
    std::printf("seed %llu steps %llu simulated %lld s %s\n",
                static_cast<unsigned long long>(result.seed),
                static_cast<unsigned long long>(result.steps), seconds,
                result.failure.empty() ? "ok" : "FAILED");
    for (const auto& [name, count] : result.counts) coverage_[name] += count;
    if (result.failure.empty()) return;
    ++failures_;
    std::printf("%s\n", result.failure.c_str());
  }

  void PrintCoverage() const {
    for (const auto& [name, count] : coverage_) {
      std::printf("%s=%llu\n", name.c_str(),
                  static_cast<unsigned long long>(count));
    }
  }

  const Options& options_;
  std::atomic<std::uint64_t> next_{0};
  std::mutex mutex_;
  prove::CoverageCounts coverage_;
  std::uint64_t failures_ = 0;
};

}  // namespace

int main(int argc, char* argv[]) {
  Options options;
  int exit_code = core::kExitOk;
  if (!ReadOptions(argc, argv, &options, &exit_code)) return exit_code;
  return Runner(options).Run() ? core::kExitOk : core::kExitFailure;
}
