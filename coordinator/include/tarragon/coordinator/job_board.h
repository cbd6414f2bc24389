#ifndef TARRAGON_COORDINATOR_JOB_BOARD_H_
#define TARRAGON_COORDINATOR_JOB_BOARD_H_

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
#include "tarragon/coordinator/policy.h"
#include "tarragon/coordinator/run_times.h"
#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"

/// What a coordinating entry knows, and what it asks the daemon to do. The
/// entry that took a job from its client is the home of the job.

namespace tarragon::coordinator {

/// One request of a client that waits for an answer.
using CallId = core::Strong<struct CallIdTag, std::uint64_t>;

/// How a job stands.
enum class JobState : std::uint8_t {
  kPending,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

/// The state's name in logs.
const char* Name(JobState state);

/// Why a request got no result. Of all but kGivenUp nothing has run or will
/// run.
enum class Refusal : std::uint8_t {
  kNone = 0,
  /// Tasks have run, but the job could not end in time. What still ran is being
  /// ended.
  kGivenUp,
  kNoConfiguration,
  kNoQueue,
  kBadJob,
  /// Asks for what this system does not offer.
  kUnsupported,
  /// No target could ever run one of its tasks.
  kNeverFits,
  /// No target is usable now.
  kNoTarget,
  /// It would not end while it is of use.
  kOverload,
  /// It has waited for room until it could not end while it is of use.
  kExpired,
  kStopping,
  kUnknownJob,
};

/// The refusal's name in logs, answers and counters.
const char* Name(Refusal refusal);

/// The answer to a client.
struct ClientAnswer {
  /// kNone: the state below is the answer.
  Refusal refusal = Refusal::kNone;
  JobState state = JobState::kPending;
  /// When to come back after a refusal; zero if that would not help.
  core::Duration retry_after{0};
  /// Jobs of the queue that have not begun; only for a count.
  std::optional<std::uint64_t> pending;
};

/// How far a task has come.
enum class TaskPhase : std::uint8_t {
  /// Earlier steps are not done.
  kBlocked,
  kQueued,
  /// A gate has the order.
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
  /// The gate that has the order, or had the last one.
  core::Address gate;
  /// The last run failed or was lost; another gate is tried first.
  bool avoid_gate = false;
  /// While queued: where the task stands in JobBoard::waiting.
  core::Time latest_start;
  bool late = false;
};

/// A job that this entry coordinates.
struct Job {
  JobRequest request;
  Queue queue;
  core::Time arrived_at;
  /// The answer is late after this.
  core::Time objective;
  /// The answer is of no use after this.
  core::Time useful_until;
  std::vector<CallId> calls;
  std::vector<Task> tasks;
  /// By step: tasks that are not done.
  std::vector<std::uint32_t> step_tasks_left;
  std::uint32_t tasks_left = 0;
  /// Runs that gates have taken, but for those that were proved not to have
  /// started. While it is zero "not run" is true.
  std::uint32_t ordered_runs = 0;
  std::uint64_t serial = 0;
};

/// A task that waits for a place, in the order in which places are given.
struct WaitingTask {
  /// Tasks that can still be in time come before those that cannot.
  bool late = false;
  /// Latest start with which the job is in time.
  core::Time latest_start;
  std::uint64_t serial = 0;
  std::uint32_t task_index = 0;
  JobId job;

  bool operator==(const WaitingTask&) const = default;
  auto operator<=>(const WaitingTask&) const = default;
};

/// How far this entry trusts a target.
struct TargetHealth {
  /// Only single trials are placed there until one is good.
  bool suspect = false;
  core::Time last_trial_at;
  /// Nothing is placed there before this moment.
  core::Time avoid_until;
};

/// A start that the gate has not yet counted in a report.
struct UncountedStart {
  std::uint64_t sequence = 0;
  Room room;
  core::Time ordered_at;
};

/// A run that this entry has ordered at a gate and of whose end it has not
/// heard.
struct PlacedRun {
  Room room;
  core::Time ordered_at;
  /// What the run was expected to take.
  core::Duration expected_run_time{0};
  /// When the gate was last asked about it.
  core::Time asked_at;
  /// Its end is wanted, as the job is over.
  bool stop_requested = false;
  /// The entry cannot take for granted that the gate has the order.
  bool unconfirmed = false;
};

/// What a gate knows of the tasks that wait here.
struct SentWant {
  bool late = false;
  core::Time latest_start;
};

/// A gate and its target as this entry sees them.
struct GateLink {
  core::NodeId node;
  /// Told by the gate on this connection or an earlier one.
  std::optional<TargetReport> report;
  core::Time last_heard_at;
  core::Time notice_sent_at;
  bool connected = false;
  /// The last report that named a target, also of an earlier process there.
  std::optional<TargetReport> last_target_report;
  /// This process at the gate's address has not been sent a notice since it
  /// knows the runs of its target.
  bool echo_due = true;
  /// This process at the gate's address was told of that target.
  bool hint_sent = false;
  /// The gate was sent the operator state that is in force here.
  bool operator_update_sent = false;
  std::deque<UncountedStart> uncounted_starts;
  std::map<RunRef, PlacedRun> runs;
  TargetHealth health;
  /// Room that this entry wants there; nothing once the gate has offered some.
  std::optional<SentWant> sent_want;
};

/// Close the connections to a gate that is silent, so that the next message
/// makes a new one.
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

/// Counters and times for the metrics page.
struct JobCounts {
  std::uint64_t accepted = 0;
  std::uint64_t attached = 0;
  std::uint64_t starts = 0;
  std::uint64_t restarted_tasks = 0;
  std::uint64_t given_up = 0;
  /// Wants of room that gates were told of, and offers that were given back.
  std::uint64_t wants = 0;
  std::uint64_t returned_offers = 0;
  std::map<Refusal, std::uint64_t> refused;
  std::map<JobState, std::uint64_t> ended;
};

/// An ended job, for the metrics.
struct EndedJob {
  QueueId queue;
  JobState state = JobState::kCompleted;
  core::Duration duration{0};
};

/// The blackboard of a coordinating entry.
struct JobBoard {
  Policy policy;
  /// Failure domain of this machine.
  core::DomainId domain;
  OperatorState operator_state;
  /// Of its content.
  std::uint64_t operator_digest = ContentDigest(OperatorState{});
  std::map<core::Address, GateLink> gates;
  std::map<JobId, std::unique_ptr<Job>> jobs;
  std::set<WaitingTask> waiting_tasks;
  /// Tasks were queued since places were last looked for at all gates.
  bool queue_grew = false;
  /// States of ended jobs, oldest first in `kept_order`.
  std::map<JobId, JobState> ended_states;
  std::deque<JobId> ended_order;
  RunTimes run_times;
  std::uint64_t last_job_serial = 0;
  std::uint64_t last_start_sequence = 0;
  bool stopping = false;
  core::Time stop_requested;
  bool was_ready = false;
  /// Spreads equal choices.
  std::uint64_t random = 0x9e3779b97f4a7c15ULL;
  std::vector<JobAction> actions;
  std::vector<LogLine> log_lines;
  std::vector<EndedJob> ended_jobs;
  JobCounts counts;
};

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_JOB_BOARD_H_
