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

#include "relay.h"
#include "tarragon/http/client.h"
#include "tarragon/http/server.h"
#include "witness.h"

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

  FakeTarget(boost::asio::io_context& io, Config config, Witness* witness,
             IsDrained is_drained);

  /// Share of the orders that get no answer: half of them are carried out,
  /// late.
  void SetLoss(double share) { loss_ = share; }
  /// Run times are so much longer.
  void SetSlowness(double factor) { slowness_ = factor; }
  /// Ends all runs; another life begins after a while.
  void Crash();
  Relay* relay() { return relay_.get(); }

 private:
  struct Run {
    std::uint32_t number = 0;
    std::int64_t millicores = 0;
    std::chrono::steady_clock::time_point ends;
  };
  struct End {
    std::int64_t number = 0;
    std::string task;
    std::uint32_t run = 0;
    std::string how;
  };

  std::int64_t Clock() const;
  void Announce();
  void Tick();
  void Handle(const http::Request& request, const http::Responder& answer);
  http::Response Start(const http::Request& request);
  http::Response Stop(const http::Request& request);
  void Hold(const http::Request& request, const http::Responder& answer,
            int looks_left);
  void EndRun(const std::string& task, const std::string& how);
  http::Response Answer(int status, const std::string& reason) const;
  bool Chance(double share);

  boost::asio::io_context& io_;
  Config config_;
  Witness* witness_;
  IsDrained is_drained_;
  std::mt19937_64 random_;
  http::Server server_;
  http::Client client_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<Relay> relay_;
  std::chrono::steady_clock::time_point born_at_;
  std::int64_t born_ = 0;
  std::int64_t sequence_ = 0;
  std::int64_t last_end_ = 0;
  std::int64_t lease_until_ = 0;
  std::map<std::string, Run> runs_;
  std::map<std::string, std::uint32_t> over_;
  std::vector<End> ends_;
  std::chrono::steady_clock::time_point down_until_;
  std::chrono::steady_clock::time_point announced_;
  double loss_ = 0;
  double slowness_ = 1;
};

}  // namespace tarragon::soak

#endif  // TARRAGON_TESTS_SOAK_FAKE_TARGET_H_
