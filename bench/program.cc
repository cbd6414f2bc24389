#include "tarragon/bench/program.h"

#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <utility>

#include "tarragon/bench/driver.h"
#include "tarragon/bench/options.h"
#include "tarragon/bench/report_json.h"
#include "tarragon/bench/report_text.h"
#include "tarragon/core/exit_code.h"
#include "tarragon/core/log.h"

namespace tarragon::bench {
namespace {

constexpr std::chrono::seconds kProgressPeriod{5};
/// Lets the messages that follow the last answers be counted.
constexpr std::chrono::milliseconds kSettleTime{300};
/// Open files that are not connections of outstanding jobs.
constexpr rlim_t kSpareFiles = 64;
constexpr std::size_t kMaxPageBytes = std::size_t{16} * 1024 * 1024;

const core::Log& RunLog() {
  static const core::Log log("run");
  return log;
}

/// One run: readings before, the load, readings after.
class Run {
 public:
  Run(const RunPlan& plan, const Options& options, DriverOptions driver)
      : io_(1),
        plan_(plan),
        options_(options),
        client_(io_, Limits()),
        driver_(io_, clock_, plan, std::move(driver)),
        timer_(io_) {}

  Report Execute();

 private:
  static http::ClientLimits Limits();
  void ReadBefore();
  void Load();
  void ReportProgress();
  void Settle();
  void ReadAfter();

  boost::asio::io_context io_;
  core::SystemClock clock_;
  const RunPlan& plan_;
  const Options& options_;
  http::Client client_;
  Driver driver_;
  boost::asio::steady_timer timer_;
  CounterReadings before_;
  CounterReadings after_;
};

http::ClientLimits Run::Limits() {
  http::ClientLimits limits;
  limits.max_response_bytes = kMaxPageBytes;
  limits.max_idle_per_host = 0;
  return limits;
}

Report Run::Execute() {
  ReadBefore();
  io_.run();
  return BuildReport(plan_, driver_.result(),
                     CompareReadings(options_.processes, before_, after_));
}

void Run::ReadBefore() {
  if (options_.processes.empty()) return Load();
  ReadAllCounters(&client_, options_.processes, [this](CounterReadings all) {
    before_ = std::move(all);
    Load();
  });
}

void Run::Load() {
  RunLog().Info("The load begins.", {{"jobs", plan_.jobs.size()}});
  driver_.Start([this] { Settle(); });
  ReportProgress();
}

void Run::ReportProgress() {
  timer_.expires_after(kProgressPeriod);
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    const Progress now = driver_.progress();
    RunLog().Info("Under load.", {{"submitted", now.submitted},
                                  {"outstanding", now.outstanding},
                                  {"completed", now.completed},
                                  {"refused", now.refused},
                                  {"others", now.others}});
    ReportProgress();
  });
}

void Run::Settle() {
  timer_.expires_after(kSettleTime);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) ReadAfter();
  });
}

void Run::ReadAfter() {
  if (options_.processes.empty()) return io_.stop();
  ReadAllCounters(&client_, options_.processes, [this](CounterReadings all) {
    after_ = std::move(all);
    io_.stop();
  });
}

/// Outstanding jobs that the limit on open files allows.
std::size_t AllowedOutstanding(const Options& options) {
  rlimit files{};
  const std::size_t wanted = options.max_outstanding;
  if (getrlimit(RLIMIT_NOFILE, &files) != 0) return wanted;
  const rlim_t most = files.rlim_cur > 2 * kSpareFiles
                          ? files.rlim_cur - kSpareFiles
                          : kSpareFiles;
  if (wanted <= most) return wanted;
  RunLog().Info("The limit on open files bounds the outstanding jobs.",
                {{"outstanding", most}});
  return most;
}

std::optional<Preset> ChoosePreset(const Options& options, BenchError* reason) {
  std::optional<Preset> preset = LoadPreset(options.preset, reason);
  if (!preset) return std::nullopt;
  if (options.slots > 0) {
    preset->targets = 1;
    preset->slots_per_target = options.slots;
  }
  if (options.deadline > core::Duration(0)) preset->deadline = options.deadline;
  return preset;
}

int Fail(const std::string& text, int exit_code) {
  std::cerr << "tarragon-bench: " << text << "\n";
  return exit_code;
}

int RunLoad(const Options& options) {
  BenchError reason;
  const std::optional<Preset> preset = ChoosePreset(options, &reason);
  if (!preset) return Fail(reason.text, core::kExitSettings);
  const RunPlan plan =
      PlanRun(*preset, options.load_permille, options.length, options.seed);
  DriverOptions driver;
  driver.clients = options.clients;
  driver.retry_refused = options.retry_refused;
  driver.max_outstanding = AllowedOutstanding(options);
  driver.attempt_timeout = options.attempt_timeout;
  const Report report = Run(plan, options, std::move(driver)).Execute();
  std::cout << FormatReport(report);
  if (!options.json_file.empty()) {
    std::ofstream file(options.json_file);
    file << EncodeReport(report);
    file.close();
    if (!file) {
      return Fail(options.json_file + " cannot be written.",
                  core::kExitFailure);
    }
  }
  return report.crossed + report.partial > 0 ? core::kExitFailure
                                             : core::kExitOk;
}

std::optional<Report> LoadReport(const std::string& name, BenchError* reason) {
  std::ifstream file(name);
  if (!file) {
    reason->text = name + " cannot be read.";
    return std::nullopt;
  }
  std::optional<Report> report = DecodeReport(
      std::string(std::istreambuf_iterator<char>(file), {}), reason);
  if (!report) reason->text = name + ": " + reason->text;
  return report;
}

int Compare(const Options& options) {
  BenchError reason;
  const std::optional<Report> a = LoadReport(options.files[0], &reason);
  if (!a) return Fail(reason.text, core::kExitSettings);
  const std::optional<Report> b = LoadReport(options.files[1], &reason);
  if (!b) return Fail(reason.text, core::kExitSettings);
  std::cout << FormatComparison(*a, *b);
  return core::kExitOk;
}

}  // namespace

int RunProgram(const std::vector<std::string>& arguments) {
  core::SetLogProgram("bench");
  BenchError reason;
  const std::optional<Options> options = ParseOptions(arguments, &reason);
  if (!options) {
    return Fail(reason.text + "\nTry tarragon-bench --help.", core::kExitUsage);
  }
  switch (options->command) {
    case Options::Command::kHelp:
      std::cout << Help();
      return core::kExitOk;
    case Options::Command::kVersion:
      std::cout << "tarragon-bench " TARRAGON_VERSION "\n";
      return core::kExitOk;
    case Options::Command::kRun:
      return RunLoad(*options);
    case Options::Command::kCompare:
      return Compare(*options);
  }
  return core::kExitFailure;
}

}  // namespace tarragon::bench
