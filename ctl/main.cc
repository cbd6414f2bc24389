/// tarragonctl: what operators and clients ask of the system, by hand.

#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "tarragon/ctl/commands.h"
#include "tarragon/ctl/exit_code.h"
#include "tarragon/ctl/options.h"
#include "tarragon/ctl/peer.h"

namespace {

std::string Variable(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? std::string() : std::string(value);
}

}  // namespace

int main(int argc, char** argv) {
  namespace ctl = tarragon::ctl;
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const ctl::Environment environment{Variable("TARRAGON_OPERATORS"),
                                     Variable("TARRAGON_TOKEN")};
  ctl::OptionsError reason;
  const std::optional<ctl::Options> options =
      ctl::ParseOptions(arguments, environment, &reason);
  if (!options && reason.text.empty()) {
    std::cout << reason.output;
    return ctl::kExitOk;
  }
  if (!options) {
    std::cerr << "tarragonctl: " << reason.text
              << "\nTry tarragonctl --help.\n";
    return ctl::kExitUsage;
  }
  return ctl::RunCommand(*options, ctl::SystemPeer(), {std::cout, std::cerr});
}
