#include "relay.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <utility>

namespace tarragon::soak {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::chrono::milliseconds kDelay{40};
constexpr std::chrono::milliseconds kHoldPollInterval{5};

}  // namespace

/// One connection through the relay.
class Relay::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(asio::io_context& io, Tcp::socket client,
             std::shared_ptr<const Rules> rules)
      : client_(std::move(client)),
        server_(io),
        rules_(std::move(rules)),
        timers_{asio::steady_timer(io), asio::steady_timer(io)} {}

  void Connect(const Tcp::endpoint& server) {
    server_.async_connect(server,
                          [self = shared_from_this()](const ErrorCode& error) {
                            if (error) return self->Reset();
                            self->Read(&self->client_, &self->server_, 0);
                            self->Read(&self->server_, &self->client_, 1);
                          });
  }

  void Silence() {
    rules_ = std::make_shared<const Rules>(
        Rules{RelayMode::kDropBothWays, {}, nullptr});
  }

  void Reset() {
    ErrorCode ignored;
    client_.set_option(asio::socket_base::linger(true, 0), ignored);
    server_.set_option(asio::socket_base::linger(true, 0), ignored);
    client_.close(ignored);
    server_.close(ignored);
  }

 private:
  RelayMode FindMode() {
    if (rules_->mode_by_origin.empty()) return rules_->mode;
    if (!origin_.has_value() && rules_->find_origin) {
      ErrorCode error;
      const Tcp::endpoint dialler = client_.remote_endpoint(error);
      origin_ = error ? "" : rules_->find_origin(dialler);
    }
    const auto found = rules_->mode_by_origin.find(origin_.value_or(""));
    return found == rules_->mode_by_origin.end() ? rules_->mode : found->second;
  }

  void Read(Tcp::socket* from, Tcp::socket* to, std::size_t direction) {
    from->async_read_some(asio::buffer(buffers_[direction]),
                          [self = shared_from_this(), from, to, direction](
                              const ErrorCode& error, std::size_t size) {
                            if (error) return self->Reset();
                            self->Forward(from, to, direction, size);
                          });
  }

  void Forward(Tcp::socket* from, Tcp::socket* to, std::size_t direction,
               std::size_t size) {
    const RelayMode mode = FindMode();
    const bool lost = mode == RelayMode::kDropBothWays ||
                      (mode == RelayMode::kDropToServer && direction == 0) ||
                      (mode == RelayMode::kDropToClient && direction == 1);
    if (lost) return Read(from, to, direction);
    const bool held = mode == RelayMode::kHoldBothWays ||
                      (mode == RelayMode::kHoldToServer && direction == 0) ||
                      (mode == RelayMode::kHoldToClient && direction == 1);
    if (held) {
      timers_[direction].expires_after(kHoldPollInterval);
      timers_[direction].async_wait([self = shared_from_this(), from, to,
                                     direction,
                                     size](const ErrorCode& /*error*/) {
        self->Forward(from, to, direction, size);
      });
      return;
    }
    timers_[direction].expires_after(
        mode == RelayMode::kDelay ? kDelay : std::chrono::milliseconds(0));
    timers_[direction].async_wait([self = shared_from_this(), from, to,
                                   direction,
                                   size](const ErrorCode& /*error*/) {
      asio::async_write(
          *to, asio::buffer(self->buffers_[direction].data(), size),
          [self, from, to, direction](const ErrorCode& error, std::size_t) {
            if (error) return self->Reset();
            self->Read(from, to, direction);
          });
    });
  }

  Tcp::socket client_;
  Tcp::socket server_;
  std::shared_ptr<const Rules> rules_;
  std::optional<std::string> origin_;
  std::array<asio::steady_timer, 2> timers_;
  std::array<std::array<char, 16384>, 2> buffers_;
};

Relay::Relay(asio::io_context& io, Tcp::endpoint server)
    : Relay(io, std::move(server),
            Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {}

Relay::Relay(asio::io_context& io, Tcp::endpoint server,
             const Tcp::endpoint& front)
    : io_(io), server_(std::move(server)), acceptor_(io, front) {
  Accept();
}

std::string Relay::address() const {
  const Tcp::endpoint front = acceptor_.local_endpoint();
  return front.address().to_string() + ":" + std::to_string(front.port());
}

void Relay::SetModeForOrigin(const std::string& origin, RelayMode mode) {
  if (mode == RelayMode::kPass) {
    rules_->mode_by_origin.erase(origin);
  } else {
    rules_->mode_by_origin[origin] = mode;
  }
}

void Relay::Accept() {
  acceptor_.async_accept([this](const ErrorCode& error, Tcp::socket socket) {
    if (error) return;
    const std::shared_ptr<Connection> connection =
        std::make_shared<Connection>(io_, std::move(socket), rules_);
    connections_.push_back(connection);
    connection->Connect(server_);
    Accept();
  });
}

void Relay::Reset() {
  for (const std::weak_ptr<Connection>& each : connections_) {
    if (const std::shared_ptr<Connection> connection = each.lock())
      connection->Reset();
  }
  connections_.clear();
}

void Relay::Silence() {
  for (const std::weak_ptr<Connection>& each : connections_) {
    if (const std::shared_ptr<Connection> connection = each.lock())
      connection->Silence();
  }
}

}  // namespace tarragon::soak
