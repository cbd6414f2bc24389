#ifndef TARRAGON_CAPACITY_CLUSTER_H_
#define TARRAGON_CAPACITY_CLUSTER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/agent_board.h"
#include "tarragon/dispatch/entry_board.h"
#include "tarragon/dispatch/message.h"
#include "tarragon/dispatch/world.h"

namespace tarragon::capacity {

/// The moment at which every measurement begins.
inline constexpr core::Time kBegin{std::chrono::seconds(1000)};

/// The one service of the measurements.
core::ServiceId MeasuredService();
/// Node of the agent `index`.
core::NodeId AgentNode(std::size_t index);
/// Node of the entry that the measurements speak for.
core::NodeId EntryNode();
/// Status of an agent with a free target of 8 slots.
dispatch::AgentStatus MakeStatus(std::size_t index);
/// A world of so many items of each kind, with the last `notes` note ids.
dispatch::World MakeWorld(std::size_t services, std::size_t domains,
                          std::size_t tenants, std::size_t notes);
/// An entry that vouches for a world at `now` and has `members` members.
dispatch::EntryBoard MakeEntry(core::Time now, std::size_t members);
/// The heartbeat of agent `index` that knows everything but new members.
dispatch::Heartbeat MakeHeartbeat(std::size_t index,
                                  const dispatch::EntryBoard& entry,
                                  std::uint64_t sequence);

/// What one role spent.
struct Spent {
  double cpu_micros = 0;
  double messages_out = 0;
  double bytes_out = 0;
};

/// One home and executors with targets, joined through the codec.
struct Cluster {
  std::vector<dispatch::AgentBoard> boards;
  core::Time now = kBegin;
  Spent home;
  Spent executors;
  std::uint64_t next_job = 1;
};

/// A home, which has no target, and `executors` agents with `slots` slots.
Cluster MakeCluster(std::size_t executors, std::uint32_t slots);

/// Carries `jobs` jobs of `tasks` tasks through, batch after batch. With
/// `keep_running` the tasks are started and do not end.
void RunJobs(Cluster* cluster, std::size_t jobs, std::size_t tasks,
             bool keep_running);

/// Lets virtual time pass, with heartbeats and ticks.
void Pass(Cluster* cluster, core::Duration length);

}  // namespace tarragon::capacity

#endif  // TARRAGON_CAPACITY_CLUSTER_H_
