#ifndef TARRAGON_DISPATCH_HOME_H_
#define TARRAGON_DISPATCH_HOME_H_

#include <string>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/agent_board.h"

/// The home: coordinates the jobs whose keys name this process, and keeps their
/// answers.

namespace tarragon::dispatch {

// Requests of entries.
void HandleSubmit(AgentBoard* board, core::Time now, const core::NodeId& entry,
                  Submit submit);
void HandleQuery(AgentBoard* board, core::Time now, const core::NodeId& entry,
                 const Query& query);
void HandleCancel(AgentBoard* board, core::Time now, const core::NodeId& entry,
                  const Cancel& cancel);
void HandleExplain(AgentBoard* board, core::Time now, const core::NodeId& entry,
                   const Explain& explain);

// Answers of executors.
void HandleRefused(AgentBoard* board, core::Time now,
                   const core::NodeId& executor, const Refused& refused);
void HandleStarted(AgentBoard* board, core::Time now,
                   const core::NodeId& executor, const Started& started);
void HandleFinished(AgentBoard* board, core::Time now,
                    const core::NodeId& executor, Finished finished);
/// Answers the pull `number` with the next waiting task that fits the executor,
/// of `service` or another one that it offers. Returns false if there is none;
/// the caller must then notify the executor.
bool AnswerPull(AgentBoard* board, core::Time now, const core::NodeId& executor,
                std::uint64_t number, const core::ServiceId& service);
void HandlePull(AgentBoard* board, core::Time now, const core::NodeId& executor,
                const Pull& pull);

// Scheduling of deadlines and seals.
/// Adds an accepted job to the active ones, due at its deadline.
void AddActiveJob(AgentBoard* board, HomeJob* job);
/// Removes the job from the active ones.
void RemoveActiveJob(AgentBoard* board, const HomeJob& job);
/// Makes the active job due at `due`, unless it is due earlier.
void ScheduleNoLaterThan(AgentBoard* board, HomeJob* job, core::Time due);
/// Sets the job's next due time after everything that was due is done.
void RescheduleJob(AgentBoard* board, HomeJob* job);
/// The active jobs whose due time has come, sorted by key.
std::vector<core::JobKey> FindDueJobs(const AgentBoard& board, core::Time now);

void TickHome(AgentBoard* board, core::Time now);
void HandlePeerLostForHome(AgentBoard* board, core::Time now,
                           const core::NodeId& peer);
void HandlePeerGoneForHome(AgentBoard* board, core::Time now,
                           const core::NodeId& peer);

/// Adds a line to the job's history, unless the history is full.
void AddHistoryLine(HomeJob* job, core::Time now, const std::string& line);

/// Ends the job without complete results: removes its tasks from the queue,
/// stops the placed ones and answers all waiters. If no task can have started,
/// the outcome is "not run" whatever `outcome` says.
void EndJob(AgentBoard* board, core::Time now, const core::JobKey& key,
            Outcome outcome, Reason reason, const std::string& detail);

/// Ends a job of which all tasks have succeeded.
void CompleteJob(AgentBoard* board, core::Time now, const core::JobKey& key);

/// Sends the job's answer to one waiter; if it has not ended, the answer is
/// "running".
void SendAnswer(AgentBoard* board, const HomeJob& job, const Waiter& waiter);

/// Reduces an ended job to its answer and history, and counts their size in
/// `bytes_held` and `ended_job_bytes`. Replaces the earlier count of its
/// results.
void CompactEndedJob(AgentBoard* board, HomeJob* job);

/// Subtracts the size of an ended job from `bytes_held` and `ended_job_bytes`.
void ReleaseRecordBytes(AgentBoard* board, const HomeJob& job);

/// The lines of the job's history, oldest first; for running and ended jobs.
std::vector<std::string> HistoryLines(const HomeJob& job);

/// Drops expired answers and the oldest ones above `max_home_bytes`, then
/// expired tombstones.
void ExpireKeptAnswers(AgentBoard* board, core::Time now);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_HOME_H_
