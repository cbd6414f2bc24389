#ifndef TARRAGON_COORDINATOR_ENTRY_H_
#define TARRAGON_COORDINATOR_ENTRY_H_

#include <optional>
#include <string>

#include "tarragon/coordinator/job_board.h"

/// The decisions of a coordinating entry: free functions that read and write
/// its board. They do no I/O; the daemon hands in events and carries out the
/// actions.

namespace tarragon::coordinator {

/// A client submits a job to `queue`. It may wait until `deadline`. A job that
/// is known already is attached to. Every call is answered once.
void OnSubmit(JobBoard* board, core::Time now, CallId call, const Queue& queue,
              JobRequest request, std::optional<core::Time> deadline);
/// A client asks for the state of a job.
void OnQuery(JobBoard* board, core::Time now, CallId call, const JobId& job);
/// A client cancels a job.
void OnCancel(JobBoard* board, core::Time now, CallId call, const JobId& job);
/// A client asks how many jobs of a queue have not begun.
void OnPendingCountQuery(JobBoard* board, core::Time now, CallId call,
                         const Queue& queue);
/// The client of a call is gone. A job that nobody waits for is given up.
void OnCallClosed(JobBoard* board, core::Time now, CallId call);

/// A gate may be found at this address.
void OnGateFound(JobBoard* board, core::Time now, const core::Address& gate);
/// The operators' state was read; an older one is ignored.
void OnOperatorState(JobBoard* board, core::Time now, OperatorState state,
                     const std::string& source);

void OnMessage(JobBoard* board, core::Time now, const core::NodeId& from,
               TargetReport report);
void OnMessage(JobBoard* board, core::Time now, const core::NodeId& from,
               OperatorUpdate update);
void OnMessage(JobBoard* board, core::Time now, const core::NodeId& from,
               const RunEnded& ended);
/// The connection to a gate broke.
void OnGateDisconnected(JobBoard* board, core::Time now,
                        const core::NodeId& gate);
/// Another incarnation answers at the gate's address.
void OnGateReplaced(JobBoard* board, core::Time now, const core::NodeId& gate);

void OnTick(JobBoard* board, core::Time now);

/// Takes no job any more; those taken go on.
void RequestStop(JobBoard* board, core::Time now);

/// Ends all jobs, for a stop that cannot wait any longer.
void EndAllJobs(JobBoard* board, core::Time now, const char* why);

/// New clients may come.
bool IsReady(const JobBoard& board, core::Time now);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_ENTRY_H_
