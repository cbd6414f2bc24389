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

/// The settings of tarragon-agent.
std::vector<core::SettingSpec> AgentSpecs();

/// The process beside one target: home of jobs and executor of tasks.
class AgentDaemon {
 public:
  /// `reload` reads the settings again on SIGHUP; nothing when they are wrong.
  AgentDaemon(boost::asio::io_context& io, core::Settings settings,
              std::function<std::optional<core::Settings>()> reload);
  ~AgentDaemon();
  AgentDaemon(const AgentDaemon&) = delete;
  AgentDaemon& operator=(const AgentDaemon&) = delete;

  /// Listens on all addresses. False, with the reason, when one is taken.
  bool Start(std::string* reason);

  /// One line that names the bound addresses, for whoever started it.
  std::string ReadyLine() const;

  /// What the process is to return once the io_context has stopped:
  /// core::kExitOk, or core::kExitFailure when work was cut by a second SIGTERM
  /// or by the limit of the stop.
  int exit_code() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_AGENT_DAEMON_H_
