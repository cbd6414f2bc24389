#ifndef TARRAGON_HTTP_CLIENT_H_
#define TARRAGON_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/core/strong.h"
#include "tarragon/http/message.h"

namespace tarragon::http {

/// Names one request of one client. Never zero once set.
using RequestId = core::Strong<struct RequestIdTag, std::uint64_t>;

/// Bounds of a client.
struct ClientLimits {
  core::Duration connect_timeout{std::chrono::seconds(1)};
  /// A longer body of an answer is kTooLarge.
  std::size_t max_response_bytes = std::size_t{1024} * 1024;
  /// Idle connections kept for each address; zero turns keep-alive off.
  std::size_t max_idle_per_host = 8;
  /// An idle connection is closed at this age.
  core::Duration max_idle_age{std::chrono::seconds(30)};
};

/// HTTP/1.1 client. It never sends a request twice. Each request takes an idle
/// connection to its address or opens a new one; requests are not queued. When
/// an answer times out, the connections that have been idle since before the
/// request are closed, as they may have gone silent too.
///
/// An answer must state its length or be chunked: one that ends with the
/// connection cannot be told from a truncated one and is kNoAnswer.
///
/// All calls belong on the thread of the io_context.
class Client {
 public:
  /// Called once for each request. The response is there only if the kind is
  /// kNone. Never called inside Send, Cancel or Close.
  using Done = std::function<void(std::optional<Response>, HttpError)>;

  Client(boost::asio::io_context& io, ClientLimits limits);
  /// Drops all requests without calling their Done.
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends `request` to `address`. `timeout` counts from this call to the last
  /// byte of the answer.
  RequestId Send(const core::Address& address, const Request& request,
                 core::Duration timeout, Done done);

  /// Gives up a request: Done gets kNotSent or kNoAnswer. Its connection is
  /// closed. No effect when the request has ended.
  void Cancel(RequestId id);

  /// Cancels all requests and closes all connections. Later requests are
  /// kNotSent.
  void Close();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace tarragon::http

#endif  // TARRAGON_HTTP_CLIENT_H_
