#ifndef TARRAGON_BENCH_DRIVER_H_
#define TARRAGON_BENCH_DRIVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tarragon/bench/arrivals.h"
#include "tarragon/bench/handle_book.h"
#include "tarragon/bench/run_result.h"
#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/http/client.h"

namespace tarragon::bench {

/// How the driver behaves as a client.
struct DriverOptions {
  /// Clients' addresses of entries, taken in turn. At least one.
  std::vector<core::Address> clients;
  /// Come back after a refusal as its answer tells.
  bool retry_refused = false;
  /// Jobs without a final answer at one time; more are not submitted.
  std::size_t max_outstanding = 20000;
  /// A call is given up after this and sent again; zero waits for the deadline.
  core::Duration attempt_timeout{0};
};

/// How far a run has come.
struct Progress {
  std::size_t submitted = 0;
  std::size_t outstanding = 0;
  std::size_t completed = 0;
  std::size_t refused = 0;
  std::size_t others = 0;
};

/// Submits the jobs of a plan at their times, whatever is outstanding, and
/// records what becomes of them. All calls belong on the thread of the
/// io_context.
class Driver {
 public:
  /// `plan` and `clock` must outlive the driver.
  Driver(boost::asio::io_context& io, const core::Clock& clock,
         const RunPlan& plan, DriverOptions options);
  ~Driver();
  Driver(const Driver&) = delete;
  Driver& operator=(const Driver&) = delete;

  /// Begins the run. `done` is called once, after the last answer.
  void Start(std::function<void()> done);

  Progress progress() const { return progress_; }
  /// Complete once the run is done.
  const RunResult& result() const { return result_; }

 private:
  /// One job on its way.
  struct JobState {
    std::string handle;
    std::string key;
    std::uint32_t keys_minted = 0;
    std::size_t client = 0;
    core::Time sent;
    core::Duration pause{0};
    bool submitted = false;
  };
  using Job = std::size_t;

  core::Duration Elapsed() const { return clock_.Now() - start_; }
  core::Duration TimeLeft(Job job) const;
  core::Duration CallTimeout(Job job) const;
  const core::Address& ClientOf(Job job) const;
  void After(core::Duration pause, std::function<void()> step);

  void ScheduleNext();
  void LaunchDue();
  void Launch(Job job);
  void Submit(Job job);
  void SendSubmission(Job job);
  void SendQuery(Job job);
  void Send(Job job, const http::Request& request);
  void OnReply(Job job, const std::optional<http::Response>& response,
               const http::HttpError& error);
  void OnAnswer(Job job, const ClientAnswer& answer);
  void OnLost(Job job, const http::HttpError& error);
  void ComeBack(Job job, const ClientAnswer& answer);
  void CheckResults(Job job, const ClientAnswer& answer);
  void Finish(Job job, JobEnd end, const std::string& reason);
  void CheckDone();

  void FetchHandle(const core::ServiceId& service);
  void OnHandle(const core::ServiceId& service,
                const std::optional<http::Response>& response);
  void ResumeWaiting(const core::ServiceId& service);
  void DropLateWaiting(const core::ServiceId& service);

  boost::asio::io_context& io_;
  const core::Clock& clock_;
  const RunPlan& plan_;
  DriverOptions options_;
  http::Client client_;
  boost::asio::steady_timer arrival_timer_;
  std::function<void()> done_;
  core::Time start_;
  /// Makes the keys of this run differ from those of all others.
  std::string run_id_;
  Job next_ = 0;
  std::size_t next_client_ = 0;
  std::vector<JobState> states_;
  HandleBook handles_;
  /// Jobs that wait for a handle, by service.
  std::map<core::ServiceId, std::vector<Job>> waiting_;
  std::set<core::ServiceId> fetching_;
  Progress progress_;
  RunResult result_;
  /// Expires with the driver, so that late timers do nothing.
  std::shared_ptr<bool> alive_;
};

}  // namespace tarragon::bench

#endif  // TARRAGON_BENCH_DRIVER_H_
