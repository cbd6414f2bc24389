#ifndef TARRAGON_DAEMONS_GATE_DAEMON_H_
#define TARRAGON_DAEMONS_GATE_DAEMON_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "tarragon/core/settings.h"

namespace tarragon::daemons {

/// The process beside a target on the users' platform, the only one that gives
/// orders to the target.
class GateDaemon {
 public:
  GateDaemon(boost::asio::io_context& io, core::Settings settings,
             std::function<std::optional<core::Settings>()> reload);
  ~GateDaemon();

  /// False, with a reason, if it cannot run.
  bool Start(std::string* reason);
  int exit_code() const;
  /// Where it listens, for the log.
  std::string ReadyLine() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_GATE_DAEMON_H_
