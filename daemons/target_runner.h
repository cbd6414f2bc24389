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

/// Runs tasks at the target beside the agent, over HTTP.
class TargetRunner {
 public:
  using Ended = std::function<void(const dispatch::TaskRef& ref,
                                   dispatch::TaskEnd end, std::string result)>;

  /// `ended` is called once for each Run, never inside it.
  TargetRunner(boost::asio::io_context& io, Ended ended);

  /// Hands the task to the target at `address`. After `max_run` without an
  /// answer the target is told to stop it and its end is unknown.
  void Run(const core::Address& address, const dispatch::RunTask& task,
           core::Duration max_run);

  /// Tells the target to stop a task; its end comes as usual.
  void Stop(const core::Address& address, const dispatch::TaskRef& ref);

 private:
  void Answered(const core::Address& address, const dispatch::TaskRef& ref,
                const std::optional<http::Response>& response,
                const http::HttpError& error);

  http::Client client_;
  Ended ended_;
};

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_TARGET_RUNNER_H_
