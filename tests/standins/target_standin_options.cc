#include "target_standin_options.h"

#include <getopt.h>

#include <charconv>
#include <sstream>

namespace tarragon::standin {
namespace {

enum Option : int {
  kAgent = 1,
  kListen,
  kServices,
  kSlots,
  kCores,
  kMemoryMb,
  kMaxConnections,
  kLogStarts
};

constexpr option kOptions[] = {
    {"agent", required_argument, nullptr, kAgent},
    {"listen", required_argument, nullptr, kListen},
    {"services", required_argument, nullptr, kServices},
    {"slots", required_argument, nullptr, kSlots},
    {"cores", required_argument, nullptr, kCores},
    {"memory-mb", required_argument, nullptr, kMemoryMb},
    {"max-connections", required_argument, nullptr, kMaxConnections},
    {"log-starts", no_argument, nullptr, kLogStarts},
    {nullptr, 0, nullptr, 0}};

std::vector<std::string> SplitNames(const std::string& text) {
  std::vector<std::string> names;
  std::istringstream stream(text);
  for (std::string name; std::getline(stream, name, ',');) {
    if (!name.empty()) names.push_back(name);
  }
  return names;
}

bool ParseNumber(const std::string& text, std::uint32_t* number) {
  const char* last = text.data() + text.size();
  const std::from_chars_result read =
      std::from_chars(text.data(), last, *number);
  return read.ec == std::errc() && read.ptr == last;
}

/// Takes in one option. False if it or its argument is wrong.
bool Apply(int code, const std::string& argument, TargetOptions* options) {
  switch (code) {
    case kAgent:
      options->agent = core::Address(argument);
      return true;
    case kListen:
      options->listen = core::Address(argument);
      return true;
    case kServices:
      options->services = SplitNames(argument);
      return true;
    case kSlots:
      return ParseNumber(argument, &options->slots);
    case kCores:
      return ParseNumber(argument, &options->cores);
    case kMemoryMb:
      return ParseNumber(argument, &options->memory_mb);
    case kMaxConnections:
      return ParseNumber(argument, &options->max_connections);
    case kLogStarts:
      options->log_starts = true;
      return true;
    default:
      return false;
  }
}

}  // namespace

std::optional<TargetOptions> ParseTargetOptions(int argc, char** argv,
                                                std::string* reason) {
  TargetOptions options;
  while (true) {
    const int code = getopt_long(argc, argv, "", kOptions, nullptr);
    if (code == -1) break;
    if (Apply(code, optarg == nullptr ? "" : optarg, &options)) continue;
    *reason = "Wrong option or argument.";
    return std::nullopt;
  }
  if (optind == argc) return options;
  *reason = std::string("Unexpected argument ") + argv[optind] + ".";
  return std::nullopt;
}

}  // namespace tarragon::standin
