#ifndef TARRAGON_DAEMONS_MESSAGE_LIMITS_H_
#define TARRAGON_DAEMONS_MESSAGE_LIMITS_H_

#include "tarragon/wire/transport.h"

namespace tarragon::daemons {

/// Size limits within which the largest job and its whole answer each fit into
/// one message.
inline wire::TransportLimits MakeMessageLimits() {
  wire::TransportLimits limits;
  limits.max_frame_bytes = std::size_t{16} << 20;
  limits.max_queued_bytes = std::size_t{32} << 20;
  return limits;
}

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_MESSAGE_LIMITS_H_
