#ifndef TARRAGON_TESTS_STANDINS_TARGET_STANDIN_OPTIONS_H_
#define TARRAGON_TESTS_STANDINS_TARGET_STANDIN_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tarragon/core/ids.h"

namespace tarragon::standin {

/// Command line of the target stand-in.
struct TargetOptions {
  /// The agent's target address; empty announces nothing.
  core::Address agent;
  core::Address listen{"127.0.0.1:0"};
  std::vector<std::string> services;
  /// Tasks that run at one time.
  std::uint32_t slots = 8;
  std::uint32_t cores = 16;
  std::uint32_t memory_mb = 65536;
  std::uint32_t max_connections = 60;
  /// Writes a line to the standard error output for each start.
  bool log_starts = false;
};

/// Reads the command line. Nothing, with a reason, if it is wrong.
std::optional<TargetOptions> ParseTargetOptions(int argc, char** argv,
                                                std::string* reason);

}  // namespace tarragon::standin

#endif  // TARRAGON_TESTS_STANDINS_TARGET_STANDIN_OPTIONS_H_
