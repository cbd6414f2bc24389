#ifndef TARRAGON_DAEMONS_AGENT_DAEMON_H_
#define TARRAGON_DAEMONS_AGENT_DAEMON_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tarragon/core/settings.h"

namespace tarragon::daemons {

/// The specifications of all settings of tarragon-agent, [policy] included.
std::vector<core::SettingSpec> AgentSpecs();

/// The process next to one target. As home of a job it coordinates the job's
/// tasks; as executor of a task it runs the task at its target.
class AgentDaemon {
 public:
  /// `reload` is called on SIGHUP. It reads the settings again and returns
  /// nothing if they are invalid.
  AgentDaemon(boost::asio::io_context& io, core::Settings settings,
              std::function<std::optional<core::Settings>()> reload);
  ~AgentDaemon();
  AgentDaemon(const AgentDaemon&) = delete;
  AgentDaemon& operator=(const AgentDaemon&) = delete;

  /// Listens on all configured addresses. Returns false and sets `reason` if
  /// one of them cannot be bound.
  bool Start(std::string* reason);

  /// The line for stdout by which the starting program learns the node id and
  /// the bound addresses.
  std::string ReadyLine() const;

  /// The exit code of the process once the io_context has stopped:
  /// core::kExitOk, or core::kExitFailure if open work was aborted by a second
  /// SIGTERM or at the end of `drain_limit`.
  int exit_code() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_AGENT_DAEMON_H_
