#ifndef TARRAGON_DISPATCH_QUEUE_H_
#define TARRAGON_DISPATCH_QUEUE_H_

#include <optional>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/agent_board.h"

/// The home's queue of tasks that wait for a slot, fair among tenants and in
/// the order of arrival within a tenant.

namespace tarragon::dispatch {

/// A task at its home.
struct QueuedTask {
  core::JobKey key;
  core::TaskIndex task;
};

/// Puts a task into the queue. It is counted as queued from now on.
void Enqueue(AgentBoard* board, const HomeJob& job, core::TaskIndex task);

/// Takes a task out of the queue. False when it was not there.
bool Dequeue(AgentBoard* board, const HomeJob& job, core::TaskIndex task);

/// The task of `service` that is to be placed next, without taking it out.
/// Tasks that pause after a refusal are passed over.
std::optional<QueuedTask> NextQueued(const AgentBoard& board, core::Time now,
                                     const core::ServiceId& service);

/// The same for an executor that holds a slot ready: a pause after a refusal
/// has no use there.
std::optional<QueuedTask> NextPulled(const AgentBoard& board,
                                     const core::ServiceId& service);

/// How long the oldest waiting task of `service` has waited.
core::Duration OldestWait(const AgentBoard& board, core::Time now,
                          const core::ServiceId& service);

/// Waiting tasks of `service`.
std::uint32_t QueueSize(const AgentBoard& board,
                        const core::ServiceId& service);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_QUEUE_H_
