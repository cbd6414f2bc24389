#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include "entry_parts.h"
#include "tarragon/dispatch/entry.h"

namespace tarragon::dispatch {
namespace {

/// Removals that are kept; an agent with an older version gets the whole list.
constexpr std::size_t kMaxRemovedMembers = 1000;
/// Smaller changes of these shares, in thousandths, are not propagated.
constexpr std::uint32_t kMinFailureChangePermille = 100;
constexpr std::uint32_t kMinLateChangePermille = 200;

std::pair<std::uint64_t, core::NodeId> RingPosition(const core::NodeId& node) {
  return {std::hash<std::string>()(node.address.value()), node};
}

/// True when the difference may change the choice of homes.
bool AffectsHomeChoice(const AgentStatus& a, const AgentStatus& b) {
  return a.domain != b.domain || a.services != b.services ||
         a.leaving != b.leaving;
}

std::uint32_t AbsoluteDifference(std::uint32_t a, std::uint32_t b) {
  return a > b ? a - b : b - a;
}

/// True when the difference must be sent to the other agents.
bool MustBePropagated(const AgentStatus& a, const AgentStatus& b) {
  return AffectsHomeChoice(a, b) || a.load.slots != b.load.slots ||
         a.cores != b.cores || a.memory_mb != b.memory_mb ||
         AbsoluteDifference(a.failure_permille, b.failure_permille) >=
             kMinFailureChangePermille ||
         AbsoluteDifference(a.late_permille, b.late_permille) >=
             kMinLateChangePermille;
}

/// The members sent to `node`: all, or its neighbours on the ring.
std::vector<const AgentMember*> SampleMembersFor(const EntryBoard& board,
                                                 const core::NodeId& node) {
  std::vector<const AgentMember*> sample;
  const std::size_t wanted =
      std::min<std::size_t>(board.policy.member_sample, board.ring.size());
  auto next = board.ring.lower_bound(RingPosition(node));
  while (sample.size() < wanted) {
    if (next == board.ring.end()) next = board.ring.begin();
    sample.push_back(&board.members.at(next->second));
    ++next;
  }
  return sample;
}

void AddMembersToPermit(const EntryBoard& board, const core::NodeId& node,
                        std::uint64_t known, Permit* permit) {
  permit->members_version = board.members_version;
  if (known == board.members_version) return;
  const bool sampled = board.ring.size() > board.policy.member_sample;
  const bool has_new_removals = !board.removed_members.empty() &&
                                board.removed_members.back().first > known;
  // A removal brings members into the sample that have not changed since.
  permit->members_full = known == 0 || known > board.members_version ||
                         (sampled && has_new_removals) ||
                         (!board.removed_members.empty() &&
                          board.removed_members.size() == kMaxRemovedMembers &&
                          board.removed_members.front().first > known);
  for (const AgentMember* member : SampleMembersFor(board, node)) {
    if (permit->members_full || member->changed_in_version > known) {
      permit->members.push_back(member->status);
    }
  }
  if (permit->members_full) return;
  for (const auto& [version, gone] : board.removed_members) {
    if (version > known) permit->members_gone.push_back(gone);
  }
}

void ScheduleTimeoutCheck(EntryBoard* board, AgentMember* member,
                          core::Time at) {
  const core::NodeId& node = member->status.node;
  board->timeout_checks.erase({member->timeout_check_at, node});
  member->timeout_check_at = at;
  board->timeout_checks.emplace(at, node);
}

void UpdateMember(EntryBoard* board, core::Time now,
                  const AgentStatus& status) {
  const auto [member, added] = board->members.try_emplace(status.node);
  AgentMember& known = member->second;
  if (added || known.disconnected || AffectsHomeChoice(known.status, status)) {
    ++board->candidates_version;
  }
  known.last_heard = now;
  known.disconnected = false;
  if (added || MustBePropagated(known.status, status)) {
    known.changed_in_version = ++board->members_version;
    known.status = status;
    if (!added) return;
    board->ring[RingPosition(status.node)] = status.node;
    ScheduleTimeoutCheck(board, &known, now + board->policy.member_timeout);
    return;
  }
  // Keeps the last propagated shares as the base for measuring changes.
  const std::uint32_t reported_failure_permille = known.status.failure_permille;
  const std::uint32_t reported_late_permille = known.status.late_permille;
  known.status = status;
  known.status.failure_permille = reported_failure_permille;
  known.status.late_permille = reported_late_permille;
}

/// Removes the ids of notes, which only entries need to recognize a repeated
/// note.
World WorldForAgents(World world) {
  world.recent_notes.clear();
  return world;
}

}  // namespace

void RemoveMember(EntryBoard* board, const core::NodeId& node) {
  const auto found = board->members.find(node);
  if (found == board->members.end()) return;
  board->timeout_checks.erase({found->second.timeout_check_at, node});
  board->members.erase(found);
  board->ring.erase(RingPosition(node));
  ++board->candidates_version;
  board->removed_members.emplace_back(++board->members_version, node);
  if (board->removed_members.size() > kMaxRemovedMembers)
    board->removed_members.pop_front();
}

void HandleHeartbeat(EntryBoard* board, core::Time now,
                     const core::NodeId& from, const Heartbeat& heartbeat) {
  if (heartbeat.status.node != from) return;
  ++board->counters.heartbeats;
  UpdateMember(board, now, heartbeat.status);
  Permit permit;
  permit.sequence = heartbeat.sequence;
  permit.note_version = board->world.version;
  const core::Duration lifetime = PermitLifetime(*board, now);
  if (lifetime.count() > 0) {
    permit.lifetime = lifetime;
  } else {
    ++board->counters.permits_refused;
  }
  permit.has_world = board->world.version > heartbeat.note_version;
  if (permit.has_world) permit.world = WorldForAgents(board->world);
  AddMembersToPermit(*board, from, heartbeat.members_version, &permit);
  permit.entries = board->entries;
  Post(board, from, std::move(permit));
}

void TickMembers(EntryBoard* board, core::Time now) {
  std::vector<core::NodeId> due;
  for (const auto& [at, node] : board->timeout_checks) {
    if (at >= now) break;
    due.push_back(node);
  }
  // Removals are sent in the order of the nodes.
  std::sort(due.begin(), due.end());
  for (const core::NodeId& node : due) {
    AgentMember& member = board->members.at(node);
    const core::Time silent_at =
        member.last_heard + board->policy.member_timeout;
    if (silent_at < now) {
      RemoveMember(board, node);
    } else {
      ScheduleTimeoutCheck(board, &member, silent_at);
    }
  }
}

}  // namespace tarragon::dispatch
