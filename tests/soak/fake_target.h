#ifndef TARRAGON_TESTS_SOAK_FAKE_TARGET_H_
#define TARRAGON_TESTS_SOAK_FAKE_TARGET_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "invariant_checker.h"
#include "relay.h"
#include "run_ledger.h"
#include "tarragon/http/client.h"
#include "tarragon/http/server.h"

namespace tarragon::soak {

/// Imitates the part of a target that a gate uses: it executes runs under a
/// lease, reports finished runs in a list until the gate acknowledges them, and
/// changes its incarnation when it restarts. Orders can get lost or be executed
/// late. It accepts starts beyond its capacity, so that the invariant checker
/// sees a gate that overcommits it.
class FakeTarget {
 public:
  struct Config {
    std::string name;
    std::string domain;
    /// Address ("IP:port") of the gate that receives its heartbeats.
    std::string gate;
    std::uint64_t seed = 0;
    /// Where each run is recorded, if anywhere.
    RunLedger* ledger = nullptr;
    /// Lists how far each run is. Otherwise all are listed with 100 percent
    /// from their start on, so that runs over their expected time seem to
    /// stand.
    bool lists_progress = false;
    /// Called before a start is checked against the runs of all targets.
    std::function<void()> before_start;
  };
  /// Shares of the orders to start or stop a run that go wrong. They do not
  /// draw from the generator of the other faults.
  struct OrderFaults {
    /// Carried out, and the connection breaks instead of the answer.
    double broken = 0;
    /// Carried out, but not answered.
    double silent = 0;
    /// Carried out 0 to 900 ms later, and not answered.
    double late = 0;
  };
  /// True if a start in the failure domain breaks an invariant, because the
  /// domain has been drained for longer than a change may take.
  using IsDrained = std::function<bool(const std::string& domain)>;

  FakeTarget(boost::asio::io_context& io, Config config,
             InvariantChecker* invariants, IsDrained is_drained);

  /// Share (0 to 1) of the requests that get no answer. Half of the start and
  /// stop orders among them are still executed, after a random delay.
  void SetOrderLossShare(double share) { order_loss_share_ = share; }
  void SetOrderFaults(const OrderFaults& faults) { order_faults_ = faults; }
  /// Ends the runs that were over by now by the target's clock, at the moments
  /// at which they were.
  void ExpireRuns();
  /// Multiplies the run time of tasks that start from now on.
  void SetRuntimeFactor(double factor) { runtime_factor_ = factor; }
  /// Ends all runs without reporting them and restarts, after a pause, as a new
  /// incarnation.
  void Crash();
  Relay* relay() { return relay_.get(); }

 private:
  struct Run {
    std::uint32_t run_number = 0;
    std::int64_t millicores = 0;
    std::chrono::steady_clock::time_point started_at;
    std::chrono::steady_clock::time_point ends_at;
  };
  struct FinishedRun {
    std::int64_t sequence = 0;
    std::string task;
    std::uint32_t run = 0;
    std::string outcome;
  };

  /// Milliseconds on the target's own clock, which restarts with it.
  std::int64_t ClockMs() const;
  void SendHeartbeat();
  /// Sends heartbeats and ends runs that have completed or lost their lease.
  void Tick();
  void Handle(const http::Request& request, const http::Responder& answer);
  http::Response HandleRunStart(const http::Request& request);
  http::Response HandleRunStop(const http::Request& request);
  void HandleHold(const http::Request& request, const http::Responder& answer,
                  int polls_left);
  void EndRun(const std::string& task, const std::string& outcome,
              std::chrono::steady_clock::time_point at);
  /// Carries out an order that is to go wrong. False if it is a sound one.
  bool HandleFaultyOrder(const http::Request& request,
                         const http::Responder& answer);
  int ComputePercent(const Run& run) const;
  http::Response Execute(const http::Request& order);
  /// Executes an order later, if the incarnation still runs then.
  void ExecuteAfter(std::chrono::milliseconds delay,
                    const http::Request& order);
  /// Breaks the connection once the gate has given up waiting.
  void LeaveUnanswered(const http::Responder& answer);
  http::Response MakeResponse(int status, const std::string& reason) const;
  bool DrawWithProbability(double share);

  boost::asio::io_context& io_;
  Config config_;
  InvariantChecker* invariants_;
  IsDrained is_drained_;
  std::mt19937_64 random_;
  http::Server server_;
  http::Client client_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<Relay> relay_;
  std::chrono::steady_clock::time_point clock_origin_;
  std::int64_t incarnation_ = 0;
  std::int64_t heartbeat_sequence_ = 0;
  std::int64_t last_finished_sequence_ = 0;
  std::int64_t lease_until_ms_ = 0;
  /// Runs by task.
  std::map<std::string, Run> runs_;
  /// The highest run number of each task that has ended or was stopped; starts
  /// with a number up to it are refused.
  std::map<std::string, std::uint32_t> last_ended_run_by_task_;
  std::vector<FinishedRun> finished_runs_;
  std::chrono::steady_clock::time_point down_until_;
  std::chrono::steady_clock::time_point last_heartbeat_at_;
  OrderFaults order_faults_;
  /// Of its own, so that a seed draws the same other faults as before.
  std::mt19937_64 order_fault_random_;
  double order_loss_share_ = 0;
  double runtime_factor_ = 1;
};

}  // namespace tarragon::soak

#endif  // TARRAGON_TESTS_SOAK_FAKE_TARGET_H_
