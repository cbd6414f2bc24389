#ifndef TARRAGON_REVIEW_STANDINS_3_RUNNER_H_
#define TARRAGON_REVIEW_STANDINS_3_RUNNER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "record.h"
#include "tarragon/http/client.h"
#include "tarragon/http/server.h"

namespace tarragon::review {

/// A sound runner, as the users' page on the protocol tells it: leases,
/// tombstones, numbered ends, heartbeats each 1.5 s. The first word of a
/// task's spec is its time in milliseconds.
class Runner {
 public:
  /// `control` is where its heartbeats go.
  Runner(boost::asio::io_context& io, Record* record, std::string id,
         const std::string& ip, std::string control, std::string zone);

  /// Sends a heartbeat of another writer about this runner. Fields are missing
  /// in it: "version", "slots", "cold_remaining_ms", "labels", and "mem_mb" and
  /// "gpu" of the capacity. Its "sequence" is the other writer's.
  void SendForeignBeat();

  /// While true, it is unhealthy: it answers 503 to all calls and does nothing
  /// for them. Its heartbeats go on.
  void SetUnhealthy(bool unhealthy);
  const std::string& id() const { return id_; }
  /// Calls that it has received, and starts that it has carried out.
  int calls() const { return calls_; }
  int starts() const { return starts_; }

 private:
  struct Run {
    std::int64_t number = 0;
    Steady::time_point began;
    Steady::time_point ends;
    bool stopping = false;
  };
  struct End {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
  };

  std::int64_t ClockMs() const;
  void Tick();
  void Beat();
  http::Request MakeBeat(bool foreign) const;
  /// Ends what is over by now.
  void Advance();
  void EndRun(const std::string& task, const std::string& how);
  void Handle(const http::Request& request, const http::Responder& answer);
  http::Response Start(const http::Request& request);
  http::Response Stop(const http::Request& request);
  void Hold(const http::Request& request, const http::Responder& answer,
            Steady::time_point until);
  http::Response Reply(int status, const std::string& reason) const;
  /// Grants a lease, at most `max_hold_ms` from now.
  void Grant(std::int64_t until_ms);

  boost::asio::io_context& io_;
  Record* record_;
  std::string id_;
  std::string control_;
  std::string zone_;
  http::Server server_;
  http::Client client_;
  boost::asio::steady_timer timer_;
  std::string address_;
  Steady::time_point origin_;
  Steady::time_point last_beat_;
  std::int64_t born_ = 0;
  std::int64_t sequence_ = 0;
  std::int64_t lease_ = 0;
  std::int64_t fence_ = 0;
  std::int64_t last_end_ = 0;
  std::map<std::string, Run> runs_;
  std::map<std::string, std::int64_t> tombstones_;
  std::vector<End> ends_;
  bool unhealthy_ = false;
  int calls_ = 0;
  int starts_ = 0;
};

}  // namespace tarragon::review

#endif  // TARRAGON_REVIEW_STANDINS_3_RUNNER_H_
