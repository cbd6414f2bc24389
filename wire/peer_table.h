#ifndef TARRAGON_WIRE_PEER_TABLE_H_
#define TARRAGON_WIRE_PEER_TABLE_H_

#include <cstddef>
#include <map>
#include <memory>
#include <vector>

#include "connection.h"
#include "tarragon/core/ids.h"

namespace tarragon::wire {

/// The connections of a transport by the node at their other end. A pair has
/// more than one when both ends have dialled at once; messages then keep to one
/// of them as long as it is in use, and meet again on the same one afterwards.
class PeerTable {
 public:
  /// `self` is this process.
  explicit PeerTable(const core::NodeId& self) : self_(self) {}

  /// Adds a connection to `peer`. Its incarnation is zero while nobody has
  /// answered at the address.
  void Add(const core::NodeId& peer, std::shared_ptr<Connection> connection);

  /// Notes that whoever was wanted at `address` is `node`.
  void AddAlias(const core::Address& address, const core::NodeId& node);

  /// Removes a connection; a peer without connections is forgotten.
  void Remove(const core::NodeId& peer, const Connection* connection);

  /// The connection for the next message to `to`. Null if there is none.
  Connection* Choose(const core::NodeId& to);

  /// All connections to exactly this node.
  std::vector<std::shared_ptr<Connection>> Of(const core::NodeId& peer) const;

  /// The nodes other than `node` that are connected under its address and whose
  /// incarnation is known.
  std::vector<core::NodeId> OthersAt(const core::NodeId& node) const;

 private:
  struct Peer {
    /// Oldest first.
    std::vector<std::shared_ptr<Connection>> connections;
    /// The one that messages keep to; null if there is none.
    Connection* current = nullptr;
  };

  Connection* ChooseOf(Peer* peer);
  /// Where both ends agree to meet, if it is open.
  Connection* Preferred(const Peer& peer) const;
  Connection* ChooseAt(const core::Address& address);
  bool LowerDialled(const Connection& connection) const;

  const core::NodeId& self_;
  std::map<core::NodeId, Peer> peers_;
  std::map<core::Address, core::NodeId> aliases_;
};

}  // namespace tarragon::wire

#endif  // TARRAGON_WIRE_PEER_TABLE_H_
