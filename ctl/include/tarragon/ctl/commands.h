#ifndef TARRAGON_CTL_COMMANDS_H_
#define TARRAGON_CTL_COMMANDS_H_

#include <ostream>

#include "tarragon/ctl/options.h"
#include "tarragon/ctl/peer.h"

namespace tarragon::ctl {

/// Where a command writes: results to `out`, all else to `err`.
struct Output {
  std::ostream& out;
  std::ostream& err;
};

/// Runs the command that `options` names. Returns the exit code.
int RunCommand(const Options& options, const Peer& peer, const Output& output);

}  // namespace tarragon::ctl

#endif  // TARRAGON_CTL_COMMANDS_H_
