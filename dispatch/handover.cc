#include <algorithm>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "heir.h"
#include "home.h"
#include "outbox.h"
#include "placement.h"
#include "tarragon/dispatch/agent.h"

namespace tarragon::dispatch {
namespace {

/// Maximum size of a part, far below the limit of a frame. A part with a single
/// record may be larger.
constexpr std::uint64_t kMaxPartBytes = std::uint64_t{256} * 1024;
/// The answers in the own snapshot may take 1/4 of `max_home_bytes`.
constexpr std::uint64_t kAnswerBytesDivisor = 4;
/// Maximum number of agents that are asked to accept one snapshot.
constexpr std::size_t kMaxHeirs = 4;
/// A home without a possible heir waits for one for this many heartbeat
/// intervals.
constexpr int kSearchHeartbeats = 2;
/// An unconfirmed part is resent after this time.
constexpr core::Duration kResendInterval = std::chrono::milliseconds(300);
/// Another heir is asked if no part has been confirmed for this long.
constexpr core::Duration kHeirTimeout = std::chrono::seconds(2);

void AddRecord(SnapshotRecord record, HomeSnapshot* snapshot) {
  snapshot->bytes += RecordBytes(record);
  const core::JobKey key = record.answer.key;
  snapshot->records.emplace(key, std::move(record));
}

SnapshotRecord MakeOutcomeRecord(const core::JobKey& key, Outcome outcome) {
  SnapshotRecord record;
  record.answer.key = key;
  record.answer.outcome = outcome;
  record.answer_dropped = true;
  return record;
}

/// Moves the final answers into the snapshot, the newest first. Of answers
/// beyond the size limit only the outcome is recorded.
void MoveAnswersToSnapshot(AgentBoard* board, HomeSnapshot* snapshot) {
  const std::uint64_t max_bytes =
      board->policy.max_home_bytes / kAnswerBytesDivisor;
  for (auto it = board->kept_answers.rbegin(); it != board->kept_answers.rend();
       ++it) {
    const auto job = board->jobs.find(it->second);
    if (job == board->jobs.end()) continue;
    ReleaseRecordBytes(board, job->second);
    SnapshotRecord record;
    record.body_digest = job->second.body_digest;
    record.expires_at = it->first;
    record.answer = std::move(job->second.answer);
    if (snapshot->bytes + RecordBytes(record) > max_bytes) {
      record = MakeOutcomeRecord(it->second, record.answer.outcome);
    }
    AddRecord(std::move(record), snapshot);
  }
}

/// Moves all records of ended jobs into the snapshot of this home. It is final,
/// because no job is active and none will be accepted.
void TakeSnapshot(AgentBoard* board, core::Time now) {
  const std::uint32_t current_epoch = CurrentHandleEpoch(*board, now);
  const std::uint32_t epochs = board->policy.handle_epochs;
  HomeSnapshot snapshot;
  snapshot.oldest_epoch = current_epoch > epochs ? current_epoch - epochs : 0;
  snapshot.expires_at = now + (epochs + 1) * board->policy.handle_epoch;
  MoveAnswersToSnapshot(board, &snapshot);
  for (const auto& [key, tombstone] : board->tombstones) {
    AddRecord(MakeOutcomeRecord(key, tombstone.outcome), &snapshot);
  }
  board->jobs.clear();
  board->kept_answers.clear();
  board->tombstones.clear();
  board->bytes_held += snapshot.bytes;
  board->inherited_snapshots[board->self] = std::move(snapshot);
  board->incoming_handovers.clear();
  board->snapshot_taken = true;
}

/// Preference for an agent as heir; the lowest rank is best: another domain,
/// then the own one, then a domain out of service.
int HeirRank(const AgentBoard& board, const AgentStatus& status) {
  if (!IsDomainInService(board.world, status.domain)) return 2;
  return status.domain == board.domain ? 1 : 0;
}

/// A random one of the best agents that are not leaving and were not asked yet,
/// in another failure domain if possible.
std::optional<core::NodeId> ChooseHeir(AgentBoard* board, core::Time now,
                                       const OutgoingHandover& outgoing) {
  if (outgoing.tried_heirs.size() >= kMaxHeirs) return std::nullopt;
  std::vector<core::NodeId> best;
  int best_rank = 0;
  for (const auto& [node, peer] : board->peers) {
    const bool able = node != board->self && !peer.status.leaving &&
                      peer.avoid_until <= now &&
                      outgoing.tried_heirs.count(node) == 0;
    if (!able) continue;
    const int rank = HeirRank(*board, peer.status);
    if (!best.empty() && rank > best_rank) continue;
    if (rank < best_rank) best.clear();
    best_rank = rank;
    best.push_back(node);
  }
  if (best.empty()) return std::nullopt;
  std::uniform_int_distribution<std::size_t> index(0, best.size() - 1);
  return best[index(board->random)];
}

/// The first record after the key, or the first of all without a key.
auto RecordsAfter(const HomeSnapshot& snapshot,
                  const std::optional<core::JobKey>& after) {
  return after.has_value() ? snapshot.records.upper_bound(*after)
                           : snapshot.records.begin();
}

/// Sets the bounds of the next part. They stay the same when the part is
/// resent.
void ChoosePart(const AgentBoard& board, const core::NodeId& home,
                OutgoingHandover* outgoing) {
  const HomeSnapshot& snapshot = board.inherited_snapshots.at(home);
  const std::size_t max_records = board.policy.handover_part_records;
  std::uint64_t bytes = 0;
  std::size_t count = 0;
  auto next = RecordsAfter(snapshot, outgoing->part_after_key);
  outgoing->part_last_key = outgoing->part_after_key;
  while (next != snapshot.records.end() && count < max_records) {
    bytes += RecordBytes(next->second);
    if (count > 0 && bytes > kMaxPartBytes) break;
    outgoing->part_last_key = next->first;
    ++count;
    ++next;
  }
  outgoing->is_last_part = next == snapshot.records.end();
}

KeptAnswer MakeKeptAnswer(core::Time now, const SnapshotRecord& record) {
  KeptAnswer kept;
  kept.answer = record.answer;
  kept.body_digest = record.body_digest;
  kept.dropped = record.answer_dropped;
  if (!record.answer_dropped) kept.time_left = record.expires_at - now;
  return kept;
}

void SendPart(AgentBoard* board, core::Time now, const core::NodeId& home,
              OutgoingHandover* outgoing) {
  const HomeSnapshot& snapshot = board->inherited_snapshots.at(home);
  outgoing->resend_at = now + kResendInterval;
  Handover part;
  part.home = home;
  part.sequence = outgoing->part_number;
  part.last = outgoing->is_last_part;
  part.oldest_epoch = snapshot.oldest_epoch;
  part.time_left = snapshot.expires_at - now;
  part.bytes = snapshot.bytes;
  auto next = RecordsAfter(snapshot, outgoing->part_after_key);
  while (next != snapshot.records.end() &&
         outgoing->part_last_key.has_value() &&
         next->first <= *outgoing->part_last_key) {
    part.records.push_back(MakeKeptAnswer(now, next->second));
    ++next;
  }
  Post(board, *outgoing->heir, std::move(part));
}

/// Starts the transfer to another heir from the first part. If there is none,
/// the transfer ends once the search time or the number of heirs is used up.
void TryNextHeir(AgentBoard* board, core::Time now, const core::NodeId& home,
                 OutgoingHandover* outgoing) {
  outgoing->heir = ChooseHeir(board, now, *outgoing);
  outgoing->part_number = 0;
  outgoing->part_after_key.reset();
  if (!outgoing->heir.has_value()) {
    outgoing->finished = now >= outgoing->heir_search_until ||
                         outgoing->tried_heirs.size() >= kMaxHeirs;
    return;
  }
  outgoing->tried_heirs.insert(*outgoing->heir);
  outgoing->last_ack_at = now;
  ChoosePart(*board, home, outgoing);
  SendPart(board, now, home, outgoing);
}

void TickOutgoing(AgentBoard* board, core::Time now, const core::NodeId& home,
                  OutgoingHandover* outgoing) {
  if (outgoing->finished) return;
  if (board->inherited_snapshots.count(home) == 0) {
    outgoing->finished = true;
    return;
  }
  const bool silent = now - outgoing->last_ack_at >= kHeirTimeout;
  if (!outgoing->heir.has_value() || silent) {
    TryNextHeir(board, now, home, outgoing);
  } else if (now >= outgoing->resend_at) {
    SendPart(board, now, home, outgoing);
  }
}

}  // namespace

void TickHandover(AgentBoard* board, core::Time now) {
  if (!board->stopping || !board->active_jobs.empty()) return;
  if (!board->snapshot_taken) {
    TakeSnapshot(board, now);
    const core::Duration search =
        kSearchHeartbeats * board->policy.heartbeat_interval;
    for (const auto& [home, snapshot] : board->inherited_snapshots) {
      board->outgoing_handovers[home].heir_search_until = now + search;
    }
  }
  for (auto& [home, outgoing] : board->outgoing_handovers) {
    TickOutgoing(board, now, home, &outgoing);
  }
}

void HandleHandoverAck(AgentBoard* board, core::Time now,
                       const core::NodeId& from, const HandoverAck& ack) {
  const auto found = board->outgoing_handovers.find(ack.home);
  if (found == board->outgoing_handovers.end() || found->second.finished) {
    return;
  }
  OutgoingHandover& outgoing = found->second;
  if (outgoing.heir != from ||
      board->inherited_snapshots.count(ack.home) == 0) {
    return;
  }
  if (ack.refused) {
    TryNextHeir(board, now, ack.home, &outgoing);
    return;
  }
  if (ack.received <= outgoing.part_number) return;
  outgoing.last_ack_at = now;
  if (outgoing.is_last_part) {
    outgoing.finished = true;
    BroadcastToEntries(board, Inherited{from, {ack.home}});
    return;
  }
  outgoing.part_after_key = outgoing.part_last_key;
  ++outgoing.part_number;
  ChoosePart(*board, ack.home, &outgoing);
  SendPart(board, now, ack.home, &outgoing);
}

void HandlePeerGoneForHandover(AgentBoard* board, core::Time now,
                               const core::NodeId& peer) {
  for (auto& [home, outgoing] : board->outgoing_handovers) {
    const bool asked = !outgoing.finished && outgoing.heir == peer;
    if (asked && board->inherited_snapshots.count(home) > 0) {
      TryNextHeir(board, now, home, &outgoing);
    }
  }
}

bool IsHandoverFinished(const AgentBoard& board) {
  return board.snapshot_taken &&
         std::all_of(board.outgoing_handovers.begin(),
                     board.outgoing_handovers.end(),
                     [](const auto& item) { return item.second.finished; });
}

}  // namespace tarragon::dispatch
