#ifndef TARRAGON_COORDINATOR_GATE_LEASE_H_
#define TARRAGON_COORDINATOR_GATE_LEASE_H_

#include <optional>

#include "tarragon/coordinator/gate.h"

/// How long the target may go on with its runs. A client that has lost the
/// entry of its job resubmits the job elsewhere, so each run must be over by
/// then even if this gate is lost too. The target ends all runs when its lease
/// expires, so the lease never outlasts the confirmation of any run.

namespace tarragon::coordinator {

/// The last moment at which the run's entry had certainly not lost its client,
/// on this gate's clock; zero if unknown.
core::Time FindConfirmation(const GateBoard& board, const GateRun& run);

/// What the start, received at `now`, tells of `HomeLink::clients_read_at`.
core::Time FindClientsRead(const Policy& policy, core::Time now,
                           const StartRun& start);

/// When the first confirmation of the present runs expires, on this gate's
/// clock; kNever without runs. The lease must have ended by then.
core::Time FindLeaseLimit(const GateBoard& board);

/// True if the present runs allow a lease in which another run can be started
/// and the lease be renewed.
bool IsLeaseLongEnough(const GateBoard& board, core::Time now);

/// The end of a lease requested now, on the target's clock, that does not last
/// beyond `limit` on this gate's clock.
TargetClock MakeLeaseEnd(const GateBoard& board, core::Time now,
                         core::Time limit);

/// Renews the target's lease. Returns the end to request; nothing if there is
/// no run, or none that may go on.
std::optional<TargetClock> RenewLease(GateBoard* board, core::Time now);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_GATE_LEASE_H_
