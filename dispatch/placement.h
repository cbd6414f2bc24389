#ifndef TARRAGON_DISPATCH_PLACEMENT_H_
#define TARRAGON_DISPATCH_PLACEMENT_H_

#include <optional>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/agent_board.h"

/// Placement of waiting tasks: at an executor that probably has a free slot, or
/// at one that sent a pull.

namespace tarragon::dispatch {

/// True if the agent's target offers the service.
bool OffersService(const AgentStatus& status, const core::ServiceId& service);

/// True if the domain is known and in service.
bool IsDomainInService(const World& world, const core::DomainId& domain);

/// Estimate of the free slots of `peer`: the last reported number less the
/// assignments that were sent and not yet counted in the report.
std::uint32_t EstimateFreeSlots(const AgentBoard& board, core::Time now,
                                const core::NodeId& node, const Peer& peer);

/// Records a load that `executor` itself reported, unless a newer one is known.
void UpdatePeerLoad(AgentBoard* board, core::Time now,
                    const core::NodeId& executor, const Load& load);

/// If no task of `service` waits, notifies the executors that were told of
/// waiting tasks.
void RetractWants(AgentBoard* board, const core::ServiceId& service);

/// Places waiting tasks at executors that probably have a free slot, and
/// notifies executors of the tasks that remain.
void PlaceWaitingTasks(AgentBoard* board, core::Time now);

/// Removes a task from the queue, records its placement at `executor` and
/// returns the assignment to send.
Assign PlaceTask(AgentBoard* board, core::Time now, const core::JobKey& key,
                 core::TaskIndex task, const core::NodeId& executor);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_PLACEMENT_H_
