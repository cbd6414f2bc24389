#ifndef TARRAGON_CORE_COMMAND_LINE_H_
#define TARRAGON_CORE_COMMAND_LINE_H_

#include <optional>
#include <string>
#include <vector>

#include "tarragon/core/exit_code.h"
#include "tarragon/core/settings.h"

namespace tarragon::core {

/// What --help and --version say about a program.
struct ProgramInfo {
  /// "tarragon-agent".
  std::string name{};
  /// One sentence.
  std::string purpose{};
};

/// The options that every daemon takes.
struct CommandLine {
  /// --config; empty if absent.
  std::string config_file{};
  /// --set, in their order: "section.key=value".
  std::vector<std::string> overrides{};
  /// --check: check the settings and end.
  bool check = false;
  /// --reference: print the reference file and end.
  bool reference = false;
};

/// Reads the options. Applies --log and gives the log its program name. On
/// --help, --version or a wrong command line prints what is due, puts the exit
/// code into `exit_code` and returns nothing.
std::optional<CommandLine> ParseCommandLine(int argc, char* const argv[],
                                            const ProgramInfo& program,
                                            int* exit_code);

/// Loads the settings that `command` names and serves --check and --reference.
/// Returns nothing if the program is to end with `exit_code`: kExitOk after
/// --check or --reference, kExitSettings after printing every fault.
std::optional<Settings> LoadSettings(const CommandLine& command,
                                     const std::vector<SettingSpec>& specs,
                                     int* exit_code);

}  // namespace tarragon::core

#endif  // TARRAGON_CORE_COMMAND_LINE_H_
