#ifndef TARRAGON_DISPATCH_ENTRY_H_
#define TARRAGON_DISPATCH_ENTRY_H_

#include <cstdint>
#include <optional>
#include <string>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/entry_board.h"

/// The events of an entry: it takes clients' requests to the homes of their
/// keys, holds the membership, and vouches for what is in force. Each event
/// leaves actions in `board->actions`.

namespace tarragon::dispatch {

/// Prepares an empty board.
void InitEntry(EntryBoard* board, core::Time now, const core::NodeId& self,
               const core::DomainId& domain, std::uint64_t seed);

void OnMessage(EntryBoard* board, core::Time now, const core::NodeId& from,
               Message message);
void OnPeerLost(EntryBoard* board, core::Time now, const core::NodeId& peer);
void OnPeerGone(EntryBoard* board, core::Time now, const core::NodeId& peer);
void OnTableReply(EntryBoard* board, core::Time now, TableReply reply);

/// Time passed. To be called every few tens of milliseconds.
void OnTick(EntryBoard* board, core::Time now);

/// A client's submission. `key_text` is the client's key, with a handle or
/// plain. The answer comes as AnswerClient with the number returned; after
/// `wait` without an end it says "running".
std::uint64_t OnClientSubmit(EntryBoard* board, core::Time now, JobSpec spec,
                             const std::string& key_text, core::Duration wait);
/// A client asks for the answer, cancels, or an operator asks for the history.
std::uint64_t OnClientRequest(EntryBoard* board, core::Time now,
                              RequestKind kind, const std::string& key_text,
                              core::Duration wait);
/// The client's connection closed; its answer is not wanted any more.
void OnClientDisconnected(EntryBoard* board, std::uint64_t request);

/// An operator hands in a release note. The answer comes as AnswerNote.
std::uint64_t OnOperatorNote(EntryBoard* board, core::Time now,
                             ReleaseNote note);
/// An operator knows that this entry is dead; it is taken out of the list as
/// soon as the table allows. False if it is not in the list known here.
bool OnOperatorRemoveEntry(EntryBoard* board, core::Time now,
                           const core::NodeId& dead);

/// A graceful stop: leaves the list of entries and finishes open requests.
void RequestStop(EntryBoard* board, core::Time now);
/// True when a requested stop has nothing left to wait for.
bool IsStopFinished(const EntryBoard& board, core::Time now);

/// A fresh handle of a home for `service`, or nothing when no agent can be one.
std::optional<std::string> MintHandle(EntryBoard* board,
                                      const core::ServiceId& service);

/// How long a permit that is granted now would last; zero or less: none.
core::Duration PermitLifetime(const EntryBoard& board, core::Time now);

/// True when a read quorum confirms the release note, so that permits go on in
/// an outage of the table that begins now.
bool CanGrantPermitsWithoutTable(const EntryBoard& board, core::Time now);

/// Why the entry cannot serve now, or nothing when it can.
std::optional<std::string> NotReadyReason(const EntryBoard& board,
                                          core::Time now);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_ENTRY_H_
