#ifndef TARRAGON_TESTS_STANDINS_TARGET_STANDIN_TASKS_H_
#define TARRAGON_TESTS_STANDINS_TARGET_STANDIN_TASKS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "target_standin_fault.h"
#include "target_standin_witness.h"
#include "tarragon/http/server.h"

namespace tarragon::standin {

/// Runs tasks as a target would: sleeps for the time that the payload asks for
/// and answers what it says. Faults and holds change that.
class TargetTasks {
 public:
  TargetTasks(boost::asio::io_context& io, std::uint32_t slots,
              Witness* witness);

  /// Serves POST /v1/tasks.
  void Start(const http::Request& request, const http::Responder& respond);
  /// Serves DELETE /v1/tasks/KEY/TASK.
  void Stop(const http::Request& request, const http::Responder& respond);
  /// Serves POST /fault.
  void SetFault(const http::Request& request, const http::Responder& respond);
  /// Serves POST /hold and POST /release.
  void SetHold(const http::Request& request, const http::Responder& respond);

  /// Starts no more tasks; calls `on_ended` when no task runs but those that
  /// hang.
  void Leave(std::function<void()> on_ended);
  /// Closes the connections of the tasks that hang.
  void DropHanging();

  std::size_t running() const { return tasks_.size(); }

 private:
  struct Task {
    http::Request request;
    http::Responder respond;
    std::unique_ptr<boost::asio::steady_timer> timer;
    std::size_t witnessed = 0;
    std::string result;
    bool fail = false;
    FaultMode fault = FaultMode::kNone;
    /// Its run time is over, but a hold keeps it.
    bool due = false;
  };

  void Run(std::uint64_t number, double work_ms);
  void OnDue(std::uint64_t number);
  void End(std::uint64_t number, bool ok);
  void CheckEnded();

  boost::asio::io_context& io_;
  std::uint32_t slots_;
  Witness* witness_;
  Fault fault_;
  bool hold_ = false;
  bool leaving_ = false;
  std::function<void()> on_ended_;
  std::uint64_t last_number_ = 0;
  std::map<std::uint64_t, Task> tasks_;
};

}  // namespace tarragon::standin

#endif  // TARRAGON_TESTS_STANDINS_TARGET_STANDIN_TASKS_H_
