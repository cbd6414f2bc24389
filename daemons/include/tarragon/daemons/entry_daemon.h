#ifndef TARRAGON_DAEMONS_ENTRY_DAEMON_H_
#define TARRAGON_DAEMONS_ENTRY_DAEMON_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tarragon/core/settings.h"

namespace tarragon::daemons {

/// The specifications of all settings of tarragon-entry, [policy] included.
std::vector<core::SettingSpec> EntrySpecs();

/// The front-end process: serves the HTTP interfaces of clients and operators
/// and forwards jobs to the agents.
class EntryDaemon {
 public:
  /// `reload` is called on SIGHUP. It reads the settings again and returns
  /// nothing if they are invalid.
  EntryDaemon(boost::asio::io_context& io, core::Settings settings,
              std::function<std::optional<core::Settings>()> reload);
  ~EntryDaemon();
  EntryDaemon(const EntryDaemon&) = delete;
  EntryDaemon& operator=(const EntryDaemon&) = delete;

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

#endif  // TARRAGON_DAEMONS_ENTRY_DAEMON_H_
