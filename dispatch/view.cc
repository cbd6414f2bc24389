#include "view.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "outbox.h"
#include "tarragon/dispatch/agent.h"

namespace tarragon::dispatch {
namespace {

/// Unanswered heartbeats that are kept for each link.
constexpr std::size_t kMaxOpenHeartbeats = 8;
/// Members learned from a link are dropped after this many heartbeat intervals
/// without an answer.
constexpr int kLinkTimeoutHeartbeats = 8;
/// Other entries are tried when none has answered for this many heartbeat
/// intervals.
constexpr int kFailoverHeartbeats = 4;

EntryLink* FindLink(AgentBoard* board, const core::Address& address) {
  for (EntryLink& link : board->entry_links) {
    if (link.address == address) return &link;
  }
  return nullptr;
}

/// Orders entries differently for each agent, so that heartbeats spread.
std::size_t LinkHash(const AgentBoard& board, const core::Address& address) {
  return std::hash<std::string>()(board.self.address.value() + address.value());
}

/// The entries that get heartbeats: registered ones, those of the same domain
/// first, or the configured seeds while no registered entry is known.
std::vector<core::Address> ChooseEntries(const AgentBoard& board) {
  std::vector<core::Address> chosen = board.seed_entries;
  if (!board.entries.members.empty()) {
    std::vector<EntryMember> members = board.entries.members;
    std::sort(members.begin(), members.end(),
              [&board](const EntryMember& a, const EntryMember& b) {
                const bool near_a = a.domain == board.domain;
                const bool near_b = b.domain == board.domain;
                if (near_a != near_b) return near_a;
                return LinkHash(board, a.node.address) <
                       LinkHash(board, b.node.address);
              });
    chosen.clear();
    for (const EntryMember& member : members) {
      chosen.push_back(member.node.address);
    }
  }
  const std::size_t fanout = board.policy.heartbeat_fanout;
  if (chosen.size() > fanout) chosen.resize(fanout);
  return chosen;
}

void SetLinks(AgentBoard* board, core::Time now,
              const std::vector<core::Address>& chosen) {
  board->links_chosen_at = now;
  std::vector<EntryLink> links;
  for (const core::Address& address : chosen) {
    EntryLink* known = FindLink(board, address);
    if (known != nullptr) {
      links.push_back(std::move(*known));
      continue;
    }
    EntryLink link;
    link.address = address;
    links.push_back(std::move(link));
  }
  board->entry_links = std::move(links);
}

/// Chooses other entries from the seeds and the list when no chosen entry
/// answers, because all of them may have been replaced.
void TryOtherEntries(AgentBoard* board, core::Time now) {
  const core::Duration failover_after =
      kFailoverHeartbeats * board->policy.heartbeat_interval;
  if (now - board->links_chosen_at < failover_after) return;
  for (const EntryLink& link : board->entry_links) {
    if (now - link.last_reply_at < failover_after) return;
  }
  std::vector<core::Address> all = board->seed_entries;
  for (const EntryMember& member : board->entries.members) {
    if (std::find(all.begin(), all.end(), member.node.address) == all.end()) {
      all.push_back(member.node.address);
    }
  }
  std::shuffle(all.begin(), all.end(), board->random);
  const std::size_t fanout = board->policy.heartbeat_fanout;
  if (all.size() > fanout) all.resize(fanout);
  SetLinks(board, now, all);
}

/// Send time of the heartbeat `sequence`; empty if it is no longer kept.
std::optional<core::Time> FindSendTime(const EntryLink& link,
                                       std::uint64_t sequence) {
  for (const auto& [number, sent] : link.open_heartbeats) {
    if (number == sequence) return sent;
  }
  return std::nullopt;
}

/// Sets `peers` to the members of all links and this agent itself.
void RebuildPeers(AgentBoard* board, core::Time now) {
  std::map<core::NodeId, AgentStatus> all;
  for (const EntryLink& link : board->entry_links) {
    all.insert(link.members.begin(), link.members.end());
  }
  all[board->self] = BuildStatus(*board, now);
  for (auto it = board->peers.begin(); it != board->peers.end();) {
    it = all.count(it->first) == 0 ? board->peers.erase(it) : std::next(it);
  }
  for (auto& [node, status] : all) {
    const auto [peer, added] = board->peers.try_emplace(node);
    const Load load = peer->second.status.load;
    const std::uint32_t slots = status.load.slots;
    peer->second.status = std::move(status);
    if (added) {
      peer->second.load_received_at = now;
      peer->second.status.load.sequence = 0;
      peer->second.status.load.assigns_seen = 0;
      continue;
    }
    // The load received from the executor itself is newer than the entry's.
    peer->second.status.load = load;
    peer->second.status.load.slots = slots;
  }
}

void ApplyMemberChanges(EntryLink* link, Permit* permit) {
  if (permit->members_full) link->members.clear();
  for (AgentStatus& status : permit->members) {
    const core::NodeId node = status.node;
    link->members[node] = std::move(status);
  }
  for (const core::NodeId& node : permit->members_gone) {
    link->members.erase(node);
  }
  link->members_version = permit->members_version;
}

void ApplyNewerWorld(AgentBoard* board, Permit* permit) {
  if (!permit->has_world) return;
  if (permit->world.version <= board->world.version) return;
  const core::NoteVersion before = board->world.version;
  board->world = std::move(permit->world);
  CheckInvariant(&board->invariant_counts, "note_never_reverts",
                 board->world.version > before, {});
}

}  // namespace

void HandlePermit(AgentBoard* board, core::Time now, const core::NodeId& entry,
                  Permit permit) {
  EntryLink* link = FindLink(board, entry.address);
  if (link == nullptr) return;
  const std::optional<core::Time> sent = FindSendTime(*link, permit.sequence);
  if (!sent.has_value()) return;
  if (link->node != entry) {
    link->node = entry;
    link->members.clear();
    // Version 0 makes the next heartbeat request the whole list.
    if (!permit.members_full) permit.members_version = 0;
  }
  link->last_reply_at = now;
  ApplyNewerWorld(board, &permit);
  ApplyMemberChanges(link, &permit);
  const bool entries_newer = permit.entries.version > board->entries.version;
  if (entries_newer) {
    board->entries = std::move(permit.entries);
    // New entries must learn for which stopped homes this agent answers.
    board->next_heir_tick_at = now;
  }
  // An entry with another version cannot confirm the world of this agent.
  if (permit.note_version == board->world.version) {
    const core::Duration lifetime =
        std::min(permit.lifetime, board->policy.freshness);
    board->permit_until = std::max(board->permit_until, *sent + lifetime);
  }
  RebuildPeers(board, now);
  if (entries_newer) SetLinks(board, now, ChooseEntries(*board));
}

void TickHeartbeats(AgentBoard* board, core::Time now) {
  if (now < board->next_heartbeat_at) return;
  board->next_heartbeat_at = now + board->policy.heartbeat_interval;
  if (board->entry_links.empty()) SetLinks(board, now, ChooseEntries(*board));
  TryOtherEntries(board, now);
  const core::Duration silent =
      kLinkTimeoutHeartbeats * board->policy.heartbeat_interval;
  for (EntryLink& link : board->entry_links) {
    if (now - link.last_reply_at > silent) {
      link.members.clear();
      link.members_version = 0;
    }
    const std::uint64_t sequence = ++link.heartbeat_sequence;
    link.open_heartbeats.emplace_back(sequence, now);
    if (link.open_heartbeats.size() > kMaxOpenHeartbeats) {
      link.open_heartbeats.pop_front();
    }
    const core::NodeId to =
        link.node.address == link.address
            ? link.node
            : core::NodeId{link.address, core::Incarnation(0)};
    Post(board, to,
         Heartbeat{sequence, BuildStatus(*board, now), board->world.version,
                   link.members_version});
  }
  RebuildPeers(board, now);
}

void ScheduleHeartbeatNow(AgentBoard* board, core::Time now) {
  board->next_heartbeat_at = now;
}

void RemovePeerFromView(AgentBoard* board, const core::NodeId& peer) {
  for (EntryLink& link : board->entry_links) {
    link.members.erase(peer);
    if (link.node != peer) continue;
    link.node = core::NodeId{};
    link.members.clear();
    link.members_version = 0;
  }
}

}  // namespace tarragon::dispatch
