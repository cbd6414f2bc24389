#include <algorithm>
#include <utility>

#include "entry_parts.h"
#include "quorum.h"
#include "tarragon/dispatch/entry.h"

namespace tarragon::dispatch {
namespace {

/// Pause between two attempts to change the list; jittered, since several
/// entries may want to.
constexpr core::Duration kChangePause = std::chrono::milliseconds(500);

bool IsOpen(const EntryBoard& board) {
  return std::any_of(
      board.calls.begin(), board.calls.end(), [](const auto& call) {
        return call.second.purpose == TablePurpose::kWriteEntries;
      });
}

void WriteEntries(EntryBoard* board, core::Time now, EntryList next) {
  TableCall call;
  call.row = TableRow::kEntries;
  call.operation = board->entries_row == 0 ? TableOperation::kInsert
                                           : TableOperation::kReplace;
  call.version = board->entries_row;
  call.entries = std::move(next);
  CallTable(board, now, TablePurpose::kWriteEntries, 0, std::move(call));
}

/// The members as this entry would have them: itself in unless it is leaving,
/// dead ones out.
std::vector<EntryMember> WantedMembers(const EntryBoard& board,
                                       core::Time now) {
  std::vector<EntryMember> wanted;
  for (const EntryMember& member : board.entries.members) {
    if (member.node.address == board.self.address) continue;
    const auto peer = board.peers.find(member.node);
    const bool silent = peer != board.peers.end() &&
                        now - peer->second.heard > board.policy.entry_timeout;
    if (!silent) wanted.push_back(member);
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

bool IsRegistered(const EntryBoard& board) {
  return std::any_of(board.entries.members.begin(), board.entries.members.end(),
                     [&board](const EntryMember& member) {
                       return member.node == board.self;
                     });
}

void TickRegistration(EntryBoard* board, core::Time now) {
  if (now < board->next_registration || !board->entries_known) return;
  std::uniform_int_distribution<std::int64_t> jitter(0, kChangePause.count());
  board->next_registration =
      now + kChangePause + core::Duration(jitter(board->random));
  if (IsOpen(*board)) return;
  EntryList next = board->entries;
  ++next.version;
  if (!board->entries.previous.empty()) {
    // Whoever sees the change confirmed finishes it.
    if (!EntriesConfirmed(*board)) return;
    next.previous.clear();
    WriteEntries(board, now, std::move(next));
    return;
  }
  next.members = WantedMembers(*board, now);
  if (next.members == board->entries.members) return;
  next.previous = board->entries.members;
  WriteEntries(board, now, std::move(next));
}

bool OnOperatorRemoveEntry(EntryBoard* board, core::Time now,
                           const core::NodeId& dead) {
  EntryList next = board->entries;
  ++next.version;
  const auto is_dead = [&dead](const EntryMember& member) {
    return member.node == dead;
  };
  if (std::erase_if(next.members, is_dead) == 0) return false;
  std::erase_if(next.previous, is_dead);
  WriteEntries(board, now, std::move(next));
  return true;
}

}  // namespace tarragon::dispatch
