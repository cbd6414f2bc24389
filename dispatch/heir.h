#ifndef TARRAGON_DISPATCH_HEIR_H_
#define TARRAGON_DISPATCH_HEIR_H_

#include <cstdint>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/agent_board.h"

/// A stopping home hands a snapshot of its job records to an heir (a
/// successor), which answers for the home's keys from then on and never runs a
/// job under them.

namespace tarragon::dispatch {

/// Estimated size of one record, as counted in `bytes_held`.
std::uint64_t RecordBytes(const SnapshotRecord& record);

/// Sends `message` to every registered entry.
void BroadcastToEntries(AgentBoard* board, const Message& message);

// Sending (handover.cc).

/// Takes the snapshot of a stopping home as soon as it has no active jobs,
/// sends it and resends unconfirmed parts.
void TickHandover(AgentBoard* board, core::Time now);
void HandleHandoverAck(AgentBoard* board, core::Time now,
                       const core::NodeId& from, const HandoverAck& ack);
/// Chooses another heir for every unfinished transfer to `peer`.
void HandlePeerGoneForHandover(AgentBoard* board, core::Time now,
                               const core::NodeId& peer);
/// True when every snapshot has been confirmed by an heir, or no agent accepts
/// it.
bool IsHandoverFinished(const AgentBoard& board);

// Receiving (heir.cc).

void HandleHandover(AgentBoard* board, core::Time now,
                    const core::NodeId& sender, Handover part);
/// Drops expired answers and snapshots, and announces to the entries for which
/// homes this agent answers.
void TickHeir(AgentBoard* board, core::Time now);

/// Answers a request from the snapshot of the home that the key names. Returns
/// false if there is no complete snapshot of that home.
bool AnswerIfInherited(AgentBoard* board, core::Time now,
                       const core::NodeId& entry, const Submit& submit);
bool AnswerIfInherited(AgentBoard* board, core::Time now,
                       const core::NodeId& entry, const Query& query);
bool AnswerIfInherited(AgentBoard* board, core::Time now,
                       const core::NodeId& entry, const Cancel& cancel);
bool AnswerIfInherited(AgentBoard* board, const core::NodeId& entry,
                       const Explain& explain);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_HEIR_H_
