#ifndef TARRAGON_DAEMONS_MACHINE_LIMITS_H_
#define TARRAGON_DAEMONS_MACHINE_LIMITS_H_

#include <cstddef>
#include <vector>

#include "tarragon/core/settings.h"
#include "tarragon/http/server.h"
#include "tarragon/platform/node_settings.h"
#include "tarragon/wire/transport.h"

namespace tarragon::daemons {

/// What a process may use of its VM, so that no number and no behaviour of
/// clients makes it exceed the memory or the descriptors of the VM.
struct MachineLimits {
  /// Bytes that all connections hold together, of clients and of peers.
  std::size_t connection_bytes = 0;
  /// Bytes that the accepted jobs hold together.
  std::size_t job_bytes = 0;
  /// Connections of clients to an entry.
  std::size_t client_connections = 0;
  /// Connections to the address of a gate where its target announces itself.
  std::size_t target_connections = 0;
  /// Connections at each other address that speaks HTTP/1.1.
  std::size_t other_connections = 0;
  /// Connections to other entries and gates.
  std::size_t peer_connections = 0;
  /// Orders that a gate has open at its target.
  std::size_t open_orders = 0;
  /// Receive buffer in the kernel of a client's connection.
  std::size_t receive_buffer_bytes = 0;
};

/// The definitions of the settings of the section [limits].
std::vector<core::SettingSpec> MachineLimitSpecs();

/// Divides what the VM has.
MachineLimits ComputeMachineLimits(const platform::NodeSettings& node,
                                   const core::Settings& settings);

/// Limits of a server for `connections` connections with bodies of up to
/// `max_body_bytes`.
http::ServerLimits MakeServerLimits(const MachineLimits& machine,
                                    std::size_t connections,
                                    std::size_t max_body_bytes);

/// Limits of the connections to other entries and gates.
wire::TransportLimits MakePeerLimits(const MachineLimits& machine);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_MACHINE_LIMITS_H_
