#include "tarragon/bench/options.h"

#include <getopt.h>

#include <array>
#include <charconv>
#include <cmath>
#include <sstream>

#include "tarragon/ctl/options.h"

namespace tarragon::bench {
namespace {

constexpr double kPermille = 1000;
/// Greatest load, as a share of the capacity.
constexpr double kMostLoad = 100;
/// Longest run, in seconds.
constexpr std::uint32_t kMostSeconds = 24 * 3600;

// Values above any character, since no option has a short form but -h.
enum Choice : int {
  kHelp = 256,
  kVersion,
  kClient,
  kMetrics,
  kPreset,
  kLoad,
  kSeconds,
  kSeed,
  kJson,
  kSlots,
  kDeadline,
  kAttemptTimeout,
  kRetryRefused,
  kMaxOutstanding,
};

constexpr std::array<option, 15> kChoices = {{
    {"help", no_argument, nullptr, kHelp},
    {"version", no_argument, nullptr, kVersion},
    {"client", required_argument, nullptr, kClient},
    {"metrics", required_argument, nullptr, kMetrics},
    {"preset", required_argument, nullptr, kPreset},
    {"load", required_argument, nullptr, kLoad},
    {"seconds", required_argument, nullptr, kSeconds},
    {"seed", required_argument, nullptr, kSeed},
    {"json", required_argument, nullptr, kJson},
    {"slots", required_argument, nullptr, kSlots},
    {"deadline", required_argument, nullptr, kDeadline},
    {"attempt-timeout", required_argument, nullptr, kAttemptTimeout},
    {"retry-refused", no_argument, nullptr, kRetryRefused},
    {"max-outstanding", required_argument, nullptr, kMaxOutstanding},
    {nullptr, 0, nullptr, 0},
}};

template <typename Number>
bool ReadNumber(const std::string& text, Number* number) {
  const char* last = text.data() + text.size();
  const std::from_chars_result read =
      std::from_chars(text.data(), last, *number);
  return read.ec == std::errc() && read.ptr == last;
}

bool ReadLoad(const std::string& text, std::uint32_t* permille) {
  double share = 0;
  if (!ReadNumber(text, &share) || !(share > 0 && share <= kMostLoad)) {
    return false;
  }
  *permille = static_cast<std::uint32_t>(std::lround(share * kPermille));
  return *permille > 0;
}

bool ReadSeconds(const std::string& text, core::Duration* length) {
  std::uint32_t seconds = 0;
  if (!ReadNumber(text, &seconds) || seconds == 0 || seconds > kMostSeconds) {
    return false;
  }
  *length = std::chrono::seconds(seconds);
  return true;
}

bool ReadTime(const std::string& text, core::Duration* time) {
  const std::optional<core::Duration> read = ctl::ParseDuration(text);
  if (read) *time = *read;
  return read.has_value();
}

bool ReadAddresses(const std::string& text,
                   std::vector<core::Address>* addresses) {
  std::istringstream parts(text);
  for (std::string part; std::getline(parts, part, ',');) {
    if (!part.empty()) addresses->emplace_back(part);
  }
  return true;
}

/// Takes in one option. False if its value is not allowed.
bool Apply(int choice, const std::string& value, Options* options) {
  switch (choice) {
    case kClient:
      return ReadAddresses(value, &options->clients);
    case kMetrics:
      return ReadAddresses(value, &options->processes);
    case kPreset:
      options->preset = value;
      return true;
    case kLoad:
      return ReadLoad(value, &options->load_permille);
    case kSeconds:
      return ReadSeconds(value, &options->length);
    case kSeed:
      return ReadNumber(value, &options->seed);
    case kJson:
      options->json_file = value;
      return true;
    case kSlots:
      return ReadNumber(value, &options->slots) && options->slots > 0;
    case kDeadline:
      return ReadTime(value, &options->deadline);
    case kAttemptTimeout:
      return ReadTime(value, &options->attempt_timeout);
    case kRetryRefused:
      options->retry_refused = true;
      return true;
    case kMaxOutstanding:
      return ReadNumber(value, &options->max_outstanding) &&
             options->max_outstanding > 0;
    default:
      return false;
  }
}

const char* NameOf(int choice) {
  for (const option& each : kChoices) {
    if (each.name != nullptr && each.val == choice) return each.name;
  }
  return "";
}

/// Reads all options; the words between them go into `words`.
bool ReadOptions(const std::vector<std::string>& arguments, Options* options,
                 std::vector<std::string>* words, BenchError* reason) {
  std::string program = "tarragon-bench";
  std::vector<std::string> copies = arguments;
  std::vector<char*> argv{program.data()};
  for (std::string& copy : copies) argv.push_back(copy.data());
  const int argc = static_cast<int>(argv.size());
  argv.push_back(nullptr);
  // Zero makes getopt forget an earlier call.
  optind = 0;
  opterr = 0;
  while (true) {
    const int choice =
        getopt_long(argc, argv.data(), ":h", kChoices.data(), nullptr);
    if (choice == -1) break;
    if (choice == 'h' || choice == kHelp || choice == kVersion) {
      options->command = choice == kVersion ? Options::Command::kVersion
                                            : Options::Command::kHelp;
      words->assign(1, "help");
      return true;
    }
    const std::string value = optarg == nullptr ? "" : optarg;
    if (choice == ':' || choice == '?') {
      reason->text = std::string(argv[static_cast<std::size_t>(optind - 1)]) +
                     (choice == ':' ? " needs a value." : " is not an option.");
      return false;
    }
    if (!Apply(choice, value, options)) {
      reason->text =
          "--" + std::string(NameOf(choice)) + " " + value + " is not allowed.";
      return false;
    }
  }
  words->assign(argv.begin() + optind, argv.begin() + argc);
  return true;
}

}  // namespace

std::optional<Options> ParseOptions(const std::vector<std::string>& arguments,
                                    BenchError* reason) {
  Options options;
  std::vector<std::string> words;
  if (!ReadOptions(arguments, &options, &words, reason)) return std::nullopt;
  if (words.empty()) {
    reason->text = "A command is missing: run or compare.";
    return std::nullopt;
  }
  if (words[0] == "help") return options;
  if (words[0] == "compare" && words.size() == 3) {
    options.command = Options::Command::kCompare;
    options.files = {words[1], words[2]};
    return options;
  }
  if (words[0] != "run" || words.size() != 1) {
    reason->text = "Give run, or compare with two reports.";
    return std::nullopt;
  }
  options.command = Options::Command::kRun;
  if (!options.clients.empty()) return options;
  reason->text = "--client ADDR is missing.";
  return std::nullopt;
}

std::string Help() {
  return "Usage: tarragon-bench run --client ADDR[,ADDR]... [OPTION]...\n"
         "       tarragon-bench compare A.json B.json\n"
         "Loads a running system as its clients do, and reports response times "
         "against\nthe ideal. Jobs go out at their planned times, whatever is "
         "outstanding, and\nresponse times count from there.\n\n"
         "  --client ADDR,...       clients' addresses of entries, IP:port\n"
         "  --preset NAME           kaptafa, agence or an INI file (kaptafa)\n"
         "  --load SHARE            work as a share of the slots' capacity "
         "(0.7)\n"
         "  --seconds N             how long jobs arrive (30)\n"
         "  --seed N                equal seeds give equal jobs (1)\n"
         "  --slots N               slots of all targets (those of the "
         "preset)\n"
         "  --deadline TIME         deadline of each job (that of the preset)\n"
         "  --attempt-timeout TIME  send the same submission again after this "
         "time\n"
         "                          without an answer (at the deadline)\n"
         "  --retry-refused         come back after a refusal as it tells\n"
         "  --max-outstanding N     jobs without an answer at one time "
         "(20000)\n"
         "  --metrics ADDR,...      addresses of /metrics of entries and "
         "agents\n"
         "  --json FILE             write the report to FILE too\n"
         "  -h, --help              print this and end\n"
         "  --version               print the version and end\n\n"
         "TIME is a whole number with us, ms, s, min or h.\n\n"
         "Exit codes: 0 ok, 1 an answer was crossed or partial or a file "
         "cannot be\nwritten, 2 wrong command line, 3 wrong preset or "
         "report.\n";
}

}  // namespace tarragon::bench
