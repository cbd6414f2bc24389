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

/// Maximum number of stopped homes for which one agent answers.
constexpr std::size_t kMaxInherited = 16;
/// Inherited snapshots may take 1/2 of `max_home_bytes`.
constexpr std::uint64_t kInheritedBytesDivisor = 2;
/// Estimated bytes of a record besides its texts.
constexpr std::uint64_t kRecordOverheadBytes = 160;
/// Inherited homes are announced again after this many heartbeat intervals,
/// because an announcement may be lost.
constexpr int kAnnounceHeartbeats = 3;
/// An incomplete snapshot is dropped if no part arrives for this long.
constexpr core::Duration kIncomingTimeout = std::chrono::seconds(20);
/// Retry delay in refusals on behalf of a stopped home.
constexpr core::Duration kLeavingPause = std::chrono::milliseconds(100);

void ReleaseBytes(AgentBoard* board, std::uint64_t bytes) {
  board->bytes_held -= std::min(board->bytes_held, bytes);
}

std::uint64_t InheritedBytes(const AgentBoard& board) {
  std::uint64_t bytes = 0;
  for (const auto& [home, snapshot] : board.inherited_snapshots) {
    bytes += snapshot.bytes;
  }
  for (const auto& [home, incoming] : board.incoming_handovers) {
    bytes += incoming.declared_bytes;
  }
  return bytes;
}

bool HasRoomForSnapshot(const AgentBoard& board, std::uint64_t bytes) {
  if (board.inherited_snapshots.size() + board.incoming_handovers.size() >=
      kMaxInherited) {
    return false;
  }
  const std::uint64_t max_bytes =
      board.policy.max_home_bytes / kInheritedBytesDivisor;
  return bytes <= max_bytes && InheritedBytes(board) <= max_bytes - bytes;
}

void DropIncoming(AgentBoard* board, const core::NodeId& home) {
  const auto found = board->incoming_handovers.find(home);
  if (found == board->incoming_handovers.end()) return;
  ReleaseBytes(board, found->second.declared_bytes);
  board->incoming_handovers.erase(found);
}

/// The transfer that the part belongs to; a first part from another sender
/// starts it again. Null if the part is refused.
IncomingHandover* FindIncoming(AgentBoard* board, core::Time now,
                               const core::NodeId& sender,
                               const Handover& part) {
  const auto found = board->incoming_handovers.find(part.home);
  if (found != board->incoming_handovers.end() &&
      found->second.sender == sender) {
    return &found->second;
  }
  if (part.sequence != 0) return nullptr;
  DropIncoming(board, part.home);
  if (!HasRoomForSnapshot(*board, part.bytes)) return nullptr;
  IncomingHandover incoming;
  incoming.sender = sender;
  incoming.declared_bytes = part.bytes;
  incoming.snapshot.oldest_epoch = part.oldest_epoch;
  incoming.snapshot.expires_at = now + part.time_left;
  board->bytes_held += part.bytes;
  return &board->incoming_handovers.emplace(part.home, std::move(incoming))
              .first->second;
}

void AddRecords(core::Time now, std::vector<KeptAnswer> records,
                HomeSnapshot* snapshot) {
  for (KeptAnswer& kept : records) {
    SnapshotRecord record;
    record.answer = std::move(kept.answer);
    record.body_digest = kept.body_digest;
    record.expires_at = now + kept.time_left;
    record.answer_dropped = kept.dropped;
    snapshot->bytes += RecordBytes(record);
    const core::JobKey key = record.answer.key;
    snapshot->records.emplace(key, std::move(record));
  }
}

void AnnounceInherited(AgentBoard* board) {
  Inherited inherited{board->self, {}};
  for (const auto& [home, snapshot] : board->inherited_snapshots) {
    const auto given = board->outgoing_handovers.find(home);
    const bool handed_on =
        given != board->outgoing_handovers.end() && given->second.finished;
    if (home != board->self && !handed_on) inherited.homes.push_back(home);
  }
  if (!inherited.homes.empty()) BroadcastToEntries(board, inherited);
}

/// Stores the part. The last part completes the snapshot, from which the agent
/// answers from then on.
void StorePart(AgentBoard* board, core::Time now, Handover part,
               IncomingHandover* incoming) {
  ++incoming->received_parts;
  incoming->last_part_at = now;
  AddRecords(now, std::move(part.records), &incoming->snapshot);
  if (!part.last) return;
  ReleaseBytes(board, incoming->declared_bytes);
  board->bytes_held += incoming->snapshot.bytes;
  board->inherited_snapshots[part.home] = std::move(incoming->snapshot);
  board->incoming_handovers.erase(part.home);
  AnnounceInherited(board);
}

/// Drops expired answers; their outcomes stay.
void DropExpiredAnswers(AgentBoard* board, core::Time now,
                        HomeSnapshot* snapshot) {
  for (auto& [key, record] : snapshot->records) {
    if (record.answer_dropped || record.expires_at > now) continue;
    const std::uint64_t before = RecordBytes(record);
    record.answer_dropped = true;
    record.answer.results.clear();
    record.answer.results.shrink_to_fit();
    const std::uint64_t freed = before - RecordBytes(record);
    snapshot->bytes -= std::min(snapshot->bytes, freed);
    ReleaseBytes(board, freed);
  }
}

void DropExpiredSnapshots(AgentBoard* board, core::Time now) {
  for (auto it = board->inherited_snapshots.begin();
       it != board->inherited_snapshots.end();) {
    if (it->second.expires_at > now) {
      DropExpiredAnswers(board, now, &it->second);
      ++it;
      continue;
    }
    ReleaseBytes(board, it->second.bytes);
    it = board->inherited_snapshots.erase(it);
  }
  std::vector<core::NodeId> silent;
  for (const auto& [home, incoming] : board->incoming_handovers) {
    if (now - incoming.last_part_at >= kIncomingTimeout) silent.push_back(home);
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

/// The answer for a job of which only the outcome is known.
JobAnswer MakeDroppedAnswer(const core::JobKey& key, Outcome outcome) {
  if (outcome == Outcome::kNotRun) {
    return MakeAnswer(key, outcome, Reason::kCancelled,
                      "The key was cancelled before any task was run.");
  }
  return MakeAnswer(key, Outcome::kUnknown, Reason::kAnswerDropped,
                    "The job ended as " + std::string(Name(outcome)) +
                        "; its answer is no longer kept.");
}

void SendJobAnswer(AgentBoard* board, const core::NodeId& entry,
                   std::uint64_t request, JobAnswer job_answer) {
  Answer answer{request, std::move(job_answer), 0};
  answer.results_digest = Digest(answer.answer.results);
  Post(board, entry, std::move(answer));
}

/// The complete snapshot of the home that a key names, and the key's record in
/// it; null if missing.
struct SnapshotLookup {
  const HomeSnapshot* snapshot = nullptr;
  const SnapshotRecord* record = nullptr;
  /// The snapshot has every key of this epoch that the home has run.
  bool covers_epoch = false;
};

SnapshotLookup LookUpKey(const AgentBoard& board, const core::JobKey& key) {
  SnapshotLookup lookup;
  const std::optional<Handle> handle = ParseHandle(key);
  if (!handle.has_value()) return lookup;
  const auto snapshot = board.inherited_snapshots.find(handle->home);
  if (snapshot == board.inherited_snapshots.end()) return lookup;
  lookup.snapshot = &snapshot->second;
  lookup.covers_epoch = handle->epoch >= snapshot->second.oldest_epoch;
  const auto record = snapshot->second.records.find(key);
  if (record != snapshot->second.records.end()) lookup.record = &record->second;
  return lookup;
}

JobAnswer MakeRecordedAnswer(core::Time now, const core::JobKey& key,
                             const SnapshotRecord& record) {
  if (record.answer_dropped || record.expires_at <= now) {
    return MakeDroppedAnswer(key, record.answer.outcome);
  }
  return record.answer;
}

/// Answers from the key's record, or with `not_run` if the snapshot covers the
/// key's epoch and has no record of it.
bool AnswerFromSnapshot(AgentBoard* board, core::Time now,
                        const core::NodeId& entry, std::uint64_t request,
                        const SnapshotLookup& lookup, JobAnswer not_run) {
  if (lookup.snapshot == nullptr) return false;
  const core::JobKey key = not_run.key;
  if (lookup.record != nullptr) {
    SendJobAnswer(board, entry, request,
                  MakeRecordedAnswer(now, key, *lookup.record));
    return true;
  }
  if (!lookup.covers_epoch) {
    not_run =
        MakeAnswer(key, Outcome::kUnknown, Reason::kHandleExpired,
                   "The key is too old: the home no longer remembers its job.");
  }
  SendJobAnswer(board, entry, request, std::move(not_run));
  return true;
}

}  // namespace

std::uint64_t RecordBytes(const SnapshotRecord& record) {
  std::uint64_t bytes = kRecordOverheadBytes +
                        2 * record.answer.key.value().size() +
                        record.answer.detail.size();
  for (const std::string& result : record.answer.results) {
    bytes += sizeof(std::string) + result.size();
  }
  return bytes;
}

void BroadcastToEntries(AgentBoard* board, const Message& message) {
  std::set<core::NodeId> entries;
  for (const EntryMember& member : board->entries.members) {
    entries.insert(member.node);
  }
  for (const EntryLink& link : board->entry_links) {
    if (link.node.address == link.address) entries.insert(link.node);
  }
  for (const core::NodeId& entry : entries) Post(board, entry, message);
}

void HandleHandover(AgentBoard* board, core::Time now,
                    const core::NodeId& sender, Handover part) {
  const core::NodeId home = part.home;
  if (board->stopping) {
    Post(board, sender, HandoverAck{home, 0, true});
    return;
  }
  if (board->inherited_snapshots.count(home) > 0) {
    Post(board, sender, HandoverAck{home, part.sequence + 1, false});
    return;
  }
  IncomingHandover* incoming = FindIncoming(board, now, sender, part);
  if (incoming == nullptr || part.sequence > incoming->received_parts) {
    Post(board, sender, HandoverAck{home, 0, true});
    return;
  }
  if (part.sequence < incoming->received_parts) {
    Post(board, sender, HandoverAck{home, incoming->received_parts, false});
    return;
  }
  const std::uint64_t received = part.sequence + 1;
  StorePart(board, now, std::move(part), incoming);
  Post(board, sender, HandoverAck{home, received, false});
}

void TickHeir(AgentBoard* board, core::Time now) {
  if (now < board->next_heir_tick_at) return;
  board->next_heir_tick_at =
      now + kAnnounceHeartbeats * board->policy.heartbeat_interval;
  DropExpiredSnapshots(board, now);
  AnnounceInherited(board);
}

bool AnswerIfInherited(AgentBoard* board, core::Time now,
                       const core::NodeId& entry, const Submit& submit) {
  const core::JobKey& key = submit.spec.key;
  const SnapshotLookup lookup = LookUpKey(*board, key);
  if (lookup.snapshot == nullptr) return false;
  const bool kept = lookup.record != nullptr && !lookup.record->answer_dropped;
  if (kept && lookup.record->body_digest != submit.body_digest) {
    SendJobAnswer(board, entry, submit.request,
                  MakeAnswer(key, Outcome::kNotRun, Reason::kKeyReused,
                             "The key was used with a different body."));
    return true;
  }
  JobAnswer not_run = MakeAnswer(
      key, Outcome::kNotRun, Reason::kLeaving,
      "The home was stopped and did not run the job; get a new handle.");
  not_run.retry_after = kLeavingPause;
  const bool refused = lookup.record == nullptr && lookup.covers_epoch;
  if (refused) ++board->counters.refusals[std::string(Name(Reason::kLeaving))];
  return AnswerFromSnapshot(board, now, entry, submit.request, lookup,
                            std::move(not_run));
}

bool AnswerIfInherited(AgentBoard* board, core::Time now,
                       const core::NodeId& entry, const Query& query) {
  return AnswerFromSnapshot(board, now, entry, query.request,
                            LookUpKey(*board, query.key),
                            MakeAnswer(query.key, Outcome::kNotRun,
                                       Reason::kNone, kUnknownKeyDetail));
}

bool AnswerIfInherited(AgentBoard* board, core::Time now,
                       const core::NodeId& entry, const Cancel& cancel) {
  // A stopped home accepts no jobs, so a key without a record never runs.
  return AnswerFromSnapshot(board, now, entry, cancel.request,
                            LookUpKey(*board, cancel.key),
                            MakeDroppedAnswer(cancel.key, Outcome::kNotRun));
}

bool AnswerIfInherited(AgentBoard* board, const core::NodeId& entry,
                       const Explain& explain) {
  const SnapshotLookup lookup = LookUpKey(*board, explain.key);
  if (lookup.snapshot == nullptr) return false;
  if (lookup.record == nullptr) {
    Post(board, entry,
         Explanation{
             explain.request, KeyHistory::kUnknownKey, {kUnknownKeyDetail}});
    return true;
  }
  Post(board, entry,
       Explanation{explain.request,
                   KeyHistory::kKnown,
                   {"Ended; the history is no longer kept."}});
  return true;
}

}  // namespace tarragon::dispatch
