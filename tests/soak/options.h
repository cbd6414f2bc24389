#ifndef TARRAGON_TESTS_SOAK_OPTIONS_H_
#define TARRAGON_TESTS_SOAK_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tarragon::soak {

/// Which faults a soak injects.
enum class Plan : std::uint8_t {
  /// Independent faults of all kinds.
  kRandom,
  /// Series of losses: of an entry and, shortly after, of gates.
  kLosses,
  /// Orders to all targets get lost or are carried out late; nothing else.
  kOrders,
};

/// What the command line of tarragon-soak asks for.
struct Options {
  int seeds = 1;
  std::uint64_t first_seed = 1;
  int seconds = 10;
  int entries = 3;
  int gates = 5;
  Plan plan = Plan::kRandom;
  /// Keeps the logs of seeds that held, too.
  bool keep_logs = false;
};

/// Parses the arguments after the program's name. Nothing if an option is
/// unknown, lacks its value or is no number in its range; `reason` says which.
std::optional<Options> ParseOptions(const std::vector<std::string>& arguments,
                                    std::string* reason);

}  // namespace tarragon::soak

#endif  // TARRAGON_TESTS_SOAK_OPTIONS_H_
