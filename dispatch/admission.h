#ifndef TARRAGON_DISPATCH_ADMISSION_H_
#define TARRAGON_DISPATCH_ADMISSION_H_

#include <optional>
#include <string>

#include "tarragon/core/clock.h"
#include "tarragon/dispatch/agent_board.h"

namespace tarragon::dispatch {

/// Why a new job is refused.
struct Refusal {
  Reason reason = Reason::kNone;
  std::string detail;
  /// Zero if a retry is useless.
  core::Duration retry_after{0};
};

/// Decides whether the home accepts a new job: the service is known, some
/// target can run it, the tenant's limit is not reached, and the deadline can
/// be met by the measured run time. Returns nothing if the job is accepted.
std::optional<Refusal> CheckAdmission(const AgentBoard& board, core::Time now,
                                      const JobSpec& spec);

/// Mean run time of one task of `service`, or the assumed one without a recent
/// measurement.
core::Duration ExpectedRunTime(const AgentBoard& board, core::Time now,
                               const core::ServiceId& service);

/// Run time that most tasks of `service` stay below. Zero if too few tasks have
/// succeeded so far, or too few recently at executors other than `executor`: a
/// slow executor must not be compared with itself.
core::Duration UsualRunTime(const AgentBoard& board, core::Time now,
                            const core::ServiceId& service,
                            const core::NodeId& executor);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_ADMISSION_H_
