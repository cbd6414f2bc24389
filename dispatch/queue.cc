#include "queue.h"

#include <algorithm>

namespace tarragon::dispatch {
namespace {

/// This home's share of a system-wide limit, rounded up.
std::uint32_t HomeShareOfLimit(const AgentBoard& board, std::uint32_t limit) {
  const std::uint32_t homes = CountHomes(board);
  return (limit + homes - 1) / homes;
}

bool IsBelowRunningLimit(const AgentBoard& board,
                         const core::TenantId& tenant) {
  const auto limit = board.world.tenants.find(tenant);
  if (limit == board.world.tenants.end()) return true;
  if (limit->second.max_running == 0) return true;
  const auto running = board.running_tasks_by_tenant.find(tenant);
  if (running == board.running_tasks_by_tenant.end()) return true;
  return running->second < HomeShareOfLimit(board, limit->second.max_running);
}

/// Number of running tasks of the tenant divided by its weight.
double WeightedTenantLoad(const AgentBoard& board,
                          const core::TenantId& tenant) {
  const auto running = board.running_tasks_by_tenant.find(tenant);
  if (running == board.running_tasks_by_tenant.end()) return 0;
  const auto limit = board.world.tenants.find(tenant);
  const std::uint32_t weight =
      limit == board.world.tenants.end() ? 1 : limit->second.weight;
  return static_cast<double>(running->second) / std::max(1U, weight);
}

/// The first task of one tenant whose pause is over and that fits `executor`,
/// unless that is null.
std::optional<QueuedTask> FindFirstReady(const AgentBoard& board,
                                         core::Time now,
                                         const TenantQueue& queue,
                                         const AgentStatus* executor) {
  for (const auto& [position, key] : queue) {
    const HomeJob& job = board.jobs.at(key);
    const HomeTask& task = job.tasks[position.task.value()];
    if (task.not_before > now) continue;
    if (executor != nullptr && !HasResourcesFor(*executor, task.spec)) continue;
    QueuedTask ready;
    ready.key = key;
    ready.task = position.task;
    ready.service = job.spec.service;
    ready.job_number = position.job_number;
    if (board.policy.order == QueueOrder::kFair) {
      ready.weighted_load = WeightedTenantLoad(board, job.spec.tenant);
    }
    return ready;
  }
  return std::nullopt;
}

std::optional<QueuedTask> FindNext(const AgentBoard& board, core::Time now,
                                   const core::ServiceId& service,
                                   const AgentStatus* executor) {
  const auto queue = board.service_queues.find(service);
  if (queue == board.service_queues.end()) return std::nullopt;
  std::optional<QueuedTask> best;
  for (const auto& [tenant, tasks] : queue->second.tenants) {
    if (!IsBelowRunningLimit(board, tenant)) continue;
    const std::optional<QueuedTask> first =
        FindFirstReady(board, now, tasks, executor);
    if (!first.has_value()) continue;
    if (!best.has_value() || HasPriorityOver(*first, *best)) best = first;
  }
  return best;
}

}  // namespace

std::uint32_t CountHomes(const AgentBoard& board) {
  std::uint32_t staying = 0;
  for (const auto& [node, peer] : board.peers) {
    if (!peer.status.leaving) ++staying;
  }
  const std::uint32_t wanted =
      std::max(board.policy.min_homes, staying / board.policy.agents_per_home);
  return std::clamp(wanted, 1U, std::max(1U, staying));
}

void EnqueueTask(AgentBoard* board, const HomeJob& job, core::TaskIndex task) {
  ServiceQueue& queue = board->service_queues[job.spec.service];
  queue.tenants[job.spec.tenant][{job.arrival_number, task}] = job.spec.key;
  ++queue.size;
  ++board->queued_tasks_by_tenant[job.spec.tenant];
}

bool DequeueTask(AgentBoard* board, const HomeJob& job, core::TaskIndex task) {
  ServiceQueue& queue = board->service_queues[job.spec.service];
  const auto tenant = queue.tenants.find(job.spec.tenant);
  if (tenant == queue.tenants.end()) return false;
  if (tenant->second.erase({job.arrival_number, task}) == 0) return false;
  if (tenant->second.empty()) queue.tenants.erase(tenant);
  --queue.size;
  const auto queued = board->queued_tasks_by_tenant.find(job.spec.tenant);
  if (--queued->second == 0) board->queued_tasks_by_tenant.erase(queued);
  return true;
}

std::optional<QueuedTask> FindNextQueued(const AgentBoard& board,
                                         core::Time now,
                                         const core::ServiceId& service) {
  return FindNext(board, now, service, nullptr);
}

std::optional<QueuedTask> FindNextForExecutor(const AgentBoard& board,
                                              const AgentStatus& executor) {
  std::optional<QueuedTask> best;
  for (const core::ServiceId& service : executor.services) {
    const std::optional<QueuedTask> next =
        FindNext(board, core::kNever, service, &executor);
    if (!next.has_value()) continue;
    if (!best.has_value() || HasPriorityOver(*next, *best)) best = next;
  }
  return best;
}

bool HasPriorityOver(const QueuedTask& a, const QueuedTask& b) {
  if (a.weighted_load != b.weighted_load) {
    return a.weighted_load < b.weighted_load;
  }
  if (a.job_number != b.job_number) return a.job_number < b.job_number;
  return a.task < b.task;
}

bool HasResourcesFor(const AgentStatus& executor, const TaskSpec& spec) {
  return spec.cores <= executor.cores && spec.memory_mb <= executor.memory_mb;
}

core::Duration OldestWaitTime(const AgentBoard& board, core::Time now,
                              const core::ServiceId& service) {
  const auto queue = board.service_queues.find(service);
  if (queue == board.service_queues.end()) return core::Duration(0);
  core::Time oldest = now;
  for (const auto& [tenant, tasks] : queue->second.tenants) {
    const HomeJob& job = board.jobs.at(tasks.begin()->second);
    oldest = std::min(oldest, job.arrived_at);
  }
  return now - oldest;
}

std::uint32_t QueueSize(const AgentBoard& board,
                        const core::ServiceId& service) {
  const auto queue = board.service_queues.find(service);
  return queue == board.service_queues.end() ? 0 : queue->second.size;
}

}  // namespace tarragon::dispatch
