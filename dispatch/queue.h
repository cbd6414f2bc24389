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

/// A task at its home and its place among all that wait there; the lowest goes
/// first.
struct QueuedTask {
  core::JobKey key;
  core::TaskIndex task;
  core::ServiceId service;
  /// What the tenant runs for its weight; zero when that does not count.
  double weighted_load = 0;
  std::uint64_t job_number = 0;
};

/// Agents that take new jobs as homes, by the rule by which entries choose
/// them. At least 1.
std::uint32_t CountHomes(const AgentBoard& board);

/// Puts a task into the queue. It is counted as queued from now on.
void EnqueueTask(AgentBoard* board, const HomeJob& job, core::TaskIndex task);

/// Takes a task out of the queue. False when it was not there.
bool DequeueTask(AgentBoard* board, const HomeJob& job, core::TaskIndex task);

/// The task of `service` that is to be placed next, without taking it out. A
/// task that pauses after a refusal is passed over.
std::optional<QueuedTask> FindNextQueued(const AgentBoard& board,
                                         core::Time now,
                                         const core::ServiceId& service);

/// The task for an executor that asks, among all services that it offers and
/// the tasks that fit it. A pause after a refusal does not hold it back: the
/// executor has just kept a slot free.
std::optional<QueuedTask> FindNextForExecutor(const AgentBoard& board,
                                              const AgentStatus& executor);

/// True when `a` is to be placed before `b`.
bool HasPriorityOver(const QueuedTask& a, const QueuedTask& b);

/// What the task asks for is there.
bool HasResourcesFor(const AgentStatus& executor, const TaskSpec& spec);

/// How long the oldest waiting task of `service` has waited.
core::Duration OldestWaitTime(const AgentBoard& board, core::Time now,
                              const core::ServiceId& service);

/// Waiting tasks of `service`.
std::uint32_t QueueSize(const AgentBoard& board,
                        const core::ServiceId& service);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_QUEUE_H_
