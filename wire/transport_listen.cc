#include <boost/asio/error.hpp>
#include <chrono>
#include <utility>

#include "endpoint.h"
#include "transport_state.h"

// How a transport listens and accepts.

namespace tarragon::wire {
namespace {

using boost::asio::ip::tcp;

/// Until the next accept after one has failed, for want of descriptors mostly.
constexpr std::chrono::milliseconds kAcceptRetry(100);

}  // namespace

std::optional<core::NodeId> TransportState::Listen(
    const core::Address& bind, const std::optional<core::Address>& advertise,
    WireError* reason) {
  if (closed_ || shutting_down_ || acceptor_.is_open()) {
    Fail(WireErrorCode::kCannotListen, "The transport listens or is closed.",
         reason);
    return std::nullopt;
  }
  if (!Bind(bind, reason) || !Advertise(advertise, reason)) {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    return std::nullopt;
  }
  AcceptNext();
  return shared_.self;
}

bool TransportState::Bind(const core::Address& bind, WireError* reason) {
  const std::optional<tcp::endpoint> endpoint = ParseEndpoint(bind, reason);
  if (!endpoint) return false;
  boost::system::error_code error;
  acceptor_.open(endpoint->protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error && shared_.limits.receive_buffer_bytes > 0) {
    // Accepted sockets inherit it. It must be set before the handshake, which
    // tells the peer how much it may send.
    boost::system::error_code ignored;
    acceptor_.set_option(tcp::socket::receive_buffer_size(static_cast<int>(
                             shared_.limits.receive_buffer_bytes)),
                         ignored);
  }
  if (!error) acceptor_.bind(*endpoint, error);
  if (!error) {
    acceptor_.listen(tcp::acceptor::max_listen_connections, error);
  }
  if (!error) return true;
  return Fail(WireErrorCode::kCannotListen,
              "Cannot listen at " + bind.value() + ": " + error.message(),
              reason);
}

bool TransportState::Advertise(const std::optional<core::Address>& advertise,
                               WireError* reason) {
  const tcp::endpoint bound = acceptor_.local_endpoint();
  tcp::endpoint told = bound;
  if (advertise) {
    const std::optional<tcp::endpoint> read = ParseEndpoint(*advertise, reason);
    if (!read) return false;
    told = *read;
    if (told.port() == 0) told.port(bound.port());
  }
  if (told.address().is_unspecified()) {
    return Fail(
        WireErrorCode::kBadAddress,
        "The others cannot reach this address: " + FormatEndpoint(told).value(),
        reason);
  }
  shared_.self.address = FormatEndpoint(told);
  return true;
}

void TransportState::AcceptNext() {
  acceptor_.async_accept(
      [held = weak_from_this()](const boost::system::error_code& error,
                                tcp::socket socket) {
        const std::shared_ptr<TransportState> state = held.lock();
        if (state) state->OnAccept(error, std::move(socket));
      });
}

void TransportState::AcceptLater() {
  accept_timer_.expires_after(kAcceptRetry);
  accept_timer_.async_wait(
      [held = weak_from_this()](const boost::system::error_code& error) {
        const std::shared_ptr<TransportState> state = held.lock();
        if (!error && state && state->acceptor_.is_open()) state->AcceptNext();
      });
}

void TransportState::OnAccept(const boost::system::error_code& error,
                              tcp::socket socket) {
  if (!acceptor_.is_open()) return;
  if (error) {
    log_.Warn("Cannot accept a connection.", {{"reason", error.message()}});
    return AcceptLater();
  }
  AcceptNext();
  if (!MakePlace()) {
    // The socket closes as it goes out of scope.
    ++shared_.counters.refused_connections;
    return;
  }
  ++shared_.counters.accepted;
  const std::shared_ptr<Connection> connection = std::make_shared<Connection>(
      io_, Role::kListener, core::NodeId(), &shared_, this);
  connections_.insert(connection);
  newcomers_.push_back(connection.get());
  connection->Accept(std::move(socket));
}

}  // namespace tarragon::wire
