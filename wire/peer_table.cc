#include "peer_table.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace tarragon::wire {
namespace {

/// Messages change to another connection only when the present one was quiet
/// for so long that they can hardly overtake each other.
constexpr std::chrono::milliseconds kQuietTime(250);

}  // namespace

void PeerTable::Add(const core::NodeId& peer,
                    std::shared_ptr<Connection> connection) {
  peers_[peer].connections.push_back(std::move(connection));
}

void PeerTable::AddAlias(const core::Address& address,
                         const core::NodeId& node) {
  if (address != node.address) aliases_[address] = node;
}

void PeerTable::Remove(const core::NodeId& peer, const Connection* connection) {
  const std::map<core::NodeId, Peer>::iterator found = peers_.find(peer);
  if (found == peers_.end()) return;
  Peer& held = found->second;
  if (held.current == connection) held.current = nullptr;
  std::erase_if(held.connections,
                [connection](const std::shared_ptr<Connection>& other) {
                  return other.get() == connection;
                });
  if (!held.connections.empty()) return;
  peers_.erase(found);
  std::erase_if(
      aliases_,
      [&peer](const std::pair<const core::Address, core::NodeId>& alias) {
        return alias.second == peer;
      });
}

Connection* PeerTable::Choose(const core::NodeId& to) {
  if (to.incarnation == core::Incarnation()) return ChooseAt(to.address);
  const std::map<core::NodeId, Peer>::iterator found = peers_.find(to);
  return found == peers_.end() ? nullptr : ChooseOf(&found->second);
}

Connection* PeerTable::ChooseAt(const core::Address& address) {
  const std::map<core::Address, core::NodeId>::const_iterator alias =
      aliases_.find(address);
  if (alias != aliases_.end()) {
    Connection* chosen = Choose(alias->second);
    if (chosen != nullptr) return chosen;
  }
  // An incarnation that is known goes before a dial that is under way.
  Connection* chosen = nullptr;
  for (std::map<core::NodeId, Peer>::iterator peer =
           peers_.lower_bound({address, core::Incarnation()});
       peer != peers_.end() && peer->first.address == address; ++peer) {
    Connection* candidate = ChooseOf(&peer->second);
    if (candidate == nullptr) continue;
    if (chosen == nullptr || candidate->open()) chosen = candidate;
  }
  return chosen;
}

Connection* PeerTable::ChooseOf(Peer* peer) {
  Connection* current = peer->current;
  if (current != nullptr && !current->usable()) current = nullptr;
  Connection* preferred = Preferred(*peer);
  const bool stay =
      current != nullptr && (preferred == nullptr || !current->open() ||
                             !current->QuietFor(kQuietTime));
  peer->current = stay ? current : preferred;
  return peer->current;
}

Connection* PeerTable::Preferred(const Peer& peer) const {
  Connection* best = nullptr;
  for (const std::shared_ptr<Connection>& connection : peer.connections) {
    if (!connection->usable()) continue;
    const bool better = best == nullptr || connection->open() > best->open() ||
                        (connection->open() == best->open() &&
                         LowerDialled(*connection) >= LowerDialled(*best));
    if (better) best = connection.get();
  }
  return best;
}

bool PeerTable::LowerDialled(const Connection& connection) const {
  const bool self_is_lower = self_ < connection.peer();
  return self_is_lower == (connection.role() == Role::kDialler);
}

std::vector<std::shared_ptr<Connection>> PeerTable::Of(
    const core::NodeId& peer) const {
  const std::map<core::NodeId, Peer>::const_iterator found = peers_.find(peer);
  if (found == peers_.end()) return {};
  return found->second.connections;
}

std::vector<core::NodeId> PeerTable::OthersAt(const core::NodeId& node) const {
  std::vector<core::NodeId> others;
  for (std::map<core::NodeId, Peer>::const_iterator peer =
           peers_.lower_bound({node.address, core::Incarnation()});
       peer != peers_.end() && peer->first.address == node.address; ++peer) {
    const core::NodeId& other = peer->first;
    if (other.incarnation == core::Incarnation()) continue;
    if (other != node) others.push_back(other);
  }
  return others;
}

}  // namespace tarragon::wire
