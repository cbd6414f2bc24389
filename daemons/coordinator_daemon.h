#ifndef TARRAGON_DAEMONS_COORDINATOR_DAEMON_H_
#define TARRAGON_DAEMONS_COORDINATOR_DAEMON_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "tarragon/core/settings.h"

namespace tarragon::daemons {

/// The entry process on the users' platform: accepts jobs from clients over
/// HTTP, schedules their tasks, and sends the tasks to the gates that start
/// them.
class CoordinatorDaemon {
 public:
  CoordinatorDaemon(boost::asio::io_context& io, core::Settings settings,
                    std::function<std::optional<core::Settings>()> reload);
  ~CoordinatorDaemon();

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

#endif  // TARRAGON_DAEMONS_COORDINATOR_DAEMON_H_
