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
  /// Connections beyond this are answered 503 and closed.
  std::size_t max_connections = 1024;
  /// A longer body is answered 413.
  std::size_t max_body_bytes = std::size_t{1024} * 1024;
  /// A longer request line and header are answered 431.
  std::size_t max_header_bytes = std::size_t{16} * 1024;
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

/// HTTP/1.1 server with keep-alive. Requests of one connection are handled one
/// after the other, so pipelined ones are answered in order. Memory for each
/// connection is bounded by the limits. A peer that has closed its sending side
/// still gets its answer. Errors that the server answers itself have the body
/// {"outcome":"not_run","reason":"...","detail":"..."}: the handler has not
/// seen the request.
///
/// All calls belong on the thread of the io_context.
class Server {
 public:
  Server(boost::asio::io_context& io, ServerLimits limits, Handler handler,
         GoneHandler gone = {});
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

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace tarragon::http

#endif  // TARRAGON_HTTP_SERVER_H_
