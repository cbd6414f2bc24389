#include "placement.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "admission.h"
#include "executor.h"
#include "home.h"
#include "outbox.h"
#include "queue.h"

namespace tarragon::dispatch {
namespace {

/// An executor whose load report is outdated is assumed to have at least 1/4 of
/// its slots free, and at least one. Otherwise a small target that was full
/// once would never be tried again.
constexpr std::uint32_t kAssumedFreeDivisor = 4;
/// Preference for the own target and the own domain, added to the share of free
/// slots.
constexpr double kOwnTargetBonus = 0.02;
constexpr double kOwnDomainBonus = 0.01;
/// Breaks ties at random, so that homes do not all choose the same executor.
constexpr double kJitter = 0.005;
constexpr int kPermille = 1000;
/// A task is sealed after this many expected run times without a report, but
/// not before `seal_after`.
constexpr int kExpectedRunsUntilSeal = 4;

bool IsEligible(const AgentBoard& board, core::Time now, const Peer& peer,
                const core::ServiceId& service) {
  const AgentStatus& status = peer.status;
  return OffersService(status, service) && !status.leaving &&
         IsDomainInService(board.world, status.domain) &&
         peer.avoid_until <= now;
}

double RandomJitter(AgentBoard* board) {
  return std::uniform_real_distribution<double>(0, kJitter)(board->random);
}

double ScoreExecutor(AgentBoard* board, core::Time now,
                     const core::NodeId& node, const Peer& peer) {
  const std::uint32_t slots = std::max(1U, peer.status.load.slots);
  double score =
      static_cast<double>(EstimateFreeSlots(*board, now, node, peer)) /
          static_cast<double>(slots) +
      RandomJitter(board);
  if (node == board->self) score += kOwnTargetBonus;
  if (peer.status.domain == board->domain) score += kOwnDomainBonus;
  return score;
}

std::optional<core::NodeId> ChooseRandom(AgentBoard* board, core::Time now,
                                         const core::ServiceId& service,
                                         const TaskSpec& spec) {
  std::vector<core::NodeId> eligible;
  for (const auto& [node, peer] : board->peers) {
    if (!IsEligible(*board, now, peer, service)) continue;
    if (HasResourcesFor(peer.status, spec)) eligible.push_back(node);
  }
  if (eligible.empty()) return std::nullopt;
  std::uniform_int_distribution<std::size_t> any(0, eligible.size() - 1);
  return eligible[any(board->random)];
}

std::optional<core::NodeId> ChooseLeastLoaded(AgentBoard* board, core::Time now,
                                              const core::ServiceId& service,
                                              const TaskSpec& spec) {
  std::optional<core::NodeId> best;
  double best_score = 0;
  for (const auto& [node, peer] : board->peers) {
    if (!IsEligible(*board, now, peer, service)) continue;
    if (!HasResourcesFor(peer.status, spec)) continue;
    // Without late binding no executor sends a pull for a task that waits here,
    // so full executors are eligible as well.
    const bool full = EstimateFreeSlots(*board, now, node, peer) == 0;
    if (full && board->policy.late_binding) continue;
    const double score = ScoreExecutor(board, now, node, peer);
    if (best.has_value() && score <= best_score) continue;
    best = node;
    best_score = score;
  }
  return best;
}

std::optional<core::NodeId> ChooseExecutor(AgentBoard* board, core::Time now,
                                           const core::ServiceId& service,
                                           const TaskSpec& spec) {
  if (board->policy.placement == PlacementStrategy::kRandom) {
    return ChooseRandom(board, now, service, spec);
  }
  return ChooseLeastLoaded(board, now, service, spec);
}

/// Takes one retry from the budget unless this is the task's first placement.
/// Returns false if the budget is used up.
bool TrySpendRetry(AgentBoard* board, const HomeTask& task) {
  if (task.placements == 0) return true;
  if (board->retry_tokens < 1) return false;
  board->retry_tokens -= 1;
  ++board->counters.retries;
  return true;
}

/// Notifies executors that tasks of `service` wait here.
void SendWants(AgentBoard* board, core::Time now,
               const core::ServiceId& service) {
  ServiceQueue& queue = board->service_queues[service];
  std::uint32_t notified =
      static_cast<std::uint32_t>(queue.notified_executors.size());
  const core::Duration oldest = OldestWaitTime(*board, now, service);
  for (const auto& [node, peer] : board->peers) {
    if (notified >= board->policy.want_fanout) return;
    if (queue.notified_executors.count(node) > 0) continue;
    if (!IsEligible(*board, now, peer, service)) continue;
    queue.notified_executors.insert(node);
    ++notified;
    Post(board, node, Want{service, queue.size, oldest});
  }
}

/// The task with the highest priority among the services that are not blocked.
std::optional<QueuedTask> FindNextToPlace(
    const AgentBoard& board, core::Time now,
    const std::set<core::ServiceId>& blocked) {
  std::optional<QueuedTask> best;
  for (const auto& [service, queue] : board.service_queues) {
    if (queue.size == 0 || blocked.count(service) > 0) continue;
    const std::optional<QueuedTask> next = FindNextQueued(board, now, service);
    if (!next.has_value()) continue;
    if (!best.has_value() || HasPriorityOver(*next, *best)) best = next;
  }
  return best;
}

/// Notifies executors of the services that have waiting tasks, and of those
/// that have none any more.
void UpdateWants(AgentBoard* board, core::Time now) {
  std::vector<core::ServiceId> services;
  for (const auto& [service, queue] : board->service_queues) {
    services.push_back(service);
  }
  for (const core::ServiceId& service : services) {
    if (QueueSize(*board, service) == 0) {
      RetractWants(board, service);
    } else if (board->policy.late_binding) {
      SendWants(board, now, service);
    }
  }
}

}  // namespace

bool OffersService(const AgentStatus& status, const core::ServiceId& service) {
  return std::find(status.services.begin(), status.services.end(), service) !=
         status.services.end();
}

bool IsDomainInService(const World& world, const core::DomainId& domain) {
  const auto found = world.domains.find(domain);
  return found != world.domains.end() && found->second.in_service;
}

std::uint32_t EstimateFreeSlots(const AgentBoard& board, core::Time now,
                                const core::NodeId& node, const Peer& peer) {
  if (node == board.self) {
    // Tasks that were placed here during the current event are not counted as
    // running yet.
    const auto reported = board.reported_loads.find(node);
    const std::uint64_t seen = reported == board.reported_loads.end()
                                   ? 0
                                   : reported->second.assigns_seen;
    const std::uint64_t unseen = peer.assigns_sent - seen;
    const std::uint32_t free = FreeSlots(board, now);
    return unseen >= free ? 0 : free - static_cast<std::uint32_t>(unseen);
  }
  const Load& load = peer.status.load;
  if (now - peer.load_received_at > board.policy.hint_recipient_timeout) {
    return std::max({load.free_slots, 1U, load.slots / kAssumedFreeDivisor});
  }
  const std::uint64_t unseen = peer.assigns_sent > load.assigns_seen
                                   ? peer.assigns_sent - load.assigns_seen
                                   : 0;
  return unseen >= load.free_slots
             ? 0
             : load.free_slots - static_cast<std::uint32_t>(unseen);
}

void UpdatePeerLoad(AgentBoard* board, core::Time now,
                    const core::NodeId& executor, const Load& load) {
  const auto found = board->peers.find(executor);
  if (found == board->peers.end()) return;
  Peer& peer = found->second;
  if (load.sequence <= peer.status.load.sequence) return;
  peer.status.load = load;
  peer.load_received_at = now;
  peer.assigns_sent = std::max(peer.assigns_sent, load.assigns_seen);
}

Assign PlaceTask(AgentBoard* board, core::Time now, const core::JobKey& key,
                 core::TaskIndex index, const core::NodeId& executor) {
  HomeJob& job = board->jobs.at(key);
  HomeTask& task = job.tasks[index.value()];
  const bool queued = DequeueTask(board, job, index);
  CheckInvariant(&board->invariant_counts, "place_only_unplaced",
                 queued && task.state == TaskState::kQueued, job.history);
  task.state = TaskState::kAssigned;
  task.attempt = core::Attempt(board->next_attempt++);
  ++task.placements;
  task.executor = executor;
  task.placed_at = now;
  task.seals_unanswered_since.reset();
  task.next_seal_at =
      now + std::max(board->policy.seal_after,
                     kExpectedRunsUntilSeal *
                         ExpectedRunTime(*board, now, job.spec.service));
  ScheduleNoLaterThan(board, &job, task.next_seal_at);
  ++board->running_tasks_by_tenant[job.spec.tenant];
  ++board->counters.placements;
  if (task.placements == 1) {
    const double earned =
        static_cast<double>(board->policy.retry_permille) / kPermille;
    board->retry_tokens =
        std::min(static_cast<double>(board->policy.retry_burst),
                 board->retry_tokens + earned);
  }
  const auto peer = board->peers.find(executor);
  if (peer != board->peers.end()) ++peer->second.assigns_sent;
  AddHistoryLine(&job, now,
                 "Placed task " + std::to_string(index.value()) + " attempt " +
                     std::to_string(task.attempt.value()) + " at " +
                     core::ToString(executor) + ".");
  return Assign{TaskRef{key, index, task.attempt},
                job.spec.service,
                job.spec.tenant,
                job.deadline - now,
                task.spec,
                UsualRunTime(*board, now, job.spec.service, executor)};
}

void RetractWants(AgentBoard* board, const core::ServiceId& service) {
  ServiceQueue& queue = board->service_queues[service];
  if (!board->policy.retract_wants || queue.size > 0) return;
  for (const core::NodeId& node : queue.notified_executors) {
    Post(board, node, Want{service, 0, core::Duration(0)});
  }
  queue.notified_executors.clear();
}

void PlaceWaitingTasks(AgentBoard* board, core::Time now) {
  // Services for which no executor was found.
  std::set<core::ServiceId> blocked;
  while (true) {
    const std::optional<QueuedTask> next =
        FindNextToPlace(*board, now, blocked);
    if (!next.has_value()) break;
    HomeTask& task = board->jobs.at(next->key).tasks[next->task.value()];
    const std::optional<core::NodeId> executor =
        ChooseExecutor(board, now, next->service, task.spec);
    if (!executor.has_value()) {
      blocked.insert(next->service);
    } else if (!TrySpendRetry(board, task)) {
      task.not_before = now + 10 * board->policy.retry_pause;
    } else {
      Post(board, *executor,
           PlaceTask(board, now, next->key, next->task, *executor));
    }
  }
  UpdateWants(board, now);
}

}  // namespace tarragon::dispatch
