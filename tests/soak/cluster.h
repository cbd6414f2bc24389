#ifndef TARRAGON_TESTS_SOAK_CLUSTER_H_
#define TARRAGON_TESTS_SOAK_CLUSTER_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fake_store.h"
#include "fake_target.h"
#include "invariant_checker.h"
#include "options.h"
#include "process.h"
#include "relay.h"

namespace tarragon::soak {

/// Position of the port of a process's metrics page after `base_port`.
inline constexpr int kMetricsPortOffset = 3;

/// The processes of one soak with their stand-ins and the relays between them.
struct Cluster {
  struct Config {
    int entries = 0;
    int gates = 0;
    std::filesystem::path run_folder;
    InvariantChecker* invariants = nullptr;
    RunLedger* ledger = nullptr;
    bool targets_list_progress = false;
    /// Limits of each process as its node file states them; zero for none.
    int memory_mb = 0;
    int max_descriptors = 0;
    /// Each process has a metrics page, at kMetricsPortOffset.
    bool metrics_pages = false;
    FakeTarget::IsDrained is_drained;
    /// Draws the seed of a target.
    std::function<std::uint64_t()> draw_seed;
  };

  explicit Cluster(boost::asio::io_context& context)
      : io(context), store(context) {}

  /// Writes the first configuration and starts all processes and targets.
  void Start(const Config& config);
  void WriteConfiguration();
  /// Makes all links pass, and repairs the targets and the store.
  void Repair();
  void ClearStoreFaults();
  /// The name of the process that has this end of a connection, or an empty
  /// string.
  std::string FindProcess(const boost::asio::ip::tcp::endpoint& end) const;

  boost::asio::io_context& io;
  FakeStore store;
  std::vector<std::unique_ptr<Relay>> store_relays;
  /// In front of each process's port for peers.
  std::vector<std::unique_ptr<Relay>> peer_relays;
  /// In front of each entry's port for clients.
  std::vector<std::unique_ptr<Relay>> front_relays;
  /// The entries, then the gates.
  std::vector<std::unique_ptr<Process>> processes;
  /// The name of each process, by which relays know it.
  std::vector<std::string> names;
  std::vector<std::unique_ptr<FakeTarget>> targets;
  /// The addresses where coordinators accept clients, and those of the relays
  /// in front of them.
  std::vector<std::string> front_addresses;
  int base_port = 0;
  /// Keeps other soaks on this machine off the ports of this one.
  std::unique_ptr<boost::asio::ip::tcp::acceptor> port_lock;
  int config_version = 0;

 private:
  void ReservePorts();
  void StartProcess(const Config& config, int index, bool entry);
  void StartTarget(const Config& config, int index);
  std::string WriteNodeFile(const Config& config, const std::string& name,
                            int index, bool entry);
  boost::asio::ip::tcp::endpoint EndpointAt(const std::string& ip,
                                            int offset) const;
};

/// Calls `step` after `delay`.
void RunAfter(boost::asio::io_context& io, std::chrono::milliseconds delay,
              std::function<void()> step);

}  // namespace tarragon::soak

#endif  // TARRAGON_TESTS_SOAK_CLUSTER_H_
