#ifndef TARRAGON_DISPATCH_HEIR_H_
#define TARRAGON_DISPATCH_HEIR_H_

#include <cstdint>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/agent_board.h"

/// A stopping home hands its memory to an heir, which answers for its keys from
/// then on and never runs a job of them.

namespace tarragon::dispatch {

/// Size of one record in the bytes that a home holds.
std::uint64_t RecordBytes(const SnapshotRecord& record);

/// Sends `message` to every registered entry.
void BroadcastToEntries(AgentBoard* board, const Message& message);

// Giving away (handover.cc).

/// Freezes the memory of a stopping home without running jobs, sends it and
/// repeats what is not confirmed.
void TickHandover(AgentBoard* board, core::Time now);
void HandleHandoverAck(AgentBoard* board, core::Time now,
                       const core::NodeId& from, const HandoverAck& ack);
/// Chooses another heir where `peer` was the one.
void HandlePeerGoneForHandover(AgentBoard* board, core::Time now,
                               const core::NodeId& peer);
/// Every memory has an heir, or nobody takes it.
bool IsHandoverFinished(const AgentBoard& board);

// Taking over (heir.cc).

void HandleHandover(AgentBoard* board, core::Time now,
                    const core::NodeId& giver, Handover part);
/// Drops what has expired, and tells the entries for whom this agent answers.
void TickHeir(AgentBoard* board, core::Time now);

/// Answers a request from the memory of the home that the key names. False when
/// there is no whole memory of it.
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
