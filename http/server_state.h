#ifndef TARRAGON_HTTP_SERVER_STATE_H_
#define TARRAGON_HTTP_SERVER_STATE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <unordered_set>

#include "net.h"
#include "tarragon/http/server.h"

namespace tarragon::http {

class Session;

/// What a server and its sessions share.
struct ServerState {
  asio::io_context* io = nullptr;
  ServerLimits limits;
  Handler handler;
  /// Told of clients that leave; may be empty.
  GoneHandler gone;
  std::uint64_t last_request = 0;
  /// A planned stop has begun: each answer closes its connection.
  bool stopping = false;
  /// Open sessions. A session removes itself when it closes.
  std::unordered_set<std::shared_ptr<Session>> sessions;
  /// How many of the sessions only refuse their connection.
  std::size_t refusing = 0;
  std::size_t open_requests = 0;
  /// Sessions that may be closed to make place for a new connection, as the
  /// handler has no request of theirs. The one without a whole request for the
  /// longest is first.
  std::list<Session*> replaceable;
  std::shared_ptr<core::MemoryQuota> quota;
  ServerCounters counters;
};

}  // namespace tarragon::http

#endif  // TARRAGON_HTTP_SERVER_STATE_H_
