#ifndef TARRAGON_DAEMONS_PLATFORM_DAEMON_MAIN_H_
#define TARRAGON_DAEMONS_PLATFORM_DAEMON_MAIN_H_

#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>

#include "allocator_settings.h"
#include "event_loop.h"
#include "platform_daemon_settings.h"
#include "tarragon/core/command_line.h"
#include "tarragon/core/exit_code.h"
#include "tarragon/core/log.h"

namespace tarragon::daemons {

/// Reads the command line and the settings, runs a `Daemon` until it stops, and
/// returns the exit code of the process.
template <typename Daemon>
int RunPlatformDaemon(int argc, char* argv[],
                      const core::ProgramInfo& program) {
  ReturnLargeBlocks();
  int exit_code = core::kExitOk;
  const std::optional<core::CommandLine> command =
      core::ParseCommandLine(argc, argv, program, &exit_code);
  if (!command.has_value()) return exit_code;
  const std::optional<core::Settings> settings =
      core::LoadSettings(*command, PlatformSettingSpecs(), &exit_code);
  if (!settings.has_value()) return exit_code;
  core::LogToStandardOutput();
  ApplyLogSettings(*settings);

  boost::asio::io_context io(1);
  const auto load_settings = [&command]() {
    int ignored = core::kExitOk;
    return core::LoadSettings(*command, PlatformSettingSpecs(), &ignored);
  };
  Daemon daemon(io, *settings, load_settings);
  std::string reason;
  if (!daemon.Start(&reason)) {
    core::Log("main").Error("Cannot start.", {{"why", reason}});
    core::SendLog();
    return core::kExitFailure;
  }
  core::Log("main").Info("Started.", {{"listens", daemon.ReadyLine()}});
  const bool ended_normally = RunEventLoop(io, core::Log("main"));
  core::FlushLog();
  core::SendLog();
  return ended_normally ? daemon.exit_code() : core::kExitFailure;
}

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_PLATFORM_DAEMON_MAIN_H_
