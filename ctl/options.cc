#include "tarragon/ctl/options.h"

#include <getopt.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <utility>

#include "command_spec.h"

namespace tarragon::ctl {
namespace {

/// As many tasks as a job may have.
constexpr std::size_t kMaxTasks = 110;
constexpr char kSpaces[] = " \t\r\n";

struct TimeUnit {
  const char* name;
  core::Duration length;
};

constexpr std::array<TimeUnit, 5> kTimeUnits = {{
    {"us", std::chrono::microseconds(1)},
    {"ms", std::chrono::milliseconds(1)},
    {"s", std::chrono::seconds(1)},
    {"min", std::chrono::minutes(1)},
    {"h", std::chrono::hours(1)},
}};

// Values above any character, since no option has a short form but -h.
enum Choice : int {
  kHelp = 256,
  kVersion,
  kJson,
  kTimeout,
  kEntry,
  kToken,
  kTokenFile,
  kClient,
  kRetries,
  kConfirmDead,
  kLogs,
  kService,
  kTenant,
  kTask,
  kTasksFile,
  kCores,
  kMemoryMb,
  kDeadline,
  kKey,
};

constexpr std::array<option, 20> kChoices = {{
    {"help", no_argument, nullptr, kHelp},
    {"version", no_argument, nullptr, kVersion},
    {"json", no_argument, nullptr, kJson},
    {"timeout", required_argument, nullptr, kTimeout},
    {"entry", required_argument, nullptr, kEntry},
    {"token", required_argument, nullptr, kToken},
    {"token-file", required_argument, nullptr, kTokenFile},
    {"client", required_argument, nullptr, kClient},
    {"retries", required_argument, nullptr, kRetries},
    {"confirm-dead", no_argument, nullptr, kConfirmDead},
    {"logs", no_argument, nullptr, kLogs},
    {"service", required_argument, nullptr, kService},
    {"tenant", required_argument, nullptr, kTenant},
    {"task", required_argument, nullptr, kTask},
    {"tasks-file", required_argument, nullptr, kTasksFile},
    {"cores", required_argument, nullptr, kCores},
    {"memory-mb", required_argument, nullptr, kMemoryMb},
    {"deadline", required_argument, nullptr, kDeadline},
    {"key", required_argument, nullptr, kKey},
    {nullptr, 0, nullptr, 0},
}};

const char* NameOf(int choice) {
  for (const option& each : kChoices) {
    if (each.name != nullptr && each.val == choice) return each.name;
  }
  return "";
}

bool ReadNumber(const std::string& text, std::uint32_t* number) {
  const char* last = text.data() + text.size();
  const std::from_chars_result read =
      std::from_chars(text.data(), last, *number);
  return read.ec == std::errc() && read.ptr == last;
}

std::optional<std::string> ReadFile(const std::string& name) {
  std::ifstream file(name);
  if (!file) return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

std::string Trimmed(const std::string& text) {
  const std::size_t first = text.find_first_not_of(kSpaces);
  if (first == std::string::npos) return "";
  return text.substr(first, text.find_last_not_of(kSpaces) - first + 1);
}

/// Collects the options of one command line.
class Parser {
 public:
  explicit Parser(const Environment& environment) {
    options_.entry = core::Address(environment.operators);
    options_.token = environment.token;
  }

  std::optional<Options> Parse(const std::vector<std::string>& arguments,
                               OptionsError* reason);

 private:
  bool ReadOptions(const std::vector<std::string>& arguments);
  bool Apply(int choice, const std::string& argument);
  bool ApplyNumberOrTime(int choice, const std::string& argument);
  bool ApplyTokenFile(const std::string& name);
  bool ApplyTasksFile(const std::string& name);
  bool ApplyClients(const std::string& text);
  bool TakeCommand();
  bool CheckOptionsOfCommand();
  bool CheckPeers();
  bool CheckJob();
  bool Fail(std::string text) {
    error_ = std::move(text);
    return false;
  }

  Options options_;
  std::vector<std::string> file_tasks_;
  std::vector<std::string> words_;
  std::set<int> given_;
  const CommandSpec* spec_ = nullptr;
  std::string error_;
};

std::optional<Options> Parser::Parse(const std::vector<std::string>& arguments,
                                     OptionsError* reason) {
  const bool read = ReadOptions(arguments);
  if (given_.count(kVersion) > 0) {
    reason->output = "tarragonctl " TARRAGON_VERSION "\n";
    return std::nullopt;
  }
  if (given_.count(kHelp) > 0) {
    TakeCommand();
    reason->output = spec_ == nullptr ? ProgramHelp() : CommandHelp(*spec_);
    return std::nullopt;
  }
  if (!read || !TakeCommand() || !CheckOptionsOfCommand() || !CheckPeers() ||
      !CheckJob()) {
    reason->text = error_;
    return std::nullopt;
  }
  return options_;
}

bool Parser::ReadOptions(const std::vector<std::string>& arguments) {
  std::string program = "tarragonctl";
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
    const std::string argument = optarg == nullptr ? "" : optarg;
    if (choice == ':') {
      return Fail(std::string(argv[static_cast<std::size_t>(optind - 1)]) +
                  " needs a value.");
    }
    if (choice == '?') {
      return Fail(std::string(argv[static_cast<std::size_t>(optind - 1)]) +
                  " is not an option.");
    }
    given_.insert(choice == 'h' ? static_cast<int>(kHelp) : choice);
    if (given_.count(kHelp) == 0 && !Apply(choice, argument)) return false;
  }
  for (int i = optind; i < argc; ++i) {
    words_.emplace_back(argv[static_cast<std::size_t>(i)]);
  }
  return true;
}

bool Parser::Apply(int choice, const std::string& argument) {
  switch (choice) {
    case kJson:
      options_.json = true;
      return true;
    case kEntry:
      options_.entry = core::Address(argument);
      return true;
    case kToken:
      options_.token = argument;
      return true;
    case kTokenFile:
      return ApplyTokenFile(argument);
    case kClient:
      return ApplyClients(argument);
    case kLogs:
      options_.from_logs = true;
      return true;
    case kConfirmDead:
      options_.confirm_dead = true;
      return true;
    case kService:
      options_.service = core::ServiceId(argument);
      return true;
    case kTenant:
      options_.tenant = core::TenantId(argument);
      return true;
    case kTask:
      options_.tasks.push_back(argument);
      return true;
    case kTasksFile:
      return ApplyTasksFile(argument);
    case kKey:
      options_.key = core::JobKey(argument);
      return true;
    default:
      return ApplyNumberOrTime(choice, argument);
  }
}

bool Parser::ApplyNumberOrTime(int choice, const std::string& argument) {
  if (choice == kTimeout || choice == kDeadline) {
    const std::optional<core::Duration> time = ParseDuration(argument);
    if (!time) {
      return Fail("--" + std::string(NameOf(choice)) + " " + argument +
                  " is not allowed; give a whole number with us, ms, s, min "
                  "or h, such as 5s.");
    }
    (choice == kTimeout ? options_.timeout : options_.deadline) = *time;
    return true;
  }
  std::uint32_t* number = nullptr;
  if (choice == kRetries) number = &options_.retries;
  if (choice == kCores) number = &options_.cores;
  if (choice == kMemoryMb) number = &options_.memory_mb;
  if (number == nullptr || ReadNumber(argument, number)) return true;
  return Fail("--" + std::string(NameOf(choice)) + " " + argument +
              " is not allowed; give a whole number.");
}

bool Parser::ApplyTokenFile(const std::string& name) {
  const std::optional<std::string> text = ReadFile(name);
  if (!text) return Fail("The token file " + name + " cannot be read.");
  options_.token = Trimmed(*text);
  return true;
}

bool Parser::ApplyTasksFile(const std::string& name) {
  const std::optional<std::string> text = ReadFile(name);
  if (!text) return Fail("The tasks file " + name + " cannot be read.");
  std::istringstream lines(*text);
  for (std::string line; std::getline(lines, line);) {
    if (!line.empty()) file_tasks_.push_back(line);
  }
  return true;
}

bool Parser::ApplyClients(const std::string& text) {
  std::istringstream parts(text);
  for (std::string part; std::getline(parts, part, ',');) {
    if (!part.empty()) options_.clients.emplace_back(part);
  }
  return true;
}

/// Finds the command whose words come first; the rest is its argument.
bool Parser::TakeCommand() {
  if (words_.empty()) return Fail("A command is missing.");
  for (const CommandSpec& spec : CommandSpecs()) {
    std::istringstream expected(spec.words);
    std::size_t used = 0;
    bool same = true;
    for (std::string word; expected >> word; ++used) {
      same = same && used < words_.size() && words_[used] == word;
    }
    if (!same) continue;
    spec_ = &spec;
    options_.command = spec.command;
    const std::size_t wanted = spec.argument.empty() ? 0 : 1;
    if (words_.size() < used + wanted) {
      return Fail(spec.words + " needs " + spec.argument + ".");
    }
    if (words_.size() > used + wanted) {
      return Fail("unexpected argument " + words_[used + wanted] + ".");
    }
    if (wanted > 0) options_.argument = words_[used];
    return true;
  }
  return Fail("There is no command " + words_[0] +
              (words_.size() > 1 ? " " + words_[1] : "") + ".");
}

bool Parser::CheckOptionsOfCommand() {
  const std::vector<std::string>& own = spec_->options;
  for (const int choice : given_) {
    const bool of_operators =
        choice == kEntry || choice == kToken || choice == kTokenFile;
    const bool of_clients = choice == kClient;
    const bool common = choice == kJson || choice == kTimeout;
    const std::string name = NameOf(choice);
    const bool allowed = common ||
                         (of_operators && spec_->side == Side::kOperators) ||
                         (of_clients && spec_->side == Side::kClients) ||
                         std::find(own.begin(), own.end(), name) != own.end();
    if (!allowed) {
      return Fail("--" + name + " is not an option of " + spec_->words + ".");
    }
  }
  return true;
}

bool Parser::CheckPeers() {
  if (spec_->side == Side::kClients) {
    if (options_.clients.empty()) return Fail("--client ADDR is missing.");
    return true;
  }
  if (options_.from_logs) return true;
  if (options_.entry.value().empty()) {
    return Fail("--entry ADDR is missing, and TARRAGON_OPERATORS is not set.");
  }
  if (options_.token.empty()) {
    return Fail("--token TOKEN is missing, and TARRAGON_TOKEN is not set.");
  }
  if (options_.command == Command::kEntriesRemove && !options_.confirm_dead) {
    return Fail(
        "entries remove needs --confirm-dead: the entry must be known to be "
        "dead.");
  }
  return true;
}

bool Parser::CheckJob() {
  if (options_.command != Command::kSubmit) return true;
  options_.tasks.insert(options_.tasks.end(), file_tasks_.begin(),
                        file_tasks_.end());
  if (options_.service.value().empty()) return Fail("--service S is missing.");
  if (options_.tenant.value().empty()) return Fail("--tenant T is missing.");
  if (options_.tasks.empty()) return Fail("--task PAYLOAD is missing.");
  if (options_.tasks.size() <= kMaxTasks) return true;
  return Fail("A job has at most " + std::to_string(kMaxTasks) +
              " tasks, not " + std::to_string(options_.tasks.size()) + ".");
}

}  // namespace

std::optional<Options> ParseOptions(const std::vector<std::string>& arguments,
                                    const Environment& environment,
                                    OptionsError* reason) {
  return Parser(environment).Parse(arguments, reason);
}

std::optional<core::Duration> ParseDuration(const std::string& text) {
  std::uint32_t number = 0;
  const std::size_t digits =
      std::min(text.find_first_not_of("0123456789"), text.size());
  if (!ReadNumber(text.substr(0, digits), &number) || number == 0) {
    return std::nullopt;
  }
  for (const TimeUnit& unit : kTimeUnits) {
    if (text.substr(digits) == unit.name) return number * unit.length;
  }
  return std::nullopt;
}

}  // namespace tarragon::ctl
