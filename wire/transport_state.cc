#include "transport_state.h"

#include <boost/asio/post.hpp>
#include <limits>
#include <utility>
#include <vector>

#include "endpoint.h"
#include "frame.h"

namespace tarragon::wire {
namespace {

/// Bytes that one read takes at most.
constexpr std::size_t kReadBytes = std::size_t{64} << 10;

/// True if `answered`, which answered in place of `wanted`, has its address.
bool ProvesGone(const core::NodeId& wanted, const core::NodeId& answered) {
  return wanted.incarnation != core::Incarnation() &&
         answered.address == wanted.address &&
         answered.incarnation != wanted.incarnation;
}

}  // namespace

TransportState::TransportState(boost::asio::io_context& io,
                               core::Incarnation self, TransportLimits limits,
                               TransportEvents events,
                               std::shared_ptr<core::MemoryQuota> quota)
    : io_(io),
      events_(std::move(events)),
      shared_{limits, {core::Address(), self}, {}, {}, {}, std::move(quota)},
      log_("wire"),
      acceptor_(io),
      accept_timer_(io),
      peers_(shared_.self) {
  shared_.input.resize(kReadBytes);
  if (shared_.quota) return;
  shared_.quota = std::make_shared<core::MemoryQuota>(
      std::numeric_limits<std::size_t>::max());
}

void TransportState::Send(const core::NodeId& to,
                          const dispatch::Message& message) {
  TransportCounters& counters = shared_.counters;
  if (closed_ || shutting_down_) {
    ++counters.dropped_messages;
    return;
  }
  Connection* connection = peers_.Choose(to);
  std::string frame = connection != nullptr ? connection->Encode(message)
                                            : EncodeFrame(message);
  const std::size_t bytes = frame.size();
  const bool fits = bytes >= kFrameHeaderBytes &&
                    bytes - kFrameHeaderBytes <= shared_.limits.max_frame_bytes;
  if (fits && connection == nullptr) connection = Dial(to);
  if (!fits || connection == nullptr) {
    if (!fits) {
      log_.Warn("Dropped a message that is too large.",
                {{"peer", core::ToString(to)},
                 {"message", dispatch::Name(message)},
                 {"bytes", bytes}});
    }
    ++counters.dropped_messages;
    return RaiseLost(to);
  }
  if (connection->queued_bytes() + bytes > shared_.limits.max_queued_bytes) {
    ++counters.dropped_messages;
    const core::NodeId peer = connection->peer();
    log_.Warn("Dropped a peer that reads too slowly.",
              {{"peer", core::ToString(peer)}});
    CloseAll(peer);
    return RaiseLost(peer);
  }
  Count(message, bytes, &sent_);
  connection->Send(ChannelOf(message), std::move(frame));
}

bool TransportState::MakePlace() {
  if (connections_.size() < shared_.limits.max_connections) return true;
  if (newcomers_.empty()) return false;
  ++shared_.counters.closed_for_place;
  Connection* newcomer = newcomers_.front();
  const core::NodeId peer = newcomer->peer();
  const bool known = newcomer->open();
  shared_.counters.dropped_messages += newcomer->queued_frames();
  newcomer->Close();
  Forget(newcomer);
  if (known) RaiseLost(peer);
  return true;
}

Connection* TransportState::Dial(const core::NodeId& to) {
  // A process that does not listen has no address to introduce itself with.
  if (shared_.self.address == core::Address()) return nullptr;
  const std::optional<boost::asio::ip::tcp::endpoint> endpoint =
      ParseEndpoint(to.address, nullptr);
  if (!endpoint) return nullptr;
  if (!MakePlace()) {
    ++shared_.counters.refused_connections;
    return nullptr;
  }
  ++shared_.counters.dialled;
  const std::shared_ptr<Connection> connection =
      std::make_shared<Connection>(io_, Role::kDialler, to, &shared_, this);
  connections_.insert(connection);
  peers_.Add(to, connection);
  connection->Dial(*endpoint);
  return connection.get();
}

void TransportState::Drop(const core::NodeId& peer) {
  if (peer.incarnation == core::Incarnation()) {
    for (const core::NodeId& node : peers_.OthersAt(peer)) CloseAll(node);
  }
  CloseAll(peer);
}

void TransportState::CloseAll(const core::NodeId& peer) {
  for (const std::shared_ptr<Connection>& connection : peers_.Of(peer)) {
    shared_.counters.dropped_messages += connection->queued_frames();
    connection->Close();
    Forget(connection.get());
  }
}

void TransportState::Forget(Connection* connection) {
  peers_.Remove(connection->peer(), connection);
  const bool unanswered =
      connection->role() == Role::kDialler && !connection->open();
  if (unanswered) verifying_.erase(connection->expects());
  newcomers_.remove(connection);
  connections_.erase(connection->shared_from_this());
  CheckDone();
}

void TransportState::OnOpen(Connection* connection) {
  const core::NodeId peer = connection->peer();
  if (connection->role() == Role::kListener) {
    peers_.Add(peer, connection->shared_from_this());
  } else if (connection->expects() != peer) {
    const std::shared_ptr<Connection> kept = connection->shared_from_this();
    peers_.Remove(connection->expects(), connection);
    peers_.Add(peer, kept);
    peers_.AddAlias(connection->expects().address, peer);
  }
  // The answer to a verification starts no other one.
  const bool verified =
      connection->role() == Role::kDialler && verifying_.erase(peer) != 0;
  if (!verified) VerifyAddress(peer);
}

void TransportState::VerifyAddress(const core::NodeId& node) {
  const std::vector<core::NodeId> others = peers_.OthersAt(node);
  if (others.empty() || shutting_down_) return;
  for (const core::NodeId& other : others) Verify(other);
  Verify(node);
}

void TransportState::Verify(const core::NodeId& node) {
  if (verifying_.count(node) != 0) return;
  if (Dial(node) != nullptr) verifying_.insert(node);
}

void TransportState::OnMessage(Connection* connection, Inbound inbound) {
  Count(inbound.message, inbound.bytes, &received_);
  if (!connection->has_delivered()) newcomers_.remove(connection);
  if (!events_.message) return;
  events_.message(connection->peer(), std::move(inbound.message));
}

void TransportState::OnEnd(Connection* connection, ConnectionEnd end,
                           const WireError& reason) {
  TransportCounters& counters = shared_.counters;
  const core::NodeId peer = connection->peer();
  const core::NodeId answered = connection->answered();
  const bool known = connection->role() == Role::kDialler || connection->open();
  counters.dropped_messages += connection->queued_frames();
  Forget(connection);
  bool lost = end != ConnectionEnd::kClosed;
  if (end == ConnectionEnd::kHandshakeTimeout) ++counters.handshake_timeouts;
  if (end == ConnectionEnd::kViolation) {
    ++counters.violations;
    if (reason.code != WireErrorCode::kProtocol) ++counters.refused_frames;
    log_.Warn("Closed a connection whose peer broke the protocol.",
              {{"peer", known ? core::ToString(peer) : "unknown"},
               {"reason", reason.detail}});
  }
  if (end == ConnectionEnd::kMisdirected && ProvesGone(peer, answered)) {
    CloseAll(peer);
    RaiseGone(peer);
    lost = false;
  }
  if (lost && known) {
    log_.Debug("Lost a peer.",
               {{"peer", core::ToString(peer)}, {"reason", reason.detail}});
    RaiseLost(peer);
  }
}

void TransportState::RaiseLost(const core::NodeId& peer) {
  ++shared_.counters.peers_lost;
  Raise(events_.peer_lost, peer);
}

void TransportState::RaiseGone(const core::NodeId& peer) {
  ++shared_.counters.peers_gone;
  log_.Info("Another incarnation answers at a peer's address.",
            {{"peer", core::ToString(peer)}});
  Raise(events_.peer_gone, peer);
}

void TransportState::Raise(std::function<void(const core::NodeId&)> event,
                           const core::NodeId& peer) {
  if (!event) return;
  boost::asio::post(io_,
                    [held = weak_from_this(), event = std::move(event), peer] {
                      const std::shared_ptr<TransportState> state = held.lock();
                      if (state && !state->closed_) event(peer);
                    });
}

void TransportState::Shutdown(std::function<void()> done) {
  if (closed_ || shutting_down_) return;
  shutting_down_ = true;
  done_ = std::move(done);
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  accept_timer_.cancel();
  const std::set<std::shared_ptr<Connection>> connections = connections_;
  for (const std::shared_ptr<Connection>& connection : connections) {
    const bool greeted =
        connection->open() || connection->role() == Role::kDialler;
    if (greeted) {
      connection->Drain();
      continue;
    }
    connection->Close();
    Forget(connection.get());
  }
  CheckDone();
}

void TransportState::CheckDone() {
  if (!shutting_down_ || closed_ || !done_ || !connections_.empty()) return;
  boost::asio::post(io_, std::exchange(done_, nullptr));
}

void TransportState::Close() {
  if (closed_) return;
  closed_ = true;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  accept_timer_.cancel();
  const std::set<std::shared_ptr<Connection>> connections = connections_;
  for (const std::shared_ptr<Connection>& connection : connections) {
    shared_.counters.dropped_messages += connection->queued_frames();
    connection->Close();
    Forget(connection.get());
  }
}

}  // namespace tarragon::wire
