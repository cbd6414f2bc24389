#ifndef TARRAGON_SIMULATE_RESEND_STATE_H_
#define TARRAGON_SIMULATE_RESEND_STATE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "tarragon/coordinator/entry.h"
#include "tarragon/coordinator/gate.h"
#include "tarragon/simulate/resend_world.h"

namespace tarragon::simulate {

using coordinator::GateBoard;
using coordinator::JobBoard;
using coordinator::RunEnd;
using coordinator::RunRef;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Time before the first job and the first fault, in which the processes find
/// each other.
inline constexpr core::Duration kResendWarmUp = milliseconds(800);

/// Virtual time at which a simulation begins.
inline constexpr core::Time kResendBegin{std::chrono::seconds(100)};

/// Seconds since the beginning.
std::string FormatResendTime(core::Time at);

/// Position of a process: entries first, then gates.
using ProcessIndex = std::size_t;

/// Uniform numbers that are the same with every standard library.
class Dice {
 public:
  explicit Dice(std::uint64_t seed) : engine_(seed) {}
  /// At least zero and less than one.
  double Share() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
  bool Chance(double share) { return Share() < share; }
  std::size_t Below(std::size_t count) { return engine_() % count; }
  core::Duration Between(core::Duration least, core::Duration most) {
    return least + core::Duration(static_cast<std::int64_t>(
                       Share() * static_cast<double>((most - least).count())));
  }

 private:
  std::mt19937_64 engine_;
};

/// An entry or a gate.
struct Process {
  /// Something that has arrived and is not handled yet.
  struct Arrival {
    /// Arrivals from one source stay in order when a frozen process wakes.
    std::uint64_t source = 0;
    std::function<void()> handle;
  };
  std::string name;
  core::NodeId node;
  bool alive = false;
  /// The machine is off, so it does not close its connections.
  bool is_off = false;
  bool frozen = false;
  /// Each arrival is handled up to this much later, until `slow_until`.
  core::Duration lag{0};
  core::Time slow_until;
  /// The machine's clock runs ahead of virtual time by this.
  core::Duration clock_offset{0};
  /// Counts starts and deaths, so that what was meant for an earlier life is
  /// recognised.
  std::uint64_t life = 0;
  std::deque<Arrival> inbox;
  core::Time last_handled_at;
  /// One of them is set.
  std::unique_ptr<JobBoard> entry;
  std::unique_ptr<GateBoard> gate;
  /// What the gate has stored for a later process.
  std::optional<coordinator::TargetReport> stored_target;
};

/// Handles a message at the process that receives it.
using Delivery =
    std::function<void(ProcessIndex receiver, const core::NodeId& from)>;

/// A TCP connection between two processes. Index 0 is the dialling side.
struct SimulatedConnection {
  /// A segment on its way. Its delivery is empty for the end of the stream.
  struct Segment {
    core::Time ready_at;
    std::function<void()> deliver;
  };
  struct Side {
    ProcessIndex process = 0;
    std::uint64_t life = 0;
    /// The peer as it has introduced itself, or as it was dialled.
    core::NodeId peer;
    bool open = false;
    bool closed = false;
    /// Messages until the connection opens.
    std::vector<Delivery> queued;
    /// What this side has sent.
    std::deque<Segment> sent;
    /// Segments sent later never arrive.
    bool aborted = false;
  };
  std::uint64_t id = 0;
  Side sides[2];
};
using ConnectionPtr = std::shared_ptr<SimulatedConnection>;

/// A target and what it knows of its runs.
struct SimulatedTarget {
  struct Run {
    core::Time started;
    core::Duration takes{0};
    std::size_t record = 0;
    bool stopping = false;
  };
  struct Hold {
    std::uint64_t number = 0;
    std::function<void(bool)> answer;
  };
  coordinator::TargetId id;
  std::int64_t born = 0;
  bool up = false;
  std::uint64_t life = 0;
  std::int64_t sequence = 0;
  core::Time booted_at;
  std::int64_t first_clock = 0;
  double clock_rate = 1;
  std::int64_t lease_until = 0;
  std::map<RunRef, Run> running;
  /// Highest run number that was stopped or has ended here.
  std::map<coordinator::TaskRef, std::uint32_t> highest_over;
  std::vector<coordinator::ListedEnd> ends;
  std::int64_t last_end = 0;
  std::vector<Hold> holds;
  /// Faults of the calls to this target.
  core::Time lossy_until;
  double loss_share = 0;
  core::Time late_until;
  double late_share = 0;
};

/// A job and its client.
struct ResendJob {
  coordinator::JobRequest request;
  std::vector<core::Duration> run_times;
  std::uint32_t attempts = 0;
};

/// A client's request to an entry.
struct ClientCall {
  std::uint64_t job = 0;
  ProcessIndex entry = 0;
  std::uint64_t entry_life = 0;
};

/// Executes events in the order of their virtual time.
class ResendWorld {
 public:
  explicit ResendWorld(const ResendPlan& plan);
  ResendResult Run();

 private:
  struct Event {
    core::Time at;
    std::uint64_t number = 0;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return std::tie(at, number) > std::tie(other.at, other.number);
    }
  };
  /// How a call to a target goes wrong.
  enum class CallFate : std::uint8_t { kFine, kNotSent, kUnanswered, kLate };

  // resend_world.cc: events and processes.
  void After(core::Duration delay, std::function<void()> run);
  core::Time ClockOf(ProcessIndex p) const;
  bool IsEntry(ProcessIndex p) const { return p < plan_.entries; }
  ProcessIndex GateProcess(std::size_t gate) const {
    return plan_.entries + gate;
  }
  std::optional<ProcessIndex> FindProcess(const core::Address& address) const;
  void Arrive(ProcessIndex p, std::uint64_t life, std::uint64_t source,
              std::function<void()> handle);
  void HandleNext(ProcessIndex p, std::uint64_t life);
  void Start(ProcessIndex p);
  void LearnPeers(ProcessIndex p);
  void Kill(ProcessIndex p, bool power_loss);
  void Freeze(ProcessIndex p);
  void Thaw(ProcessIndex p);
  void Tick(ProcessIndex p);
  void FindOverlaps();

  // resend_actions.cc: what the boards request.
  void Flush(ProcessIndex p);
  void TraceLog(ProcessIndex p, std::vector<coordinator::LogLine>* lines);
  template <typename Message>
  void Execute(ProcessIndex p, coordinator::SendTo<Message>& action);
  void Execute(ProcessIndex p, const coordinator::DisconnectGate& action);
  void Execute(ProcessIndex p, const coordinator::AnswerCall& action);
  void Execute(ProcessIndex p, const coordinator::StoreTarget& action);
  void Execute(ProcessIndex p, const coordinator::OrderStart& action);
  void Execute(ProcessIndex p, const coordinator::OrderStop& action);
  void Execute(ProcessIndex p, const coordinator::OrderPoll& action);

  // resend_links.cc: connections between entries and gates.
  void Send(ProcessIndex p, const core::NodeId& to, Delivery delivery);
  ConnectionPtr Dial(ProcessIndex p, ProcessIndex q, const core::NodeId& to);
  void Accept(const ConnectionPtr& connection);
  void Open(const ConnectionPtr& connection, int side,
            const core::NodeId& peer);
  void Transmit(const ConnectionPtr& connection, int side, Delivery delivery);
  void SendSegment(const ConnectionPtr& connection, int side,
                   std::function<void()> deliver);
  void Pump(const ConnectionPtr& connection, int side);
  void CheckAcknowledged(const ConnectionPtr& connection, int side);
  /// Closes a side as its process does. The other one reads the end later.
  void CloseSide(const ConnectionPtr& connection, int side);
  /// Breaks a side: its process learns that the peer is lost.
  void BreakSide(const ConnectionPtr& connection, int side);
  void BreakLater(const ConnectionPtr& connection, int side,
                  core::Duration delay);
  void VerifyAddress(ProcessIndex p, ProcessIndex q);
  void DropPeer(ProcessIndex p, const core::NodeId& peer);
  void RaiseLost(ProcessIndex p, const core::NodeId& peer);
  void RaiseGone(ProcessIndex p, const core::NodeId& peer);
  void CloseConnectionsOf(ProcessIndex p, bool power_loss);
  void ResetStaleConnections(ProcessIndex p);
  std::vector<ConnectionPtr>& ConnectionsBetween(ProcessIndex p,
                                                 ProcessIndex q);
  /// When what `p` sends reaches `q` again; now if it does.
  core::Time CutEnd(ProcessIndex p, ProcessIndex q) const;

  // resend_targets.cc: targets and the calls of their gates.
  void StartTarget(std::size_t t, bool same_id);
  void CrashTarget(std::size_t t, core::Duration down, bool same_id);
  void Announce(std::size_t t, std::uint64_t life);
  std::int64_t TargetClockOf(const SimulatedTarget& target) const;
  CallFate DrawFate(const SimulatedTarget& target, bool may_be_late);
  struct TargetCall;
  /// Starts a call of a gate; `time_out` is raised if nothing answers it.
  std::shared_ptr<TargetCall> MakeCall(ProcessIndex p, core::Duration timeout,
                                       std::function<void()> time_out);
  /// Raises the first answer of the call at its gate.
  void Reply(const std::shared_ptr<TargetCall>& call,
             std::function<void()> answer);
  coordinator::OrderAnswer StartRun(std::size_t t,
                                    const coordinator::OrderStart& order,
                                    const SimulatedRun& record);
  void StopRun(std::size_t t, const RunRef& run);
  void Extend(std::size_t t, std::int64_t until);
  void EndRun(std::size_t t, const RunRef& run, RunEnd end);
  void AnswerHolds(std::size_t t, bool answered);
  coordinator::PollReply ListRuns(const SimulatedTarget& target) const;

  // resend_clients.cc: clients and their connections to entries.
  void ScheduleNextJob();
  void SubmitNewJob();
  const ResendJob& FindJob(const coordinator::JobId& id) const;
  void Submit(std::uint64_t number);
  void HandOver(std::uint64_t call);
  void ResendLater(std::uint64_t number);
  void LeaveCall(std::uint64_t call);
  /// A call's connection breaks for both sides.
  void BreakCall(std::uint64_t call);
  /// The entry is gone, and the resets of its connections reach its clients.
  void LoseCalls(ProcessIndex entry);
  std::vector<std::uint64_t> FindCalls(ProcessIndex entry) const;
  void ReceiveAnswer(std::uint64_t call,
                     const coordinator::ClientAnswer& answer);

  // resend_faults.cc: the series of faults.
  void ScheduleFaults();
  core::Duration DrawGap();
  void InjectEntryFault();
  void InjectProcessFault(ProcessIndex p);
  void InjectGateFault();
  void InjectTargetFault();
  void InjectCallFault();
  void InjectLinkFault();
  void Cut(ProcessIndex from, ProcessIndex to, core::Duration length);
  /// Gates that a fault hits: one, some or all.
  std::vector<std::size_t> DrawGates();
  void NoteFault(std::string text);

  ResendPlan plan_;
  Dice job_dice_;
  Dice fault_dice_;
  Dice dice_;
  core::Time now_ = kResendBegin;
  core::Time end_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t last_event_ = 0;
  std::uint64_t last_source_ = 0;
  coordinator::OperatorState operator_state_;
  std::vector<Process> processes_;
  std::vector<SimulatedTarget> targets_;
  std::map<std::pair<ProcessIndex, ProcessIndex>, std::vector<ConnectionPtr>>
      connections_;
  /// By sender and receiver: until when nothing arrives.
  std::map<std::pair<ProcessIndex, ProcessIndex>, core::Time> cuts_;
  /// The same for what clients send to an entry, and for its answers.
  std::vector<core::Time> client_cuts_;
  std::vector<core::Time> answer_cuts_;
  std::map<std::uint64_t, ResendJob> jobs_;
  std::map<std::uint64_t, ClientCall> calls_;
  std::uint64_t last_job_ = 0;
  std::uint64_t last_call_ = 0;
  std::vector<SimulatedRun> records_;
  ResendResult result_;
};

}  // namespace tarragon::simulate

#endif  // TARRAGON_SIMULATE_RESEND_STATE_H_
