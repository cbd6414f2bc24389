#ifndef TARRAGON_DAEMONS_PROCESS_RUNNER_H_
#define TARRAGON_DAEMONS_PROCESS_RUNNER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "tarragon/core/clock.h"

namespace tarragon::daemons {

/// Callbacks of a daemon for its timer and for signals.
struct ProcessEvents {
  /// Called every kTickInterval.
  std::function<void()> tick;
  /// Called on the first SIGTERM or SIGINT: begin a graceful stop.
  std::function<void()> stop;
  /// Called on each further SIGTERM or SIGINT: end at once.
  std::function<void()> abort;
  /// Called on SIGHUP.
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
