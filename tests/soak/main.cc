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

#include "fake_store.h"
#include "fake_target.h"
#include "invariant_checker.h"
#include "options.h"
#include "process.h"
#include "tarragon/http/client.h"

/// tarragon-soak [--seeds N] [--seed FIRST] [--seconds S] [--entries E]
/// [--gates G]: runs each seed with real processes while it injects faults into
/// them, their network, the store and the targets. Exits with 1 if a promise
/// was broken.

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
        store_(io_),
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
  void RunAfter(milliseconds delay, std::function<void()> step);
  boost::asio::ip::tcp::endpoint PeerEndpointAt(const std::string& ip) const;
  Relay* PickRelay();
  std::string WriteNodeFile(const std::string& name, int index, bool entry);
  void SetUp();
  void WriteConfiguration();
  void ScheduleFaults();
  /// Silences the connections of some processes from time to time.
  void ScheduleSilence();
  void InjectFault();
  void InjectStoreFault(milliseconds duration);
  void ClearStoreFaults();
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
  FakeStore store_;
  http::Client client_;
  std::filesystem::path run_folder_;
  std::vector<std::unique_ptr<Relay>> store_relays_;
  /// In front of each process's port for peers.
  std::vector<std::unique_ptr<Relay>> peer_relays_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<std::unique_ptr<FakeTarget>> targets_;
  /// The addresses where coordinators accept clients.
  std::vector<std::string> front_addresses_;
  /// The drained failure domain, if any, and when its drain was written.
  std::map<std::string, Steady::time_point> drained_since_;
  int base_port_ = 0;
  int config_version_ = 0;
  std::uint64_t last_job_number_ = 0;
  bool injecting_faults_ = true;
  bool completed_after_faults_ = false;
  Steady::time_point faults_ended_at_;
};

void SoakRun::RunAfter(milliseconds delay, std::function<void()> step) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, delay);
  timer->async_wait(
      [timer, step = std::move(step)](const boost::system::error_code& error) {
        if (!error) step();
      });
}

std::string SoakRun::WriteNodeFile(const std::string& name, int index,
                                   bool entry) {
  const std::string ip = "127." + std::to_string(entry ? 1 : 2) + ".0." +
                         std::to_string(index + 1);
  const auto at = [&ip, this](int offset) {
    return ip + ":" + std::to_string(base_port_ + offset);
  };
  const std::string store = store_.address();
  const int store_port = std::stoi(store.substr(store.find(':') + 1));
  store_relays_.push_back(std::make_unique<Relay>(
      io_,
      boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                                     static_cast<std::uint16_t>(store_port))));
  json::object listen;
  if (entry) {
    listen["front"] = at(1);
    listen["ready"] = at(2);
    front_addresses_.push_back(at(1));
  } else {
    listen["control"] = at(1);
  }
  const json::object node{
      {"node_name", name},
      {"zone", "d" + std::to_string(index % 2)},
      {"ip", ip},
      {"listen_addrs", listen},
      {"internal_ports", json::array{base_port_, base_port_ + 9}},
      {"platform", {{"address", store_relays_.back()->address()}}}};
  std::string path = (run_folder_ / (name + ".json")).string();
  std::ofstream(path) << json::serialize(node);
  return path;
}

boost::asio::ip::tcp::endpoint SoakRun::PeerEndpointAt(
    const std::string& ip) const {
  return {boost::asio::ip::make_address(ip),
          static_cast<std::uint16_t>(base_port_)};
}

Relay* SoakRun::PickRelay() {
  switch (DrawInt(0, 3)) {
    case 0:
      return targets_[random_() % targets_.size()]->relay();
    case 1:
      return store_relays_[random_() % store_relays_.size()].get();
    default:
      return peer_relays_[random_() % peer_relays_.size()].get();
  }
}

void SoakRun::WriteConfiguration() {
  json::array routes;
  for (const char* name : {"checks", "carvings"}) {
    routes.push_back(
        json::object{{"name", name},
                     {"host", "q.example"},
                     {"path_prefix", std::string("/") + name + "/"},
                     {"service", "s"},
                     {"priority", 0},
                     {"max_attempts", 3},
                     {"stretch", 1.6},
                     {"target_latency_ms", 200},
                     {"timeout_ms", 4000}});
  }
  store_.Put("op", "config",
             json::serialize(json::object{{"version", ++config_version_},
                                          {"routes", routes}}));
}

void SoakRun::SetUp() {
  std::filesystem::create_directories(run_folder_);
  // Assumes that a port that is free on one loopback address is free on all.
  boost::asio::ip::tcp::acceptor probe(
      io_, boost::asio::ip::tcp::endpoint(
               boost::asio::ip::make_address("127.1.0.1"), 0));
  base_port_ = probe.local_endpoint().port() % 50000 + 10000;
  probe.close();
  WriteConfiguration();
  for (int i = 0; i < options_.entries + options_.gates; ++i) {
    const bool entry = i < options_.entries;
    const int index = entry ? i : i - options_.entries;
    const std::string name =
        (entry ? "entry-" : "gate-") + std::to_string(index);
    const std::string node_file = WriteNodeFile(name, index, entry);
    // Peers connect to the VM's address, where the relay listens; the process
    // itself listens at `bind_ip`.
    const std::string network = entry ? "127.3.0." : "127.4.0.";
    const std::string bind_ip = network + std::to_string(index + 1);
    peer_relays_.push_back(std::make_unique<Relay>(
        io_, PeerEndpointAt(bind_ip),
        PeerEndpointAt((entry ? "127.1.0." : "127.2.0.") +
                       std::to_string(index + 1))));
    processes_.push_back(std::make_unique<Process>(
        entry ? "tarragon-coordinator" : "tarragon-gate", node_file,
        (run_folder_ / (name + ".log")).string(), bind_ip));
    processes_.back()->Start();
    if (entry) continue;
    FakeTarget::Config config;
    config.name = "t" + std::to_string(index);
    config.domain = "d" + std::to_string(index % 2);
    config.gate = "127.2.0." + std::to_string(index + 1) + ":" +
                  std::to_string(base_port_ + 1);
    config.seed = random_();
    targets_.push_back(std::make_unique<FakeTarget>(
        io_, config, &invariants_, [this](const std::string& domain) {
          const auto found = drained_since_.find(domain);
          return found != drained_since_.end() &&
                 Steady::now() - found->second > kMaxDrainDelay;
        }));
  }
}

void SoakRun::ScheduleFaults() {
  if (!injecting_faults_) return;
  InjectFault();
  // The next fault often begins before the previous one has ended.
  RunAfter(milliseconds(DrawInt(50, 900)), [this]() { ScheduleFaults(); });
}

void SoakRun::ScheduleSilence() {
  if (!injecting_faults_) return;
  for (const auto* group : {&store_relays_, &peer_relays_}) {
    for (const std::unique_ptr<Relay>& relay : *group) {
      if (silence_random_() % 3 == 0) relay->Silence();
    }
  }
  RunAfter(milliseconds(1500 + silence_random_() % 2500),
           [this]() { ScheduleSilence(); });
}

void SoakRun::InjectFault() {
  Process* process = processes_[random_() % processes_.size()].get();
  FakeTarget* target = targets_[random_() % targets_.size()].get();
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
      if (DrawInt(0, 1) == 0) store_.DiscardHistory();
      if (drained_since_.empty()) {
        const std::string domain = "d" + std::to_string(DrawInt(0, 1));
        store_.Put("op", "evacuate/" + domain, "{}");
        drained_since_[domain] = Steady::now();
      } else {
        store_.Remove("op", "evacuate/" + drained_since_.begin()->first);
        drained_since_.clear();
        WriteConfiguration();
      }
  }
}

void SoakRun::InjectStoreFault(milliseconds duration) {
  switch (DrawInt(0, 2)) {
    case 0:
      store_.SetRefusing(true);
      break;
    case 1:
      store_.SetDelay(milliseconds(DrawInt(20, 400)));
      break;
    default:
      store_.SetDroppingAnswers(true);
  }
  RunAfter(duration, [this]() { ClearStoreFaults(); });
}

void SoakRun::ClearStoreFaults() {
  store_.SetRefusing(false);
  store_.SetDelay(milliseconds(0));
  store_.SetDroppingAnswers(false);
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
      core::Address(front_addresses_[random_() % front_addresses_.size()]),
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
  for (const std::unique_ptr<Process>& process : processes_) {
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
  for (const std::unique_ptr<Process>& process : processes_) {
    process->Signal(SIGCONT);
  }
  for (const std::unique_ptr<Relay>& relay : store_relays_) {
    relay->SetMode(RelayMode::kPass);
  }
  for (const std::unique_ptr<Relay>& relay : peer_relays_) {
    relay->SetMode(RelayMode::kPass);
  }
  for (const std::unique_ptr<FakeTarget>& target : targets_) {
    target->relay()->SetMode(RelayMode::kPass);
    target->SetOrderLossShare(0);
    target->SetRuntimeFactor(1);
  }
  ClearStoreFaults();
  for (const auto& [domain, since] : drained_since_) {
    store_.Remove("op", "evacuate/" + domain);
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
  for (const std::unique_ptr<Process>& process : processes_) {
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
  processes_.clear();
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
    tarragon::soak::SoakRun soak(seed, options);
    if (!soak.Run()) ++failed_seeds;
    std::fflush(stdout);
  }
  std::printf("%d seeds, %d with a promise broken\n", options.seeds,
              failed_seeds);
  return failed_seeds == 0 ? 0 : 1;
}
