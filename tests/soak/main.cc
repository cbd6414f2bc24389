#include <boost/json.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fake_store.h"
#include "fake_target.h"
#include "process.h"
#include "tarragon/http/client.h"
#include "witness.h"

/// tarragon-soak [--seeds N] [--seed FIRST] [--seconds S] [--entries E]
/// [--gates G]: plays seeds, each with real processes and faults from outside.
/// Ends with 1 if a promise was broken.

namespace tarragon::soak {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using Steady = std::chrono::steady_clock;

/// A change of the operators must be in force everywhere within this time.
constexpr milliseconds kDrainBound{5000};
constexpr milliseconds kClientWait{2500};
constexpr milliseconds kResend{1300};
/// After the last fault a job must complete within this time, however busy the
/// machine is.
constexpr std::chrono::seconds kSafetyStop{30};

struct Options {
  int seeds = 1;
  std::uint64_t first_seed = 1;
  int seconds = 10;
  int entries = 3;
  int gates = 5;
};

/// One seed.
class Soak {
 public:
  Soak(std::uint64_t seed, const Options& options)
      : options_(options),
        random_(seed),
        store_(io_),
        client_(io_, http::ClientLimits{}),
        folder_(std::filesystem::temp_directory_path() /
                ("tarragon-soak-" + std::to_string(getpid()) + "-" +
                 std::to_string(seed))) {}

  /// True if every promise held. Keeps the logs otherwise.
  bool Play();

 private:
  int Draw(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random_);
  }
  void After(milliseconds delay, std::function<void()> step);
  boost::asio::ip::tcp::endpoint EndpointAt(const std::string& ip) const;
  Relay* AnyRelay();
  std::string NodeFile(const std::string& name, int index, bool entry);
  void SetUp();
  void WriteConfiguration();
  void ScheduleFaults();
  void Fault();
  void DisturbStore(milliseconds length);
  void MendStore();
  void SubmitNext();
  void Submit(const std::string& job, const std::string& body, int attempt);
  void Poll();
  void EndFaults();

  Options options_;
  std::mt19937_64 random_;
  boost::asio::io_context io_;
  Witness witness_;
  FakeStore store_;
  http::Client client_;
  std::filesystem::path folder_;
  std::vector<std::unique_ptr<Relay>> store_relays_;
  /// In front of the processes, for each other.
  std::vector<std::unique_ptr<Relay>> peer_relays_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<std::unique_ptr<FakeTarget>> targets_;
  std::vector<std::string> fronts_;
  std::map<std::string, Steady::time_point> drained_;
  int port_ = 0;
  int version_ = 0;
  std::uint64_t last_job_ = 0;
  bool faulty_ = true;
  bool served_ = false;
  Steady::time_point faults_end_;
};

void Soak::After(milliseconds delay, std::function<void()> step) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, delay);
  timer->async_wait(
      [timer, step = std::move(step)](const boost::system::error_code& error) {
        if (!error) step();
      });
}

std::string Soak::NodeFile(const std::string& name, int index, bool entry) {
  const std::string ip = "127." + std::to_string(entry ? 1 : 2) + ".0." +
                         std::to_string(index + 1);
  const auto at = [&ip, this](int offset) {
    return ip + ":" + std::to_string(port_ + offset);
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
    fronts_.push_back(at(1));
  } else {
    listen["control"] = at(1);
  }
  const json::object node{
      {"node_name", name},
      {"zone", "d" + std::to_string(index % 2)},
      {"ip", ip},
      {"listen_addrs", listen},
      {"internal_ports", json::array{port_, port_ + 9}},
      {"platform", {{"address", store_relays_.back()->address()}}}};
  std::string path = (folder_ / (name + ".json")).string();
  std::ofstream(path) << json::serialize(node);
  return path;
}

boost::asio::ip::tcp::endpoint Soak::EndpointAt(const std::string& ip) const {
  return {boost::asio::ip::make_address(ip), static_cast<std::uint16_t>(port_)};
}

Relay* Soak::AnyRelay() {
  switch (Draw(0, 3)) {
    case 0:
      return targets_[random_() % targets_.size()]->relay();
    case 1:
      return store_relays_[random_() % store_relays_.size()].get();
    default:
      return peer_relays_[random_() % peer_relays_.size()].get();
  }
}

void Soak::WriteConfiguration() {
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
             json::serialize(
                 json::object{{"version", ++version_}, {"routes", routes}}));
}

void Soak::SetUp() {
  std::filesystem::create_directories(folder_);
  // A port that is free on one address of loopback is taken to be free on all.
  boost::asio::ip::tcp::acceptor probe(
      io_, boost::asio::ip::tcp::endpoint(
               boost::asio::ip::make_address("127.1.0.1"), 0));
  port_ = probe.local_endpoint().port() % 50000 + 10000;
  probe.close();
  WriteConfiguration();
  for (int i = 0; i < options_.entries + options_.gates; ++i) {
    const bool entry = i < options_.entries;
    const int index = entry ? i : i - options_.entries;
    const std::string name =
        (entry ? "entry-" : "gate-") + std::to_string(index);
    const std::string node_file = NodeFile(name, index, entry);
    // Peers dial the VM's address, where the relay listens for the process.
    const std::string network = entry ? "127.3.0." : "127.4.0.";
    const std::string bind_ip = network + std::to_string(index + 1);
    peer_relays_.push_back(
        std::make_unique<Relay>(io_, EndpointAt(bind_ip),
                                EndpointAt((entry ? "127.1.0." : "127.2.0.") +
                                           std::to_string(index + 1))));
    processes_.push_back(std::make_unique<Process>(
        entry ? "tarragon-coordinator" : "tarragon-gate", node_file,
        (folder_ / (name + ".log")).string(), bind_ip));
    processes_.back()->Start();
    if (entry) continue;
    FakeTarget::Config config;
    config.name = "t" + std::to_string(index);
    config.domain = "d" + std::to_string(index % 2);
    config.gate = "127.2.0." + std::to_string(index + 1) + ":" +
                  std::to_string(port_ + 1);
    config.seed = random_();
    targets_.push_back(std::make_unique<FakeTarget>(
        io_, config, &witness_, [this](const std::string& domain) {
          const auto found = drained_.find(domain);
          return found != drained_.end() &&
                 Steady::now() - found->second > kDrainBound;
        }));
  }
}

void Soak::ScheduleFaults() {
  if (!faulty_) return;
  Fault();
  // In series, and often before the one before has ended.
  After(milliseconds(Draw(50, 900)), [this]() { ScheduleFaults(); });
}

void Soak::Fault() {
  Process* process = processes_[random_() % processes_.size()].get();
  FakeTarget* target = targets_[random_() % targets_.size()].get();
  Relay* relay = AnyRelay();
  const milliseconds length(Draw(100, 2500));
  switch (Draw(0, 10)) {
    case 0:
      process->Signal(SIGKILL);
      break;
    case 1:
      process->Signal(SIGTERM);
      break;
    case 2:
      process->Signal(SIGSTOP);
      After(length, [process]() { process->Signal(SIGCONT); });
      break;
    case 3:
      process->Signal(SIGHUP);
      break;
    case 4:
      target->Crash();
      break;
    case 5:
      target->SetLoss(0.3);
      After(length, [target]() { target->SetLoss(0); });
      break;
    case 6:
      target->SetSlowness(6);
      After(length, [target]() { target->SetSlowness(1); });
      break;
    case 7:
      relay->Reset();
      break;
    case 8:
      relay->SetMode(static_cast<RelayMode>(Draw(1, 7)));
      After(length, [relay]() { relay->SetMode(RelayMode::kPass); });
      break;
    case 9:
      DisturbStore(length);
      break;
    default:
      if (Draw(0, 1) == 0) store_.ForgetHistory();
      if (drained_.empty()) {
        const std::string domain = "d" + std::to_string(Draw(0, 1));
        store_.Put("op", "evacuate/" + domain, "{}");
        drained_[domain] = Steady::now();
      } else {
        store_.Remove("op", "evacuate/" + drained_.begin()->first);
        drained_.clear();
        WriteConfiguration();
      }
  }
}

void Soak::DisturbStore(milliseconds length) {
  switch (Draw(0, 2)) {
    case 0:
      store_.SetRefusing(true);
      break;
    case 1:
      store_.SetDelay(milliseconds(Draw(20, 400)));
      break;
    default:
      store_.SetLosing(true);
  }
  After(length, [this]() { MendStore(); });
}

void Soak::MendStore() {
  store_.SetRefusing(false);
  store_.SetDelay(milliseconds(0));
  store_.SetLosing(false);
}

void Soak::SubmitNext() {
  char id[17];
  std::snprintf(id, sizeof id, "%016llx",
                static_cast<unsigned long long>(++last_job_));
  const int tasks = Draw(1, 6);
  const int work = Draw(0, 4) == 0 ? Draw(300, 900) : Draw(20, 120);
  const std::string body = json::serialize(json::object{
      {"spec", "1000 " + std::to_string(work)},
      {"best_effort", true},
      {"steps", json::array{json::object{{"count", tasks},
                                         {"cpu", 1000},
                                         {"mem_mb", 10},
                                         {"est_runtime_ms", work}}}}});
  witness_.Submitted(id, static_cast<std::uint32_t>(tasks));
  Submit(id, body, 1);
  if (!faulty_ && served_) return;
  After(milliseconds(Draw(5, 40)), [this]() { SubmitNext(); });
}

void Soak::Submit(const std::string& job, const std::string& body,
                  int attempt) {
  http::Request request;
  request.method = "POST";
  request.path = "/checks/" + job;
  request.headers["host"] = "q.example";
  request.headers["x-deadline-ms"] = std::to_string(kClientWait.count());
  request.body = body;
  client_.Send(
      core::Address(fronts_[random_() % fronts_.size()]), request, kClientWait,
      [this, job, body, attempt](const std::optional<http::Response>& response,
                                 const http::HttpError& error) {
        if (!response.has_value() || response->status == 504) {
          if (error.kind == http::HttpErrorKind::kNotSent || attempt > 2)
            return;
          After(kResend, [this, job, body, attempt]() {
            Submit(job, body, attempt + 1);
          });
          return;
        }
        if (response->status == 503 || response->status == 429) {
          witness_.Refused(job, attempt);
        }
        if (response->status != 200) return;
        if (response->body.find("completed") == std::string::npos) return;
        witness_.Completed(job);
        if (!faulty_) served_ = true;
      });
}

void Soak::Poll() {
  for (const std::unique_ptr<Process>& process : processes_) {
    if (!process->Poll()) process->Start();
  }
  const bool over =
      !faulty_ && (served_ || Steady::now() - faults_end_ > kSafetyStop);
  if (over || !witness_.faults().empty()) return io_.stop();
  After(milliseconds(100), [this]() { Poll(); });
}

void Soak::EndFaults() {
  faulty_ = false;
  served_ = false;
  faults_end_ = Steady::now();
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
    target->SetLoss(0);
    target->SetSlowness(1);
  }
  MendStore();
  for (const auto& [domain, since] : drained_) {
    store_.Remove("op", "evacuate/" + domain);
  }
  drained_.clear();
}

bool Soak::Play() {
  SetUp();
  After(milliseconds(300), [this]() { SubmitNext(); });
  After(milliseconds(1500), [this]() { ScheduleFaults(); });
  After(std::chrono::seconds(options_.seconds), [this]() { EndFaults(); });
  Poll();
  io_.run();
  std::vector<std::string> faults = witness_.faults();
  if (faults.empty() && !served_) {
    faults.push_back("No job was completed after the last fault.");
  }
  for (const std::unique_ptr<Process>& process : processes_) {
    if (process->own_ends() > 0) {
      faults.push_back("A " + process->program() +
                       " ended by itself: " + process->log_file());
    }
  }
  std::printf("jobs=%llu completed=%llu starts=%llu\n",
              static_cast<unsigned long long>(last_job_),
              static_cast<unsigned long long>(witness_.completed()),
              static_cast<unsigned long long>(witness_.started()));
  for (const std::string& fault : faults) {
    std::printf("  BROKEN: %s\n", fault.c_str());
  }
  processes_.clear();
  if (faults.empty()) {
    std::filesystem::remove_all(folder_);
  } else {
    std::printf("  logs: %s\n", folder_.c_str());
  }
  return faults.empty();
}

Options Read(int argc, char* argv[]) {
  Options options;
  for (int i = 1; i + 1 < argc; i += 2) {
    const std::string name = argv[i];
    const int value = std::atoi(argv[i + 1]);
    if (name == "--seeds") options.seeds = value;
    if (name == "--seed")
      options.first_seed = static_cast<std::uint64_t>(value);
    if (name == "--seconds") options.seconds = value;
    if (name == "--entries") options.entries = value;
    if (name == "--gates") options.gates = value;
  }
  return options;
}

}  // namespace
}  // namespace tarragon::soak

int main(int argc, char* argv[]) {
  using tarragon::soak::Options;
  const Options options = tarragon::soak::Read(argc, argv);
  int broken = 0;
  for (int i = 0; i < options.seeds; ++i) {
    const std::uint64_t seed =
        options.first_seed + static_cast<std::uint64_t>(i);
    std::printf("seed %llu ", static_cast<unsigned long long>(seed));
    std::fflush(stdout);
    tarragon::soak::Soak soak(seed, options);
    if (!soak.Play()) ++broken;
    std::fflush(stdout);
  }
  std::printf("%d seeds, %d with a promise broken\n", options.seeds, broken);
  return broken == 0 ? 0 : 1;
}
