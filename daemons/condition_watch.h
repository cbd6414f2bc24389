#ifndef TARRAGON_DAEMONS_CONDITION_WATCH_H_
#define TARRAGON_DAEMONS_CONDITION_WATCH_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/agent_board.h"
#include "tarragon/dispatch/entry_board.h"

/// Detects conditions that operators should see in the log once when they
/// begin and once when they end.

namespace tarragon::daemons {

/// The begin or end of a condition, as one log line.
struct ConditionChange {
  /// True if the change is for the worse, which is logged as a warning.
  bool is_warning = false;
  /// A constant text, because the log takes variable parts as fields only.
  const char* log_text = "";

  bool operator==(const ConditionChange&) const = default;
};

/// Detects when an entry starts or stops granting permits, the leases under
/// which agents start tasks, and when the platform's table becomes available or
/// unavailable.
class EntryConditionWatch {
 public:
  /// Returns the changes since the last call.
  std::vector<ConditionChange> FindChanges(const dispatch::EntryBoard& board,
                                           core::Time now);

  /// Returns the change, if any, that the status of a table call shows.
  std::optional<ConditionChange> OnTableReply(dispatch::TableStatus status);

 private:
  bool grants_permits_ = false;
  bool table_available_ = true;
};

/// Detects when an agent gets or loses its permit, and when its failure domain
/// is added to or removed from the release note.
class AgentConditionWatch {
 public:
  /// Returns the changes since the last call.
  std::vector<ConditionChange> FindChanges(const dispatch::AgentBoard& board,
                                           core::Time now);

 private:
  bool has_permit_ = false;
  bool domain_listed_ = true;
};

/// Tracks lost peers by address, so that a loss is logged only once until the
/// peer is reached again.
class LostPeerTracker {
 public:
  /// Marks `peer` as lost. Returns false if it was marked already.
  bool MarkLost(const core::NodeId& peer);

  /// Removes the mark, because a message from `peer` has arrived or the peer
  /// process has ended.
  void MarkReached(const core::NodeId& peer);

 private:
  std::set<core::Address> lost_addresses_;
};

/// Why the agent starts no task, or nothing if it may start tasks.
std::optional<std::string> FindNotReadyReason(const dispatch::AgentBoard& board,
                                              core::Time now);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_CONDITION_WATCH_H_
