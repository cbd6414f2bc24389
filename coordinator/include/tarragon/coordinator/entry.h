#ifndef TARRAGON_COORDINATOR_ENTRY_H_
#define TARRAGON_COORDINATOR_ENTRY_H_

#include <optional>
#include <string>

#include "tarragon/coordinator/job_board.h"

/// Event handlers of a coordinating entry, the process that accepts jobs from
/// clients and has their tasks run. They update the JobBoard and do no I/O: the
/// daemon passes in events and carries out the actions that the handlers add to
/// the board.

namespace tarragon::coordinator {

/// A client submits a job to `queue` and waits for the answer until `deadline`
/// at most. If the job is known already, the call is attached to it. Every call
/// is answered exactly once.
void OnSubmit(JobBoard* board, core::Time now, CallId call, const Queue& queue,
              JobRequest request, std::optional<core::Time> deadline);
/// A client asks for the state of a job.
void OnQuery(JobBoard* board, core::Time now, CallId call, const JobId& job);
/// A client cancels a job.
void OnCancel(JobBoard* board, core::Time now, CallId call, const JobId& job);
/// A client asks how many jobs of a queue have not started.
void OnPendingCountQuery(JobBoard* board, core::Time now, CallId call,
                         const Queue& queue);
/// The client of a call has disconnected. A job without waiting calls is
/// cancelled.
void OnCallClosed(JobBoard* board, core::Time now, CallId call);

/// A gate was discovered at this address.
void OnGateFound(JobBoard* board, core::Time now, const core::Address& gate);
/// The operator state was read from `source`. Ignored if its revision is not
/// newer.
void OnOperatorState(JobBoard* board, core::Time now, OperatorState state,
                     const std::string& source);

void OnMessage(JobBoard* board, core::Time now, const core::NodeId& from,
               TargetReport report);
void OnMessage(JobBoard* board, core::Time now, const core::NodeId& from,
               OperatorUpdate update);
void OnMessage(JobBoard* board, core::Time now, const core::NodeId& from,
               const RunEnded& ended);
void OnMessage(JobBoard* board, core::Time now, const core::NodeId& from,
               const RunProgress& progress);
/// The connection to a gate was lost.
void OnGateDisconnected(JobBoard* board, core::Time now,
                        const core::NodeId& gate);
/// Another incarnation has answered at the gate's address, so `gate` has ended.
void OnGateReplaced(JobBoard* board, core::Time now, const core::NodeId& gate);

void OnTick(JobBoard* board, core::Time now);

/// Starts a graceful stop: new jobs are still accepted for
/// `Policy::stop_accepting_after`, and accepted jobs go on.
void RequestStop(JobBoard* board, core::Time now);

/// Refuses or gives up all jobs, for a stop that cannot wait any longer. `why`
/// is logged.
void EndAllJobs(JobBoard* board, core::Time now, const char* why);

/// True if new clients should be sent to this entry.
bool IsReady(const JobBoard& board, core::Time now);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_ENTRY_H_
