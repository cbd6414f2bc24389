#include "heir.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "outbox.h"
#include "tarragon/dispatch/digest.h"
#include "tarragon/dispatch/handle.h"

namespace tarragon::dispatch {
namespace {

/// Former homes for which one agent answers.
constexpr std::size_t kMaxInherited = 16;
/// Part of the bytes of a home that inherited memories may fill.
constexpr std::uint64_t kInheritedShare = 2;
/// Bytes of a record besides its texts.
constexpr std::uint64_t kRecordOverhead = 160;
/// Entries are told again after so many heartbeats: what was told may be lost.
constexpr int kTellHeartbeats = 3;
/// A memory of which no part arrives for this long is dropped.
constexpr core::Duration kIncomingTimeout = std::chrono::seconds(20);
/// Pause after a refusal in the name of a home that was stopped.
constexpr core::Duration kLeavingPause = std::chrono::milliseconds(100);

void ForgetBytes(AgentBoard* board, std::uint64_t bytes) {
  board->bytes_held -= std::min(board->bytes_held, bytes);
}

std::uint64_t InheritedBytes(const AgentBoard& board) {
  std::uint64_t bytes = 0;
  for (const auto& [home, memory] : board.inherited) bytes += memory.bytes;
  for (const auto& [home, incoming] : board.incoming) {
    bytes += incoming.declared;
  }
  return bytes;
}

bool HasRoom(const AgentBoard& board, std::uint64_t bytes) {
  if (board.inherited.size() + board.incoming.size() >= kMaxInherited) {
    return false;
  }
  const std::uint64_t most = board.policy.max_home_bytes / kInheritedShare;
  return bytes <= most && InheritedBytes(board) <= most - bytes;
}

void DropIncoming(AgentBoard* board, const core::NodeId& home) {
  const auto found = board->incoming.find(home);
  if (found == board->incoming.end()) return;
  ForgetBytes(board, found->second.declared);
  board->incoming.erase(found);
}

/// The transfer to which the part belongs, begun anew by its first part. Null
/// when the part is refused.
IncomingHandover* FindIncoming(AgentBoard* board, core::Time now,
                               const core::NodeId& giver,
                               const Handover& part) {
  const auto found = board->incoming.find(part.home);
  if (found != board->incoming.end() && found->second.giver == giver) {
    return &found->second;
  }
  if (part.sequence != 0) return nullptr;
  DropIncoming(board, part.home);
  if (!HasRoom(*board, part.bytes)) return nullptr;
  IncomingHandover incoming;
  incoming.giver = giver;
  incoming.declared = part.bytes;
  incoming.memory.oldest_epoch = part.oldest_epoch;
  incoming.memory.until = now + part.time_left;
  board->bytes_held += part.bytes;
  return &board->incoming.emplace(part.home, std::move(incoming)).first->second;
}

void TakeRecords(core::Time now, std::vector<KeptAnswer> records,
                 KeptMemory* memory) {
  for (KeptAnswer& kept : records) {
    KeptRecord record;
    record.answer = std::move(kept.answer);
    record.body_digest = kept.body_digest;
    record.until = now + kept.time_left;
    record.dropped = kept.dropped;
    memory->bytes += RecordBytes(record);
    const core::JobKey key = record.answer.key;
    memory->records.emplace(key, std::move(record));
  }
}

void TellInherited(AgentBoard* board) {
  Inherited inherited{board->self, {}};
  for (const auto& [home, memory] : board->inherited) {
    const auto given = board->outgoing.find(home);
    const bool handed_on =
        given != board->outgoing.end() && given->second.settled;
    if (home != board->self && !handed_on) inherited.homes.push_back(home);
  }
  if (!inherited.homes.empty()) TellEntries(board, inherited);
}

/// Confirms the part; with the last one the memory is whole and answers.
void TakePart(AgentBoard* board, core::Time now, Handover part,
              IncomingHandover* incoming) {
  ++incoming->received;
  incoming->heard = now;
  TakeRecords(now, std::move(part.records), &incoming->memory);
  if (!part.last) return;
  ForgetBytes(board, incoming->declared);
  board->bytes_held += incoming->memory.bytes;
  board->inherited[part.home] = std::move(incoming->memory);
  board->incoming.erase(part.home);
  TellInherited(board);
}

/// Drops answers whose time has passed; their outcomes stay.
void DropOldAnswers(AgentBoard* board, core::Time now, KeptMemory* memory) {
  for (auto& [key, record] : memory->records) {
    if (record.dropped || record.until > now) continue;
    const std::uint64_t before = RecordBytes(record);
    record.dropped = true;
    record.answer.results.clear();
    record.answer.results.shrink_to_fit();
    const std::uint64_t freed = before - RecordBytes(record);
    memory->bytes -= std::min(memory->bytes, freed);
    ForgetBytes(board, freed);
  }
}

void ForgetOld(AgentBoard* board, core::Time now) {
  for (auto it = board->inherited.begin(); it != board->inherited.end();) {
    if (it->second.until > now) {
      DropOldAnswers(board, now, &it->second);
      ++it;
      continue;
    }
    ForgetBytes(board, it->second.bytes);
    it = board->inherited.erase(it);
  }
  std::vector<core::NodeId> silent;
  for (const auto& [home, incoming] : board->incoming) {
    if (now - incoming.heard >= kIncomingTimeout) silent.push_back(home);
  }
  for (const core::NodeId& home : silent) DropIncoming(board, home);
}

JobAnswer MakeAnswer(const core::JobKey& key, Outcome outcome, Reason reason,
                     const std::string& detail) {
  JobAnswer answer;
  answer.key = key;
  answer.outcome = outcome;
  answer.reason = reason;
  answer.detail = detail;
  return answer;
}

/// What is left of a job whose answer is no longer kept.
JobAnswer DroppedAnswer(const core::JobKey& key, Outcome outcome) {
  if (outcome == Outcome::kNotRun) {
    return MakeAnswer(key, outcome, Reason::kCancelled,
                      "The key was cancelled before any task was run.");
  }
  return MakeAnswer(key, Outcome::kUnknown, Reason::kAnswerDropped,
                    "The job ended as " + std::string(Name(outcome)) +
                        "; its answer is no longer kept.");
}

void Send(AgentBoard* board, const core::NodeId& entry, std::uint64_t request,
          JobAnswer job_answer) {
  Answer answer{request, std::move(job_answer), 0};
  answer.results_digest = Digest(answer.answer.results);
  Post(board, entry, std::move(answer));
}

/// Whole memory of the home that the key names, with the key's epoch.
struct Lookup {
  const KeptMemory* memory = nullptr;
  const KeptRecord* record = nullptr;
  /// The home remembered every key of this epoch that it had run.
  bool remembered = false;
};

Lookup Find(const AgentBoard& board, const core::JobKey& key) {
  Lookup lookup;
  const std::optional<Handle> handle = ParseHandle(key);
  if (!handle.has_value()) return lookup;
  const auto memory = board.inherited.find(handle->home);
  if (memory == board.inherited.end()) return lookup;
  lookup.memory = &memory->second;
  lookup.remembered = handle->epoch >= memory->second.oldest_epoch;
  const auto record = memory->second.records.find(key);
  if (record != memory->second.records.end()) lookup.record = &record->second;
  return lookup;
}

JobAnswer RecordAnswer(core::Time now, const core::JobKey& key,
                       const KeptRecord& record) {
  if (record.dropped || record.until <= now) {
    return DroppedAnswer(key, record.answer.outcome);
  }
  return record.answer;
}

/// Answers from the record, or with `not_run` for a key that the home never
/// took in, if it would still have known.
bool AnswerFrom(AgentBoard* board, core::Time now, const core::NodeId& entry,
                std::uint64_t request, const Lookup& lookup,
                JobAnswer not_run) {
  if (lookup.memory == nullptr) return false;
  const core::JobKey key = not_run.key;
  if (lookup.record != nullptr) {
    Send(board, entry, request, RecordAnswer(now, key, *lookup.record));
    return true;
  }
  if (!lookup.remembered) {
    not_run = MakeAnswer(key, Outcome::kUnknown, Reason::kHandleExpired,
                         "The key is older than the home's memory.");
  }
  Send(board, entry, request, std::move(not_run));
  return true;
}

}  // namespace

std::uint64_t RecordBytes(const KeptRecord& record) {
  std::uint64_t bytes = kRecordOverhead + 2 * record.answer.key.value().size() +
                        record.answer.detail.size();
  for (const std::string& result : record.answer.results) {
    bytes += sizeof(std::string) + result.size();
  }
  return bytes;
}

void TellEntries(AgentBoard* board, const Message& message) {
  std::set<core::NodeId> entries;
  for (const EntryMember& member : board->entries.members) {
    entries.insert(member.node);
  }
  for (const EntryLink& link : board->links) {
    if (link.node.address == link.address) entries.insert(link.node);
  }
  for (const core::NodeId& entry : entries) Post(board, entry, message);
}

void HandleHandover(AgentBoard* board, core::Time now,
                    const core::NodeId& giver, Handover part) {
  const core::NodeId home = part.home;
  if (board->stopping) {
    Post(board, giver, HandoverAck{home, 0, true});
    return;
  }
  if (board->inherited.count(home) > 0) {
    Post(board, giver, HandoverAck{home, part.sequence + 1, false});
    return;
  }
  IncomingHandover* incoming = FindIncoming(board, now, giver, part);
  if (incoming == nullptr || part.sequence > incoming->received) {
    Post(board, giver, HandoverAck{home, 0, true});
    return;
  }
  if (part.sequence < incoming->received) {
    Post(board, giver, HandoverAck{home, incoming->received, false});
    return;
  }
  const std::uint64_t received = part.sequence + 1;
  TakePart(board, now, std::move(part), incoming);
  Post(board, giver, HandoverAck{home, received, false});
}

void TickHeir(AgentBoard* board, core::Time now) {
  if (now < board->next_heir_tick) return;
  board->next_heir_tick =
      now + kTellHeartbeats * board->policy.heartbeat_interval;
  ForgetOld(board, now);
  TellInherited(board);
}

bool AnswerInherited(AgentBoard* board, core::Time now,
                     const core::NodeId& entry, const Submit& submit) {
  const core::JobKey& key = submit.spec.key;
  const Lookup lookup = Find(*board, key);
  if (lookup.memory == nullptr) return false;
  const bool kept = lookup.record != nullptr && !lookup.record->dropped;
  if (kept && lookup.record->body_digest != submit.body_digest) {
    Send(board, entry, submit.request,
         MakeAnswer(key, Outcome::kNotRun, Reason::kKeyReused,
                    "The key was used with a different body."));
    return true;
  }
  JobAnswer not_run =
      MakeAnswer(key, Outcome::kNotRun, Reason::kLeaving,
                 "The home was stopped and never ran it; take a fresh handle.");
  not_run.retry_after = kLeavingPause;
  const bool refused = lookup.record == nullptr && lookup.remembered;
  if (refused) ++board->counters.refusals[std::string(Name(Reason::kLeaving))];
  return AnswerFrom(board, now, entry, submit.request, lookup,
                    std::move(not_run));
}

bool AnswerInherited(AgentBoard* board, core::Time now,
                     const core::NodeId& entry, const Query& query) {
  return AnswerFrom(board, now, entry, query.request, Find(*board, query.key),
                    MakeAnswer(query.key, Outcome::kNotRun, Reason::kNone,
                               "No job is known under this key."));
}

bool AnswerInherited(AgentBoard* board, core::Time now,
                     const core::NodeId& entry, const Cancel& cancel) {
  // The memory takes in nothing: what it does not know never runs.
  return AnswerFrom(board, now, entry, cancel.request, Find(*board, cancel.key),
                    DroppedAnswer(cancel.key, Outcome::kNotRun));
}

bool AnswerInherited(AgentBoard* board, const core::NodeId& entry,
                     const Explain& explain) {
  const Lookup lookup = Find(*board, explain.key);
  if (lookup.memory == nullptr) return false;
  Post(board, entry,
       Explanation{
           explain.request,
           {lookup.record != nullptr ? "Ended; the history is no longer kept."
                                     : "No job is known under this key."}});
  return true;
}

}  // namespace tarragon::dispatch
