#include <getopt.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "tarragon/core/exit_code.h"
#include "tarragon/prove/campaign.h"

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

Exit codes: 0 every check held and every branch of interest was taken, 1 not so,
2 wrong command line. A check of
the program itself that fails ends the process after its history.
)";

struct Options {
  prove::CampaignOptions campaign;
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
        options->campaign.seeds = std::strtoull(optarg, nullptr, 10);
        break;
      case kSeedBase:
        options->campaign.first_seed = std::strtoull(optarg, nullptr, 10);
        break;
      case kSteps:
        options->campaign.steps = std::strtoull(optarg, nullptr, 10);
        break;
      case kMode:
        options->campaign.harsh = std::string(optarg) == "harsh";
        break;
      case kJobs:
        options->campaign.threads = static_cast<unsigned>(
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

void PrintRun(const prove::RunResult& run) {
  const long long seconds =
      std::chrono::duration_cast<std::chrono::seconds>(run.simulated).count();
  std::printf("seed %llu steps %llu simulated %lld s %s\n",
              static_cast<unsigned long long>(run.seed),
              static_cast<unsigned long long>(run.steps), seconds,
              run.failure.empty() ? "ok" : "FAILED");
  if (!run.failure.empty()) std::printf("%s\n", run.failure.c_str());
  std::fflush(stdout);
}

void PrintCoverage(const prove::CoverageCounts& counts) {
  for (const auto& [name, count] : counts) {
    std::printf("%s=%llu\n", name.c_str(),
                static_cast<unsigned long long>(count));
  }
}

}  // namespace

int main(int argc, char* argv[]) {
  Options options;
  int exit_code = core::kExitOk;
  if (!ReadOptions(argc, argv, &options, &exit_code)) return exit_code;
  const prove::CampaignResult result =
      prove::RunCampaign(options.campaign, PrintRun);
  if (options.coverage) PrintCoverage(result.counts);
  for (const std::string& name : result.missing) {
    std::printf("Not exercised: %s\n", name.c_str());
  }
  std::printf("%zu of %llu seeds failed.\n", result.failures.size(),
              static_cast<unsigned long long>(options.campaign.seeds));
  const bool passed = result.failures.empty() && result.missing.empty();
  return passed ? core::kExitOk : core::kExitFailure;
}
