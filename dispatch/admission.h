#ifndef TARRAGON_DISPATCH_ADMISSION_H_
#define TARRAGON_DISPATCH_ADMISSION_H_

#include <optional>
#include <string>

#include "tarragon/core/clock.h"
#include "tarragon/dispatch/agent_board.h"

namespace tarragon::dispatch {

/// Why a job is not taken in.
struct Refusal {
  Reason reason = Reason::kNone;
  std::string detail;
  /// Zero when coming back does not help.
  core::Duration retry_after{0};
};

/// Decides whether the home takes in a new job: the service is known, some
/// target can run it, the tenant's limit leaves room, and the deadline can be
/// met by the measured run time. Nothing when it does.
std::optional<Refusal> CheckAdmission(const AgentBoard& board, core::Time now,
                                      const JobSpec& spec);

/// Run time to expect of one task of `service`.
core::Duration ExpectedRunTime(const AgentBoard& board, core::Time now,
                               const core::ServiceId& service);

/// Run time that most tasks of `service` stay below; zero when too few have
/// ended to tell, or lately too few elsewhere than at `executor`.
core::Duration UsualRunTime(const AgentBoard& board, core::Time now,
                            const core::ServiceId& service,
                            const core::NodeId& executor);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_ADMISSION_H_
