#ifndef TARRAGON_COORDINATOR_ENTRY_INTERNAL_H_
#define TARRAGON_COORDINATOR_ENTRY_INTERNAL_H_

#include <string>
#include <utility>
#include <vector>

#include "pseudo_random.h"
#include "tarragon/coordinator/entry.h"

/// Internal functions shared by the source files of the coordinating entry.

namespace tarragon::coordinator {

using LogFields = std::vector<std::pair<const char*, std::string>>;

/// Adds a line for the log. `message` must be a constant string.
void AddLogLine(JobBoard* board, const char* sentence, std::string subject,
                LogFields details);

/// Formats a duration for logs, such as "12ms".
std::string FormatMillis(core::Duration duration);

/// Answers a call of a client.
void AnswerClient(JobBoard* board, CallId call, const ClientAnswer& answer);

/// Ends a job: answers its calls, stops its runs and remembers its final state.
/// `why` is logged. Destroys `job`.
void EndJob(JobBoard* board, core::Time now, Job* job, JobState state,
            const char* why);

/// Refuses an accepted job of which nothing has run. Destroys `job`.
void RefuseJob(JobBoard* board, core::Time now, Job* job, Refusal refusal,
               core::Duration retry_after);

/// Gives up a job of which something has run: answers its calls and stops its
/// runs. `why` is logged. Destroys `job`.
void GiveUpJob(JobBoard* board, core::Time now, Job* job, const char* why);

/// Adds a task that may start to the waiting tasks.
void EnqueueTask(JobBoard* board, core::Time now, Job* job, Task* task);

/// Removes a task from the waiting tasks.
void DequeueTask(JobBoard* board, const Job& job, const Task& task);

/// Sorts the waiting tasks again after the rank of some has changed.
void RerankWaitingTasks(JobBoard* board);

/// Queues the tasks of all steps whose earlier steps are done.
void QueueUnblockedTasks(JobBoard* board, core::Time now, Job* job);

/// Estimates the run time of a task.
core::Duration EstimateRunTime(const JobBoard& board, const Job& job,
                               const Task& task);

/// Places waiting tasks in free room: at the gate `only`, or at all gates if it
/// is null.
void PlaceWaitingTasks(JobBoard* board, core::Time now, GateLink* only);

/// Records a tick. Notices when the last one was so long ago that the entry was
/// stalled.
void RecordTick(JobBoard* board, core::Time now);

/// How long a request that is read now may have waited unread in the entry;
/// zero unless it is or was just stalled.
core::Duration FindReadDelay(const JobBoard& board, core::Time now);

/// False while the entry is stalled or may not have read yet what its
/// connections have received during a stall.
bool IsCaughtUp(const JobBoard& board, core::Time now);

/// Requests room for the most urgent waiting task at some gates.
void RequestRoom(JobBoard* board, core::Time now);

/// Withdraws the requests for room once no task waits, so that gates reserve
/// none.
void WithdrawRequests(JobBoard* board);

/// Returns room that a gate has offered and that no task has taken.
void ReturnUnusedOffer(JobBoard* board, GateLink* gate);

/// Returns a pseudo-random number, which breaks ties between choices.
std::uint64_t NextRandom(JobBoard* board);

/// Records that the progress of the gate's runs may be unknown for a while, if
/// the message from `from` ends a silence or is the first of an incarnation.
void AwaitProgressAfterSilence(const JobBoard& board, core::Time now,
                               const core::NodeId& from, GateLink* gate);

/// True if a run of the task was ordered in this attempt at the job.
bool HasBeenPlaced(const Job& job, const Task& task);

/// The job that ordered the run; null if it has ended, even if its client has
/// submitted it again.
Job* FindJobOfRun(const JobBoard& board, const RunRef& ref,
                  const PlacedRun& placed);

/// Records the progress of a run. Stops the run if it stands; extends the
/// objective of its job if it takes longer than expected.
void ApplyProgress(JobBoard* board, core::Time now, GateLink* gate,
                   const RunProgress& progress);

/// Stops stalled runs, so that their tasks are placed elsewhere, unless their
/// job would then end too late to be useful.
void StopStalledRuns(JobBoard* board, core::Time now, GateLink* gate);

/// True if the job may still end while its client waits: its useful time is not
/// over, or one of its runs makes progress.
bool IsWorthwhile(const JobBoard& board, core::Time now, const Job& job);

/// Computes the objective and the useful time of the job from its run times.
void SetObjective(const JobBoard& board, Job* job);

/// Sorts the job's waiting tasks anew after a change of its objective.
void RequeueTasks(JobBoard* board, core::Time now, Job* job);

/// Refuses or gives up jobs that can no longer end in time.
void GiveUpExpiredJobs(JobBoard* board, core::Time now);

/// Handles the end of a run, either reported by the gate or concluded from the
/// gate's silence.
void HandleRunEnd(JobBoard* board, core::Time now, GateLink* gate,
                  const RunEnded& ended);

/// Queries the gate for the state of a run, and requests its stop if that is
/// wanted.
void QueryRun(JobBoard* board, core::Time now, const GateLink& gate,
              const RunRef& ref, PlacedRun* placed);

/// Finishes the handling of a message from a gate: places waiting tasks there.
/// The other gates are considered only if new tasks were queued, so that the
/// cost of a message does not grow with the number of gates.
void FinishGateEvent(JobBoard* board, core::Time now, GateLink* gate);

/// Finishes the handling of any other event: places waiting tasks, requests
/// room and logs changes of readiness.
void FinishEvent(JobBoard* board, core::Time now);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_ENTRY_INTERNAL_H_
