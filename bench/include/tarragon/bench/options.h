#ifndef TARRAGON_BENCH_OPTIONS_H_
#define TARRAGON_BENCH_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tarragon/bench/preset.h"
#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"

namespace tarragon::bench {

/// The whole command line, checked.
struct Options {
  enum class Command : std::uint8_t { kHelp, kVersion, kRun, kCompare };
  Command command = Command::kHelp;
  /// The two reports to compare.
  std::vector<std::string> files;
  std::vector<core::Address> clients;
  /// Addresses of /metrics.
  std::vector<core::Address> processes;
  std::string preset = "kaptafa";
  std::uint32_t load_permille = 700;
  core::Duration length{std::chrono::seconds(30)};
  std::uint64_t seed = 1;
  /// Report file; empty for none.
  std::string json_file;
  /// Slots of all targets together; zero leaves those of the preset.
  std::uint32_t slots = 0;
  /// Zero leaves that of the preset.
  core::Duration deadline{0};
  core::Duration attempt_timeout{0};
  bool retry_refused = false;
  std::uint32_t max_outstanding = 20000;
};

/// Reads and checks the command line. Nothing, with a reason, if it is wrong.
std::optional<Options> ParseOptions(const std::vector<std::string>& arguments,
                                    BenchError* reason);

/// What --help prints.
std::string Help();

}  // namespace tarragon::bench

#endif  // TARRAGON_BENCH_OPTIONS_H_
