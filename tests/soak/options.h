#ifndef TARRAGON_TESTS_SOAK_OPTIONS_H_
#define TARRAGON_TESTS_SOAK_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tarragon::soak {

/// What the command line of tarragon-soak asks for.
struct Options {
  int seeds = 1;
  std::uint64_t first_seed = 1;
  int seconds = 10;
  int entries = 3;
  int gates = 5;
};

/// Parses the arguments after the program's name. Nothing if an option is
/// unknown, lacks its value or is no number in its range; `reason` says which.
std::optional<Options> ParseOptions(const std::vector<std::string>& arguments,
                                    std::string* reason);

}  // namespace tarragon::soak

#endif  // TARRAGON_TESTS_SOAK_OPTIONS_H_
