#ifndef TARRAGON_DISPATCH_HOME_SNAPSHOT_H_
#define TARRAGON_DISPATCH_HOME_SNAPSHOT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/job.h"

/// The snapshot that a stopping home makes of its job records, and its transfer
/// to an heir: another agent that answers for the home's keys from then on.

namespace tarragon::dispatch {

/// The snapshot's record of one key.
struct SnapshotRecord {
  JobAnswer answer;
  /// Digest of the client's request, to detect that a key was reused for a
  /// different one.
  std::uint64_t body_digest = 0;
  /// When the answer is dropped; its outcome stays.
  core::Time expires_at;
  /// The answer was dropped; only its outcome is known.
  bool answer_dropped = false;
};

/// Every key that one home knew when it stopped accepting jobs. A key of
/// `oldest_epoch` or later that is not in `records` was never run.
struct HomeSnapshot {
  std::uint32_t oldest_epoch = 0;
  /// When the whole snapshot is deleted.
  core::Time expires_at;
  /// Estimated size, counted in the board's `bytes_held`.
  std::uint64_t bytes = 0;
  std::map<core::JobKey, SnapshotRecord> records;
};

/// An incomplete snapshot that is being received. Nothing is answered from it.
struct IncomingHandover {
  core::NodeId sender;
  /// Size declared by the sender, counted in `bytes_held` until the snapshot is
  /// complete.
  std::uint64_t declared_bytes = 0;
  /// Number of parts received so far; they arrive in order.
  std::uint64_t received_parts = 0;
  core::Time last_part_at;
  HomeSnapshot snapshot;
};

/// A snapshot that is being sent to an heir, one part at a time.
struct OutgoingHandover {
  std::optional<core::NodeId> heir;
  /// Agents that were asked, including the current one.
  std::set<core::NodeId> tried_heirs;
  /// If no agent can be the heir, the home waits for one until this time.
  core::Time heir_search_until;
  /// The unconfirmed part: its number, the key before its first key, its last
  /// key, and whether it is the last part.
  std::uint64_t part_number = 0;
  std::optional<core::JobKey> part_after_key;
  std::optional<core::JobKey> part_last_key;
  bool is_last_part = false;
  core::Time resend_at;
  /// When the heir last confirmed a part.
  core::Time last_ack_at;
  /// The heir confirmed the last part, or no agent accepted the snapshot.
  bool finished = false;
};

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_HOME_SNAPSHOT_H_
