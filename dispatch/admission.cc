#include "admission.h"

#include <algorithm>

#include "executor.h"
#include "placement.h"
#include "queue.h"

namespace tarragon::dispatch {
namespace {

constexpr core::Duration kNoTargetPause = std::chrono::seconds(1);
constexpr core::Duration kTenantPause = std::chrono::milliseconds(500);
constexpr core::Duration kMinRetryPause = std::chrono::milliseconds(100);
/// Runs of a service that are needed to estimate its usual run time.
constexpr std::uint64_t kMinRuns = 20;
/// Recent runs at other executors that are needed for a comparison.
constexpr std::ptrdiff_t kMinEndsElsewhere = 10;

/// Capacity of all known agents for one service.
struct Capacity {
  std::uint32_t offering = 0;    // Agents that offer the service.
  std::uint32_t usable = 0;      // Of these, in service and not leaving.
  std::uint32_t slots = 0;       // Slots of the usable agents.
  std::uint32_t free_slots = 0;  // Estimate of their free slots.
  std::uint32_t homes = 0;       // Agents that accept new jobs as homes.
  std::uint32_t max_cores = 0;
  std::uint32_t max_memory_mb = 0;
};

Capacity ComputeCapacity(const AgentBoard& board, core::Time now,
                         const core::ServiceId& service) {
  Capacity capacity;
  for (const auto& [node, peer] : board.peers) {
    const AgentStatus& status = peer.status;
    if (!OffersService(status, service)) continue;
    ++capacity.offering;
    capacity.max_cores = std::max(capacity.max_cores, status.cores);
    capacity.max_memory_mb = std::max(capacity.max_memory_mb, status.memory_mb);
    if (status.leaving || !IsDomainInService(board.world, status.domain)) {
      continue;
    }
    ++capacity.usable;
    capacity.slots += status.load.slots;
    capacity.free_slots += EstimateFreeSlots(board, now, node, peer);
  }
  capacity.homes = CountHomes(board);
  return capacity;
}

std::optional<Refusal> CheckSize(const JobSpec& spec, const Service& service,
                                 const Capacity& capacity) {
  for (std::size_t i = 0; i < spec.tasks.size(); ++i) {
    const TaskSpec& task = spec.tasks[i];
    const std::string name = "Task " + std::to_string(i);
    if (task.cores > service.max_cores ||
        task.memory_mb > service.max_memory_mb) {
      return Refusal{
          Reason::kTooLarge,
          name + " asks for more cores or memory than the service allows.",
          core::Duration(0)};
    }
    if (task.cores > capacity.max_cores ||
        task.memory_mb > capacity.max_memory_mb) {
      return Refusal{
          Reason::kTooLarge,
          name + " asks for more cores or memory than any target has.",
          core::Duration(0)};
    }
  }
  return std::nullopt;
}

std::optional<Refusal> CheckTenantLimit(const AgentBoard& board,
                                        const JobSpec& spec,
                                        const Capacity& capacity) {
  const auto limit = board.world.tenants.find(spec.tenant);
  if (limit == board.world.tenants.end()) return std::nullopt;
  const std::uint32_t max_queued = limit->second.max_queued;
  if (max_queued == 0) return std::nullopt;
  if (spec.tasks.size() > max_queued) {
    return Refusal{Reason::kTenantLimit,
                   "The job has more tasks than the tenant may queue.",
                   core::Duration(0)};
  }
  const auto queued = board.queued_tasks_by_tenant.find(spec.tenant);
  if (queued == board.queued_tasks_by_tenant.end()) return std::nullopt;
  const std::uint32_t homes = std::max(1U, capacity.homes);
  const std::uint32_t share = (max_queued + homes - 1) / homes;
  if (queued->second + spec.tasks.size() <= share) return std::nullopt;
  return Refusal{Reason::kTenantLimit, "The tenant's queue is full.",
                 kTenantPause};
}

/// Shortest recent run time of `service`; zero if no task has succeeded
/// recently.
core::Duration ShortestRecentRun(const AgentBoard& board, core::Time now,
                                 const core::ServiceId& service) {
  const auto queue = board.service_queues.find(service);
  if (queue == board.service_queues.end()) return core::Duration(0);
  const bool measured =
      now - queue->second.last_measured_at <= board.policy.run_time_validity;
  return measured ? queue->second.shortest_run : core::Duration(0);
}

/// Estimated time until the last of the tasks that wait here now would start.
core::Duration EstimateWait(const AgentBoard& board, core::Time now,
                            const JobSpec& spec, const Capacity& capacity) {
  const std::uint32_t ahead = QueueSize(board, spec.service);
  if (ahead == 0) return core::Duration(0);
  const std::uint32_t homes = std::max(1U, capacity.homes);
  const double share =
      std::max(1.0, static_cast<double>(capacity.slots) / homes);
  const double run =
      static_cast<double>(ExpectedRunTime(board, now, spec.service).count());
  const core::Duration by_queue(static_cast<std::int64_t>(ahead * run / share));
  return std::max(by_queue, OldestWaitTime(board, now, spec.service));
}

std::optional<Refusal> CheckLoad(const AgentBoard& board, core::Time now,
                                 const JobSpec& spec,
                                 const Capacity& capacity) {
  if (QueueSize(board, spec.service) + spec.tasks.size() >
      board.policy.max_home_queue) {
    return Refusal{Reason::kOverload, "The queue is full.", kTenantPause};
  }
  const core::Duration wait = EstimateWait(board, now, spec, capacity);
  if (wait > board.policy.max_queue_delay) {
    return Refusal{
        Reason::kOverload, "The estimated wait for a slot is too long.",
        std::max(kMinRetryPause, wait - board.policy.max_queue_delay)};
  }
  if (wait + ShortestRecentRun(board, now, spec.service) > spec.time_left) {
    return Refusal{Reason::kOverload, "The deadline cannot be met.",
                   std::max(kMinRetryPause, wait)};
  }
  return std::nullopt;
}

std::uint64_t PayloadBytes(const JobSpec& spec) {
  std::uint64_t bytes = 0;
  for (const TaskSpec& task : spec.tasks) bytes += task.payload.size();
  return bytes;
}

}  // namespace

core::Duration ExpectedRunTime(const AgentBoard& board, core::Time now,
                               const core::ServiceId& service) {
  const auto queue = board.service_queues.find(service);
  if (queue == board.service_queues.end()) return board.policy.assumed_run_time;
  const ServiceQueue& known = queue->second;
  const bool measured =
      known.mean_run.count() > 0 &&
      now - known.last_measured_at <= board.policy.run_time_validity;
  return measured ? known.mean_run : board.policy.assumed_run_time;
}

core::Duration UsualRunTime(const AgentBoard& board, core::Time now,
                            const core::ServiceId& service,
                            const core::NodeId& executor) {
  const auto queue = board.service_queues.find(service);
  if (queue == board.service_queues.end()) return core::Duration(0);
  const ServiceQueue& known = queue->second;
  const core::Time since = now - board.policy.run_time_validity;
  const std::ptrdiff_t elsewhere =
      std::count_if(known.recent_ends.begin(), known.recent_ends.end(),
                    [&executor, since](const auto& end) {
                      return end.first >= since && end.second != executor;
                    });
  const bool comparable =
      known.measured_runs >= kMinRuns && elsewhere >= kMinEndsElsewhere;
  return comparable ? known.usual_run : core::Duration(0);
}

std::optional<Refusal> CheckAdmission(const AgentBoard& board, core::Time now,
                                      const JobSpec& spec) {
  const auto service = board.world.services.find(spec.service);
  if (service == board.world.services.end()) {
    return Refusal{Reason::kUnknownService,
                   "The release note in force does not have the service.",
                   core::Duration(0)};
  }
  if (now >= board.permit_until) {
    return Refusal{
        Reason::kStaleView,
        "No valid permit: no entry confirms the release note in force.",
        kNoTargetPause};
  }
  const Capacity capacity = ComputeCapacity(board, now, spec.service);
  if (capacity.offering == 0) {
    return Refusal{Reason::kNoTarget, "No target announces the service.",
                   kNoTargetPause};
  }
  std::optional<Refusal> refusal = CheckSize(spec, service->second, capacity);
  if (refusal.has_value()) return refusal;
  if (capacity.usable == 0) {
    return Refusal{Reason::kDomainOut,
                   "All targets of the service are leaving or out of service.",
                   kNoTargetPause};
  }
  // Records of ended jobs do not count, since the next tick drops the oldest
  // ones to make room.
  const std::uint64_t needed =
      board.bytes_held - board.ended_job_bytes + PayloadBytes(spec);
  if (needed > board.policy.max_home_bytes) {
    return Refusal{Reason::kOverload, "The home's memory limit is reached.",
                   kTenantPause};
  }
  refusal = CheckTenantLimit(board, spec, capacity);
  if (refusal.has_value()) return refusal;
  return CheckLoad(board, now, spec, capacity);
}

}  // namespace tarragon::dispatch
