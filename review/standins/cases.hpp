#ifndef TARRAGON_REVIEW_CASES_H_
#define TARRAGON_REVIEW_CASES_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>

#include "cluster.hpp"
#include "recorder.hpp"
#include "tarragon/http/client.h"

namespace tarragon::review {

/// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// Bounds of the rules, as in the settings of the processes.
inline constexpr milliseconds kCancelBound{3000};
inline constexpr milliseconds kStopTimeout{50};
inline constexpr milliseconds kRetransmit{1300};

/// The answer to a client's call; status 0 for none.
struct Answer {
  int status = 0;
  std::string body;
};

/// What the cases share: a cluster, clients and a record.
struct Scene {
  Scene(const std::string& record_path, int edges, int sides)
      : recorder(record_path),
        cluster(io, &recorder, edges, sides),
        client(io, ClientLimitsOfCase()) {}

  static http::ClientLimits ClientLimitsOfCase() {
    http::ClientLimits limits;
    // Each call of a client takes a connection of its own.
    limits.max_idle_per_host = 0;
    return limits;
  }

  boost::asio::io_context io;
  Recorder recorder;
  Cluster cluster;
  http::Client client;
};

/// Sends a call about the job and records it and its answer.
void Call(Scene* scene, const std::string& method, int edge,
          const std::string& route, const std::string& id,
          const std::string& body, milliseconds deadline,
          std::function<void(const Answer&)> done);

/// Cancels that were acknowledged, by job.
using Cancels = std::map<std::string, Moment>;

/// Applies the rule UNASKED to jobs that were cancelled: no task starts later
/// than `cancel_ms` after the acknowledgement, and none runs on
/// `stop_timeout_ms` after that. Returns the number of tasks that break it.
int CountUnasked(Scene* scene, const Cancels& cancels);

/// Applies the rule TWICE: no task runs twice at one time. Overlaps shorter
/// than `least` could be an error of the stand-ins' timers. Returns their
/// number.
int CountTwice(Scene* scene, milliseconds least);

/// Runs the scene: starts the cluster, then `begin`, and after `length` asks
/// `judge` for the exit code.
int RunScene(Scene* scene, std::function<void()> begin, milliseconds length,
             const std::function<int()>& judge);

/// A retry runs a task twice: the end of a run of the job's first attempt is
/// taken for the end of a run of the second.
int RunStaleEndCase(const std::string& record, bool trouble);
/// A late copy of a submission runs a cancelled job.
int RunLateCopyCase(const std::string& record, bool trouble);
/// A cancel that reaches another entry is acknowledged, and the job goes on.
int RunMovedClientCase(const std::string& record, bool trouble);

/// A runner that has crashed and started again under its id drains, which its
/// gate acknowledges and does not notice.
int RunRebornDrainCase(const std::string& record, bool trouble);
/// A heartbeat of another writer displaces a runner, whose runs are started
/// again elsewhere while they go on.
int RunForeignHeartbeatCase(const std::string& record, bool trouble);

}  // namespace tarragon::review

#endif  // TARRAGON_REVIEW_CASES_H_
