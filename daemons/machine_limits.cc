#include "machine_limits.h"

#include <algorithm>
#include <cstdint>

#include "platform_daemon_limits.h"

namespace tarragon::daemons {
namespace {

constexpr char kSection[] = "limits";
constexpr std::size_t kBytesPerMb = std::size_t{1000} * 1000;
constexpr std::size_t kPermille = 1000;

/// Descriptors that the platform reserves for files; all others are for
/// sockets.
constexpr std::int64_t kFileDescriptors = 200;
/// With fewer sockets a process could not serve at all.
constexpr std::int64_t kMinSockets = 64;
/// Sockets of all, in parts of `kParts`. One of two further parts is for each
/// other address that speaks HTTP/1.1, and the rest for connections to the
/// store and to the target.
constexpr std::size_t kParts = 32;
constexpr std::size_t kClientParts = 20;
/// A gate has no clients and uses their part for orders to its target.
constexpr std::size_t kTargetParts = 8;
constexpr std::size_t kOrderParts = 12;
constexpr std::size_t kPeerParts = 8;
/// Far more than a target takes at one time.
constexpr std::size_t kMaxTargetConnections = 256;
constexpr std::size_t kMaxOpenOrders = 256;
constexpr std::size_t kMinOtherConnections = 4;
constexpr std::size_t kMaxOtherConnections = 64;
/// Connections that are told that there is no place for them, as a part of the
/// connections that are served.
constexpr std::size_t kRefusedPart = 32;
constexpr std::size_t kMaxRefusedConnections = 64;

/// Room for an ordinary request of each client, so that requests of this size
/// alone never use up the memory for connections.
constexpr std::size_t kOrdinaryBytes = std::size_t{8} * 1024;

/// The receive buffers of all clients together take at most this part of the
/// memory.
constexpr std::size_t kReceivePart = 8;
constexpr std::size_t kMinReceiveBytes = std::size_t{4} * 1024;
constexpr std::size_t kMaxReceiveBytes = std::size_t{64} * 1024;
constexpr std::size_t kPeerReceiveBytes = std::size_t{32} * 1024;

core::SettingSpec MakeShareSpec(const char* key, const char* help) {
  core::SettingSpec spec;
  spec.section = kSection;
  spec.key = key;
  spec.type = core::SettingType::kPermille;
  spec.default_value = "250";
  spec.minimum = "10";
  spec.maximum = "400";
  spec.help = help;
  return spec;
}

}  // namespace

std::vector<core::SettingSpec> MachineLimitSpecs() {
  core::SettingSpec clients;
  clients.section = kSection;
  clients.key = "client_connections";
  clients.type = core::SettingType::kInteger;
  clients.default_value = "3000";
  clients.minimum = "1";
  clients.maximum = "100000";
  clients.help =
      "Most connections of clients; fewer if the VM has few descriptors or "
      "little memory.";
  return {
      clients,
      MakeShareSpec("connection_memory",
                    "Share of the VM's memory, in thousandths, that all "
                    "connections together may hold."),
      MakeShareSpec("job_memory",
                    "Share of the VM's memory, in thousandths, that all "
                    "accepted jobs together may hold."),
  };
}

MachineLimits ComputeMachineLimits(const platform::NodeSettings& node,
                                   const core::Settings& settings) {
  const std::size_t memory =
      static_cast<std::size_t>(node.memory_mb) * kBytesPerMb;
  const auto share = [&](const char* key) {
    return memory / kPermille *
           static_cast<std::size_t>(settings.Integer(kSection, key));
  };
  const std::size_t sockets = static_cast<std::size_t>(
      std::max(node.max_descriptors - kFileDescriptors, kMinSockets));
  MachineLimits limits;
  limits.connection_bytes = share("connection_memory");
  limits.job_bytes = share("job_memory");
  limits.client_connections = std::max<std::size_t>(
      1, std::min({static_cast<std::size_t>(
                       settings.Integer(kSection, "client_connections")),
                   sockets / kParts * kClientParts,
                   limits.connection_bytes / kOrdinaryBytes}));
  limits.target_connections =
      std::min(sockets / kParts * kTargetParts, kMaxTargetConnections);
  limits.open_orders = std::min(sockets / kParts * kOrderParts, kMaxOpenOrders);
  limits.peer_connections = sockets / kParts * kPeerParts;
  limits.other_connections =
      std::clamp(sockets / kParts, kMinOtherConnections, kMaxOtherConnections);
  limits.receive_buffer_bytes =
      std::clamp(memory / kReceivePart / limits.client_connections,
                 kMinReceiveBytes, kMaxReceiveBytes);
  return limits;
}

http::ServerLimits MakeServerLimits(const MachineLimits& machine,
                                    std::size_t connections,
                                    std::size_t max_body_bytes) {
  http::ServerLimits limits;
  limits.max_connections = connections;
  limits.max_refused_connections =
      std::min(connections / kRefusedPart + 1, kMaxRefusedConnections);
  limits.max_body_bytes = max_body_bytes;
  limits.receive_buffer_bytes = machine.receive_buffer_bytes;
  return limits;
}

wire::TransportLimits MakePeerLimits(const MachineLimits& machine) {
  wire::TransportLimits limits = MakePeerLimits();
  limits.max_connections = machine.peer_connections;
  limits.receive_buffer_bytes = kPeerReceiveBytes;
  return limits;
}

}  // namespace tarragon::daemons
