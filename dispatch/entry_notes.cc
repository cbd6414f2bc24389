#include <utility>

#include "entry_parts.h"
#include "quorum.h"
#include "tarragon/dispatch/entry.h"

namespace tarragon::dispatch {
namespace {

/// Time after which a note that is in the table is reported as pending.
constexpr core::Duration kConfirmTimeout = std::chrono::seconds(3);
/// Time after which a note with an unknown write outcome is reported as
/// unavailable.
constexpr core::Duration kWriteTimeout = std::chrono::seconds(8);
constexpr core::Duration kRetryDelay = std::chrono::milliseconds(200);

void FinishNote(EntryBoard* board, std::uint64_t number, NoteState state,
                std::vector<std::string> texts) {
  const auto found = board->open_notes.find(number);
  NoteAnswer answer;
  answer.state = state;
  answer.version = found->second.version == core::NoteVersion(0)
                       ? board->world.version
                       : found->second.version;
  answer.details = std::move(texts);
  board->open_notes.erase(found);
  board->actions.emplace_back(AnswerNote{number, std::move(answer)});
}

void ReadWorld(EntryBoard* board, core::Time now, std::uint64_t number) {
  board->open_notes.at(number).step = NoteStep::kReading;
  TableCall call;
  call.operation = TableOperation::kRead;
  call.row = TableRow::kWorld;
  CallTable(board, now, TablePurpose::kNote, number, std::move(call));
}

/// True when enough entries have the note. Requires a read of the list after
/// the note was written, because the list known before may be outdated.
bool IsConfirmed(const EntryBoard& board, const OpenNote& open) {
  if (!board.entries_read_at.has_value()) return false;
  if (*board.entries_read_at < open.written_at) return false;
  return IsNoteConfirmed(board, open.version);
}

/// Called when the table holds the note: waits until a write quorum of the
/// current list has it.
void StartConfirming(EntryBoard* board, core::Time now, std::uint64_t number) {
  OpenNote& open = board->open_notes.at(number);
  open.step = NoteStep::kConfirming;
  open.version = board->world.version;
  open.written_at = now;
  board->next_poll = now;
}

void FinishIfConfirmed(EntryBoard* board, std::uint64_t number) {
  if (!IsConfirmed(*board, board->open_notes.at(number))) return;
  FinishNote(board, number, NoteState::kAccepted, {});
}

/// Writes the world with the note, based on the world that was just read.
void WriteNote(EntryBoard* board, core::Time now, std::uint64_t number) {
  OpenNote& open = board->open_notes.at(number);
  NoteError error;
  std::optional<World> next = ApplyNote(board->world, open.note, &error);
  if (!next.has_value()) {
    const bool conflict = error.code == NoteError::Code::kConflict;
    FinishNote(board, number,
               conflict ? NoteState::kConflict : NoteState::kInvalid,
               std::move(error.errors));
    return;
  }
  open.step = NoteStep::kWriting;
  TableCall call;
  call.row = TableRow::kWorld;
  call.operation = board->world_row_version == 0 ? TableOperation::kInsert
                                                 : TableOperation::kReplace;
  call.version = board->world_row_version;
  call.world = std::move(*next);
  CallTable(board, now, TablePurpose::kNote, number, std::move(call));
}

void HandleReadReply(EntryBoard* board, core::Time now, std::uint64_t number,
                     const TableReply& reply) {
  OpenNote& open = board->open_notes.at(number);
  const bool empty = reply.status == TableStatus::kMissing &&
                     board->world.version == core::NoteVersion(0);
  if (reply.status != TableStatus::kOk && !empty) {
    open.retry_at = now + kRetryDelay;
    return;
  }
  if (reply.status == TableStatus::kOk) {
    board->world_row_version = reply.version;
    AdoptWorld(board, reply.world);
  }
  if (ContainsNote(board->world, open.note.id)) {
    StartConfirming(board, now, number);
    return;
  }
  WriteNote(board, now, number);
}

void HandleWriteReply(EntryBoard* board, core::Time now, std::uint64_t number,
                      const TableReply& reply) {
  if (reply.status != TableStatus::kOk) {
    // A read resolves lost replies, conflicts and outages alike.
    board->open_notes.at(number).retry_at =
        reply.status == TableStatus::kConflict ? now : now + kRetryDelay;
    board->open_notes.at(number).step = NoteStep::kReading;
    return;
  }
  OpenNote& open = board->open_notes.at(number);
  board->world_row_version = std::max(board->world_row_version, reply.version);
  NoteError error;
  // The write succeeded only because the row held the world known here.
  std::optional<World> next = ApplyNote(board->world, open.note, &error);
  if (next.has_value()) AdoptWorld(board, std::move(*next));
  StartConfirming(board, now, number);
}

}  // namespace

std::uint64_t OnOperatorNote(EntryBoard* board, core::Time now,
                             ReleaseNote note) {
  const std::uint64_t number = board->next_request++;
  OpenNote open;
  open.note = std::move(note);
  open.started_at = now;
  board->open_notes.emplace(number, std::move(open));
  ReadWorld(board, now, number);
  return number;
}

void HandleNoteReply(EntryBoard* board, core::Time now, std::uint64_t number,
                     const TableReply& reply) {
  const auto found = board->open_notes.find(number);
  if (found == board->open_notes.end()) return;
  if (found->second.step == NoteStep::kReading) {
    HandleReadReply(board, now, number, reply);
  } else if (found->second.step == NoteStep::kWriting) {
    HandleWriteReply(board, now, number, reply);
  }
}

void TickNotes(EntryBoard* board, core::Time now) {
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, open] : board->open_notes)
    numbers.push_back(number);
  for (const std::uint64_t number : numbers) {
    OpenNote& open = board->open_notes.at(number);
    if (open.step == NoteStep::kConfirming) {
      if (now - open.started_at >= kConfirmTimeout &&
          !IsConfirmed(*board, open)) {
        FinishNote(board, number, NoteState::kPending,
                   {"Too few entries have confirmed the note so far."});
        continue;
      }
      FinishIfConfirmed(board, number);
      continue;
    }
    if (now - open.started_at >= kWriteTimeout) {
      FinishNote(board, number, NoteState::kUnavailable,
                 {"The platform's table does not answer."});
      continue;
    }
    if (now >= open.retry_at) {
      open.retry_at = core::kNever;
      ReadWorld(board, now, number);
    }
  }
}

}  // namespace tarragon::dispatch
