#include "tarragon/dispatch/entry.h"

#include <algorithm>
#include <utility>

#include "entry_parts.h"

namespace tarragon::dispatch {
namespace {

/// Time that a stopping entry waits for its removal from the list.
constexpr core::Duration kDeregistrationTimeout = std::chrono::seconds(10);

class MessageHandler {
 public:
  MessageHandler(EntryBoard* board, core::Time now, const core::NodeId& from)
      : board_(board), now_(now), from_(from) {}

  void operator()(Heartbeat& m) { HandleHeartbeat(board_, now_, from_, m); }
  void operator()(EntryPing& m) { HandlePing(board_, now_, from_, m); }
  void operator()(EntryPong& m) {
    HandlePong(board_, now_, from_, std::move(m));
  }
  void operator()(Answer& m) {
    HandleAnswer(board_, now_, from_, std::move(m));
  }
  void operator()(Explanation& m) {
    HandleExplanation(board_, from_, std::move(m));
  }
  void operator()(Leaving& m) {
    // Only entries tell what an operator has said of another one.
    if (m.node != from_ && !IsListed(board_->entries, from_)) return;
    MarkEntryDead(board_, m.node);
    HandleLeavingHome(board_, now_, from_, m);
  }
  void operator()(Inherited& m) { HandleInherited(board_, now_, from_, m); }
  /// All other messages are for agents only.
  template <typename Other>
  void operator()(Other&) {}

 private:
  EntryBoard* board_;
  core::Time now_;
  core::NodeId from_;
};

/// Reads the list back at once to learn the outcome of the write.
void HandleEntriesWriteReply(EntryBoard* board, core::Time now) {
  board->next_poll = now;
}

}  // namespace

void Post(EntryBoard* board, const core::NodeId& to, Message message) {
  board->actions.emplace_back(SendMessage{to, std::move(message)});
}

void CallTable(EntryBoard* board, core::Time now, TablePurpose purpose,
               std::uint64_t request, TableCall call) {
  call.number = board->next_table_call++;
  board->open_table_calls[call.number] = OpenTableCall{purpose, now, request};
  if (call.operation == TableOperation::kRead) {
    ++board->counters.table_reads;
  } else {
    ++board->counters.table_writes;
  }
  board->actions.emplace_back(std::move(call));
}

void InitEntry(EntryBoard* board, core::Time now, const core::NodeId& self,
               const core::DomainId& domain, std::uint64_t seed) {
  board->self = self;
  board->domain = domain;
  board->random.seed(seed);
  board->started_at = now;
  board->next_poll = now;
  board->next_ping = now;
  board->next_registration = now;
}

void OnMessage(EntryBoard* board, core::Time now, const core::NodeId& from,
               Message message) {
  MessageHandler router(board, now, from);
  std::visit(router, message);
}

void OnPeerLost(EntryBoard* board, core::Time now, const core::NodeId& peer) {
  ScheduleResendsTo(board, now, peer);
  const auto member = board->members.find(peer);
  if (member == board->members.end()) return;
  member->second.disconnected = true;
  ++board->candidates_version;
}

void OnPeerGone(EntryBoard* board, core::Time now, const core::NodeId& peer) {
  RemoveHeirOfAllHomes(board, peer);
  EndOrRerouteRequestsTo(board, now, peer);
  RemoveMember(board, peer);
  MarkEntryDead(board, peer);
}

void OnTableReply(EntryBoard* board, core::Time now, TableReply reply) {
  const auto found = board->open_table_calls.find(reply.number);
  if (found == board->open_table_calls.end()) return;
  const OpenTableCall call = found->second;
  board->open_table_calls.erase(found);
  if (reply.status != TableStatus::kUnavailable &&
      reply.status != TableStatus::kUnknown) {
    board->table_answered_at = now;
  }
  switch (call.purpose) {
    case TablePurpose::kPollWorld:
      HandleWorldRead(board, call.sent_at, std::move(reply));
      return;
    case TablePurpose::kPollEntries:
      HandleEntriesRead(board, now, call.sent_at, std::move(reply));
      return;
    case TablePurpose::kWriteEntries:
      HandleEntriesWriteReply(board, now);
      return;
    case TablePurpose::kNote:
      HandleNoteReply(board, now, call.request, reply);
      return;
    case TablePurpose::kBindKey:
      HandleKeyReply(board, now, call.request, reply);
      return;
  }
}

void OnTick(EntryBoard* board, core::Time now) {
  TickFreshness(board, now);
  TickRegistration(board, now);
  TickMembers(board, now);
  TickHeirs(board, now);
  TickRequests(board, now);
  TickNotes(board, now);
}

void RequestStop(EntryBoard* board, core::Time now) {
  if (board->stopping) return;
  board->stopping = true;
  board->stop_requested_at = now;
  board->next_registration = now;
}

bool IsStopFinished(const EntryBoard& board, core::Time now) {
  if (!board.stopping) return false;
  const core::Duration waited = now - board.stop_requested_at;
  if (waited >= board.policy.drain_limit) return true;
  if (!board.requests.empty() || !board.open_notes.empty()) return false;
  // The change of the list cannot be confirmed without this entry.
  return !IsListed(board.entries, board.self) ||
         waited >= kDeregistrationTimeout;
}

std::optional<std::string> NotReadyReason(const EntryBoard& board,
                                          core::Time now) {
  if (board.stopping) return "The entry is being stopped.";
  if (PermitLifetime(board, now).count() <= 0) {
    return "Neither the table nor other entries confirm the release note.";
  }
  const bool has_home = std::any_of(
      board.members.begin(), board.members.end(),
      [](const auto& member) { return !member.second.status.leaving; });
  if (!has_home) return "No agent that takes new jobs is known.";
  return std::nullopt;
}

}  // namespace tarragon::dispatch
