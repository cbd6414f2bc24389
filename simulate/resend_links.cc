#include <algorithm>
#include <utility>
#include <variant>

#include "resend_state.h"

// Connections between entries and gates, which behave as those of
// wire::Transport: ordered streams that are dialled when a message needs one,
// greet with the incarnations of both sides, and end by a close, by silence or
// because another incarnation answers.

namespace tarragon::simulate {
namespace {

constexpr core::Duration kDelayLeast = microseconds(400);
constexpr core::Duration kDelayMost = microseconds(2500);
/// TCP sends lost segments again after a pause that doubles.
constexpr core::Duration kRetransmitMost = milliseconds(250);
constexpr core::Duration kConnectTimeout = milliseconds(400);
constexpr core::Duration kHandshakeTimeout = milliseconds(800);
constexpr core::Duration kUnacknowledgedTimeout = milliseconds(1500);

}  // namespace

std::vector<ConnectionPtr>& ResendWorld::ConnectionsBetween(ProcessIndex p,
                                                            ProcessIndex q) {
  return connections_[{std::min(p, q), std::max(p, q)}];
}

core::Time ResendWorld::CutEnd(ProcessIndex p, ProcessIndex q) const {
  const auto cut = cuts_.find({p, q});
  return cut == cuts_.end() ? now_ : std::max(now_, cut->second);
}

void ResendWorld::Send(ProcessIndex p, const core::NodeId& to,
                       Delivery delivery) {
  const std::optional<ProcessIndex> q = FindProcess(to.address);
  if (!q.has_value()) return;
  const bool any = to.incarnation == core::Incarnation();
  ConnectionPtr chosen;
  int side = 0;
  for (const ConnectionPtr& each : ConnectionsBetween(p, *q)) {
    const int mine = each->sides[0].process == p ? 0 : 1;
    const SimulatedConnection::Side& own = each->sides[mine];
    if (own.closed || own.life != processes_[p].life) continue;
    // A listening side is no connection before the greeting.
    if (mine == 1 && !own.open) continue;
    if (!any && own.peer != to) continue;
    if (chosen != nullptr && (chosen->sides[side].open || !own.open)) continue;
    chosen = each;
    side = mine;
  }
  if (chosen == nullptr) {
    chosen = Dial(p, *q, to);
    side = 0;
  }
  Transmit(chosen, side, std::move(delivery));
}

ConnectionPtr ResendWorld::Dial(ProcessIndex p, ProcessIndex q,
                                const core::NodeId& to) {
  ConnectionPtr connection = std::make_shared<SimulatedConnection>();
  connection->id = ++last_source_;
  connection->sides[0] = {p, processes_[p].life, to, false, false, {}, {}};
  connection->sides[1].process = q;
  connection->sides[1].closed = true;
  std::vector<ConnectionPtr>& all = ConnectionsBetween(p, q);
  std::erase_if(all, [](const ConnectionPtr& each) {
    return each->sides[0].closed && each->sides[1].closed &&
           each->sides[0].sent.empty() && each->sides[1].sent.empty();
  });
  all.push_back(connection);
  const bool unreachable =
      processes_[q].is_off || CutEnd(p, q) > now_ || CutEnd(q, p) > now_;
  if (unreachable) {
    BreakLater(connection, 0, kConnectTimeout);
    return connection;
  }
  After(dice_.Between(kDelayLeast, kDelayMost),
        [this, connection]() { Accept(connection); });
  return connection;
}

void ResendWorld::Accept(const ConnectionPtr& connection) {
  SimulatedConnection::Side& dialler = connection->sides[0];
  SimulatedConnection::Side& listener = connection->sides[1];
  const ProcessIndex q = listener.process;
  if (dialler.closed) return;
  if (!processes_[q].alive) {
    return BreakLater(connection, 0, dice_.Between(kDelayLeast, kDelayMost));
  }
  listener.closed = false;
  listener.life = processes_[q].life;
  After(kHandshakeTimeout, [this, connection]() {
    if (!connection->sides[0].open)
      BreakLater(connection, 0, core::Duration(0));
  });
  const core::NodeId from = processes_[dialler.process].node;
  SendSegment(connection, 0, [this, connection, from, q]() {
    const core::NodeId self = processes_[q].node;
    const core::NodeId wanted = connection->sides[0].peer;
    const bool is_wanted = wanted.incarnation == core::Incarnation() ||
                           wanted.incarnation == self.incarnation;
    SendSegment(connection, 1, [this, connection, self, is_wanted, wanted]() {
      if (is_wanted) return Open(connection, 0, self);
      const ProcessIndex p = connection->sides[0].process;
      CloseSide(connection, 0);
      DropPeer(p, wanted);
      RaiseGone(p, wanted);
    });
    if (is_wanted) {
      Open(connection, 1, from);
    } else {
      CloseSide(connection, 1);
    }
  });
}

void ResendWorld::Open(const ConnectionPtr& connection, int side,
                       const core::NodeId& peer) {
  SimulatedConnection::Side& own = connection->sides[side];
  if (own.closed) return;
  own.open = true;
  own.peer = peer;
  std::vector<Delivery> queued;
  queued.swap(own.queued);
  for (Delivery& each : queued) Transmit(connection, side, std::move(each));
  VerifyAddress(own.process, connection->sides[1 - side].process);
}

void ResendWorld::Transmit(const ConnectionPtr& connection, int side,
                           Delivery delivery) {
  SimulatedConnection::Side& own = connection->sides[side];
  if (!own.open) {
    own.queued.push_back(std::move(delivery));
    return;
  }
  SendSegment(
      connection, side, [connection, side, delivery = std::move(delivery)]() {
        const SimulatedConnection::Side& receiver = connection->sides[1 - side];
        if (receiver.open) delivery(receiver.process, receiver.peer);
      });
}

void ResendWorld::SendSegment(const ConnectionPtr& connection, int side,
                              std::function<void()> deliver) {
  SimulatedConnection::Side& own = connection->sides[side];
  if (own.aborted) return;
  core::Time ready = now_ + dice_.Between(kDelayLeast, kDelayMost);
  if (!own.sent.empty()) ready = std::max(ready, own.sent.back().ready_at);
  own.sent.push_back({ready, std::move(deliver)});
  After(ready - now_, [this, connection, side]() { Pump(connection, side); });
  CheckAcknowledged(connection, side);
}

void ResendWorld::Pump(const ConnectionPtr& connection, int side) {
  SimulatedConnection::Side& own = connection->sides[side];
  const SimulatedConnection::Side& receiver = connection->sides[1 - side];
  if (own.aborted || own.sent.empty() || own.sent.front().ready_at > now_) {
    return;
  }
  const core::Time cut_end = CutEnd(own.process, receiver.process);
  if (cut_end > now_) {
    const core::Time ready =
        cut_end + dice_.Between(core::Duration(0), kRetransmitMost);
    for (SimulatedConnection::Segment& each : own.sent) {
      each.ready_at = std::max(each.ready_at, ready);
    }
    After(ready - now_, [this, connection, side]() { Pump(connection, side); });
    return;
  }
  while (!own.sent.empty() && own.sent.front().ready_at <= now_) {
    const std::function<void()> deliver = std::move(own.sent.front().deliver);
    own.sent.pop_front();
    Arrive(receiver.process, receiver.life, connection->id,
           [this, connection, side, deliver]() {
             if (connection->sides[1 - side].closed) return;
             if (deliver) return deliver();
             BreakSide(connection, 1 - side);
           });
  }
  if (!own.sent.empty()) {
    After(own.sent.front().ready_at - now_,
          [this, connection, side]() { Pump(connection, side); });
  }
}

void ResendWorld::CheckAcknowledged(const ConnectionPtr& connection, int side) {
  const SimulatedConnection::Side& own = connection->sides[side];
  const ProcessIndex p = own.process;
  const ProcessIndex q = connection->sides[1 - side].process;
  const bool is_lost =
      CutEnd(p, q) > now_ || CutEnd(q, p) > now_ || processes_[q].is_off;
  if (!is_lost) return;
  After(kUnacknowledgedTimeout, [this, connection, side, p, q]() {
    const bool still_lost =
        CutEnd(p, q) > now_ || CutEnd(q, p) > now_ || processes_[q].is_off;
    SimulatedConnection::Side& sender = connection->sides[side];
    if (!still_lost || sender.closed || sender.aborted) return;
    sender.aborted = true;
    sender.sent.clear();
    BreakLater(connection, side, core::Duration(0));
  });
}

void ResendWorld::CloseSide(const ConnectionPtr& connection, int side) {
  SimulatedConnection::Side& own = connection->sides[side];
  if (own.closed) return;
  own.closed = true;
  own.open = false;
  own.queued.clear();
  SendSegment(connection, side, {});
}

void ResendWorld::BreakLater(const ConnectionPtr& connection, int side,
                             core::Duration delay) {
  After(delay, [this, connection, side]() {
    const SimulatedConnection::Side& own = connection->sides[side];
    Arrive(own.process, own.life, connection->id,
           [this, connection, side]() { BreakSide(connection, side); });
  });
}

void ResendWorld::BreakSide(const ConnectionPtr& connection, int side) {
  SimulatedConnection::Side& own = connection->sides[side];
  if (own.closed || own.life != processes_[own.process].life) return;
  const core::NodeId peer = own.peer;
  const bool known = side == 0 || own.open;
  CloseSide(connection, side);
  if (known) RaiseLost(own.process, peer);
}

void ResendWorld::VerifyAddress(ProcessIndex p, ProcessIndex q) {
  const std::uint64_t life = processes_[p].life;
  After(2 * kDelayMost, [this, p, q, life]() {
    if (!processes_[q].alive || processes_[q].frozen) return;
    if (CutEnd(p, q) > now_ || CutEnd(q, p) > now_) return;
    Arrive(p, life, ++last_source_, [this, p, q]() {
      std::vector<core::NodeId> gone;
      for (const ConnectionPtr& each : ConnectionsBetween(p, q)) {
        const int mine = each->sides[0].process == p ? 0 : 1;
        const SimulatedConnection::Side& own = each->sides[mine];
        if (own.closed || own.peer == processes_[q].node) continue;
        if (own.life != processes_[p].life || !own.open) continue;
        if (std::find(gone.begin(), gone.end(), own.peer) == gone.end()) {
          gone.push_back(own.peer);
        }
      }
      for (const core::NodeId& peer : gone) {
        DropPeer(p, peer);
        RaiseGone(p, peer);
      }
    });
  });
}

void ResendWorld::DropPeer(ProcessIndex p, const core::NodeId& peer) {
  const std::optional<ProcessIndex> q = FindProcess(peer.address);
  if (!q.has_value()) return;
  const std::vector<ConnectionPtr> all = ConnectionsBetween(p, *q);
  for (const ConnectionPtr& each : all) {
    const int mine = each->sides[0].process == p ? 0 : 1;
    const SimulatedConnection::Side& own = each->sides[mine];
    const bool any = peer.incarnation == core::Incarnation();
    if (own.life != processes_[p].life) continue;
    if (any || own.peer == peer) CloseSide(each, mine);
  }
}

void ResendWorld::RaiseLost(ProcessIndex p, const core::NodeId& peer) {
  Process& process = processes_[p];
  if (IsEntry(p)) {
    coordinator::OnGateDisconnected(process.entry.get(), ClockOf(p), peer);
  } else {
    coordinator::OnEntryDisconnected(process.gate.get(), ClockOf(p), peer);
  }
  Flush(p);
}

void ResendWorld::RaiseGone(ProcessIndex p, const core::NodeId& peer) {
  Process& process = processes_[p];
  if (IsEntry(p)) {
    coordinator::OnGateReplaced(process.entry.get(), ClockOf(p), peer);
  } else {
    coordinator::OnEntryReplaced(process.gate.get(), ClockOf(p), peer);
  }
  Flush(p);
}

void ResendWorld::CloseConnectionsOf(ProcessIndex p, bool power_loss) {
  for (auto& [pair, connections] : connections_) {
    if (pair.first != p && pair.second != p) continue;
    for (const ConnectionPtr& each : connections) {
      const int mine = each->sides[0].process == p ? 0 : 1;
      SimulatedConnection::Side& own = each->sides[mine];
      if (own.closed) continue;
      if (power_loss) {
        own.aborted = true;
        own.sent.clear();
      }
      CloseSide(each, mine);
    }
  }
}

void ResendWorld::ResetStaleConnections(ProcessIndex p) {
  for (auto& [pair, connections] : connections_) {
    if (pair.first != p && pair.second != p) continue;
    for (const ConnectionPtr& each : connections) {
      const int mine = each->sides[0].process == p ? 0 : 1;
      const int theirs = 1 - mine;
      const SimulatedConnection::Side& other = each->sides[theirs];
      if (!each->sides[mine].aborted || other.closed) continue;
      // The machine resets the connection when the peer sends again.
      BreakLater(each, theirs,
                 dice_.Between(milliseconds(1), milliseconds(400)));
    }
  }
}

}  // namespace tarragon::simulate
