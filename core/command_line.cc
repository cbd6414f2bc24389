#include "tarragon/core/command_line.h"

#include <getopt.h>

#include <array>
#include <iostream>

#include "tarragon/core/log.h"

namespace tarragon::core {
namespace {

constexpr char kNamePrefix[] = "tarragon-";

// Values above any character, since no option has a short form but -h.
enum Option {
  kHelp = 256,
  kVersion,
  kConfig,
  kCheck,
  kSet,
  kReference,
  kLog,
};

constexpr std::array<option, 8> kOptions = {{
    {"help", no_argument, nullptr, kHelp},
    {"version", no_argument, nullptr, kVersion},
    {"config", required_argument, nullptr, kConfig},
    {"check", no_argument, nullptr, kCheck},
    {"set", required_argument, nullptr, kSet},
    {"reference", no_argument, nullptr, kReference},
    {"log", required_argument, nullptr, kLog},
    {nullptr, 0, nullptr, 0},
}};

void PrintHelp(const ProgramInfo& program) {
  std::cout << "Usage: " << program.name << " [OPTION]...\n"
            << program.purpose << "\n\n"
            << "  --config FILE            read the settings from FILE\n"
               "  --set SECTION.KEY=VALUE  override one setting; repeatable\n"
               "  --check                  check the settings and end\n"
               "  --reference              print every setting and end\n"
               "  --log LEVELS             debug, info, warn or error, or by "
               "part:\n"
               "                           gate=debug,*=info\n"
               "  -h, --help               print this and end\n"
               "  --version                print the version and end\n\n"
               "Exit codes: 0 ok, 1 failure while running, 2 wrong command "
               "line,\n3 wrong settings.\n";
}

void PrintUsageError(const ProgramInfo& program, const std::string& text) {
  std::cerr << program.name << ": " << text << "\nTry " << program.name
            << " --help.\n";
}

bool ApplyLogLevels(const std::string& text, const ProgramInfo& program) {
  std::vector<LogLevelRule> rules;
  if (!ParseLogLevels(text, &rules)) {
    PrintUsageError(program,
                    "--log " + text +
                        " is not allowed; give debug, info, warn or error, or "
                        "PART=LEVEL with commas between.");
    return false;
  }
  for (const LogLevelRule& rule : rules) SetLogLevel(rule.part, rule.level);
  return true;
}

/// "agent" of "tarragon-agent".
std::string ShortName(const std::string& name) {
  const std::size_t length = sizeof(kNamePrefix) - 1;
  return name.rfind(kNamePrefix, 0) == 0 ? name.substr(length) : name;
}

}  // namespace

std::optional<CommandLine> ParseCommandLine(int argc, char* const argv[],
                                            const ProgramInfo& program,
                                            int* exit_code) {
  SetLogProgram(ShortName(program.name));
  CommandLine command;
  *exit_code = kExitUsage;
  // Zero makes getopt forget an earlier call.
  optind = 0;
  while (true) {
    const int choice = getopt_long(argc, argv, "+h", kOptions.data(), nullptr);
    if (choice == -1) break;
    switch (choice) {
      case 'h':
      case kHelp:
        PrintHelp(program);
        *exit_code = kExitOk;
        return std::nullopt;
      case kVersion:
        std::cout << program.name << " " << TARRAGON_VERSION << "\n";
        *exit_code = kExitOk;
        return std::nullopt;
      case kConfig:
        command.config_file = optarg;
        break;
      case kCheck:
        command.check = true;
        break;
      case kSet:
        command.overrides.emplace_back(optarg);
        break;
      case kReference:
        command.reference = true;
        break;
      case kLog:
        if (!ApplyLogLevels(optarg, program)) return std::nullopt;
        break;
      default:
        // getopt has said what is wrong.
        std::cerr << "Try " << program.name << " --help.\n";
        return std::nullopt;
    }
  }
  if (optind < argc) {
    PrintUsageError(program,
                    "unexpected argument " + std::string(argv[optind]) + ".");
    return std::nullopt;
  }
  *exit_code = kExitOk;
  return command;
}

std::optional<Settings> LoadSettings(const CommandLine& command,
                                     const std::vector<SettingSpec>& specs,
                                     int* exit_code) {
  if (command.reference) {
    std::cout << ReferenceFile(specs);
    *exit_code = kExitOk;
    return std::nullopt;
  }
  std::vector<SettingError> errors;
  std::optional<Settings> settings =
      Settings::Load(specs, command.config_file, command.overrides, &errors);
  if (!settings) {
    for (const SettingError& error : errors) {
      std::cerr << ToString(error) << "\n";
    }
    *exit_code = kExitSettings;
    return std::nullopt;
  }
  *exit_code = kExitOk;
  if (!command.check) return settings;
  std::cout << "The settings are valid.\n";
  return std::nullopt;
}

}  // namespace tarragon::core
