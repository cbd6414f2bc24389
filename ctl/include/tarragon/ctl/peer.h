#ifndef TARRAGON_CTL_PEER_H_
#define TARRAGON_CTL_PEER_H_

#include <functional>
#include <optional>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/http/message.h"

namespace tarragon::ctl {

/// What the commands need from outside; tests put fakes in its place.
struct Peer {
  /// Sends one request once and waits for its answer. Nothing, with a reason,
  /// if there is none.
  std::function<std::optional<http::Response>(
      const core::Address& address, const http::Request& request,
      core::Duration timeout, http::HttpError* reason)>
      call;
  std::function<void(core::Duration)> sleep;
  std::function<core::Time()> now;
};

/// The peer of the program: HTTP, and the system's clock.
Peer SystemPeer();

}  // namespace tarragon::ctl

#endif  // TARRAGON_CTL_PEER_H_
