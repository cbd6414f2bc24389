#ifndef TARRAGON_COORDINATOR_JOB_BOARD_H_
#define TARRAGON_COORDINATOR_JOB_BOARD_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "tarragon/coordinator/gate_board.h"
#include "tarragon/coordinator/message.h"
#include "tarragon/coordinator/operator_sync_state.h"
#include "tarragon/coordinator/policy.h"
#include "tarragon/coordinator/precedence_state.h"
#include "tarragon/coordinator/run_times.h"
#include "tarragon/coordinator/speed_scale.h"
#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"

/// The state of a coordinating entry, and the actions that it requests from its
/// daemon. The entry that accepted a job from its client coordinates the job
/// until its end (it is the job's "home").

namespace tarragon::coordinator {

/// Id of a client request that waits for an answer.
using CallId = core::Strong<struct CallIdTag, std::uint64_t>;

/// State of a job.
enum class JobState : std::uint8_t {
  kPending,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

/// The state's name in logs.
const char* Name(JobState state);

/// Why a request got no result. With every reason but kGivenUp, no task of the
/// job has run or will run.
enum class Refusal : std::uint8_t {
  kNone = 0,
  /// Some tasks have run, but the job could not end in time. Its remaining runs
  /// are being stopped.
  kGivenUp,
  kNoConfiguration,
  kNoQueue,
  kBadJob,
  /// The job asks for a feature that this system does not offer.
  kUnsupported,
  /// One of its tasks fits on no known target.
  kNeverFits,
  /// No target is usable now.
  kNoTarget,
  /// The job is predicted to miss its objective.
  kOverload,
  /// The job has waited for room until it could no longer end in time.
  kExpired,
  kStopping,
  kUnknownJob,
};

/// The refusal's name in logs, answers and counters.
const char* Name(Refusal refusal);

/// The answer to a client.
struct ClientAnswer {
  /// kNone if `state` is the answer.
  Refusal refusal = Refusal::kNone;
  JobState state = JobState::kPending;
  /// When to retry after a refusal; zero if a retry would not help.
  core::Duration retry_after{0};
  /// Number of jobs of the queue that have not started; only in answer to
  /// OnPendingCountQuery.
  std::optional<std::uint64_t> pending;
};

/// Phase of a task.
enum class TaskPhase : std::uint8_t {
  /// Waits for earlier steps.
  kBlocked,
  kQueued,
  /// A start was sent to a gate.
  kPlaced,
  kDone,
};

/// One task of a job.
struct Task {
  TaskRef ref;
  TaskPhase phase = TaskPhase::kBlocked;
  /// Number of the last run; zero for none.
  std::uint32_t last_run = 0;
  std::uint32_t failures = 0;
  /// Targets that have crashed under its runs.
  std::uint32_t crashes = 0;
  /// The gate to which the last start was sent.
  core::Address gate;
  /// The last run failed or was lost, so another gate is preferred.
  bool avoid_gate = false;
  /// While queued: its position in JobBoard::waiting_tasks.
  core::Time latest_start;
  bool late = false;
  std::uint32_t rank = 0;
  /// What it adds to PriorityRecord::waiting_work while queued.
  std::int64_t waiting_work = 0;
};

/// A job that this entry coordinates.
struct Job {
  JobRequest request;
  Queue queue;
  core::Time arrived_at;
  /// The job should end by this time.
  core::Time objective;
  /// The answer is of no use to the client after this time, unless a run of the
  /// job still makes progress.
  core::Time useful_until;
  /// An answer by this time reaches the client while it waits; empty if it did
  /// not name a deadline.
  std::optional<core::Time> answer_by;
  /// Run time of the tasks of each step, as expected or, if a run shows more,
  /// as projected from its progress.
  std::vector<core::Duration> step_run_times;
  std::vector<CallId> calls;
  std::vector<Task> tasks;
  /// Number of tasks that are not done, by step.
  std::vector<std::uint32_t> step_tasks_left;
  std::uint32_t tasks_left = 0;
  /// Runs that were ordered at gates, minus those that were refused. While this
  /// is zero, it is certain that no task has run.
  std::uint32_t ordered_runs = 0;
  /// Memory that the job takes, as estimated at its submission.
  std::size_t bytes = 0;
  /// Unique among the jobs of this process, unlike the id.
  std::uint64_t serial = 0;
  /// Highest run number of an earlier attempt at the job; zero for none.
  std::uint32_t earlier_runs = 0;
};

/// A task that waits to be placed. Ordered by urgency: the first one is placed
/// first.
struct WaitingTask {
  /// Tasks of jobs that can still be in time come before those of late jobs.
  bool late = false;
  /// Priority while room is short; zero otherwise.
  std::uint32_t rank = 0;
  /// Latest start with which the job is in time.
  core::Time latest_start;
  std::uint64_t serial = 0;
  std::uint32_t task_index = 0;
  JobId job;

  bool operator==(const WaitingTask&) const = default;
  auto operator<=>(const WaitingTask&) const = default;
};

/// How this entry rates a target.
struct TargetHealth {
  /// The target is slow or fails, so only single trial runs are placed there
  /// until its reports are normal again.
  bool suspect = false;
  core::Time last_trial_at;
  /// Nothing is placed there before this time.
  core::Time avoid_until;
};

/// A start that no report of the gate has counted yet.
struct UncountedStart {
  std::uint64_t sequence = 0;
  Room room;
  core::Time ordered_at;
};

/// Progress of a run as its gate has told it.
struct PlacedProgress {
  std::uint32_t percent = 0;
  /// Estimated time from `at` to the end.
  core::Duration remaining{0};
  bool standing = false;
  core::Time at;
};

/// A run that this entry has ordered at a gate and whose end was not reported
/// yet.
struct PlacedRun {
  /// `Job::serial` of the attempt that ordered the run. A job that is submitted
  /// again after its end is another attempt under the same id.
  std::uint64_t job_serial = 0;
  Room room;
  core::Time ordered_at;
  /// Expected run time.
  core::Duration expected_run_time{0};
  /// When the gate was last queried about the run.
  core::Time asked_at;
  /// The run is to be stopped: its job has ended, or the run is stalled.
  bool stop_requested = false;
  /// The gate may not know of the run, because the connection was lost or the
  /// gate was restarted.
  bool unconfirmed = false;
  /// A target has crashed under an earlier run of the task.
  bool suspect = false;
  /// What the gate last told of its progress; empty if it told nothing or has
  /// withdrawn it.
  std::optional<PlacedProgress> progress = std::nullopt;
};

/// The last request for room that was sent to a gate.
struct SentWant {
  bool late = false;
  std::uint32_t rank = 0;
  core::Time latest_start;
};

/// A gate and its target as this entry sees them.
struct GateLink {
  core::NodeId node;
  /// The last report of the gate, on this connection or an earlier one.
  std::optional<TargetReport> report;
  core::Time last_heard_at;
  core::Time notice_sent_at;
  /// The gate's clock in the newest reports received before the last tick and
  /// before the last but one; the latter goes into notices.
  core::Time received_report;
  core::Time clients_read;
  bool connected = false;
  /// The last report that named a target, also by an earlier process at the
  /// gate's address.
  std::optional<TargetReport> last_target_report;
  /// No notice was sent to this incarnation of the gate since it knows the runs
  /// of its target.
  bool echo_due = true;
  /// A TargetHint was sent to this incarnation of the gate.
  bool hint_sent = false;
  /// The gate's copy of the operator state; empty until it has told.
  std::optional<OperatorCopy> operator_copy;
  OperatorSync operator_sync;
  std::deque<UncountedStart> uncounted_starts;
  std::map<RunRef, PlacedRun> runs;
  TargetHealth health;
  /// The request for room that is pending at the gate; empty once the gate has
  /// offered room.
  std::optional<SentWant> sent_want;
  /// The gate was silent or has been restarted, so until then it may not have
  /// told the progress of its runs.
  core::Time progress_due_at;
  /// When the target leaves, as announced; kept until a target there is usable
  /// again.
  std::optional<core::Time> leaves_at;
};

/// Close the connections to a silent gate, so that the next message opens a new
/// one.
struct DisconnectGate {
  core::NodeId node;
};

/// Answer a client.
struct AnswerCall {
  CallId call;
  ClientAnswer answer;
};

using JobAction =
    std::variant<SendTo<EntryNotice>, SendTo<OperatorUpdate>, SendTo<StartRun>,
                 SendTo<AskRun>, SendTo<TargetHint>, SendTo<RoomWanted>,
                 DisconnectGate, AnswerCall>;

/// Counters for the metrics endpoint.
struct JobCounts {
  std::uint64_t accepted = 0;
  std::uint64_t attached = 0;
  std::uint64_t starts = 0;
  std::uint64_t restarted_tasks = 0;
  /// Times at which the entry found itself stalled.
  std::uint64_t stalls = 0;
  std::uint64_t given_up = 0;
  /// Requests for room sent to gates, and unused offers that were returned.
  std::uint64_t wants = 0;
  std::uint64_t returned_offers = 0;
  std::map<Refusal, std::uint64_t> refused;
  std::map<JobState, std::uint64_t> ended;
  /// Runs stopped as stalled, those of them that were reported as standing, and
  /// objectives extended as a run was found to take longer.
  std::uint64_t stalled_runs = 0;
  std::uint64_t standing_runs = 0;
  std::uint64_t extended_objectives = 0;
  /// Times at which room became short, and at which a priority was raised.
  std::uint64_t shortages = 0;
  std::uint64_t raised_priorities = 0;
  /// Jobs that were refused because the accepted ones take too much memory.
  std::uint64_t refused_for_memory = 0;
  /// Jobs that were accepted in spite of their predicted wait, because a target
  /// had room for them.
  std::uint64_t accepted_for_free_room = 0;
  /// Tasks placed by expected finish where targets differ for them, and those
  /// of them that were expected to miss the objective there.
  std::uint64_t placed_by_finish = 0;
  std::uint64_t placed_late = 0;
};

/// An ended job, for the metrics.
struct EndedJob {
  QueueId queue;
  JobState state = JobState::kCompleted;
  core::Duration duration{0};
};

/// All state of a coordinating entry.
struct JobBoard {
  Policy policy;
  /// Failure domain of this VM.
  core::DomainId domain;
  OperatorState operator_state;
  /// Digest of `operator_state.drained`.
  std::uint64_t domains_digest = DomainsDigest({});
  std::map<core::Address, GateLink> gates;
  std::map<JobId, std::unique_ptr<Job>> jobs;
  /// Sum of `Job::bytes`.
  std::size_t job_bytes = 0;
  std::set<WaitingTask> waiting_tasks;
  /// Tasks were queued since all gates were last considered for placement.
  bool queue_grew = false;
  /// States of ended jobs; `ended_order` has their ids, oldest first.
  std::map<JobId, JobState> ended_states;
  std::deque<JobId> ended_order;
  /// Highest run numbers of jobs that have ended without completing;
  /// `last_runs_order` has their ids, oldest first. A later attempt goes on
  /// from there, so that gates and targets can tell its runs from the earlier
  /// ones.
  std::map<JobId, std::uint32_t> last_runs;
  std::deque<JobId> last_runs_order;
  RunTimes run_times;
  SpeedScale speed_scale;
  std::uint64_t last_job_serial = 0;
  std::uint64_t last_start_sequence = 0;
  /// When the process started.
  core::Time started_at;
  /// Empty until the first tick.
  std::optional<core::Time> last_tick_at;
  /// After a stall nothing is started before the first tick at or after
  /// `caught_up_at`.
  bool stalled = false;
  core::Time caught_up_at;
  core::Duration last_stall{0};
  bool stopping = false;
  core::Time stop_requested;
  bool was_ready = false;
  /// State of the pseudo-random generator that breaks ties.
  std::uint64_t random = 0x9e3779b97f4a7c15ULL;
  std::vector<JobAction> actions;
  std::vector<LogLine> log_lines;
  std::vector<EndedJob> ended_jobs;
  JobCounts counts;
  /// A gate has told the progress of a run, so targets list it here.
  bool progress_known = false;
  Precedence precedence;
};

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_JOB_BOARD_H_
