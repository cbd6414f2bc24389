#ifndef TARRAGON_CTL_COMMAND_SPEC_H_
#define TARRAGON_CTL_COMMAND_SPEC_H_

#include <string>
#include <vector>

#include "tarragon/ctl/options.h"

namespace tarragon::ctl {

/// Which peer a command speaks to.
enum class Side : std::uint8_t { kOperators, kClients };

/// What one command takes.
struct CommandSpec {
  Command command = Command::kNoteShow;
  /// "note apply".
  std::string words;
  /// Name of the argument in help; empty for a command without one.
  std::string argument;
  Side side = Side::kOperators;
  /// Options of this command besides the common ones, without "--".
  std::vector<std::string> options;
  std::string purpose;
  /// Further lines of help.
  std::string details;
};

/// All commands, in the order of the help.
const std::vector<CommandSpec>& CommandSpecs();

/// The help of the whole program.
std::string ProgramHelp();

/// The help of one command.
std::string CommandHelp(const CommandSpec& spec);

}  // namespace tarragon::ctl

#endif  // TARRAGON_CTL_COMMAND_SPEC_H_
