#ifndef TARRAGON_DAEMONS_TARGET_RUNNER_H_
#define TARRAGON_DAEMONS_TARGET_RUNNER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/agent.h"
#include "tarragon/dispatch/agent_board.h"
#include "tarragon/http/client.h"

namespace tarragon::daemons {

/// Starts and stops tasks at the agent's target over HTTP.
class TargetRunner {
 public:
  using EndCallback = std::function<void(
      const dispatch::TaskRef& ref, dispatch::TaskEnd end, std::string result)>;

  /// `on_end` is called once for each StartTask, never from within it.
  TargetRunner(boost::asio::io_context& io, EndCallback on_end);

  /// Sends the task to the target at `address`. After `max_run` without an
  /// answer the target is asked to stop the task, which ends as kUnknown.
  void StartTask(const core::Address& address, const dispatch::RunTask& task,
                 core::Duration max_run);

  /// Asks the target to stop a task. The end of the task is still reported by
  /// the response to StartTask.
  void StopTask(const core::Address& address, const dispatch::TaskRef& ref);

 private:
  void OnResponse(const core::Address& address, const dispatch::TaskRef& ref,
                  const std::optional<http::Response>& response,
                  const http::HttpError& error);

  http::Client client_;
  EndCallback on_end_;
};

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_TARGET_RUNNER_H_
