#include "tarragon/daemons/agent_daemon.h"

#include <boost/asio/io_context.hpp>
#include <iostream>
#include <optional>
#include <string>

#include "tarragon/core/command_line.h"
#include "tarragon/core/exit_code.h"
#include "tarragon/core/log.h"
#include "tarragon/daemons/checked_settings.h"

int main(int argc, char* argv[]) {
  namespace core = tarragon::core;
  namespace daemons = tarragon::daemons;
  int exit_code = core::kExitOk;
  const core::ProgramInfo program{
      "tarragon-agent",
      "Process beside one target: home of jobs and executor of tasks."};
  const std::optional<core::CommandLine> command =
      core::ParseCommandLine(argc, argv, program, &exit_code);
  if (!command.has_value()) return exit_code;
  const std::optional<core::Settings> settings = daemons::LoadChecked(
      *command, daemons::AgentSpecs(), "agent", &exit_code);
  if (!settings.has_value()) return exit_code;

  boost::asio::io_context io;
  const auto reload = [&command]() {
    int ignored = core::kExitOk;
    return daemons::LoadChecked(*command, daemons::AgentSpecs(), "agent",
                                &ignored);
  };
  daemons::AgentDaemon daemon(io, *settings, reload);
  std::string reason;
  if (!daemon.Start(&reason)) {
    core::Log("main").Error("Cannot start.", {{"why", reason}});
    return core::kExitFailure;
  }
  std::cout << daemon.ReadyLine() << std::endl;
  io.run();
  core::FlushLog();
  return daemon.exit_code();
}
