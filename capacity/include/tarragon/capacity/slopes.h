#ifndef TARRAGON_CAPACITY_SLOPES_H_
#define TARRAGON_CAPACITY_SLOPES_H_

#include <string>
#include <vector>

#include "tarragon/capacity/fit.h"

/// Costs of the decisions and the codec, measured in processor time and bytes
/// in one process, without sockets.

namespace tarragon::capacity {

/// How one cost of one role grows.
struct Slope {
  std::string role;
  std::string cost;
  /// Units of the points, such as "members" and "us per heartbeat".
  std::string x_unit;
  std::string y_unit;
  std::vector<Point> points;
  /// The x at the size for which the system is planned.
  double planned = 0;
};

/// Heartbeats, ticks and fresh handles at an entry, by its members.
std::vector<Slope> EntrySlopes();
/// What an entry tells an agent of members, and the agent's cost of a permit.
std::vector<Slope> MemberSlopes();
/// Processor time, messages and bytes of jobs, by their tasks and the peers.
std::vector<Slope> TaskSlopes();
/// Bytes of the records at homes, executors and entries.
std::vector<Slope> MemorySlopes();
/// The state of the world: its size, its codec, and the cost of a note.
std::vector<Slope> WorldSlopes();

}  // namespace tarragon::capacity

#endif  // TARRAGON_CAPACITY_SLOPES_H_
