#ifndef TARRAGON_PROVE_NETWORK_H_
#define TARRAGON_PROVE_NETWORK_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>

#include "process.h"
#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/message.h"

/// Connections between processes. Messages of one direction and stream keep
/// their order; streams cross; a break loses what is under way.

namespace tarragon::prove {

/// A message that waits for the end of a partition.
struct HeldMessage {
  bool from_first = false;
  std::uint64_t stream = 0;
  dispatch::Message message;
};

struct Connection {
  std::uint64_t id = 0;
  ProcessLife first;
  ProcessLife second;
  core::NodeId first_node;
  core::NodeId second_node;
  /// Latest arrival by direction and stream.
  core::Time last[2][2];
  std::deque<HeldMessage> held;
};

struct Network {
  std::map<std::uint64_t, Connection> connections;
  std::map<std::pair<ProcessLife, ProcessLife>, std::uint64_t> by_pair;
  std::uint64_t next_id = 1;
  std::map<core::Address, int> listeners;
  /// Pairs of processes that cannot reach each other, with the number of
  /// faults that cut them.
  std::map<std::pair<int, int>, int> cuts;
  /// Messages take this many times longer.
  std::int64_t slowness = 1;
};

void Send(Setup* setup, int from, const core::NodeId& to,
          dispatch::Message message);

/// Breaks one connection; both sides learn of it, each in its own time.
void BreakConnection(Setup* setup, std::uint64_t id);
/// Drops all connections of a process that has ended.
void DropConnections(Setup* setup, const ProcessLife& life, bool abrupt);

bool IsCut(const Setup& setup, int a, int b);
void CutPair(Setup* setup, int a, int b);
void HealPair(Setup* setup, int a, int b);

}  // namespace tarragon::prove

#endif  // TARRAGON_PROVE_NETWORK_H_
