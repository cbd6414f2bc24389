#ifndef TARRAGON_DAEMONS_PROCESS_RUNNER_H_
#define TARRAGON_DAEMONS_PROCESS_RUNNER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "tarragon/core/clock.h"

namespace tarragon::daemons {

/// What a daemon does on the common events of a process.
struct ProcessEvents {
  /// Every kTickInterval.
  std::function<void()> tick;
  /// SIGTERM or SIGINT for the first time.
  std::function<void()> stop;
  /// SIGTERM or SIGINT for the second time: end now.
  std::function<void()> abort;
  /// SIGHUP.
  std::function<void()> reload;
};

/// Pause between two ticks.
inline constexpr core::Duration kTickInterval = std::chrono::milliseconds(20);

/// Runs the timer and the signals of a daemon on its io_context.
class ProcessRunner {
 public:
  ProcessRunner(boost::asio::io_context& io, ProcessEvents events);

 private:
  void ScheduleTick();
  void ScheduleSignalWait();

  boost::asio::steady_timer timer_;
  boost::asio::signal_set signals_;
  ProcessEvents events_;
  bool stopping_ = false;
};

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_PROCESS_RUNNER_H_
