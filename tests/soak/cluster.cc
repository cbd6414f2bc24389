#include "cluster.h"

#include <boost/json.hpp>
#include <csignal>
#include <fstream>
#include <utility>

#include "socket_owner.h"

namespace tarragon::soak {
namespace {

namespace json = boost::json;

/// Each process of a soak uses some of as many ports.
constexpr int kPortsOfSoak = 10;

}  // namespace

void RunAfter(boost::asio::io_context& io, std::chrono::milliseconds delay,
              std::function<void()> step) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io, delay);
  timer->async_wait(
      [timer, step = std::move(step)](const boost::system::error_code& error) {
        if (!error) step();
      });
}

std::string Cluster::WriteNodeFile(const Config& config,
                                   const std::string& name, int index,
                                   bool entry) {
  const std::string ip = "127." + std::to_string(entry ? 1 : 2) + ".0." +
                         std::to_string(index + 1);
  const auto at = [&ip, this](int offset) {
    return ip + ":" + std::to_string(base_port + offset);
  };
  const std::string address = store.address();
  const int store_port = std::stoi(address.substr(address.find(':') + 1));
  store_relays.push_back(std::make_unique<Relay>(
      io,
      boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                                     static_cast<std::uint16_t>(store_port))));
  json::object listen;
  if (entry) {
    listen["front"] = at(1);
    listen["ready"] = at(2);
    front_addresses.push_back(at(1));
  } else {
    listen["control"] = at(1);
  }
  json::object node{
      {"node_name", name},
      {"zone", "d" + std::to_string(index % 2)},
      {"ip", ip},
      {"listen_addrs", listen},
      {"internal_ports", json::array{base_port, base_port + 9}},
      {"platform", {{"address", store_relays.back()->address()}}}};
  if (config.memory_mb > 0) {
    node["limits"] = json::object{{"memory_mb", config.memory_mb},
                                  {"max_fds", config.max_descriptors}};
  }
  std::string path = (config.run_folder / (name + ".json")).string();
  std::ofstream(path) << json::serialize(node);
  return path;
}

boost::asio::ip::tcp::endpoint Cluster::EndpointAt(const std::string& ip,
                                                   int offset) const {
  return {boost::asio::ip::make_address(ip),
          static_cast<std::uint16_t>(base_port + offset)};
}

void Cluster::WriteConfiguration() {
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
  store.Put("op", "config",
            json::serialize(json::object{{"version", ++config_version},
                                         {"routes", routes}}));
}

void Cluster::StartProcess(const Config& config, int index, bool entry) {
  const std::string name = (entry ? "entry-" : "gate-") + std::to_string(index);
  const std::string node_file = WriteNodeFile(config, name, index, entry);
  // Peers connect to the VM's address, where the relay listens; the process
  // itself listens at `bind_ip`.
  const std::string last_byte = std::to_string(index + 1);
  const std::string bind_ip = (entry ? "127.3.0." : "127.4.0.") + last_byte;
  const std::string ip = (entry ? "127.1.0." : "127.2.0.") + last_byte;
  peer_relays.push_back(
      std::make_unique<Relay>(io, EndpointAt(bind_ip, 0), EndpointAt(ip, 0)));
  peer_relays.back()->SetFindOrigin(
      [this](const boost::asio::ip::tcp::endpoint& dialler) {
        return FindProcess(dialler);
      });
  if (entry) {
    front_relays.push_back(std::make_unique<Relay>(
        io, EndpointAt(ip, 1), EndpointAt("127.5.0." + last_byte, 1)));
  }
  names.push_back(name);
  processes.push_back(std::make_unique<Process>(
      entry ? "tarragon-coordinator" : "tarragon-gate", node_file,
      (config.run_folder / (name + ".log")).string(), bind_ip,
      config.metrics_pages ? base_port + kMetricsPortOffset : 0));
  processes.back()->Start();
}

void Cluster::StartTarget(const Config& config, int index) {
  FakeTarget::Config target;
  target.name = "t" + std::to_string(index);
  target.domain = "d" + std::to_string(index % 2);
  target.gate = "127.2.0." + std::to_string(index + 1) + ":" +
                std::to_string(base_port + 1);
  target.seed = config.draw_seed();
  target.ledger = config.ledger;
  target.lists_progress = config.targets_list_progress;
  target.before_start = [this]() {
    for (const std::unique_ptr<FakeTarget>& each : targets) each->ExpireRuns();
  };
  targets.push_back(std::make_unique<FakeTarget>(io, target, config.invariants,
                                                 config.is_drained));
}

void Cluster::ReservePorts() {
  namespace ip = boost::asio::ip;
  while (port_lock == nullptr) {
    // Assumes that a port that is free on one loopback address is free on all.
    ip::tcp::acceptor probe(
        io, ip::tcp::endpoint(ip::make_address("127.1.0.1"), 0));
    base_port = probe.local_endpoint().port() % 50000 + 10000;
    base_port -= base_port % kPortsOfSoak;
    try {
      port_lock =
          std::make_unique<ip::tcp::acceptor>(io, EndpointAt("127.6.0.1", 0));
    } catch (const boost::system::system_error&) {
      // Another soak on this machine has these ports.
    }
  }
}

void Cluster::Start(const Config& config) {
  std::filesystem::create_directories(config.run_folder);
  ReservePorts();
  WriteConfiguration();
  for (int i = 0; i < config.entries; ++i) StartProcess(config, i, true);
  for (int i = 0; i < config.gates; ++i) {
    StartProcess(config, i, false);
    StartTarget(config, i);
  }
}

void Cluster::ClearStoreFaults() {
  store.SetRefusing(false);
  store.SetDelay(std::chrono::milliseconds(0));
  store.SetDroppingAnswers(false);
}

void Cluster::Repair() {
  for (const std::unique_ptr<Process>& process : processes) {
    process->Signal(SIGCONT);
  }
  for (const auto* group : {&store_relays, &peer_relays, &front_relays}) {
    for (const std::unique_ptr<Relay>& relay : *group) {
      relay->SetMode(RelayMode::kPass);
      for (const std::string& name : names) {
        relay->SetModeForOrigin(name, RelayMode::kPass);
      }
    }
  }
  for (const std::unique_ptr<FakeTarget>& target : targets) {
    target->relay()->SetMode(RelayMode::kPass);
    target->SetOrderLossShare(0);
    target->SetOrderFaults({});
    target->SetRuntimeFactor(1);
  }
  ClearStoreFaults();
}

std::string Cluster::FindProcess(
    const boost::asio::ip::tcp::endpoint& end) const {
  std::vector<pid_t> pids;
  for (const std::unique_ptr<Process>& process : processes) {
    if (process->pid() > 0) pids.push_back(process->pid());
  }
  const std::optional<pid_t> owner = FindSocketOwner(end, pids);
  for (std::size_t i = 0; owner.has_value() && i < processes.size(); ++i) {
    if (processes[i]->pid() == *owner) return names[i];
  }
  return {};
}

}  // namespace tarragon::soak
