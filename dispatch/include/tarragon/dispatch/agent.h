#ifndef TARRAGON_DISPATCH_AGENT_H_
#define TARRAGON_DISPATCH_AGENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/agent_board.h"

/// The events of an agent: home of jobs and executor beside one target. Each
/// event reads and writes the board and leaves actions in `board->actions`,
/// which the runtime takes and carries out.

namespace tarragon::dispatch {

/// How a task ended at the target.
enum class TaskEnd : std::uint8_t {
  kOk,
  kFailed,
  kNotStarted,  // The target refused it and will not run it.
  kUnknown,     // No whole answer: it may have run.
};

/// Prepares an empty board.
void InitAgent(AgentBoard* board, core::Time now, const core::NodeId& self,
               const core::DomainId& domain,
               const std::vector<core::Address>& entries, std::uint64_t seed);

/// A message arrived from `from`.
void OnMessage(AgentBoard* board, core::Time now, const core::NodeId& from,
               Message message);

/// The target announced itself.
void OnTargetAnnounce(AgentBoard* board, core::Time now, const Target& target);

/// A task that RunTask handed to the target has ended.
void OnTaskEnd(AgentBoard* board, core::Time now, const TaskRef& ref,
               TaskEnd end, std::string result);

/// The connection to `peer` broke; what was sent may be lost.
void OnPeerLost(AgentBoard* board, core::Time now, const core::NodeId& peer);

/// `peer` is proved to be gone for good.
void OnPeerGone(AgentBoard* board, core::Time now, const core::NodeId& peer);

/// Time passed. To be called every few tens of milliseconds.
void OnTick(AgentBoard* board, core::Time now);

/// A graceful stop: no new work from now on.
void RequestStop(AgentBoard* board, core::Time now);

/// True when a requested stop has nothing left to wait for.
bool IsStopFinished(const AgentBoard& board, core::Time now);

/// The status that heartbeats carry.
AgentStatus BuildStatus(const AgentBoard& board, core::Time now);

/// Present epoch of the handles of this home.
std::uint32_t CurrentHandleEpoch(const AgentBoard& board, core::Time now);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_AGENT_H_
