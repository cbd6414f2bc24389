#include "world.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <utility>

namespace tarragon::review {
namespace {

namespace json = boost::json;
using boost::asio::ip::make_address;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

constexpr milliseconds kDeadline{1500};
constexpr milliseconds kResend{1300};
/// Places of ports among those of one process.
constexpr int kFront = 10;
constexpr int kReady = 11;
constexpr int kControl = 12;

json::object Bounds() {
  return {{"contact_ms", 3000},        {"ack_ms", 4000},
          {"drain_ms", 2000},          {"grace_s", 6},
          {"loss_slack_ms", 200},      {"config_apply_ms", 2000},
          {"evacuate_ms", 5000},       {"recovery_s", 12},
          {"max_hold_ms", 1000},       {"stop_timeout_ms", 50},
          {"cancel_ms", 3000},         {"spread_factor", 1.5},
          {"fencing_enforced", false}, {"retransmit_ms", 1300}};
}

json::object MakeRoute(const char* name, const char* path_prefix) {
  return {{"name", name},
          {"host", "q.example"},
          {"path_prefix", path_prefix},
          {"type", "non_idempotent"},
          {"timeout_ms", 1500},
          {"target_latency_ms", 60},
          {"priority", 0},
          {"service", "svc"},
          {"max_attempts", 3},
          {"stretch", 1.6}};
}

}  // namespace

Child::Child(std::string program, std::string node_file, std::string log_file,
             std::vector<std::string> arguments) {
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(127);
  close_range(STDERR_FILENO + 1, ~0U, 0);
  const int log = open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  setenv("TARRAGONROUTER_NODE_FILE", node_file.c_str(), 1);
  std::vector<char*> words = {program.data()};
  for (std::string& each : arguments) words.push_back(each.data());
  words.push_back(nullptr);
  execv(program.c_str(), words.data());
  _exit(127);
}

Child::~Child() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

bool Child::IsRunning() {
  if (pid_ <= 0) return false;
  if (waitpid(pid_, nullptr, WNOHANG) != pid_) return true;
  pid_ = 0;
  return false;
}

World::World(const std::string& folder, const Config& config)
    : record_(folder + "/record.txt"),
      config_(config),
      client_(io_, http::ClientLimits{.max_idle_per_host = 0}) {
  std::string name =
      (std::filesystem::temp_directory_path() / "tarragon-review-XXXXXX");
  work_ = mkdtemp(name.data());
  salt_ = static_cast<std::uint64_t>(getpid()) << 32 |
          (static_cast<std::uint64_t>(std::time(nullptr)) & 0xffffU) << 16;
  // Loopback addresses and ports of this script alone.
  net_ = "127." + std::to_string(16 + getpid() % 200) + ".";
  tcp::acceptor probe(io_, tcp::endpoint(make_address(net_ + "0.1"), 0));
  port_ = probe.local_endpoint().port() % 20000 + 10000;
  store_ = std::make_unique<Store>(io_, net_ + "0.250");
  store_->Put("op", "config", MakeConfiguration(3, false));
  entries_store_ = store_->address();
  if (config.movable_store) {
    const std::string& own = store_->address();
    const std::size_t colon = own.find(':');
    former_store_ = std::make_unique<soak::Relay>(
        io_,
        tcp::endpoint(
            make_address(own.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(own.substr(colon + 1)))),
        tcp::endpoint(make_address(net_ + "0.251"), 0));
    entries_store_ = former_store_->address();
  }
  for (int i = 0; i < config.entries; ++i) {
    StartProcess("entry-" + std::to_string(i), "1." + std::to_string(i + 1),
                 config.apart || i % 2 == 0 ? "z1" : "z2", true);
  }
  for (int i = 0; i < config.gates; ++i) {
    const std::string ip = "2." + std::to_string(i + 1);
    const std::string zone = config.apart || i % 2 != 0 ? "z2" : "z1";
    StartProcess("gate-" + std::to_string(i), ip, zone, false);
    runners_.push_back(std::make_unique<Runner>(
        io_, &record_, "i-" + std::to_string(i), net_ + ip,
        net_ + ip + ":" + std::to_string(port_ + kControl), zone));
  }
}

World::~World() {
  children_.clear();
  const char* keep = std::getenv("KEEP_LOGS");
  if (keep != nullptr) {
    record_.Say("logs: " + work_);
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(work_, ignored);
}

std::string World::NodeSettings(const std::string& name, const std::string& ip,
                                const std::string& zone, bool entry) const {
  const auto at = [this, &ip](int offset) {
    return ip + ":" + std::to_string(port_ + offset);
  };
  json::object listen;
  if (entry) {
    listen = {{"front", at(kFront)}, {"ready", at(kReady)}};
  } else {
    listen = {{"control", at(kControl)}};
  }
  const std::string far_region = config_.apart ? "r2" : "r1";
  const std::string& store = entry ? entries_store_ : store_->address();
  return json::serialize(
      json::object{{"node_name", name},
                   {"role", entry ? "coordinator" : "gate"},
                   {"machine_class", entry ? "edge" : "side"},
                   {"serves", json::array{entry ? "edge" : "side"}},
                   {"ip", ip},
                   {"zone", zone},
                   {"region", zone == "z2" ? far_region : "r1"},
                   {"zones", {{"z1", "r1"}, {"z2", far_region}}},
                   {"listen_addrs", listen},
                   {"internal_ports", json::array{port_, port_ + 9}},
                   {"seeds", json::array()},
                   {"bootstrap", true},
                   {"data_dir", nullptr},
                   {"heartbeat_ms", 1500},
                   {"bounds", Bounds()},
                   {"orders", "rpc"},
                   {"platform", {{"address", store}, {"form", "table"}}}});
}

std::string World::WriteNodeFile(const std::string& name, const std::string& ip,
                                 const std::string& zone, bool entry) {
  std::string path = work_ + "/" + name + ".json";
  std::ofstream(path + ".new") << NodeSettings(name, ip, zone, entry);
  std::filesystem::rename(path + ".new", path);
  return path;
}

void World::StartProcess(const std::string& name, const std::string& ip,
                         const std::string& zone, bool entry) {
  const std::string node_file = WriteNodeFile(name, net_ + ip, zone, entry);
  if (entry) {
    fronts_.push_back(net_ + ip + ":" + std::to_string(port_ + kFront));
    readies_.push_back(net_ + ip + ":" + std::to_string(port_ + kReady));
  }
  std::vector<std::string> arguments;
  if (config_.apart) {
    // Peers connect to the machine's address, where the relay listens.
    const std::string bind = net_ + "1" + ip;
    arguments = {"--set", "peers.bind_ip=" + bind};
    const auto port = static_cast<std::uint16_t>(port_);
    relays_.push_back(std::make_unique<soak::Relay>(
        io_, tcp::endpoint(make_address(bind), port),
        tcp::endpoint(make_address(net_ + ip), port)));
  }
  children_.push_back(std::make_unique<Child>(
      entry ? "target/bin/tarragon-coordinator" : "target/bin/tarragon-gate",
      node_file, work_ + "/" + name + ".log", arguments));
}

void World::MoveStore() {
  record_.Say("the store has another address for the entries, " +
              store_->address() + " instead of " + entries_store_ +
              "; no signal is sent");
  entries_store_ = store_->address();
  for (int i = 0; i < config_.entries; ++i) {
    WriteNodeFile("entry-" + std::to_string(i),
                  net_ + "1." + std::to_string(i + 1), i % 2 == 0 ? "z1" : "z2",
                  true);
  }
  former_store_->Reset();
  former_store_->SetMode(soak::RelayMode::kDropBothWays);
}

std::string World::MakeConfiguration(int version, bool wider) {
  json::array routes{MakeRoute("r-1", "/q/")};
  if (wider) routes.push_back(MakeRoute("r-2", "/new/"));
  const json::object service{{"name", "svc"},
                             {"max_conns", 64},
                             {"admission_check", false},
                             {"standby", false}};
  return json::serialize(
      json::object{{"version", version},
                   {"routes", routes},
                   {"services", json::array{service}},
                   {"limits", json::object{{"max_body_bytes", 262144}}}});
}

void World::Operate(const std::string& key, const std::string& value) {
  store_->Put("op", key, value);
  record_.Say("the store has acknowledged op/" + key);
}

std::vector<int> World::AskCounts(const std::string& path) {
  auto statuses = std::make_shared<std::vector<int>>(fronts_.size(), 0);
  for (std::size_t i = 0; i < fronts_.size(); ++i) {
    http::Request request;
    request.path = path;
    request.headers["host"] = "q.example";
    client_.Send(
        core::Address(fronts_[i]), request, kDeadline,
        [this, statuses, i, path](const std::optional<http::Response>& response,
                                  const http::HttpError&) {
          (*statuses)[i] = response.has_value() ? response->status : 0;
          record_.Say("GET " + path + " at entry " + std::to_string(i) +
                      " answered " + std::to_string((*statuses)[i]));
        });
  }
  Run(1);
  return *statuses;
}

void World::SetCut(bool cut) {
  record_.Say(cut ? "the entries and the gates are cut off from each other"
                  : "the cut has ended");
  for (const std::unique_ptr<soak::Relay>& relay : relays_) {
    if (!cut) relay->Reset();
    relay->SetMode(cut ? soak::RelayMode::kDropBothWays
                       : soak::RelayMode::kPass);
  }
}

void World::Run(double seconds) {
  io_.run_for(milliseconds(static_cast<int>(seconds * 1000)));
}

std::string World::Readiness() {
  auto statuses = std::make_shared<std::vector<int>>(readies_.size(), 0);
  for (std::size_t i = 0; i < readies_.size(); ++i) {
    http::Request request;
    request.path = "/v1/ready";
    client_.Send(core::Address(readies_[i]), request, milliseconds(300),
                 [statuses, i](const std::optional<http::Response>& response,
                               const http::HttpError&) {
                   (*statuses)[i] = response.has_value() ? response->status : 0;
                 });
  }
  Run(0.35);
  std::string text;
  for (const int status : *statuses) text += std::to_string(status) + " ";
  return text;
}

bool World::AwaitReady(double seconds) {
  const double begin = record_.Seconds();
  while (record_.Seconds() - begin < seconds) {
    const std::string now = Readiness();
    if (now.find("503") == std::string::npos && now.find("0 ") != 0 &&
        now.find(" 0 ") == std::string::npos) {
      record_.Say("readiness: " + now);
      return true;
    }
  }
  return false;
}

World::Job World::MakeJob(int tasks, int task_ms) {
  Job job;
  const unsigned long long number = salt_ + ++jobs_;
  char id[17];
  std::snprintf(id, sizeof id, "%016llx", number);
  job.id = id;
  json::object step{{"count", tasks},
                    {"cpu", 1600},
                    {"mem_mb", 64},
                    {"est_runtime_ms", task_ms}};
  job.body = json::serialize(json::object{{"spec", std::to_string(task_ms)},
                                          {"best_effort", true},
                                          {"steps", json::array{step}}});
  job.entry = jobs_ % fronts_.size();
  return job;
}

void World::Submit(Job job, const std::shared_ptr<Tally>& tally) {
  http::Request request;
  request.method = "POST";
  request.path = "/q/" + job.id;
  request.headers["host"] = "q.example";
  request.headers["content-type"] = "application/json";
  request.headers["x-deadline-ms"] = std::to_string(kDeadline.count());
  request.body = job.body;
  record_.Line("job " + job.id + " sent to entry " + std::to_string(job.entry));
  client_.Send(
      core::Address(fronts_[job.entry]), request, kDeadline,
      [this, job, tally](const std::optional<http::Response>& response,
                         const http::HttpError& error) mutable {
        const int status = response.has_value() ? response->status : 0;
        record_.Line("job " + job.id + " answered " + std::to_string(status) +
                     " " +
                     (response.has_value() ? response->body : error.text));
        const bool again = status == 0 || status == 502 || status == 504;
        if (again && job.attempt == 0) {
          ++job.attempt;
          job.entry = (job.entry + 1) % fronts_.size();
          auto timer =
              std::make_shared<boost::asio::steady_timer>(io_, kResend);
          timer->async_wait([this, timer, job,
                             tally](const boost::system::error_code& failure) {
            if (!failure) Submit(job, tally);
          });
          return;
        }
        --open_;
        const bool served = status == 200 && response->body.find("completed") !=
                                                 std::string::npos;
        if (served) {
          ++tally->served;
        } else if (status == 503 || status == 429) {
          ++tally->refused;
        } else {
          ++tally->other;
        }
      });
}

void World::SendNext(double gap_s, int tasks, int task_ms,
                     const std::shared_ptr<Tally>& tally,
                     const std::function<bool()>& more) {
  if (!more()) return;
  ++tally->sent;
  ++open_;
  Submit(MakeJob(tasks, task_ms), tally);
  auto timer = std::make_shared<boost::asio::steady_timer>(
      io_, milliseconds(static_cast<int>(gap_s * 1000)));
  timer->async_wait([this, timer, gap_s, tasks, task_ms, tally,
                     more](const boost::system::error_code& error) {
    if (!error) SendNext(gap_s, tasks, task_ms, tally, more);
  });
}

Tally World::SendJobs(double seconds, double gap_s, int tasks, int task_ms) {
  auto tally = std::make_shared<Tally>();
  const double end = record_.Seconds() + seconds;
  SendNext(gap_s, tasks, task_ms, tally,
           [this, end]() { return record_.Seconds() < end; });
  while (record_.Seconds() < end || open_ > 0) Run(0.05);
  record_.Say("jobs sent " + std::to_string(tally->sent) + ", completed " +
              std::to_string(tally->served) + ", refused " +
              std::to_string(tally->refused) + ", other " +
              std::to_string(tally->other));
  return *tally;
}

void World::StartJobs(double gap_s, int tasks, int task_ms) {
  background_ = true;
  SendNext(gap_s, tasks, task_ms, std::make_shared<Tally>(),
           [this]() { return background_; });
}

bool World::AllRunning() {
  bool all = true;
  for (const std::unique_ptr<Child>& each : children_) {
    all = each->IsRunning() && all;
  }
  return all;
}

bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace tarragon::review
