#include "command_spec.h"

#include <map>

namespace tarragon::ctl {
namespace {

/// Column of the help in which the purpose of a command begins.
constexpr std::size_t kPurposeColumn = 24;

constexpr char kExitCodes[] =
    "Exit codes:\n"
    "  0  done, accepted or complete\n"
    "  1  failure that no other code names, such as a wrong token\n"
    "  2  wrong command line\n"
    "  3  the note or the job has errors; all are printed\n"
    "  4  pending: the note is not yet confirmed, or the job still runs\n"
    "  5  conflict: another base version, or a key with another body\n"
    "  6  no answer, or the platform's table is out: send the same again\n"
    "  7  the job failed; some tasks may have run\n"
    "  8  the job was not run\n"
    "  9  unknown whether the job ran\n";

constexpr char kCommonOptions[] =
    "Common options:\n"
    "  --json            print the answer's body as it came\n"
    "  --timeout TIME    longest wait for one answer (10s)\n"
    "  -h, --help        print help and end; after a command, that command's\n"
    "  --version         print the version and end\n";

constexpr char kOperatorOptions[] =
    "Operators' options:\n"
    "  --entry ADDR      operators' address of an entry, IP:port; else the\n"
    "                    variable TARRAGON_OPERATORS\n"
    "  --token TOKEN     operators' token; else the variable TARRAGON_TOKEN\n"
    "  --token-file FILE read the token from FILE\n";

constexpr char kClientOptions[] =
    "Clients' options:\n"
    "  --client ADDR     clients' address of an entry, IP:port; several with\n"
    "                    commas between them are tried in turn\n";

const std::map<std::string, std::string>& OptionHelp() {
  static const std::map<std::string, std::string> help = {
      {"retries",
       "  --retries N       send the same note again up to N times after a "
       "lost\n                    answer (3)\n"},
      {"logs", "  --logs            read logs from standard input\n"},
      {"confirm-dead",
       "  --confirm-dead    state that the entry is known to be dead\n"},
      {"service", "  --service S       service of the job\n"},
      {"tenant", "  --tenant T        tenant of the job\n"},
      {"task",
       "  --task PAYLOAD    payload of one task; repeatable, up to 110\n"},
      {"tasks-file",
       "  --tasks-file FILE one payload on each line that is not empty\n"},
      {"cores", "  --cores N         cores of each task (1)\n"},
      {"memory-mb", "  --memory-mb N     memory of each task (0)\n"},
      {"deadline", "  --deadline TIME   time for the whole job (5s)\n"},
      {"key", "  --key KEY         use this key instead of a new one\n"},
  };
  return help;
}

}  // namespace

const std::vector<CommandSpec>& CommandSpecs() {
  static const std::vector<CommandSpec> specs = {
      {Command::kNoteApply,
       "note apply",
       "FILE",
       Side::kOperators,
       {"retries"},
       "submit a release note; - reads standard input",
       "A note is applied whole or not at all. Its id makes it idempotent: "
       "the\n"
       "same note may be sent again at any time.\n"},
      {Command::kNoteShow,
       "note show",
       "",
       Side::kOperators,
       {},
       "print the services, domains and tenants in force",
       ""},
      {Command::kState,
       "state",
       "",
       Side::kOperators,
       {},
       "print entries, agents, targets and their load",
       ""},
      {Command::kExplain,
       "explain",
       "KEY",
       Side::kOperators,
       {"logs"},
       "print the history of one job",
       "With --logs no entry is asked: the history comes from the logs of\n"
       "coordinating entries and gates on standard input.\n"},
      {Command::kEntriesRemove,
       "entries remove",
       "NODE",
       Side::kOperators,
       {"confirm-dead"},
       "remove a registered entry that is dead",
       "Removing an entry that is alive endangers what the others agree on.\n"},
      {Command::kSubmit,
       "submit",
       "",
       Side::kClients,
       {"service", "tenant", "task", "tasks-file", "cores", "memory-mb",
        "deadline", "key"},
       "submit a job and print its answer",
       "After a lost answer the same submission goes out again, with the same\n"
       "key, until the deadline.\n"},
      {Command::kAnswer,
       "answer",
       "KEY",
       Side::kClients,
       {},
       "print the answer that is kept for a key",
       ""},
      {Command::kCancel,
       "cancel",
       "KEY",
       Side::kClients,
       {},
       "cancel a job",
       ""},
  };
  return specs;
}

std::string ProgramHelp() {
  std::string text =
      "Usage: tarragonctl [OPTION]... COMMAND [ARGUMENT]\n"
      "Asks a running system for what operators and clients need.\n\n"
      "Commands:\n";
  for (const CommandSpec& spec : CommandSpecs()) {
    std::string words = spec.words;
    if (!spec.argument.empty()) words += " " + spec.argument;
    words.resize(std::max(words.size() + 1, kPurposeColumn), ' ');
    text += "  " + words + spec.purpose + "\n";
  }
  return text + "\n" + kOperatorOptions + "\n" + kClientOptions + "\n" +
         kCommonOptions +
         "\nTIME is a whole number with us, ms, s, min or h.\n"
         "\n" +
         kExitCodes;
}

std::string CommandHelp(const CommandSpec& spec) {
  std::string text = "Usage: tarragonctl " + spec.words;
  if (!spec.argument.empty()) text += " " + spec.argument;
  text += " [OPTION]...\nTo " + spec.purpose + ".\n" + spec.details + "\n";
  for (const std::string& option : spec.options) {
    text += OptionHelp().at(option);
  }
  if (!spec.options.empty()) text += "\n";
  text += spec.side == Side::kOperators ? kOperatorOptions : kClientOptions;
  return text + "\n" + kCommonOptions + "\n" + kExitCodes;
}

}  // namespace tarragon::ctl
