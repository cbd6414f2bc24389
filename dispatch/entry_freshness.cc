#include <algorithm>
#include <utility>

#include "entry_parts.h"
#include "quorum.h"
#include "tarragon/dispatch/entry.h"

namespace tarragon::dispatch {
namespace {

/// Unanswered pings that are kept for each peer.
constexpr std::size_t kMaxOpenPings = 8;
/// Concurrent reads of one row of the table.
constexpr std::size_t kMaxOpenPolls = 4;

std::size_t CountOpenCalls(const EntryBoard& board, TablePurpose purpose) {
  return static_cast<std::size_t>(std::count_if(
      board.open_table_calls.begin(), board.open_table_calls.end(),
      [purpose](const auto& call) { return call.second.purpose == purpose; }));
}

void PollRow(EntryBoard* board, core::Time now, TablePurpose purpose,
             TableRow row, std::uint64_t known) {
  if (CountOpenCalls(*board, purpose) >= kMaxOpenPolls) return;
  TableCall call;
  call.operation = TableOperation::kRead;
  call.row = row;
  call.version = known;
  CallTable(board, now, purpose, 0, std::move(call));
}

/// The other entries that are listed or were listed before a pending change.
std::vector<core::NodeId> OtherEntries(const EntryBoard& board) {
  std::vector<core::NodeId> nodes;
  for (const std::vector<EntryMember>* list :
       {&board.entries.members, &board.entries.previous}) {
    for (const EntryMember& member : *list) {
      if (member.node == board.self) continue;
      if (std::find(nodes.begin(), nodes.end(), member.node) == nodes.end()) {
        nodes.push_back(member.node);
      }
    }
  }
  return nodes;
}

void SendPing(EntryBoard* board, core::Time now, const core::NodeId& node) {
  const auto [peer, added] = board->peers.try_emplace(node);
  if (added) peer->second.last_heard = now;
  const std::uint64_t sequence = ++peer->second.ping_sequence;
  peer->second.open_pings.emplace_back(sequence, now);
  if (peer->second.open_pings.size() > kMaxOpenPings)
    peer->second.open_pings.pop_front();
  Post(board, node,
       EntryPing{sequence, board->world.version, board->entries.version});
}

void PingOtherEntries(EntryBoard* board, core::Time now) {
  const std::vector<core::NodeId> others = OtherEntries(*board);
  for (auto it = board->peers.begin(); it != board->peers.end();) {
    const bool listed =
        std::find(others.begin(), others.end(), it->first) != others.end();
    it = listed ? std::next(it) : board->peers.erase(it);
  }
  for (const core::NodeId& node : others) SendPing(board, now, node);
}

void AdvanceConfirmedAt(EntryBoard* board, core::Time moment) {
  if (!board->confirmed_at.has_value() || *board->confirmed_at < moment) {
    board->confirmed_at = moment;
  }
}

/// Records that a table read found no world newer than the one in force.
void RecordTableConfirmation(EntryBoard* board, core::Time sent) {
  AdvanceConfirmedAt(board, sent);
  if (!board->world_read_at.has_value() || *board->world_read_at < sent) {
    board->world_read_at = sent;
  }
  if (board->list_change_note_version.has_value()) return;
  if (sent >= board->entries_adopted_at) {
    board->list_change_note_version = board->world.version;
  }
}

bool IsRegistered(const EntryBoard& board) {
  return std::any_of(board.entries.members.begin(), board.entries.members.end(),
                     [&board](const EntryMember& member) {
                       return member.node == board.self;
                     });
}

}  // namespace

void AdoptWorld(EntryBoard* board, World world) {
  if (world.version <= board->world.version) return;
  const core::NoteVersion before = board->world.version;
  board->world = std::move(world);
  CheckInvariant(&board->invariants, "note_never_reverts",
                 board->world.version > before, {});
}

void AdoptEntries(EntryBoard* board, core::Time now, EntryList entries) {
  if (entries.version <= board->entries.version) return;
  board->entries = std::move(entries);
  board->entries_adopted_at = now;
  board->list_change_note_version.reset();
  if (!IsRegistered(*board)) {
    board->registered_since.reset();
  } else if (!board->registered_since.has_value()) {
    board->registered_since = now;
    // A read quorum counts only after a table read since the registration.
    board->next_poll = now;
  }
}

void TickFreshness(EntryBoard* board, core::Time now) {
  if (now >= board->next_poll) {
    board->next_poll = now + board->policy.poll_interval;
    PollRow(board, now, TablePurpose::kPollWorld, TableRow::kWorld,
            board->world_row_version);
    PollRow(board, now, TablePurpose::kPollEntries, TableRow::kEntries,
            board->entries_row_version);
  }
  if (now >= board->next_ping) {
    board->next_ping = now + board->policy.ping_interval;
    PingOtherEntries(board, now);
  }
  const std::optional<core::Time> quorum = QuorumConfirmedAt(*board, now);
  if (quorum.has_value()) AdvanceConfirmedAt(board, *quorum);
}

void HandlePing(EntryBoard* board, core::Time now, const core::NodeId& from,
                const EntryPing& ping) {
  EntryPong pong;
  pong.sequence = ping.sequence;
  pong.note_version = board->world.version;
  pong.entries_version = board->entries.version;
  pong.has_world = board->world.version > ping.note_version;
  if (pong.has_world) pong.world = board->world;
  pong.has_entries = board->entries.version > ping.entries_version;
  if (pong.has_entries) pong.entries = board->entries;
  Post(board, from, std::move(pong));
  // The sender may be listed in a version that this entry does not know yet.
  if (ping.note_version > board->world.version ||
      ping.entries_version > board->entries.version) {
    SendPing(board, now, from);
  }
}

void HandlePong(EntryBoard* board, core::Time now, const core::NodeId& from,
                EntryPong pong) {
  const auto found = board->peers.find(from);
  if (found == board->peers.end()) return;
  EntryPeer& peer = found->second;
  peer.last_heard = now;
  if (pong.has_world) AdoptWorld(board, std::move(pong.world));
  if (pong.has_entries) AdoptEntries(board, now, std::move(pong.entries));
  peer.note_version = std::max(peer.note_version, pong.note_version);
  peer.entries_version = std::max(peer.entries_version, pong.entries_version);
  // A peer with newer versions does not confirm the state of this entry.
  if (pong.note_version > board->world.version) return;
  if (pong.entries_version > board->entries.version) return;
  for (const auto& [sequence, sent] : peer.open_pings) {
    if (sequence != pong.sequence) continue;
    if (!peer.confirmed_at.has_value() || *peer.confirmed_at < sent) {
      peer.confirmed_at = sent;
    }
  }
}

void HandleWorldRead(EntryBoard* board, core::Time sent, TableReply reply) {
  if (reply.status == TableStatus::kOk) {
    board->world_row_version =
        std::max(board->world_row_version, reply.version);
    const core::NoteVersion read = reply.world.version;
    AdoptWorld(board, std::move(reply.world));
    if (read == board->world.version) RecordTableConfirmation(board, sent);
    return;
  }
  if (reply.status == TableStatus::kUnchanged)
    RecordTableConfirmation(board, sent);
  const bool empty = board->world.version == core::NoteVersion(0);
  if (reply.status == TableStatus::kMissing && empty)
    RecordTableConfirmation(board, sent);
}

void HandleEntriesRead(EntryBoard* board, core::Time now, core::Time sent,
                       TableReply reply) {
  if (reply.status != TableStatus::kOk &&
      reply.status != TableStatus::kUnchanged &&
      reply.status != TableStatus::kMissing) {
    return;
  }
  board->entries_row_was_read = true;
  if (!board->entries_read_at.has_value() || *board->entries_read_at < sent) {
    board->entries_read_at = sent;
  }
  if (reply.status != TableStatus::kOk) return;
  board->entries_row_version =
      std::max(board->entries_row_version, reply.version);
  AdoptEntries(board, now, std::move(reply.entries));
}

core::Duration PermitLifetime(const EntryBoard& board, core::Time now) {
  if (!board.confirmed_at.has_value()) return core::Duration(0);
  return *board.confirmed_at + board.policy.freshness - now;
}

bool CanGrantPermitsWithoutTable(const EntryBoard& board, core::Time now) {
  const std::optional<core::Time> quorum = QuorumConfirmedAt(board, now);
  return quorum.has_value() && *quorum + board.policy.freshness > now;
}

}  // namespace tarragon::dispatch
