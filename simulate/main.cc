#include <getopt.h>

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "tarragon/bench/arrivals.h"
#include "tarragon/bench/preset.h"
#include "tarragon/bench/report_json.h"
#include "tarragon/bench/report_text.h"
#include "tarragon/core/exit_code.h"
#include "tarragon/core/settings.h"
#include "tarragon/daemons/policy_settings.h"
#include "tarragon/simulate/simulation.h"

namespace {

namespace bench = tarragon::bench;
namespace core = tarragon::core;
namespace simulate = tarragon::simulate;

constexpr double kPermille = 1000;

constexpr char kHelp[] =
    R"(Usage: tarragon-simulate [OPTION]...
Runs the decisions of all agents and one entry in virtual time and reports
response times and messages against the ideal. Equal options give equal reports.

  --preset NAME    kaptafa, agence or an INI file (kaptafa)
  --loads A,B,...  work as shares of the slots' capacity (0.5,0.7,0.85,0.95,1.2)
  --seconds N      how long jobs arrive (60)
  --seed N         (1)
  --delay-us N     one way between two processes (500)
  --fault NAME     none, domain-out, target-fails, target-lingers, all-linger,
                   target-dies
  --from N --to N  seconds between which the fault lasts (10, 20)
  --set KEY=VALUE  a setting of section [policy]; repeatable
  --brief          one line for each load
  -h, --help       print this and end
)";

struct Options {
  std::string preset = "kaptafa";
  std::string loads = "0.5,0.7,0.85,0.95,1.2";
  long seconds = 60;
  unsigned long seed = 1;
  long delay_us = 500;
  std::string fault = "none";
  long from = 10;
  long to = 20;
  std::vector<std::string> overrides;
  bool brief = false;
};

enum OptionCode {
  kPreset = 1,
  kLoads,
  kSeconds,
  kSeed,
  kDelay,
  kFault,
  kFrom,
  kTo,
  kSet,
  kBrief
};

constexpr option kOptions[] = {
    {"preset", required_argument, nullptr, kPreset},
    {"loads", required_argument, nullptr, kLoads},
    {"seconds", required_argument, nullptr, kSeconds},
    {"seed", required_argument, nullptr, kSeed},
    {"delay-us", required_argument, nullptr, kDelay},
    {"fault", required_argument, nullptr, kFault},
    {"from", required_argument, nullptr, kFrom},
    {"to", required_argument, nullptr, kTo},
    {"set", required_argument, nullptr, kSet},
    {"brief", no_argument, nullptr, kBrief},
    {"help", no_argument, nullptr, 'h'},
    {nullptr, 0, nullptr, 0}};

/// Parses the command line. Returns false and sets `exit_code` if the program
/// should exit.
bool ReadOptions(int argc, char* argv[], Options* options, int* exit_code) {
  int code = 0;
  while ((code = getopt_long(argc, argv, "h", kOptions, nullptr)) != -1) {
    switch (code) {
      case kPreset:
        options->preset = optarg;
        break;
      case kLoads:
        options->loads = optarg;
        break;
      case kSeconds:
        options->seconds = std::strtol(optarg, nullptr, 10);
        break;
      case kSeed:
        options->seed = std::strtoul(optarg, nullptr, 10);
        break;
      case kDelay:
        options->delay_us = std::strtol(optarg, nullptr, 10);
        break;
      case kFault:
        options->fault = optarg;
        break;
      case kFrom:
        options->from = std::strtol(optarg, nullptr, 10);
        break;
      case kTo:
        options->to = std::strtol(optarg, nullptr, 10);
        break;
      case kSet:
        options->overrides.push_back(std::string("policy.") + optarg);
        break;
      case kBrief:
        options->brief = true;
        break;
      case 'h':
        std::cout << kHelp;
        *exit_code = core::kExitOk;
        return false;
      default:
        *exit_code = core::kExitUsage;
        return false;
    }
  }
  return true;
}

bool ReadFault(const std::string& name, simulate::Fault* fault) {
  const std::pair<const char*, simulate::Fault> names[] = {
      {"none", simulate::Fault::kNone},
      {"domain-out", simulate::Fault::kDomainOut},
      {"target-fails", simulate::Fault::kTargetFails},
      {"target-lingers", simulate::Fault::kTargetLingers},
      {"all-linger", simulate::Fault::kAllLinger},
      {"target-dies", simulate::Fault::kTargetDies}};
  for (const auto& [known, value] : names) {
    if (name != known) continue;
    *fault = value;
    return true;
  }
  return false;
}

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const std::size_t comma = std::min(text.find(',', begin), text.size());
    parts.push_back(text.substr(begin, comma - begin));
    begin = comma + 1;
  }
  return parts;
}

std::uint64_t Sum(const std::map<std::string, std::uint64_t>& counts) {
  std::uint64_t sum = 0;
  for (const auto& [name, count] : counts) sum += count;
  return sum;
}

double Ms(core::Duration duration) {
  return static_cast<double>(duration.count()) / kPermille;
}

/// Prints outcomes, response times against the ideal and messages in one line.
void PrintBrief(const std::string& load, const simulate::Result& result) {
  const bench::Report& report = result.report;
  std::uint64_t complete = 0;
  std::uint64_t not_run = 0;
  std::uint64_t others = 0;
  for (const bench::OutcomeCount& count : report.outcomes) {
    if (count.end == bench::JobEnd::kComplete)
      complete += count.jobs;
    else if (count.end == bench::JobEnd::kNotRun)
      not_run += count.jobs;
    else
      others += count.jobs;
  }
  const double tasks =
      std::max(1.0, static_cast<double>(report.completed_tasks));
  const bench::GroupReport& all = report.groups.front();
  std::printf(
      "load %-5s complete %6llu not_run %5llu others %4llu work %.3f | over "
      "ideal ms: mean %6.1f p50 %6.1f p99 %7.1f p99.9 %7.1f | response less "
      "ideal: mean %6.1f p50 %6.1f p99 %7.1f p99.9 %7.1f | per task: messages "
      "%.2f wasted %.4f | slots used in the fault window %.3f | "
      "healthy targets ejected ms: %.0f\n",
      load.c_str(), static_cast<unsigned long long>(complete),
      static_cast<unsigned long long>(not_run),
      static_cast<unsigned long long>(others), bench::Completed(report),
      Ms(all.excess.mean), Ms(all.excess.p50), Ms(all.excess.p99),
      Ms(all.excess.p999), Ms(all.response.mean - all.ideal.mean),
      Ms(all.response.p50 - all.ideal.p50),
      Ms(all.response.p99 - all.ideal.p99),
      Ms(all.response.p999 - all.ideal.p999),
      static_cast<double>(Sum(*bench::MessagesSent(report))) / tasks,
      static_cast<double>(Sum(*bench::MessagesWasted(report))) / tasks,
      result.fault_window_use, Ms(result.healthy_ejected));
}

}  // namespace

int main(int argc, char* argv[]) {
  Options options;
  int exit_code = core::kExitOk;
  if (!ReadOptions(argc, argv, &options, &exit_code)) return exit_code;
  simulate::Scenario scenario;
  if (!ReadFault(options.fault, &scenario.fault)) {
    std::cerr << "No such fault: " << options.fault << "\n";
    return core::kExitUsage;
  }
  bench::BenchError error;
  const std::optional<bench::Preset> preset =
      bench::LoadPreset(options.preset, &error);
  std::vector<core::SettingError> errors;
  const std::optional<core::Settings> settings = core::Settings::Load(
      tarragon::daemons::PolicySpecs(), "", options.overrides, &errors);
  if (!preset.has_value() || !settings.has_value()) {
    std::cerr << error.text << "\n";
    for (const core::SettingError& fault : errors) {
      std::cerr << core::ToString(fault) << "\n";
    }
    return core::kExitSettings;
  }
  scenario.policy = tarragon::daemons::ReadPolicy(*settings);
  scenario.network_delay = core::Duration(options.delay_us);
  scenario.fault_from = std::chrono::seconds(options.from);
  scenario.fault_to = std::chrono::seconds(options.to);
  for (const std::string& load : Split(options.loads)) {
    scenario.plan = bench::PlanRun(
        *preset,
        static_cast<std::uint32_t>(
            std::lround(std::strtod(load.c_str(), nullptr) * kPermille)),
        std::chrono::seconds(options.seconds), options.seed);
    const simulate::Result result = simulate::Simulate(scenario);
    if (options.brief) {
      PrintBrief(load, result);
    } else {
      std::cout << bench::FormatReport(result.report);
    }
  }
  return core::kExitOk;
}
