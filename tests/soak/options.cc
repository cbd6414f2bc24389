#include "options.h"

#include <charconv>
#include <limits>
#include <map>
#include <system_error>

namespace tarragon::soak {
namespace {

constexpr std::int64_t kMaxCount = 100000;
/// The loopback addresses of one role differ in their last byte.
constexpr std::int64_t kMaxProcesses = 250;

struct Option {
  std::int64_t least = 0;
  std::int64_t most = 0;
  std::int64_t value = 0;
};

}  // namespace

std::optional<Options> ParseOptions(const std::vector<std::string>& arguments,
                                    std::string* reason) {
  Options options;
  const std::map<std::string, Plan> plans = {{"random", Plan::kRandom},
                                             {"losses", Plan::kLosses},
                                             {"orders", Plan::kOrders}};
  std::map<std::string, Option> known = {
      {"--seeds", {1, kMaxCount, options.seeds}},
      {"--seed", {0, std::numeric_limits<std::int64_t>::max(), 1}},
      {"--seconds", {1, kMaxCount, options.seconds}},
      {"--entries", {1, kMaxProcesses, options.entries}},
      {"--gates", {1, kMaxProcesses, options.gates}},
      {"--keep-logs", {0, 1, 0}},
  };
  for (std::size_t i = 0; i < arguments.size(); i += 2) {
    if (arguments[i] == "--plan") {
      const auto plan =
          plans.find(i + 1 < arguments.size() ? arguments[i + 1] : "");
      if (plan == plans.end()) {
        *reason = "--plan needs random, losses or orders.";
        return std::nullopt;
      }
      options.plan = plan->second;
      continue;
    }
    const auto found = known.find(arguments[i]);
    if (found == known.end()) {
      *reason = "Unknown option " + arguments[i] + ".";
      return std::nullopt;
    }
    Option& option = found->second;
    const std::string text =
        i + 1 < arguments.size() ? arguments[i + 1] : std::string();
    const char* end = text.data() + text.size();
    const std::from_chars_result read =
        std::from_chars(text.data(), end, option.value);
    if (read.ec != std::errc() || read.ptr != end ||
        option.value < option.least || option.value > option.most) {
      *reason = arguments[i] + " needs a number from " +
                std::to_string(option.least) + " to " +
                std::to_string(option.most) + ".";
      return std::nullopt;
    }
  }
  options.seeds = static_cast<int>(known["--seeds"].value);
  options.first_seed = static_cast<std::uint64_t>(known["--seed"].value);
  options.seconds = static_cast<int>(known["--seconds"].value);
  options.entries = static_cast<int>(known["--entries"].value);
  options.gates = static_cast<int>(known["--gates"].value);
  options.keep_logs = known["--keep-logs"].value == 1;
  return options;
}

}  // namespace tarragon::soak
