#include "gate_lease.h"

#include <algorithm>

#include "gate_internal.h"

namespace tarragon::coordinator {
namespace {

/// The target must have this time to carry out an order, and polls renew the
/// lease every 100 ms.
constexpr core::Duration kMinLease = std::chrono::milliseconds(250);

/// True for a run of which this process knows only that an entry has asked
/// about it, if a start by an earlier process would be too late by now.
bool CannotStartAnyMore(const GateBoard& board, const GateRun& run) {
  return run.phase == RunPhase::kSealing && board.target.has_value() &&
         run.ordered_at - board.target->runs_known_since >
             board.policy.max_lease;
}

}  // namespace

core::Time FindConfirmation(const GateBoard& board, const GateRun& run) {
  if (run.stop_requested) return run.confirmed_at;
  const auto home = board.homes.find(run.home.address);
  if (home == board.homes.end() || home->second.node != run.home) return {};
  return home->second.clients_read_at;
}

core::Time FindClientsRead(const Policy& policy, core::Time now,
                           const StartRun& start) {
  const core::Time sent_at =
      std::min(now, start.start_by - policy.start_window);
  // The last tick before a start is at most `stall_limit` old, and the event
  // loop has polled the sockets at most as long before that tick.
  return sent_at - 2 * policy.stall_limit;
}

core::Time FindLeaseLimit(const GateBoard& board) {
  core::Time limit = core::kNever;
  for (const auto& [ref, run] : board.runs) {
    if (CannotStartAnyMore(board, run)) continue;
    limit = std::min(limit, FindConfirmation(board, run) +
                                board.policy.confirmation_lifetime);
  }
  return limit;
}

bool IsLeaseLongEnough(const GateBoard& board, core::Time now) {
  return FindLeaseLimit(board) >= now + kMinLease;
}

TargetClock MakeLeaseEnd(const GateBoard& board, core::Time now,
                         core::Time limit) {
  const core::Time end = std::min(limit, now + board.policy.requested_lease);
  return TargetClock(EstimateTargetClock(*board.target, now).value() +
                     core::Millis(end - now));
}

std::optional<TargetClock> RenewLease(GateBoard* board, core::Time now) {
  if (board->runs.empty()) return std::nullopt;
  const core::Time limit = FindLeaseLimit(*board);
  if (limit <= now) return std::nullopt;
  const TargetClock end = MakeLeaseEnd(*board, now, limit);
  Target& target = *board->target;
  target.lease_until = std::max(target.lease_until, end);
  return end;
}

}  // namespace tarragon::coordinator
