#ifndef TARRAGON_DAEMONS_DAEMON_MAIN_H_
#define TARRAGON_DAEMONS_DAEMON_MAIN_H_

#include <boost/asio/io_context.hpp>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "event_loop.h"
#include "tarragon/core/command_line.h"
#include "tarragon/core/exit_code.h"
#include "tarragon/core/log.h"
#include "tarragon/daemons/settings_validation.h"

namespace tarragon::daemons {

/// What RunDaemon needs to know of a daemon.
struct DaemonInfo {
  core::ProgramInfo program;
  /// The settings of the daemon.
  std::vector<core::SettingSpec> specs;
  /// The section with the daemon's own `listen`, `advertise` and `domain`.
  std::string section;
};

/// Reads the command line and the settings, runs a `Daemon` until it ends, and
/// returns the exit code of the process.
template <typename Daemon>
int RunDaemon(int argc, char* argv[], const DaemonInfo& info) {
  int exit_code = core::kExitOk;
  const std::optional<core::CommandLine> command =
      core::ParseCommandLine(argc, argv, info.program, &exit_code);
  if (!command.has_value()) return exit_code;
  const std::optional<core::Settings> settings =
      LoadValidatedSettings(*command, info.specs, info.section, &exit_code);
  if (!settings.has_value()) return exit_code;

  boost::asio::io_context io;
  const auto reload = [&command, &info]() {
    int ignored = core::kExitOk;
    return LoadValidatedSettings(*command, info.specs, info.section, &ignored);
  };
  Daemon daemon(io, *settings, reload);
  std::string reason;
  if (!daemon.Start(&reason)) {
    core::Log("main").Error("Cannot start.", {{"why", reason}});
    return core::kExitFailure;
  }
  std::cout << daemon.ReadyLine() << std::endl;
  const bool ended_normally = RunEventLoop(io, core::Log("main"));
  core::FlushLog();
  return ended_normally ? daemon.exit_code() : core::kExitFailure;
}

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_DAEMON_MAIN_H_
