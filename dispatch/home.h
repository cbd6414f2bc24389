#ifndef TARRAGON_DISPATCH_HOME_H_
#define TARRAGON_DISPATCH_HOME_H_

#include <string>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/agent_board.h"

/// The home: coordinates the jobs whose keys name this process and remembers
/// them.

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
/// Sends a waiting task of `service` for the pull `number`. False when none
/// waits: the executor must be told.
bool AnswerPull(AgentBoard* board, core::Time now, const core::NodeId& executor,
                std::uint64_t number, const core::ServiceId& service);
void HandlePull(AgentBoard* board, core::Time now, const core::NodeId& executor,
                const Pull& pull);

// What is due: the deadline of a job or the seal of a task.
/// Counts a job that was taken in as active.
void AddActiveJob(AgentBoard* board, HomeJob* job);
/// Nothing of the job is due any more.
void RemoveActiveJob(AgentBoard* board, const HomeJob& job);
/// Something of the active job is due at `due`.
void ScheduleNoLaterThan(AgentBoard* board, HomeJob* job, core::Time due);
/// All of the active job that was due is done.
void RescheduleJob(AgentBoard* board, HomeJob* job);
/// The active jobs of which something may be due, in the order of their keys.
std::vector<core::JobKey> FindDueJobs(const AgentBoard& board, core::Time now);

void TickHome(AgentBoard* board, core::Time now);
void HandlePeerLostForHome(AgentBoard* board, core::Time now,
                           const core::NodeId& peer);
void HandlePeerGoneForHome(AgentBoard* board, core::Time now,
                           const core::NodeId& peer);

/// Adds one line to the job's history, which is bounded.
void AddHistoryLine(HomeJob* job, core::Time now, const std::string& line);

/// Ends the job with an answer that is no complete one: takes its tasks out of
/// the queue, stops the placed ones and answers all waiters at once.
void EndJob(AgentBoard* board, core::Time now, const core::JobKey& key,
            Outcome outcome, Reason reason, const std::string& detail);

/// Ends the job whose tasks have all ended well.
void CompleteJob(AgentBoard* board, core::Time now, const core::JobKey& key);

/// Sends the job's answer to one waiter: the final one, or that it is running.
void SendAnswer(AgentBoard* board, const HomeJob& job, const Waiter& waiter);

/// Drops all of an ended job but what its answer and its history need, and
/// counts the rest as held. Its results are counted already.
void CompactEndedJob(AgentBoard* board, HomeJob* job);

/// Counts an ended job as held no more.
void ReleaseRecordBytes(AgentBoard* board, const HomeJob& job);

/// The job's history, oldest first, whether it has ended or not.
std::vector<std::string> HistoryLines(const HomeJob& job);

/// Forgets answers and keys whose time has passed.
void ExpireKeptAnswers(AgentBoard* board, core::Time now);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_HOME_H_
