#ifndef TARRAGON_HTTP_CONNECTION_H_
#define TARRAGON_HTTP_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "client_state.h"
#include "convert.h"
#include "net.h"
#include "watchdog.h"

namespace tarragon::http {

/// One request on its way.
struct Exchange {
  std::uint64_t id = 0;
  Watchdog::Moment sent_at;
  /// Shared with the write, which may outlast the exchange.
  std::shared_ptr<const BeastRequest> request;
  /// When the whole exchange times out.
  Watchdog::Moment deadline;
  Client::Done done;
};

/// One connection of a client; carries one request at a time.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<ClientState> client, core::Address address,
             Tcp::endpoint endpoint);

  /// Sends a request; connects first if need be.
  void Run(Exchange exchange);
  /// Gives up the request. Its Done is called later.
  void Cancel();
  /// Closes the connection without calling anything.
  void Close();
  /// Whether the peer has neither closed nor sent anything while idle, and the
  /// connection is not too old.
  bool Reusable();

  const core::Address& address() const { return address_; }
  /// When the last answer was complete.
  Watchdog::Moment answered_at() const { return answered_at_; }

 private:
  enum class Phase : std::uint8_t { kConnecting, kExchanging, kIdle, kClosed };
  using Parser = beast_http::response_parser<beast_http::string_body>;

  void Connect();
  void OnConnected(ErrorCode error);
  void Transmit();
  void OnWritten(ErrorCode error, std::size_t written);
  void ReadHeader();
  void OnHeader(ErrorCode error);
  void OnRead(ErrorCode error);
  void OnAnswer();
  void GoIdle();
  void OnExpired();
  void Fail(HttpErrorKind kind, const std::string& text, bool refused = false);
  HttpErrorKind FailureKind() const;
  Exchange TakeExchange();

  std::shared_ptr<ClientState> client_;
  core::Address address_;
  Tcp::endpoint endpoint_;
  Socket socket_;
  std::shared_ptr<Watchdog> watchdog_;
  beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::optional<Exchange> exchange_;
  Phase phase_ = Phase::kConnecting;
  /// Changes with each exchange, so that handlers of an earlier one are known.
  std::uint64_t generation_ = 0;
  /// Carries a request after an earlier one.
  bool reused_ = false;
  Watchdog::Moment answered_at_;
  Watchdog::Moment idle_until_;
  bool write_done_ = false;
  /// The write failed before the first byte.
  bool nothing_sent_ = false;
};

}  // namespace tarragon::http

#endif  // TARRAGON_HTTP_CONNECTION_H_
