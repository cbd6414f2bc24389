#ifndef TARRAGON_REVIEW_RUNNER_H_
#define TARRAGON_REVIEW_RUNNER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "recorder.hpp"
#include "tarragon/http/client.h"
#include "tarragon/http/server.h"

namespace tarragon::review {

struct RunnerConfig {
  std::string id;
  std::string ip;
  std::string zone;
  std::string service;
  /// Where it sends its heartbeats: the `control` address of its machine.
  std::string control;
  std::int64_t cpu = 16000;
  std::int64_t mem_mb = 65536;
  std::int64_t gpu = 0;
  std::vector<std::string> labels;
};

/// Stand-in of a runner. It follows PROTOCOL.md: leases of at most a second,
/// runs that are refused if they are not higher than one that ended or was
/// stopped, ends that are listed until they are taken note of. It starts
/// whatever it is told to (`admission_check` false). The spec of a job is
/// "MILLISECONDS": how long each task works.
class Runner {
 public:
  Runner(boost::asio::io_context& io, RunnerConfig config, Recorder* recorder);

  const std::string& address() const { return address_; }
  const std::string& id() const { return config_.id; }
  bool has_runs() const { return !runs_.empty(); }

  /// Ends at once and starts again under its id after `down`: it knows nothing
  /// of before, and its counts start anew. It sends its first heartbeat
  /// `first_heartbeat` after it takes calls again.
  void Crash(milliseconds down, milliseconds first_heartbeat);
  /// Reports `draining` at once and from now on. `remaining` is the least time
  /// until it leaves.
  void Drain(milliseconds remaining);
  /// When a heartbeat that reported `draining` was first acknowledged.
  std::optional<Moment> drain_acknowledged_at() const {
    return drain_acknowledged_at_;
  }
  /// Deregisters and ends, with all that runs on it.
  void Leave();

 private:
  struct Run {
    std::int64_t number = 0;
    std::size_t record = 0;
    Moment started_at;
    Moment ends_at;
  };
  struct End {
    std::int64_t sequence = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
  };

  std::int64_t ClockMs() const;
  Moment MomentOfClock(std::int64_t clock) const;
  bool IsDown() const;
  void EndAllRuns(const std::string& how);
  void SendHeartbeat();
  void Tick();
  void Handle(const http::Request& request, const http::Responder& answer);
  http::Response Start(const http::Request& request);
  http::Response Stop(const http::Request& request);
  void Hold(const http::Request& request, const http::Responder& answer,
            Moment answer_at);
  void Extend(std::int64_t until);
  void EndRun(const std::string& task, Moment at, const std::string& how);
  http::Response Reply(int status, const std::string& reason) const;

  boost::asio::io_context& io_;
  RunnerConfig config_;
  Recorder* recorder_;
  http::Server server_;
  http::Client client_;
  boost::asio::steady_timer timer_;
  std::string address_;
  Moment origin_;
  Moment next_heartbeat_;
  /// It takes no calls before this moment.
  Moment up_at_;
  bool left_ = false;
  std::optional<Moment> leaves_at_;
  std::optional<Moment> drain_acknowledged_at_;
  std::int64_t born_ = 0;
  std::int64_t heartbeats_ = 0;
  std::int64_t last_sequence_ = 0;
  std::int64_t lease_until_ = 0;
  std::int64_t fence_ = 0;
  std::map<std::string, Run> runs_;
  /// Highest run of each task that ended or was stopped here.
  std::map<std::string, std::int64_t> last_ended_;
  std::vector<End> ends_;
};

}  // namespace tarragon::review

#endif  // TARRAGON_REVIEW_RUNNER_H_
