#ifndef TARRAGON_DISPATCH_QUEUE_H_
#define TARRAGON_DISPATCH_QUEUE_H_

#include <cstdint>
#include <optional>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/agent_board.h"

/// The home's queue of tasks that wait for a slot, fair among tenants and in
/// the order of arrival within a tenant.

namespace tarragon::dispatch {

/// A waiting task and its position in the queue; the lowest goes first.
struct QueuedTask {
  core::JobKey key;
  core::TaskIndex task;
  core::ServiceId service;
  /// The tenant's running tasks divided by its weight; zero unless the order is
  /// kFair.
  double weighted_load = 0;
  std::uint64_t job_number = 0;
};

/// Number of agents that accept new jobs as homes, by the same rule by which
/// entries choose them. At least 1.
std::uint32_t CountHomes(const AgentBoard& board);

/// Adds a task to the queue and counts it for its tenant.
void EnqueueTask(AgentBoard* board, const HomeJob& job, core::TaskIndex task);

/// Removes a task from the queue. Returns false if it was not queued.
bool DequeueTask(AgentBoard* board, const HomeJob& job, core::TaskIndex task);

/// The task of `service` to be placed next; it stays in the queue. Tasks that
/// pause after a refusal are skipped.
std::optional<QueuedTask> FindNextQueued(const AgentBoard& board,
                                         core::Time now,
                                         const core::ServiceId& service);

/// The next task for an executor that sent a pull, among all its services and
/// the tasks that fit it. A pause after a refusal is ignored, since the
/// executor has reserved a slot.
std::optional<QueuedTask> FindNextForExecutor(const AgentBoard& board,
                                              const AgentStatus& executor);

/// True if `a` must be placed before `b`.
bool HasPriorityOver(const QueuedTask& a, const QueuedTask& b);

/// True if the executor's target has the cores and memory that the task asks
/// for.
bool HasResourcesFor(const AgentStatus& executor, const TaskSpec& spec);

/// Time that the oldest waiting task of `service` has waited, from the arrival
/// of its job.
core::Duration OldestWaitTime(const AgentBoard& board, core::Time now,
                              const core::ServiceId& service);

/// Number of waiting tasks of `service`.
std::uint32_t QueueSize(const AgentBoard& board,
                        const core::ServiceId& service);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_QUEUE_H_
