#include "process_runner.h"

#include <csignal>
#include <utility>

namespace tarragon::daemons {

ProcessRunner::ProcessRunner(boost::asio::io_context& io, ProcessEvents events)
    : timer_(io),
      signals_(io, SIGTERM, SIGINT, SIGHUP),
      events_(std::move(events)) {
  ScheduleTick();
  ScheduleSignalWait();
}

void ProcessRunner::ScheduleTick() {
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    // An exception from the tick must not end the ticking. The pause counts
    // from the end of the tick, so that slow ticks leave time for other events.
    try {
      events_.tick();
    } catch (...) {
      ScheduleTick();
      throw;
    }
    ScheduleTick();
  });
}

void ProcessRunner::ScheduleSignalWait() {
  signals_.async_wait(
      [this](const boost::system::error_code& error, int signal) {
        if (error) return;
        ScheduleSignalWait();
        if (signal == SIGHUP) {
          events_.reload();
        } else if (stopping_) {
          events_.abort();
        } else {
          stopping_ = true;
          events_.stop();
        }
      });
}

}  // namespace tarragon::daemons
