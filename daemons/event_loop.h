#ifndef TARRAGON_DAEMONS_EVENT_LOOP_H_
#define TARRAGON_DAEMONS_EVENT_LOOP_H_

#include <boost/asio/io_context.hpp>

#include "tarragon/core/log.h"

namespace tarragon::daemons {

/// Number of exceptions from handlers after which the loop gives up. A process
/// that fails at every event is better restarted.
inline constexpr int kMaxHandlerErrors = 100;

/// Runs the handlers of `io` until it is stopped or has no work left. An
/// exception ends only the handler that it comes from: it is logged, and the
/// other events are handled as before. False if there were more than
/// `kMaxHandlerErrors`.
bool RunEventLoop(boost::asio::io_context& io, const core::Log& log);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_EVENT_LOOP_H_
