#ifndef TARRAGON_SIMULATE_ROOM_STATE_H_
#define TARRAGON_SIMULATE_ROOM_STATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "room_jobs.h"
#include "tarragon/coordinator/entry.h"
#include "tarragon/coordinator/gate.h"
#include "tarragon/simulate/room_world.h"

namespace tarragon::simulate {

using coordinator::GateBoard;
using coordinator::JobBoard;
using coordinator::JobState;
using coordinator::Refusal;
using coordinator::RunEnd;
using coordinator::RunRef;

/// Time before the first job, in which entries, gates and targets discover each
/// other.
constexpr core::Duration kWarmUp = std::chrono::milliseconds(500);

/// A simulated target: its runs and the ends that its gate has not
/// acknowledged.
struct FakeTarget {
  struct Run {
    std::int64_t millicores = 0;
    core::Time started;
    /// Tells this run from a later one under the same reference.
    std::uint64_t sequence = 0;
    core::Duration takes{0};
    /// Share of the work at which it hangs; one if it does not.
    double hangs_at = 1;
  };
  std::map<RunRef, Run> running;
  /// Stopped runs, which may not start any more.
  std::set<RunRef> sealed;
  std::vector<coordinator::ListedEnd> unacknowledged_ends;
  std::int64_t last_end = 0;
  /// Number of the long poll that waits for a run to end; zero for none.
  std::uint64_t waiting_poll = 0;
  std::int64_t born = 1;
  /// It has crashed and is not back yet.
  bool down = false;
  std::int64_t sequence = 0;
  /// When it has announced its departure; empty if it stays.
  std::optional<core::Time> noticed_at;
};

/// Runs a plan by executing events in the order of their virtual time.
class CoordinatorSimulation {
 public:
  explicit CoordinatorSimulation(const CoordinatorPlan& plan)
      : plan_(plan),
        random_(plan.seed),
        target_random_(plan.seed + 1000003),
        now_{std::chrono::seconds(1)} {}

  CoordinatorResult Run();

 private:
  struct Event {
    core::Time at;
    std::uint64_t number = 0;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return std::tie(at, number) > std::tie(other.at, other.number);
    }
  };

  void ScheduleAfter(core::Duration delay, std::function<void()> run) {
    events_.push({now_ + delay, ++last_event_, std::move(run)});
  }

  static core::NodeId MakeNodeId(const char* network, std::size_t index) {
    return {core::Address(network + std::to_string(index + 1) + ":7000"),
            core::Incarnation(index + 1)};
  }
  std::size_t FindEntry(const core::Address& address) const {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      if (MakeNodeId("10.0.0.", i).address == address) return i;
    }
    return 0;
  }
  std::size_t FindGate(const core::Address& address) const {
    for (std::size_t i = 0; i < gates_.size(); ++i) {
      if (MakeNodeId("10.0.1.", i).address == address) return i;
    }
    return 0;
  }

  core::Duration NetworkDelay(std::size_t entry, std::size_t gate) const;
  std::size_t PickEntry();
  void StartProcesses();
  void AnnounceTarget(std::size_t gate,
                      core::Duration remaining = core::Duration(0));
  void ScheduleDisturbances();
  void NoticeDeparture(std::size_t gate, const Disturbance& disturbance);
  void LeaveTarget(std::size_t gate);
  void LosePower();
  void RestorePower();
  void SubmitJob(std::uint64_t number);
  void FindGates();
  void ScheduleNextArrival(const JobKind* kind);
  void Submit(const JobKind* kind);
  bool IsAfterPowerLoss(const ClientJob& job) const {
    return power_back_at_.has_value() && job.submitted_at >= *power_back_at_ &&
           job.submitted_at < *power_back_at_ + std::chrono::seconds(2);
  }
  double LoadFactor(const JobKind& kind) const;
  const Disturbance* FindDisturbance(std::size_t target) const;
  void Tick();
  void MeasureFreeRoom();
  SizeResult SumSizes(std::size_t from, std::size_t until) const;
  void SumCounts();

  void FlushEntry(std::size_t entry);
  void FlushGate(std::size_t gate);
  void RecordAnswer(std::size_t entry, const coordinator::AnswerCall& answer);
  template <typename Message>
  void SendToGate(std::size_t entry, Message message, const core::Address& to);
  template <typename Message>
  void SendToEntry(std::size_t gate, Message message, const core::Address& to);
  void ExecuteStart(std::size_t gate, const coordinator::OrderStart& order);
  void ExecuteStop(std::size_t gate, const coordinator::OrderStop& order);
  void ExecutePoll(std::size_t gate, const coordinator::OrderPoll& order);
  void EndRun(std::size_t gate, const RunRef& run, RunEnd end);
  /// Crashes the target under the task of a deadly job, if it still runs.
  void CrashTarget(std::size_t gate, const RunRef& run, std::uint64_t job);
  void FailPoll(std::size_t gate, std::uint64_t number);
  void AnswerPoll(std::size_t gate, std::uint64_t number);

  /// A job that was answered.
  struct SizedOutcome {
    std::int64_t millicores = 0;
    bool in_time = false;
    core::Duration wait{0};
  };

  const CoordinatorPlan& plan_;
  /// Draws the arrivals and jobs, which are the same for equal seeds whatever
  /// the policy is.
  std::mt19937_64 random_;
  std::mt19937_64 target_random_;
  core::Time now_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t last_event_ = 0;
  std::vector<std::unique_ptr<JobBoard>> entries_;
  std::vector<std::unique_ptr<GateBoard>> gates_;
  std::vector<FakeTarget> targets_;
  std::map<std::uint64_t, ClientJob> jobs_;
  std::map<std::string, std::uint64_t> job_numbers_;
  std::uint64_t last_job_ = 0;
  bool dark_ = false;
  std::optional<core::Time> power_back_at_;
  core::Time begin_;
  core::Time end_;
  CoordinatorResult result_;
  std::vector<SizedOutcome> sizes_;
  std::uint64_t waiting_samples_ = 0;
  double free_share_sum_ = 0;
};

}  // namespace tarragon::simulate

#endif  // TARRAGON_SIMULATE_ROOM_STATE_H_
