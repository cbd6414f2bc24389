#include "event_loop.h"

#include <exception>

namespace tarragon::daemons {

bool RunEventLoop(boost::asio::io_context& io, const core::Log& log) {
  for (int errors = 0; errors <= kMaxHandlerErrors; ++errors) {
    try {
      io.run();
      return true;
    } catch (const std::exception& error) {
      log.Error("An unexpected error ended the handling of one event.",
                {{"why", error.what()}, {"errors", errors + 1}});
    }
  }
  log.Error("Too many unexpected errors; giving up.",
            {{"errors", kMaxHandlerErrors}});
  return false;
}

}  // namespace tarragon::daemons
