#include "tarragon/ctl/peer.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>
#include <utility>

#include "tarragon/http/client.h"

namespace tarragon::ctl {
namespace {

/// Largest answer that is read.
constexpr std::size_t kMaxAnswerBytes = std::size_t{64} * 1024 * 1024;

/// One HTTP client whose loop runs only while a call waits.
class HttpCaller {
 public:
  HttpCaller() : io_(1), client_(io_, Limits()) {}

  std::optional<http::Response> Call(const core::Address& address,
                                     const http::Request& request,
                                     core::Duration timeout,
                                     http::HttpError* reason);

 private:
  static http::ClientLimits Limits();

  boost::asio::io_context io_;
  http::Client client_;
};

http::ClientLimits HttpCaller::Limits() {
  http::ClientLimits limits;
  limits.max_response_bytes = kMaxAnswerBytes;
  // The loop stands still between calls and would not see the peer close.
  limits.max_idle_per_host = 0;
  return limits;
}

std::optional<http::Response> HttpCaller::Call(const core::Address& address,
                                               const http::Request& request,
                                               core::Duration timeout,
                                               http::HttpError* reason) {
  std::optional<http::Response> answer;
  client_.Send(address, request, timeout,
               [&answer, reason](std::optional<http::Response> response,
                                 http::HttpError error) {
                 answer = std::move(response);
                 *reason = std::move(error);
               });
  io_.restart();
  io_.run();
  return answer;
}

}  // namespace

Peer SystemPeer() {
  const std::shared_ptr<HttpCaller> caller = std::make_shared<HttpCaller>();
  Peer peer;
  peer.call = [caller](const core::Address& address,
                       const http::Request& request, core::Duration timeout,
                       http::HttpError* reason) {
    return caller->Call(address, request, timeout, reason);
  };
  peer.sleep = [](core::Duration pause) { std::this_thread::sleep_for(pause); };
  peer.now = [] { return core::SystemClock().Now(); };
  return peer;
}

}  // namespace tarragon::ctl
