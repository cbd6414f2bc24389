#include "quorum.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace tarragon::dispatch {
namespace {

using Members = std::vector<EntryMember>;

bool Contains(const Members& members, const core::NodeId& node) {
  return std::any_of(
      members.begin(), members.end(),
      [&node](const EntryMember& member) { return member.node == node; });
}

/// Latest time confirmed by a read quorum of `members`, including this entry.
std::optional<core::Time> MajorityConfirmedAt(const EntryBoard& board,
                                              core::Time now,
                                              const Members& members) {
  if (!Contains(members, board.self)) return std::nullopt;
  const std::size_t others_needed = ReadQuorum(members.size()) - 1;
  if (others_needed == 0) return now;
  std::vector<core::Time> moments;
  for (const EntryMember& member : members) {
    const auto peer = board.peers.find(member.node);
    if (peer == board.peers.end()) continue;
    if (peer->second.confirmed_at.has_value()) {
      moments.push_back(*peer->second.confirmed_at);
    }
  }
  if (moments.size() < others_needed) return std::nullopt;
  std::sort(moments.begin(), moments.end(), std::greater<>());
  return moments[others_needed - 1];
}

using PeerPredicate = std::function<bool(const EntryPeer&)>;

/// True when `has_it` holds for a write quorum of `members`. Entries that are
/// proved dead count, because they are no longer in any read quorum.
bool HasWriteQuorum(const EntryBoard& board, const Members& members,
                    const PeerPredicate& has_it) {
  std::size_t count = 0;
  for (const EntryMember& member : members) {
    if (member.node.address == board.self.address) {
      // This process, or a previous one at the same address.
      ++count;
      continue;
    }
    const auto peer = board.peers.find(member.node);
    if (peer == board.peers.end()) continue;
    if (peer->second.proved_dead || has_it(peer->second)) ++count;
  }
  return count >= WriteQuorum(members.size());
}

bool HasWriteQuorumInBothLists(const EntryBoard& board,
                               const PeerPredicate& has_it) {
  if (!HasWriteQuorum(board, board.entries.members, has_it)) return false;
  return board.entries.previous.empty() ||
         HasWriteQuorum(board, board.entries.previous, has_it);
}

}  // namespace

std::size_t ReadQuorum(std::size_t size) { return size / 2 + 1; }

std::size_t WriteQuorum(std::size_t size) {
  return size == 0 ? 0 : size - ReadQuorum(size) + 1;
}

std::optional<core::Time> QuorumConfirmedAt(const EntryBoard& board,
                                            core::Time now) {
  // Notes confirmed before this entry was registered did not need its
  // confirmation, so it must have read the table since the registration.
  if (!board.registered_since.has_value()) return std::nullopt;
  if (!board.world_read_at.has_value()) return std::nullopt;
  if (*board.world_read_at < *board.registered_since) return std::nullopt;
  const std::optional<core::Time> present =
      MajorityConfirmedAt(board, now, board.entries.members);
  if (!present.has_value() || board.entries.previous.empty()) return present;
  const std::optional<core::Time> before =
      MajorityConfirmedAt(board, now, board.entries.previous);
  if (!before.has_value()) return std::nullopt;
  return std::min(*present, *before);
}

bool IsNoteConfirmed(const EntryBoard& board, core::NoteVersion version) {
  return HasWriteQuorumInBothLists(board, [version](const EntryPeer& peer) {
    return peer.note_version >= version;
  });
}

bool IsEntryListConfirmed(const EntryBoard& board) {
  const std::uint64_t version = board.entries.version;
  return HasWriteQuorumInBothLists(board, [version](const EntryPeer& peer) {
    return peer.entries_version >= version;
  });
}

}  // namespace tarragon::dispatch
