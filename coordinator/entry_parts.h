#ifndef TARRAGON_COORDINATOR_ENTRY_PARTS_H_
#define TARRAGON_COORDINATOR_ENTRY_PARTS_H_

#include <string>
#include <utility>
#include <vector>

#include "tarragon/coordinator/entry.h"

/// What the files of the coordinating entry share.

namespace tarragon::coordinator {

using LogFields = std::vector<std::pair<const char*, std::string>>;

/// Notes a line for the log.
void AddLogLine(JobBoard* board, const char* sentence, std::string subject,
                LogFields details);

/// "12ms", for logs.
std::string FormatMillis(core::Duration duration);

/// Answers a call and forgets it.
void AnswerClient(JobBoard* board, CallId call, const ClientAnswer& answer);

/// Ends a job: answers its calls, stops its runs and keeps its state. `why` is
/// for the log.
void EndJob(JobBoard* board, core::Time now, Job* job, JobState state,
            const char* why);

/// Refuses a job of which nothing has run.
void RefuseJob(JobBoard* board, core::Time now, Job* job, Refusal refusal,
               core::Duration retry_after);

/// Gives up a job of which something has run: answers its calls and stops its
/// runs. `why` is for the log.
void GiveUpJob(JobBoard* board, core::Time now, Job* job, const char* why);

/// Puts a task that may start into the queue.
void EnqueueTask(JobBoard* board, core::Time now, Job* job, Task* task);

/// Takes a task out of the queue.
void DequeueTask(JobBoard* board, const Job& job, const Task& task);

/// Queues the tasks of all steps whose earlier steps are done.
void QueueUnblockedTasks(JobBoard* board, core::Time now, Job* job);

/// What a task is expected to take.
core::Duration EstimateRunTime(const JobBoard& board, const Job& job,
                               const Task& task);

/// Places waiting tasks on free room: of the gate `only`, or of all gates if it
/// is null.
void PlaceWaitingTasks(JobBoard* board, core::Time now, GateLink* only);

/// Tells gates of the most urgent task that waits for room.
void RequestRoom(JobBoard* board, core::Time now);

/// Gives back room that a gate has offered and that was not taken.
void ReturnUnusedOffer(JobBoard* board, GateLink* gate);

/// A random number, to spread choices.
std::uint64_t NextRandom(JobBoard* board);

/// Gives up jobs that wait in vain.
void GiveUpExpiredJobs(JobBoard* board, core::Time now);

/// The run of a gate has ended, by word of the gate or by proof of time.
void HandleRunEnd(JobBoard* board, core::Time now, GateLink* gate,
                  const RunEnded& ended);

/// Asks a gate what has become of a run.
void QueryRun(JobBoard* board, core::Time now, const GateLink& gate,
              const RunRef& ref, PlacedRun* placed);

/// What a message of a gate ends with. What was believed of the other gates
/// has not changed, so that they are looked at only if there are new tasks: the
/// cost of a message does not grow with the number of gates.
void FinishGateEvent(JobBoard* board, core::Time now, GateLink* gate);

/// What every other event ends with.
void FinishEvent(JobBoard* board, core::Time now);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_ENTRY_PARTS_H_
