#include "network.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "setup.h"

namespace tarragon::prove {
namespace {

constexpr core::Duration kLeastDelay = std::chrono::microseconds(200);
constexpr core::Duration kMostDelay = std::chrono::microseconds(1200);
constexpr core::Duration kWorkDelay = std::chrono::milliseconds(20);
constexpr std::uint64_t kWorkDelayPermille = 50;
constexpr core::Duration kConnectTimeout = std::chrono::seconds(2);
constexpr core::Duration kHandshakeTimeout = std::chrono::seconds(5);
constexpr core::Duration kLeastHold = std::chrono::milliseconds(500);
constexpr core::Duration kMostHold = std::chrono::seconds(10);
constexpr core::Duration kNoticeDelay = std::chrono::milliseconds(50);
constexpr core::Duration kDoubleDelay = std::chrono::seconds(3);
constexpr std::uint64_t kDoublePermille = 5;
constexpr core::Duration kLateDelay = std::chrono::milliseconds(500);
constexpr std::uint64_t kLatePermille = 3;
constexpr std::uint64_t kWorkStream = 1;

/// The stream on which the wire sends a message.
class StreamOf {
 public:
  std::uint64_t operator()(const dispatch::Permit&) const { return 0; }
  std::uint64_t operator()(const dispatch::Heartbeat&) const { return 0; }
  std::uint64_t operator()(const dispatch::EntryPing&) const { return 0; }
  std::uint64_t operator()(const dispatch::EntryPong&) const { return 0; }
  std::uint64_t operator()(const dispatch::Leaving&) const { return 0; }
  std::uint64_t operator()(const dispatch::HandoverAck&) const { return 0; }
  std::uint64_t operator()(const dispatch::Inherited&) const { return 0; }
  std::uint64_t operator()(const dispatch::Seal&) const { return 0; }
  std::uint64_t operator()(const dispatch::Want&) const { return 0; }
  std::uint64_t operator()(const dispatch::Pull&) const { return 0; }
  std::uint64_t operator()(const dispatch::PullEmpty&) const { return 0; }
  std::uint64_t operator()(const dispatch::LoadHint&) const { return 0; }
  std::uint64_t operator()(const dispatch::Refused&) const { return 0; }
  std::uint64_t operator()(const dispatch::Started&) const { return 0; }
  std::uint64_t operator()(const dispatch::Cancel&) const { return 0; }
  std::uint64_t operator()(const dispatch::FinishedAck&) const { return 0; }
  template <typename Other>
  std::uint64_t operator()(const Other&) const {
    return kWorkStream;
  }
};

core::Duration DelayOf(Setup* setup, std::uint64_t stream) {
  core::Duration delay = setup->random.Between(kLeastDelay, kMostDelay);
  const bool late =
      stream == kWorkStream && setup->random.Chance(kWorkDelayPermille);
  if (late) delay += setup->random.Between(core::Duration(0), kWorkDelay);
  return delay * setup->network.slowness;
}

Connection* FindConnection(Setup* setup, std::uint64_t id) {
  const auto found = setup->network.connections.find(id);
  return found == setup->network.connections.end() ? nullptr : &found->second;
}

void EraseConnection(Setup* setup, std::uint64_t id) {
  const auto found = setup->network.connections.find(id);
  setup->network.by_pair.erase({found->second.first, found->second.second});
  setup->network.connections.erase(found);
}

void Arrive(Setup* setup, std::uint64_t id, bool from_first,
            std::uint64_t stream, const dispatch::Message& message) {
  Connection* connection = FindConnection(setup, id);
  if (connection == nullptr) return;
  const ProcessLife& to = from_first ? connection->second : connection->first;
  if (IsCut(*setup, connection->first.process, connection->second.process)) {
    connection->held.push_back(HeldMessage{from_first, stream, message});
    return;
  }
  const std::uint64_t group = id * 4 + (from_first ? 2 : 0) + stream;
  const core::NodeId from =
      from_first ? connection->first_node : connection->second_node;
  DeliverMessage(setup, to, group, from, message);
}

/// The other side of a new connection must answer in time.
void WatchConnect(Setup* setup, std::uint64_t id, const ProcessLife& from,
                  const Process& to) {
  const bool cut = IsCut(*setup, from.process, to.index);
  if (!cut && !to.frozen) return;
  const core::Duration limit = cut ? kConnectTimeout : kHandshakeTimeout;
  const core::Time since = Now(*setup);
  const int peer = to.index;
  setup->scheduler.After(limit, [setup, id, from, peer, since, cut]() {
    const Connection* connection = FindConnection(setup, id);
    if (connection == nullptr) return;
    const Process& process = setup->processes[peer];
    const bool waits = cut ? IsCut(*setup, from.process, peer)
                           : process.frozen && process.thawed <= since;
    if (!waits) return;
    const core::NodeId node = process.node;
    EraseConnection(setup, id);
    DeliverPeerLost(setup, from, node);
  });
}

std::uint64_t Connect(Setup* setup, const ProcessLife& from,
                      const Process& to) {
  const ProcessLife other = LifeOf(to);
  const ProcessLife& first = std::min(from, other);
  const ProcessLife& second = std::max(from, other);
  const auto found = setup->network.by_pair.find({first, second});
  if (found != setup->network.by_pair.end()) return found->second;
  Connection connection;
  connection.id = setup->network.next_id++;
  connection.first = first;
  connection.second = second;
  connection.first_node = setup->processes[first.process].node;
  connection.second_node = setup->processes[second.process].node;
  const std::uint64_t id = connection.id;
  setup->network.by_pair[{first, second}] = id;
  setup->network.connections.emplace(id, std::move(connection));
  WatchConnect(setup, id, from, to);
  return id;
}

void SendOn(Setup* setup, std::uint64_t id, const ProcessLife& from,
            dispatch::Message message) {
  Connection* connection = FindConnection(setup, id);
  const bool from_first = connection->first == from;
  const std::uint64_t stream = std::visit(StreamOf(), message);
  core::Time& last = connection->last[from_first ? 1 : 0][stream];
  last =
      std::max(last + core::Duration(1), Now(*setup) + DelayOf(setup, stream));
  if (setup->options.harsh && setup->random.Chance(kDoublePermille)) {
    Count(setup, "network.doubled");
    const ProcessLife to = from_first ? connection->second : connection->first;
    const core::NodeId node =
        from_first ? connection->first_node : connection->second_node;
    const core::Duration delay =
        setup->random.Between(core::Duration(0), kDoubleDelay);
    setup->scheduler.After(delay, [setup, to, node, message]() {
      DeliverMessage(setup, to, setup->random.Next() >> 1, node, message);
    });
  }
  core::Time arrival = last;
  if (setup->options.harsh && setup->random.Chance(kLatePermille)) {
    // Two connections of one pair may exist for a while; streams then cross.
    Count(setup, "network.overtaken");
    arrival = last + setup->random.Between(core::Duration(0), kLateDelay);
  }
  setup->scheduler.At(
      arrival, [setup, id, from_first, stream, message = std::move(message)]() {
        Arrive(setup, id, from_first, stream, message);
      });
}

void LoseLater(Setup* setup, const ProcessLife& life, const core::NodeId& peer,
               core::Duration delay) {
  setup->scheduler.After(
      delay, [setup, life, peer]() { DeliverPeerLost(setup, life, peer); });
}

}  // namespace

void Send(Setup* setup, int from, const core::NodeId& to,
          dispatch::Message message) {
  const Process& sender = setup->processes[from];
  ObserveSent(setup, sender, message);
  const ProcessLife life = LifeOf(sender);
  const auto listener = setup->network.listeners.find(to.address);
  if (listener == setup->network.listeners.end()) {
    LoseLater(setup, life, to, kMostDelay);
    return;
  }
  const Process& receiver = setup->processes[listener->second];
  const bool known = to.incarnation == core::Incarnation(0) ||
                     to.incarnation == receiver.node.incarnation;
  if (known) {
    SendOn(setup, Connect(setup, life, receiver), life, std::move(message));
    return;
  }
  if (IsCut(*setup, from, receiver.index) || receiver.frozen) {
    LoseLater(setup, life, to, kConnectTimeout);
    return;
  }
  setup->scheduler.After(
      kMostDelay, [setup, life, to]() { DeliverPeerGone(setup, life, to); });
}

void BreakConnection(Setup* setup, std::uint64_t id) {
  const Connection* connection = FindConnection(setup, id);
  if (connection == nullptr) return;
  Count(setup, "network.broken");
  Note(setup, kNoJob, "break", connection->first.process,
       connection->second.process);
  const core::Duration zero(0);
  LoseLater(setup, connection->first, connection->second_node,
            setup->random.Between(zero, kNoticeDelay));
  LoseLater(setup, connection->second, connection->first_node,
            setup->random.Between(zero, kNoticeDelay));
  EraseConnection(setup, id);
}

void DropConnections(Setup* setup, const ProcessLife& life, bool abrupt) {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, connection] : setup->network.connections) {
    if (connection.first == life || connection.second == life) {
      ids.push_back(id);
    }
  }
  for (const std::uint64_t id : ids) {
    const Connection& connection = setup->network.connections.at(id);
    const bool first_ended = connection.first == life;
    const core::Duration notice =
        abrupt ? setup->random.Between(kLeastHold, kMostHold)
               : setup->random.Between(core::Duration(0), kNoticeDelay);
    LoseLater(setup, first_ended ? connection.second : connection.first,
              first_ended ? connection.first_node : connection.second_node,
              notice);
    EraseConnection(setup, id);
  }
}

bool IsCut(const Setup& setup, int a, int b) {
  return setup.network.cuts.count({std::min(a, b), std::max(a, b)}) > 0;
}

void CutPair(Setup* setup, int a, int b) {
  if (a == b) return;
  const std::pair<int, int> pair{std::min(a, b), std::max(a, b)};
  if (++setup->network.cuts[pair] > 1) return;
  for (const auto& [id, connection] : setup->network.connections) {
    const bool same = connection.first.process == pair.first &&
                      connection.second.process == pair.second;
    if (!same) continue;
    setup->scheduler.After(setup->random.Between(kLeastHold, kMostHold),
                           [setup, id = id, pair]() {
                             if (!IsCut(*setup, pair.first, pair.second)) {
                               return;
                             }
                             BreakConnection(setup, id);
                           });
  }
}

void HealPair(Setup* setup, int a, int b) {
  const std::pair<int, int> pair{std::min(a, b), std::max(a, b)};
  const auto cut = setup->network.cuts.find(pair);
  if (cut == setup->network.cuts.end()) return;
  if (--cut->second > 0) return;
  setup->network.cuts.erase(cut);
  for (const int process : {a, b}) {
    setup->processes[process].calm_since = Now(*setup);
  }
  std::vector<std::uint64_t> ids;
  for (const auto& [id, connection] : setup->network.connections) {
    const bool same = connection.first.process == pair.first &&
                      connection.second.process == pair.second;
    if (same) ids.push_back(id);
  }
  for (const std::uint64_t id : ids) {
    std::deque<HeldMessage> held;
    held.swap(setup->network.connections.at(id).held);
    for (const HeldMessage& message : held) {
      Arrive(setup, id, message.from_first, message.stream, message.message);
    }
  }
}

}  // namespace tarragon::prove
