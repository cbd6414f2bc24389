#ifndef TARRAGON_DISPATCH_PLACEMENT_H_
#define TARRAGON_DISPATCH_PLACEMENT_H_

#include <optional>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/agent_board.h"

/// Where waiting tasks go: to an executor that is believed free, or to one that
/// asks.

namespace tarragon::dispatch {

/// The agent's target offers the service.
bool OffersService(const AgentStatus& status, const core::ServiceId& service);

/// The domain is known and in service.
bool IsDomainInService(const World& world, const core::DomainId& domain);

/// Slots of `peer` that this home believes free: the last load heard, less
/// what was sent since.
std::uint32_t EstimateFreeSlots(const AgentBoard& board, core::Time now,
                                const core::NodeId& node, const Peer& peer);

/// Takes in a load heard from `executor` itself.
void UpdatePeerLoad(AgentBoard* board, core::Time now,
                    const core::NodeId& executor, const Load& load);

/// Tells the executors that were told of waiting tasks of `service` that none
/// waits any more.
void RetractWants(AgentBoard* board, const core::ServiceId& service);

/// Places waiting tasks as far as executors are believed free, and tells
/// executors if some must wait on.
void PlaceWaitingTasks(AgentBoard* board, core::Time now);

/// Records the placement of a queued task at `executor` and returns what to
/// send.
Assign PlaceTask(AgentBoard* board, core::Time now, const core::JobKey& key,
                 core::TaskIndex task, const core::NodeId& executor);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_PLACEMENT_H_
