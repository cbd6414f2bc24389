#include <algorithm>
#include <utility>

#include "entry_parts.h"
#include "quorum.h"
#include "tarragon/dispatch/entry.h"

namespace tarragon::dispatch {
namespace {

/// Minimum interval between attempts to change the list. Jitter of up to the
/// same length is added, because several entries may try to change it.
constexpr core::Duration kMinChangeInterval = std::chrono::milliseconds(500);

bool HasOpenEntriesWrite(const EntryBoard& board) {
  return std::any_of(board.open_table_calls.begin(),
                     board.open_table_calls.end(), [](const auto& call) {
                       return call.second.purpose ==
                              TablePurpose::kWriteEntries;
                     });
}

void WriteEntries(EntryBoard* board, core::Time now, EntryList next) {
  TableCall call;
  call.row = TableRow::kEntries;
  call.operation = board->entries_row_version == 0 ? TableOperation::kInsert
                                                   : TableOperation::kReplace;
  call.version = board->entries_row_version;
  call.entries = std::move(next);
  CallTable(board, now, TablePurpose::kWriteEntries, 0, std::move(call));
}

/// The list that this entry wants: with itself unless it is stopping, and
/// without dead entries.
std::vector<EntryMember> DesiredMembers(const EntryBoard& board,
                                        core::Time now) {
  std::vector<EntryMember> wanted;
  for (const EntryMember& member : board.entries.members) {
    if (member.node.address == board.self.address) continue;
    const auto peer = board.peers.find(member.node);
    const bool out =
        peer != board.peers.end() &&
        (peer->second.proved_dead ||
         now - peer->second.last_heard > board.policy.entry_timeout);
    if (!out) wanted.push_back(member);
  }
  if (!board.stopping) {
    wanted.push_back(EntryMember{board.self, board.domain});
  }
  std::sort(wanted.begin(), wanted.end(),
            [](const EntryMember& a, const EntryMember& b) {
              return a.node < b.node;
            });
  return wanted;
}

}  // namespace

bool IsListed(const EntryList& list, const core::NodeId& node) {
  const auto is_node = [&node](const EntryMember& member) {
    return member.node == node;
  };
  return std::any_of(list.members.begin(), list.members.end(), is_node) ||
         std::any_of(list.previous.begin(), list.previous.end(), is_node);
}

void TickRegistration(EntryBoard* board, core::Time now) {
  if (now < board->next_registration || !board->entries_row_was_read) return;
  std::uniform_int_distribution<std::int64_t> jitter(
      0, kMinChangeInterval.count());
  board->next_registration =
      now + kMinChangeInterval + core::Duration(jitter(board->random));
  if (HasOpenEntriesWrite(*board)) return;
  EntryList next = board->entries;
  ++next.version;
  if (!board->entries.previous.empty()) {
    // Any entry that sees the change confirmed completes it. Before that, a
    // write quorum of the new list must have every note that was confirmed
    // under the previous one.
    if (!IsEntryListConfirmed(*board)) return;
    if (!board->list_change_note_version.has_value()) return;
    if (!IsNoteConfirmed(*board, *board->list_change_note_version)) return;
    next.previous.clear();
    WriteEntries(board, now, std::move(next));
    return;
  }
  next.members = DesiredMembers(*board, now);
  if (next.members == board->entries.members) return;
  next.previous = board->entries.members;
  WriteEntries(board, now, std::move(next));
}

void MarkEntryDead(EntryBoard* board, const core::NodeId& node) {
  if (node == board->self || !IsListed(board->entries, node)) return;
  board->peers[node].proved_dead = true;
}

bool OnOperatorRemoveEntry(EntryBoard* board, core::Time now,
                           const core::NodeId& dead) {
  if (dead == board->self || !IsListed(board->entries, dead)) return false;
  MarkEntryDead(board, dead);
  for (const auto& [node, peer] : board->peers) {
    if (!peer.proved_dead) Post(board, node, Leaving{dead});
  }
  board->next_registration = now;
  return true;
}

}  // namespace tarragon::dispatch
