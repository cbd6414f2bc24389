#ifndef TARRAGON_DAEMONS_PLATFORM_DAEMON_LIMITS_H_
#define TARRAGON_DAEMONS_PLATFORM_DAEMON_LIMITS_H_

#include "tarragon/core/clock.h"
#include "tarragon/wire/transport.h"

/// Bounds that both programs of the users' platform keep.

namespace tarragon::daemons {

/// The platform kills a process 6 s after it asks it to stop. It ends before,
/// whatever is left.
inline constexpr core::Duration kMaxStopDuration =
    std::chrono::milliseconds(5300);
/// Between two looks for counts of lines that the log has left out.
inline constexpr core::Duration kLogFlushInterval = std::chrono::seconds(5);

/// Bounds of the connections between entries and gates, whose networks answer
/// in milliseconds.
inline wire::TransportLimits MakePeerLimits() {
  constexpr core::Duration kConnectTimeout = std::chrono::milliseconds(400);
  constexpr core::Duration kUnacknowledgedTimeout =
      std::chrono::milliseconds(1500);
  wire::TransportLimits limits;
  limits.connect_timeout = kConnectTimeout;
  limits.handshake_timeout = 2 * kConnectTimeout;
  limits.unacknowledged_timeout = kUnacknowledgedTimeout;
  return limits;
}

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_PLATFORM_DAEMON_LIMITS_H_
