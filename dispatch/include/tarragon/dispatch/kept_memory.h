#ifndef TARRAGON_DISPATCH_KEPT_MEMORY_H_
#define TARRAGON_DISPATCH_KEPT_MEMORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/job.h"

/// The frozen memory of a home that was stopped, and its transfer to an heir.

namespace tarragon::dispatch {

/// What is remembered of one key.
struct SnapshotRecord {
  JobAnswer answer;
  /// Digest of the client's body, by which a reused key is known.
  std::uint64_t body_digest = 0;
  /// The answer itself is dropped then; its outcome stays.
  core::Time expires_at;
  /// Only the outcome is known.
  bool answer_dropped = false;
};

/// Every key that one home knew when it took in no more jobs. A key of
/// `oldest_epoch` or a later one that is not here was never run.
struct HomeSnapshot {
  std::uint32_t oldest_epoch = 0;
  /// When all of it is forgotten.
  core::Time expires_at;
  /// Estimate, counted in the bytes that the home holds.
  std::uint64_t bytes = 0;
  std::map<core::JobKey, SnapshotRecord> records;
};

/// A memory of which some parts have arrived; nothing is answered from it.
struct IncomingHandover {
  core::NodeId sender;
  /// Size that the giver told; counted until the memory is whole.
  std::uint64_t declared_bytes = 0;
  /// Parts that have arrived, in order.
  std::uint64_t received_parts = 0;
  core::Time last_part_at;
  HomeSnapshot snapshot;
};

/// A memory on its way to an heir, one part at a time.
struct OutgoingHandover {
  std::optional<core::NodeId> heir;
  /// Agents that were asked, the present one included.
  std::set<core::NodeId> tried_heirs;
  /// Until then an agent that may be the heir is waited for.
  core::Time heir_search_until;
  /// The part that is not confirmed yet: its number, the key before it, its
  /// last key, and whether no part follows.
  std::uint64_t part_number = 0;
  std::optional<core::JobKey> part_after_key;
  std::optional<core::JobKey> part_last_key;
  bool is_last_part = false;
  core::Time resend_at;
  /// When the heir last confirmed a part.
  core::Time last_ack_at;
  /// The heir has all of it, or nobody takes it.
  bool finished = false;
};

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_KEPT_MEMORY_H_
