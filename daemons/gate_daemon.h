#ifndef TARRAGON_DAEMONS_GATE_DAEMON_H_
#define TARRAGON_DAEMONS_GATE_DAEMON_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "tarragon/core/settings.h"

namespace tarragon::daemons {

/// The gate process on the VM of a target on the users' platform. It is the
/// only process that sends orders to that target.
class GateDaemon {
 public:
  GateDaemon(boost::asio::io_context& io, core::Settings settings,
             std::function<std::optional<core::Settings>()> reload);
  ~GateDaemon();

  /// Opens the listening ports and connects to the store. On an error returns
  /// false and sets `reason`.
  bool Start(std::string* reason);
  int exit_code() const;
  /// The VM's name and the addresses on which the process listens, for the log.
  std::string ReadyLine() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_GATE_DAEMON_H_
