#ifndef TARRAGON_HTTP_SERVER_H_
#define TARRAGON_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/core/memory_quota.h"
#include "tarragon/http/message.h"

namespace tarragon::http {

/// Answers one request. May be called at once or at any later time on the
/// thread of the io_context. The first call counts; it has no effect once the
/// connection is gone. If all copies are destroyed without a call, the answer
/// is 500.
using Responder = std::function<void(Response)>;

/// Called for each whole request. Must not throw.
using Handler = std::function<void(Request, Responder)>;

/// Called when the client of a request closes its connection before the answer.
/// `id` is Request::id; its Responder has no effect any more.
using GoneHandler = std::function<void(std::uint64_t id)>;

/// Bounds of a server. All durations must be positive.
struct ServerLimits {
  /// A connection beyond this takes the place of the one that has been without
  /// a whole request for the longest. If each has one that is being handled,
  /// the new connection is answered 503 and closed.
  std::size_t max_connections = 1024;
  /// Connections beyond `max_connections` that are told so at one time; more
  /// are closed without an answer.
  std::size_t max_refused_connections = 64;
  /// A longer body is answered 413.
  std::size_t max_body_bytes = std::size_t{1024} * 1024;
  /// A longer request line and header are answered 431.
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  /// More header fields are answered 431. Parsed, a short field takes many
  /// times its bytes.
  std::size_t max_header_fields = 128;
  /// What all connections hold together, if the server is given no quota.
  std::size_t max_held_bytes = std::size_t{256} * 1024 * 1024;
  /// Receive buffer of each connection in the kernel; zero for the system's
  /// choice. Bytes that wait there count on the machine as well.
  std::size_t receive_buffer_bytes = 0;
  /// From the first byte of a request to the end of its header, else 408. Also
  /// how long a new connection may stay silent.
  core::Duration header_timeout{std::chrono::seconds(10)};
  /// From the end of the header to the end of the body, else 408.
  core::Duration body_timeout{std::chrono::seconds(10)};
  /// How long a connection stays open between two requests.
  core::Duration idle_timeout{std::chrono::seconds(60)};
  /// How long the writing of one response may take.
  core::Duration write_timeout{std::chrono::seconds(10)};
  /// A peer that closes its sending side before its answer is gone: a request
  /// that is read after that is not handled. Else it still gets its answer.
  bool half_close_is_gone = false;
};

/// Counts since the server was made.
struct ServerCounters {
  /// Connections closed because all connections held too much.
  std::uint64_t closed_for_memory = 0;
  /// Connections closed to make place for a new one.
  std::uint64_t closed_for_place = 0;
  /// Connections refused because each place had a request being handled.
  std::uint64_t refused = 0;
};

/// HTTP/1.1 server with keep-alive. Requests of one connection are handled one
/// after the other, so pipelined ones are answered in order. Memory for each
/// connection is bounded by the limits, and memory for all by a quota: when it
/// is used up, the connections that hold the most are answered 503, if they are
/// sending a request, and closed. A peer that has closed its sending side still
/// gets its answer. Errors that the server answers itself have the body
/// {"outcome":"not_run","reason":"...","detail":"..."}: the handler has not
/// seen the request.
///
/// All calls belong on the thread of the io_context.
class Server {
 public:
  /// The connections hold memory of `quota`, which servers may share. Without
  /// one the server has a quota of its own, of `max_held_bytes`.
  Server(boost::asio::io_context& io, ServerLimits limits, Handler handler,
         GoneHandler gone = {},
         std::shared_ptr<core::MemoryQuota> quota = nullptr);
  /// Closes everything, as Close() does.
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Starts to accept on `address`; port 0 takes a free port. Returns the bound
  /// address. One server listens on one address.
  std::optional<core::Address> Listen(const core::Address& address,
                                      HttpError* reason);

  /// Stops accepting, for a planned stop. Requests that have begun to arrive
  /// are answered with "Connection: close"; idle connections are closed. A new
  /// connection that has sent nothing may still send one request within the
  /// header timeout.
  void StopAccepting();

  /// Closes all connections at once. Responders have no effect afterwards.
  void Close();

  /// Open connections, refused ones included.
  std::size_t connections() const;

  /// Requests of which at least a byte has arrived and whose response is not
  /// yet written.
  std::size_t open_requests() const;

  ServerCounters counters() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace tarragon::http

#endif  // TARRAGON_HTTP_SERVER_H_
