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

/// What operators are to be told once, when it begins and when it ends.

namespace tarragon::daemons {

/// One line for the log.
struct Notice {
  /// A warning; else it is good news.
  bool warn = false;
  /// Constant, as the log demands.
  const char* sentence = "";

  bool operator==(const Notice&) const = default;
};

/// Watches the conditions of an entry.
class EntryWatch {
 public:
  /// What has changed since the last look.
  std::vector<Notice> Look(const dispatch::EntryBoard& board, core::Time now);

  /// The table has answered a call, or has not.
  std::optional<Notice> TableReplied(dispatch::TableStatus status);

 private:
  bool vouches_ = false;
  bool table_answers_ = true;
};

/// Watches the conditions of an agent.
class AgentWatch {
 public:
  /// What has changed since the last look.
  std::vector<Notice> Look(const dispatch::AgentBoard& board, core::Time now);

 private:
  bool permitted_ = false;
  bool listed_ = true;
};

/// Remembers which peers are lost, so that a loss is told once until the peer
/// is reached again.
class LostPeers {
 public:
  /// True when the loss of `peer` is new.
  bool Lost(const core::NodeId& peer);

  /// Something has arrived from `peer`.
  void Reached(const core::NodeId& peer);

 private:
  std::set<core::Address> lost_;
};

/// Why the agent starts no task; empty when it may.
std::optional<std::string> NotReady(const dispatch::AgentBoard& board,
                                    core::Time now);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_CONDITION_WATCH_H_
