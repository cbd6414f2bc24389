#ifndef TARRAGON_DISPATCH_ENTRY_H_
#define TARRAGON_DISPATCH_ENTRY_H_

#include <cstdint>
#include <optional>
#include <string>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/entry_board.h"

/// Event handlers of an entry, the process that forwards clients' requests to
/// the homes of their keys, tracks the agents and grants them permits (leases
/// to start tasks). Each handler appends its actions to `board->actions`.

namespace tarragon::dispatch {

/// Initializes an empty board.
void InitEntry(EntryBoard* board, core::Time now, const core::NodeId& self,
               const core::DomainId& domain, std::uint64_t seed);

void OnMessage(EntryBoard* board, core::Time now, const core::NodeId& from,
               Message message);
void OnPeerLost(EntryBoard* board, core::Time now, const core::NodeId& peer);
void OnPeerGone(EntryBoard* board, core::Time now, const core::NodeId& peer);
void OnTableReply(EntryBoard* board, core::Time now, TableReply reply);

/// Runs all timers. Must be called every few tens of milliseconds.
void OnTick(EntryBoard* board, core::Time now);

/// Handles a job submission. `key_text` is the client's key, with a handle or
/// plain. The answer is an AnswerClient with the returned request number; if
/// the job has not ended after `wait`, the answer is "running".
std::uint64_t OnClientSubmit(EntryBoard* board, core::Time now, JobSpec spec,
                             const std::string& key_text, core::Duration wait);
/// Handles a client's query or cancellation, or an operator's explain request.
std::uint64_t OnClientRequest(EntryBoard* board, core::Time now,
                              RequestKind kind, const std::string& key_text,
                              core::Duration wait);
/// Drops the request of a client whose connection was closed.
void OnClientDisconnected(EntryBoard* board, std::uint64_t request);

/// Handles a release note of an operator. The answer is an AnswerNote.
std::uint64_t OnOperatorNote(EntryBoard* board, core::Time now,
                             ReleaseNote note);
/// Handles an operator's statement that the entry `dead` is dead, and removes
/// it from the entry list when the table allows. False if it is not listed.
bool OnOperatorRemoveEntry(EntryBoard* board, core::Time now,
                           const core::NodeId& dead);

/// Starts a graceful stop: deregisters the entry and finishes open requests.
void RequestStop(EntryBoard* board, core::Time now);
/// True when a requested stop is complete or its time limit is reached.
bool IsStopFinished(const EntryBoard& board, core::Time now);

/// Creates a handle that names a home for `service`; empty if there is none.
std::optional<std::string> MintHandle(EntryBoard* board,
                                      const core::ServiceId& service);

/// Lifetime of a permit granted now; none can be granted if it is not positive.
core::Duration PermitLifetime(const EntryBoard& board, core::Time now);

/// True when a read quorum confirms the release note, so that permits are still
/// granted if the table becomes unavailable now.
bool CanGrantPermitsWithoutTable(const EntryBoard& board, core::Time now);

/// The reason why the entry is not ready to serve; empty if it is ready.
std::optional<std::string> NotReadyReason(const EntryBoard& board,
                                          core::Time now);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_ENTRY_H_
