#include "relay.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace tarragon::soak {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::chrono::milliseconds kDelay{40};
constexpr std::chrono::milliseconds kHoldLook{5};

}  // namespace

/// One connection through the relay.
class Relay::Link : public std::enable_shared_from_this<Link> {
 public:
  Link(asio::io_context& io, Tcp::socket client,
       std::shared_ptr<RelayMode> mode)
      : client_(std::move(client)),
        server_(io),
        mode_(std::move(mode)),
        pauses_{asio::steady_timer(io), asio::steady_timer(io)} {}

  void Connect(const Tcp::endpoint& server) {
    server_.async_connect(server,
                          [self = shared_from_this()](const ErrorCode& error) {
                            if (error) return self->Reset();
                            self->Read(&self->client_, &self->server_, 0);
                            self->Read(&self->server_, &self->client_, 1);
                          });
  }

  void Reset() {
    ErrorCode ignored;
    client_.set_option(asio::socket_base::linger(true, 0), ignored);
    server_.set_option(asio::socket_base::linger(true, 0), ignored);
    client_.close(ignored);
    server_.close(ignored);
  }

 private:
  void Read(Tcp::socket* from, Tcp::socket* to, std::size_t way) {
    from->async_read_some(asio::buffer(buffers_[way]),
                          [self = shared_from_this(), from, to, way](
                              const ErrorCode& error, std::size_t size) {
                            if (error) return self->Reset();
                            self->Pass(from, to, way, size);
                          });
  }

  void Pass(Tcp::socket* from, Tcp::socket* to, std::size_t way,
            std::size_t size) {
    const RelayMode mode = *mode_;
    const bool lost = mode == RelayMode::kSilent ||
                      (mode == RelayMode::kSilentForward && way == 0) ||
                      (mode == RelayMode::kSilentBack && way == 1);
    if (lost) return Read(from, to, way);
    const bool held = mode == RelayMode::kHold ||
                      (mode == RelayMode::kHoldForward && way == 0) ||
                      (mode == RelayMode::kHoldBack && way == 1);
    if (held) {
      pauses_[way].expires_after(kHoldLook);
      pauses_[way].async_wait([self = shared_from_this(), from, to, way,
                               size](const ErrorCode& /*error*/) {
        self->Pass(from, to, way, size);
      });
      return;
    }
    pauses_[way].expires_after(
        mode == RelayMode::kDelay ? kDelay : std::chrono::milliseconds(0));
    pauses_[way].async_wait([self = shared_from_this(), from, to, way,
                             size](const ErrorCode& /*error*/) {
      asio::async_write(
          *to, asio::buffer(self->buffers_[way].data(), size),
          [self, from, to, way](const ErrorCode& error, std::size_t) {
            if (error) return self->Reset();
            self->Read(from, to, way);
          });
    });
  }

  Tcp::socket client_;
  Tcp::socket server_;
  std::shared_ptr<RelayMode> mode_;
  std::array<asio::steady_timer, 2> pauses_;
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
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void Relay::Accept() {
  acceptor_.async_accept([this](const ErrorCode& error, Tcp::socket socket) {
    if (error) return;
    const std::shared_ptr<Link> link =
        std::make_shared<Link>(io_, std::move(socket), mode_);
    links_.push_back(link);
    link->Connect(server_);
    Accept();
  });
}

void Relay::Reset() {
  for (const std::weak_ptr<Link>& each : links_) {
    if (const std::shared_ptr<Link> link = each.lock()) link->Reset();
  }
  links_.clear();
}

}  // namespace tarragon::soak
