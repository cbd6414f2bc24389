#ifndef TARRAGON_PROVE_CLIENT_CALL_H_
#define TARRAGON_PROVE_CLIENT_CALL_H_

#include <functional>

#include "client.h"
#include "process.h"
#include "tarragon/dispatch/entry_board.h"

namespace tarragon::prove {

/// Runs `act` at the entry after the clients' delay; lost if the entry has
/// ended by then.
void Visit(Setup* setup, const ProcessLife& entry, std::function<void()> act);

/// Sends one request of the job to any entry. Nothing when there is none.
void SendCall(Setup* setup, int job, dispatch::RequestKind kind, int body);

/// What the client does with an answer, and when none came.
void ReactToAnswer(Setup* setup, int call, const dispatch::JobAnswer& answer);
void ReactToSilence(Setup* setup, int call);

}  // namespace tarragon::prove

#endif  // TARRAGON_PROVE_CLIENT_CALL_H_
