#include <boost/json.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cluster.h"
#include "invariant_checker.h"
#include "loss_run.h"
#include "options.h"
#include "tarragon/http/client.h"

/// tarragon-soak [--seeds N] [--seed FIRST] [--seconds S] [--entries E]
/// [--gates G] [--plan random|losses|orders] [--keep-logs 0|1]: runs each seed
/// with real processes while it injects faults into them, their network, the
/// store and the targets. Exits with 1 if a promise was broken.

namespace tarragon::soak {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using Steady = std::chrono::steady_clock;

/// A change by the operators must be in force everywhere within this time.
constexpr milliseconds kMaxDrainDelay{5000};
constexpr milliseconds kClientTimeout{2500};
constexpr milliseconds kResendDelay{1300};
/// A job must complete within this time after the last fault. Long enough for a
/// busy machine.
constexpr std::chrono::seconds kRecoveryTimeout{30};

/// The run of one seed: processes, fake store and targets, clients and faults.
class SoakRun {
 public:
  SoakRun(std::uint64_t seed, const Options& options)
      : options_(options),
        random_(seed),
        silence_random_(seed),
        cluster_(io_),
        client_(io_, http::ClientLimits{}),
        run_folder_(std::filesystem::temp_directory_path() /
                    ("tarragon-soak-" + std::to_string(getpid()) + "-" +
                     std::to_string(seed))) {}

  /// True if every promise held. Otherwise prints the violations and keeps the
  /// logs.
  bool Run();

 private:
  /// Uniform random number from `least` to `most`, both included.
  int DrawInt(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random_);
  }
  void RunAfter(milliseconds delay, std::function<void()> step) {
    soak::RunAfter(io_, delay, std::move(step));
  }
  Relay* PickRelay();
  void SetUp();
  void ScheduleFaults();
  /// Silences the connections of some processes from time to time.
  void ScheduleSilence();
  void InjectFault();
  void InjectStoreFault(milliseconds duration);
  void SubmitNext();
  void Submit(const std::string& job, const std::string& body, int attempt);
  /// Restarts processes that have ended; stops the run at its end or at the
  /// first violation.
  void PollProcesses();
  /// Repairs everything that was disturbed and starts the recovery time.
  void EndFaults();

  Options options_;
  std::mt19937_64 random_;
  /// Of its own, so that a seed draws the same other faults as before.
  std::mt19937_64 silence_random_;
  boost::asio::io_context io_;
  InvariantChecker invariants_;
  Cluster cluster_;
  http::Client client_;
  std::filesystem::path run_folder_;
  /// The drained failure domain, if any, and when its drain was written.
  std::map<std::string, Steady::time_point> drained_since_;
  std::uint64_t last_job_number_ = 0;
  bool injecting_faults_ = true;
  bool completed_after_faults_ = false;
  Steady::time_point faults_ended_at_;
};

Relay* SoakRun::PickRelay() {
  switch (DrawInt(0, 3)) {
    case 0:
      return cluster_.targets[random_() % cluster_.targets.size()]->relay();
    case 1:
      return cluster_.store_relays[random_() % cluster_.store_relays.size()]
          .get();
    default:
      return cluster_.peer_relays[random_() % cluster_.peer_relays.size()]
          .get();
  }
}

void SoakRun::SetUp() {
  Cluster::Config config;
  config.entries = options_.entries;
  config.gates = options_.gates;
  config.run_folder = run_folder_;
  config.invariants = &invariants_;
  config.is_drained = [this](const std::string& domain) {
    const auto found = drained_since_.find(domain);
    return found != drained_since_.end() &&
           Steady::now() - found->second > kMaxDrainDelay;
  };
  config.draw_seed = [this]() { return random_(); };
  cluster_.Start(config);
}

void SoakRun::ScheduleFaults() {
  if (!injecting_faults_) return;
  InjectFault();
  // The next fault often begins before the previous one has ended.
  RunAfter(milliseconds(DrawInt(50, 900)), [this]() { ScheduleFaults(); });
}

void SoakRun::ScheduleSilence() {
  if (!injecting_faults_) return;
  for (const auto* group : {&cluster_.store_relays, &cluster_.peer_relays}) {
    for (const std::unique_ptr<Relay>& relay : *group) {
      if (silence_random_() % 3 == 0) relay->Silence();
    }
  }
  RunAfter(milliseconds(1500 + silence_random_() % 2500),
           [this]() { ScheduleSilence(); });
}

void SoakRun::InjectFault() {
  Process* process =
      cluster_.processes[random_() % cluster_.processes.size()].get();
  FakeTarget* target =
      cluster_.targets[random_() % cluster_.targets.size()].get();
  Relay* relay = PickRelay();
  const milliseconds duration(DrawInt(100, 2500));
  switch (DrawInt(0, 10)) {
    case 0:
      process->Signal(SIGKILL);
      break;
    case 1:
      process->Signal(SIGTERM);
      break;
    case 2:
      process->Signal(SIGSTOP);
      RunAfter(duration, [process]() { process->Signal(SIGCONT); });
      break;
    case 3:
      process->Signal(SIGHUP);
      break;
    case 4:
      target->Crash();
      break;
    case 5:
      target->SetOrderLossShare(0.3);
      RunAfter(duration, [target]() { target->SetOrderLossShare(0); });
      break;
    case 6:
      target->SetRuntimeFactor(6);
      RunAfter(duration, [target]() { target->SetRuntimeFactor(1); });
      break;
    case 7:
      relay->Reset();
      break;
    case 8:
      relay->SetMode(static_cast<RelayMode>(DrawInt(1, 7)));
      RunAfter(duration, [relay]() { relay->SetMode(RelayMode::kPass); });
      break;
    case 9:
      InjectStoreFault(duration);
      break;
    default:
      if (DrawInt(0, 1) == 0) cluster_.store.DiscardHistory();
      if (drained_since_.empty()) {
        const std::string domain = "d" + std::to_string(DrawInt(0, 1));
        cluster_.store.Put("op", "evacuate/" + domain, "{}");
        drained_since_[domain] = Steady::now();
      } else {
        cluster_.store.Remove("op",
                              "evacuate/" + drained_since_.begin()->first);
        drained_since_.clear();
        cluster_.WriteConfiguration();
      }
  }
}

void SoakRun::InjectStoreFault(milliseconds duration) {
  switch (DrawInt(0, 2)) {
    case 0:
      cluster_.store.SetRefusing(true);
      break;
    case 1:
      cluster_.store.SetDelay(milliseconds(DrawInt(20, 400)));
      break;
    default:
      cluster_.store.SetDroppingAnswers(true);
  }
  RunAfter(duration, [this]() { cluster_.ClearStoreFaults(); });
}

void SoakRun::SubmitNext() {
  char id[17];
  std::snprintf(id, sizeof id, "%016llx",
                static_cast<unsigned long long>(++last_job_number_));
  const int tasks = DrawInt(1, 6);
  const int runtime_ms =
      DrawInt(0, 4) == 0 ? DrawInt(300, 900) : DrawInt(20, 120);
  const std::string body = json::serialize(json::object{
      {"spec", "1000 " + std::to_string(runtime_ms)},
      {"best_effort", true},
      {"steps", json::array{json::object{{"count", tasks},
                                         {"cpu", 1000},
                                         {"mem_mb", 10},
                                         {"est_runtime_ms", runtime_ms}}}}});
  invariants_.OnJobSubmitted(id, static_cast<std::uint32_t>(tasks));
  Submit(id, body, 1);
  if (!injecting_faults_ && completed_after_faults_) return;
  RunAfter(milliseconds(DrawInt(5, 40)), [this]() { SubmitNext(); });
}

void SoakRun::Submit(const std::string& job, const std::string& body,
                     int attempt) {
  http::Request request;
  request.method = "POST";
  request.path = "/checks/" + job;
  request.headers["host"] = "q.example";
  request.headers["x-deadline-ms"] = std::to_string(kClientTimeout.count());
  request.body = body;
  client_.Send(
      core::Address(cluster_.front_addresses[random_() %
                                             cluster_.front_addresses.size()]),
      request, kClientTimeout,
      [this, job, body, attempt](const std::optional<http::Response>& response,
                                 const http::HttpError& error) {
        if (!response.has_value() || response->status == 504) {
          if (error.kind == http::HttpErrorKind::kNotSent || attempt > 2)
            return;
          RunAfter(kResendDelay, [this, job, body, attempt]() {
            Submit(job, body, attempt + 1);
          });
          return;
        }
        if (response->status == 503 || response->status == 429) {
          invariants_.OnJobNotRun(job, attempt);
        }
        if (response->status != 200) return;
        if (response->body.find("completed") == std::string::npos) return;
        invariants_.OnJobCompleted(job);
        if (!injecting_faults_) completed_after_faults_ = true;
      });
}

void SoakRun::PollProcesses() {
  for (const std::unique_ptr<Process>& process : cluster_.processes) {
    if (!process->UpdateIsRunning()) process->Start();
  }
  const bool finished = !injecting_faults_ &&
                        (completed_after_faults_ ||
                         Steady::now() - faults_ended_at_ > kRecoveryTimeout);
  if (finished || !invariants_.violations().empty()) return io_.stop();
  RunAfter(milliseconds(100), [this]() { PollProcesses(); });
}

void SoakRun::EndFaults() {
  injecting_faults_ = false;
  completed_after_faults_ = false;
  faults_ended_at_ = Steady::now();
  cluster_.Repair();
  for (const auto& [domain, since] : drained_since_) {
    cluster_.store.Remove("op", "evacuate/" + domain);
  }
  drained_since_.clear();
}

bool SoakRun::Run() {
  SetUp();
  RunAfter(milliseconds(300), [this]() { SubmitNext(); });
  RunAfter(milliseconds(1500), [this]() { ScheduleFaults(); });
  RunAfter(milliseconds(2500), [this]() { ScheduleSilence(); });
  RunAfter(std::chrono::seconds(options_.seconds), [this]() { EndFaults(); });
  PollProcesses();
  io_.run();
  std::vector<std::string> violations = invariants_.violations();
  if (violations.empty() && !completed_after_faults_) {
    violations.push_back("No job completed in time after the last fault.");
  }
  for (const std::unique_ptr<Process>& process : cluster_.processes) {
    if (process->unexpected_exits() > 0) {
      violations.push_back(
          "A " + process->program() +
          " exited unexpectedly; its log: " + process->log_file());
    }
  }
  std::printf("jobs=%llu completed=%llu starts=%llu\n",
              static_cast<unsigned long long>(last_job_number_),
              static_cast<unsigned long long>(invariants_.completed_jobs()),
              static_cast<unsigned long long>(invariants_.started_runs()));
  for (const std::string& violation : violations) {
    std::printf("  BROKEN: %s\n", violation.c_str());
  }
  cluster_.processes.clear();
  if (violations.empty()) {
    std::filesystem::remove_all(run_folder_);
  } else {
    std::printf("  logs: %s\n", run_folder_.c_str());
  }
  return violations.empty();
}

}  // namespace
}  // namespace tarragon::soak

int main(int argc, char* argv[]) {
  std::string reason;
  const std::optional<tarragon::soak::Options> parsed =
      tarragon::soak::ParseOptions({argv + 1, argv + argc}, &reason);
  if (!parsed.has_value()) {
    std::fprintf(stderr, "tarragon-soak: %s\n", reason.c_str());
    return 2;
  }
  const tarragon::soak::Options& options = *parsed;
  int failed_seeds = 0;
  for (int i = 0; i < options.seeds; ++i) {
    const std::uint64_t seed =
        options.first_seed + static_cast<std::uint64_t>(i);
    std::printf("seed %llu ", static_cast<unsigned long long>(seed));
    std::fflush(stdout);
    if (options.plan != tarragon::soak::Plan::kRandom) {
      if (!tarragon::soak::RunLosses(seed, options)) ++failed_seeds;
    } else {
      tarragon::soak::SoakRun soak(seed, options);
      if (!soak.Run()) ++failed_seeds;
    }
    std::fflush(stdout);
  }
  std::printf("%d seeds, %d with a promise broken\n", options.seeds,
              failed_seeds);
  return failed_seeds == 0 ? 0 : 1;
}
