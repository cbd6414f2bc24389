#include <algorithm>
#include <functional>
#include <set>
#include <utility>
#include <vector>

#include "entry_parts.h"
#include "placement.h"
#include "tarragon/dispatch/entry.h"
#include "tarragon/dispatch/handle.h"

namespace tarragon::dispatch {
namespace {

/// Removals that are remembered; an agent that is further behind gets the
/// whole list.
constexpr std::size_t kGoneMemory = 1000;
/// Changes of the shares below these are not told, in thousandths.
constexpr std::uint32_t kFailureStep = 100;
constexpr std::uint32_t kLateStep = 200;

std::pair<std::uint64_t, core::NodeId> RingKey(const core::NodeId& node) {
  return {std::hash<std::string>()(node.address.value()), node};
}

std::uint32_t Change(std::uint32_t a, std::uint32_t b) {
  return a > b ? a - b : b - a;
}

/// True when the other agents must learn of the difference.
bool Differs(const AgentStatus& a, const AgentStatus& b) {
  return a.domain != b.domain || a.services != b.services ||
         a.load.slots != b.load.slots || a.cores != b.cores ||
         a.memory_mb != b.memory_mb || a.leaving != b.leaving ||
         Change(a.failure_permille, b.failure_permille) >= kFailureStep ||
         Change(a.late_permille, b.late_permille) >= kLateStep;
}

/// The members told to `node`: all, or its neighbours on the ring.
std::vector<const AgentMember*> SampleFor(const EntryBoard& board,
                                          const core::NodeId& node) {
  std::vector<const AgentMember*> sample;
  const std::size_t wanted =
      std::min<std::size_t>(board.policy.member_sample, board.ring.size());
  auto next = board.ring.lower_bound(RingKey(node));
  while (sample.size() < wanted) {
    if (next == board.ring.end()) next = board.ring.begin();
    sample.push_back(&board.members.at(next->second));
    ++next;
  }
  return sample;
}

void TellMembers(const EntryBoard& board, const core::NodeId& node,
                 std::uint64_t known, Permit* permit) {
  permit->members_version = board.members_version;
  if (known == board.members_version) return;
  const bool sampled = board.ring.size() > board.policy.member_sample;
  const bool someone_went =
      !board.gone.empty() && board.gone.back().first > known;
  // A removal moves the neighbours on, so that old members come into view.
  permit->members_full =
      known == 0 || known > board.members_version ||
      (sampled && someone_went) ||
      (!board.gone.empty() && board.gone.size() == kGoneMemory &&
       board.gone.front().first > known);
  for (const AgentMember* member : SampleFor(board, node)) {
    if (permit->members_full || member->changed > known) {
      permit->members.push_back(member->status);
    }
  }
  if (permit->members_full) return;
  for (const auto& [version, gone] : board.gone) {
    if (version > known) permit->members_gone.push_back(gone);
  }
}

void UpdateMember(EntryBoard* board, core::Time now,
                  const AgentStatus& status) {
  const auto [member, added] = board->members.try_emplace(status.node);
  AgentMember& known = member->second;
  known.heard = now;
  known.lost = false;
  if (added || Differs(known.status, status)) {
    known.changed = ++board->members_version;
    known.status = status;
    if (added) board->ring[RingKey(status.node)] = status.node;
    return;
  }
  // The shares told last stay those that changes are measured by.
  const std::uint32_t told_failure = known.status.failure_permille;
  const std::uint32_t told_late = known.status.late_permille;
  known.status = status;
  known.status.failure_permille = told_failure;
  known.status.late_permille = told_late;
}

/// The agents that take new jobs of `service`: the first of the ring, so that
/// all entries choose the same, from as many failure domains as there are. One
/// that offers the service is preferred: it can start tasks without a hop.
std::vector<const AgentMember*> ChooseHomes(const EntryBoard& board,
                                            const core::ServiceId& service) {
  std::vector<const AgentMember*> offering, others, homes;
  for (const auto& [position, node] : board.ring) {
    const AgentMember& member = board.members.at(node);
    if (member.status.leaving || member.lost) continue;
    const bool useful = Offers(member.status, service) &&
                        InService(board.world, member.status.domain);
    (useful ? offering : others).push_back(&member);
  }
  const std::vector<const AgentMember*>& from =
      offering.empty() ? others : offering;
  const std::size_t wanted = std::max<std::size_t>(
      board.policy.min_homes, from.size() / board.policy.agents_per_home);
  std::set<core::DomainId> domains;
  for (const bool any_domain : {false, true}) {
    for (const AgentMember* member : from) {
      if (homes.size() >= wanted) return homes;
      const bool seen = domains.count(member->status.domain) > 0;
      if (seen != any_domain) continue;
      if (std::find(homes.begin(), homes.end(), member) != homes.end()) {
        continue;
      }
      domains.insert(member->status.domain);
      homes.push_back(member);
    }
  }
  return homes;
}

}  // namespace

void RemoveMember(EntryBoard* board, const core::NodeId& node) {
  if (board->members.erase(node) == 0) return;
  board->ring.erase(RingKey(node));
  board->gone.emplace_back(++board->members_version, node);
  if (board->gone.size() > kGoneMemory) board->gone.pop_front();
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
  if (permit.has_world) permit.world = board->world;
  TellMembers(*board, from, heartbeat.members_version, &permit);
  permit.entries = board->entries;
  Post(board, from, std::move(permit));
}

void TickMembers(EntryBoard* board, core::Time now) {
  std::vector<core::NodeId> silent;
  for (const auto& [node, member] : board->members) {
    if (now - member.heard > board->policy.member_timeout) {
      silent.push_back(node);
    }
  }
  for (const core::NodeId& node : silent) RemoveMember(board, node);
}

std::optional<std::string> MintHandle(EntryBoard* board,
                                      const core::ServiceId& service) {
  const std::vector<const AgentMember*> homes = ChooseHomes(*board, service);
  if (homes.empty()) return std::nullopt;
  // Homes take turns.
  const AgentMember* chosen = homes[board->next_home++ % homes.size()];
  return ToString(Handle{chosen->status.node, chosen->status.handle_epoch});
}

}  // namespace tarragon::dispatch
