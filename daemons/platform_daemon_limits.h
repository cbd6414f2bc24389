#ifndef TARRAGON_DAEMONS_PLATFORM_DAEMON_LIMITS_H_
#define TARRAGON_DAEMONS_PLATFORM_DAEMON_LIMITS_H_

#include "tarragon/core/clock.h"
#include "tarragon/wire/transport.h"

namespace tarragon::daemons {

/// Time after the stop signal at which a process ends, even with open work: the
/// platform kills it 6 s after the signal.
inline constexpr core::Duration kMaxStopDuration =
    std::chrono::milliseconds(5300);
/// Interval at which the log reports how many lines it has suppressed.
inline constexpr core::Duration kLogFlushInterval = std::chrono::seconds(5);

/// Timeouts of the connections between entries and gates, whose network has
/// round trips of milliseconds.
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
