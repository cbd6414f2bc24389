#ifndef TARRAGON_DISPATCH_AGENT_H_
#define TARRAGON_DISPATCH_AGENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/agent_board.h"

/// The event handlers of an agent. An agent is both a home (the coordinator of
/// the jobs whose keys name it) and an executor (which starts tasks at the
/// target on its own VM). Each event updates the board and appends actions to
/// `board->actions`, which the runtime then carries out.

namespace tarragon::dispatch {

/// How a task ended at the target.
enum class TaskEnd : std::uint8_t {
  kOk,
  kFailed,
  kNotStarted,  // The target rejected it and will not run it.
  kUnknown,     // No complete answer: it may have run.
};

/// Prepares an empty board.
void InitAgent(AgentBoard* board, core::Time now, const core::NodeId& self,
               const core::DomainId& domain,
               const std::vector<core::Address>& entries, std::uint64_t seed);

/// Handles a message from `from`.
void OnMessage(AgentBoard* board, core::Time now, const core::NodeId& from,
               Message message);

/// Handles an announcement of the target.
void OnTargetAnnounce(AgentBoard* board, core::Time now, const Target& target);

/// Handles the end of a task that a RunTask action passed to the target.
void OnTaskEnd(AgentBoard* board, core::Time now, const TaskRef& ref,
               TaskEnd end, std::string result);

/// Handles a broken connection to `peer`; sent messages may be lost.
void OnPeerLost(AgentBoard* board, core::Time now, const core::NodeId& peer);

/// Handles the proof that the process `peer` will never come back.
void OnPeerGone(AgentBoard* board, core::Time now, const core::NodeId& peer);

/// Runs everything that is due by time. Must be called every few tens of
/// milliseconds.
void OnTick(AgentBoard* board, core::Time now);

/// Starts a graceful stop: the agent accepts no new work from now on.
void RequestStop(AgentBoard* board, core::Time now);

/// True when a requested stop has nothing left to wait for, or has reached
/// `drain_limit`.
bool IsStopFinished(const AgentBoard& board, core::Time now);

/// Builds the status that heartbeats carry.
AgentStatus BuildStatus(const AgentBoard& board, core::Time now);

/// The epoch of the handles that this home issues now.
std::uint32_t CurrentHandleEpoch(const AgentBoard& board, core::Time now);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_AGENT_H_
