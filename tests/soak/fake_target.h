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
#include "tarragon/http/client.h"
#include "tarragon/http/server.h"

namespace tarragon::soak {

/// A target as far as a gate uses it: runs under a lease, ends in a list,
/// orders that get lost or are carried out late, lives. It does not guard its
/// room.
class FakeTarget {
 public:
  struct Config {
    std::string name;
    std::string domain;
    /// Where it announces itself.
    std::string gate;
    std::uint64_t seed = 0;
  };
  /// True if no start is allowed in the domain any more.
  using IsDrained = std::function<bool(const std::string& domain)>;

  FakeTarget(boost::asio::io_context& io, Config config,
             InvariantChecker* invariants, IsDrained is_drained);

  /// Share of the orders that get no answer: half of them are carried out,
  /// late.
  void SetOrderLossShare(double share) { order_loss_share_ = share; }
  /// Run times are so much longer.
  void SetRuntimeFactor(double factor) { runtime_factor_ = factor; }
  /// Ends all runs; another life begins after a while.
  void Crash();
  Relay* relay() { return relay_.get(); }

 private:
  struct Run {
    std::uint32_t run_number = 0;
    std::int64_t millicores = 0;
    std::chrono::steady_clock::time_point ends_at;
  };
  struct FinishedRun {
    std::int64_t sequence = 0;
    std::string task;
    std::uint32_t run = 0;
    std::string outcome;
  };

  std::int64_t ClockMs() const;
  void SendHeartbeat();
  void Tick();
  void Handle(const http::Request& request, const http::Responder& answer);
  http::Response HandleRunStart(const http::Request& request);
  http::Response HandleRunStop(const http::Request& request);
  void HandleHold(const http::Request& request, const http::Responder& answer,
                  int polls_left);
  void EndRun(const std::string& task, const std::string& outcome);
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
  std::map<std::string, Run> runs_;
  std::map<std::string, std::uint32_t> last_ended_run_by_task_;
  std::vector<FinishedRun> finished_runs_;
  std::chrono::steady_clock::time_point down_until_;
  std::chrono::steady_clock::time_point last_heartbeat_at_;
  double order_loss_share_ = 0;
  double runtime_factor_ = 1;
};

}  // namespace tarragon::soak

#endif  // TARRAGON_TESTS_SOAK_FAKE_TARGET_H_
