#include "tarragon/ctl/options.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>

namespace tarragon::ctl {
namespace {

using Arguments = std::vector<std::string>;

const Environment kNoVariables{};
const Environment kVariables{"127.0.0.1:9", "secret"};

/// A file that is removed at the end of the test.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text) {
    const int handle = mkstemp(name_.data());
    CPPUNIT_ASSERT(handle >= 0);
    close(handle);
    std::ofstream(name_) << text;
  }
  ~TemporaryFile() { std::remove(name_.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  const std::string& name() const { return name_; }

 private:
  std::string name_ = "/tmp/tarragon-ctl-test-XXXXXX";
};

Options Parsed(const Arguments& arguments, const Environment& environment) {
  OptionsError reason;
  const std::optional<Options> options =
      ParseOptions(arguments, environment, &reason);
  CPPUNIT_ASSERT_MESSAGE(reason.text, options.has_value());
  return *options;
}

std::string FaultOf(const Arguments& arguments,
                    const Environment& environment) {
  OptionsError reason;
  CPPUNIT_ASSERT(!ParseOptions(arguments, environment, &reason));
  CPPUNIT_ASSERT(reason.output.empty());
  return reason.text;
}

std::string OutputOf(const Arguments& arguments) {
  OptionsError reason;
  CPPUNIT_ASSERT(!ParseOptions(arguments, kNoVariables, &reason));
  CPPUNIT_ASSERT_EQUAL(std::string(), reason.text);
  return reason.output;
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

class OptionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OptionsTest);
  CPPUNIT_TEST(ReadsEveryCommand);
  CPPUNIT_TEST(TakesEntryAndTokenFromTheEnvironment);
  CPPUNIT_TEST(TheCommandLineGoesBeforeTheEnvironment);
  CPPUNIT_TEST(ReadsTheTokenFile);
  CPPUNIT_TEST(ReadsASubmission);
  CPPUNIT_TEST(ReadsTheTasksFile);
  CPPUNIT_TEST(AcceptsOptionsBeforeTheCommand);
  CPPUNIT_TEST(RefusesWrongCommands);
  CPPUNIT_TEST(RefusesOptionsOfOtherCommands);
  CPPUNIT_TEST(RefusesWrongValues);
  CPPUNIT_TEST(RefusesIncompletePeers);
  CPPUNIT_TEST(RefusesIncompleteSubmissions);
  CPPUNIT_TEST(RemovesEntriesOnlyIfConfirmed);
  CPPUNIT_TEST(ExplainsFromLogsWithoutAnEntry);
  CPPUNIT_TEST(PrintsHelpAndVersion);
  CPPUNIT_TEST(ReadsDurations);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsEveryCommand() {
    const Options apply = Parsed({"note", "apply", "file.ini"}, kVariables);
    CPPUNIT_ASSERT(apply.command == Command::kNoteApply);
    CPPUNIT_ASSERT_EQUAL(std::string("file.ini"), apply.argument);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(3), apply.retries);
    CPPUNIT_ASSERT(Parsed({"note", "show"}, kVariables).command ==
                   Command::kNoteShow);
    CPPUNIT_ASSERT(Parsed({"state"}, kVariables).command == Command::kState);
    CPPUNIT_ASSERT(Parsed({"explain", "H.1"}, kVariables).command ==
                   Command::kExplain);
    const Arguments client = {"--client", "127.0.0.1:1"};
    CPPUNIT_ASSERT(
        Parsed({"answer", "H.1", client[0], client[1]}, kNoVariables).command ==
        Command::kAnswer);
    CPPUNIT_ASSERT(
        Parsed({"cancel", "H.1", client[0], client[1]}, kNoVariables).command ==
        Command::kCancel);
  }

  void TakesEntryAndTokenFromTheEnvironment() {
    const Options options = Parsed({"state"}, kVariables);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:9"), options.entry.value());
    CPPUNIT_ASSERT_EQUAL(std::string("secret"), options.token);
  }

  void TheCommandLineGoesBeforeTheEnvironment() {
    const Options options = Parsed(
        {"state", "--entry", "127.0.0.1:8", "--token", "other"}, kVariables);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:8"), options.entry.value());
    CPPUNIT_ASSERT_EQUAL(std::string("other"), options.token);
  }

  void ReadsTheTokenFile() {
    const TemporaryFile file(" from-file \n");
    const Options options =
        Parsed({"state", "--token-file", file.name()}, kVariables);
    CPPUNIT_ASSERT_EQUAL(std::string("from-file"), options.token);
    CPPUNIT_ASSERT(Contains(
        FaultOf({"state", "--token-file", file.name() + "-none"}, kVariables),
        "cannot be read"));
  }

  void ReadsASubmission() {
    const Options options =
        Parsed({"submit",     "--client",    "127.0.0.1:1,127.0.0.1:2",
                "--service",  "s",           "--tenant",
                "t",          "--task",      "a",
                "--task",     "b c",         "--cores",
                "2",          "--memory-mb", "64",
                "--deadline", "250ms",       "--key",
                "H.1",        "--json"},
               kNoVariables);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), options.clients.size());
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:2"),
                         options.clients[1].value());
    CPPUNIT_ASSERT_EQUAL(std::string("s"), options.service.value());
    CPPUNIT_ASSERT_EQUAL(std::string("t"), options.tenant.value());
    CPPUNIT_ASSERT(options.tasks == Arguments({"a", "b c"}));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), options.cores);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(64), options.memory_mb);
    CPPUNIT_ASSERT(options.deadline == std::chrono::milliseconds(250));
    CPPUNIT_ASSERT_EQUAL(std::string("H.1"), options.key.value());
    CPPUNIT_ASSERT(options.json);
  }

  void ReadsTheTasksFile() {
    const TemporaryFile file("one\n\ntwo\n");
    const Options options =
        Parsed({"submit", "--client", "127.0.0.1:1", "--service", "s",
                "--tenant", "t", "--tasks-file", file.name(), "--task", "zero"},
               kNoVariables);
    CPPUNIT_ASSERT(options.tasks == Arguments({"zero", "one", "two"}));
  }

  void AcceptsOptionsBeforeTheCommand() {
    const Options options =
        Parsed({"--json", "note", "--timeout", "2s", "show"}, kVariables);
    CPPUNIT_ASSERT(options.command == Command::kNoteShow);
    CPPUNIT_ASSERT(options.json);
    CPPUNIT_ASSERT(options.timeout == std::chrono::seconds(2));
  }

  void RefusesWrongCommands() {
    CPPUNIT_ASSERT_EQUAL(std::string("A command is missing."),
                         FaultOf({}, kVariables));
    CPPUNIT_ASSERT_EQUAL(std::string("There is no command note."),
                         FaultOf({"note"}, kVariables));
    CPPUNIT_ASSERT_EQUAL(std::string("There is no command note drop."),
                         FaultOf({"note", "drop"}, kVariables));
    CPPUNIT_ASSERT_EQUAL(std::string("note apply needs FILE."),
                         FaultOf({"note", "apply"}, kVariables));
    CPPUNIT_ASSERT_EQUAL(std::string("unexpected argument more."),
                         FaultOf({"state", "more"}, kVariables));
  }

  void RefusesOptionsOfOtherCommands() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("--deadline is not an option of note show."),
        FaultOf({"note", "show", "--deadline", "1s"}, kVariables));
    CPPUNIT_ASSERT_EQUAL(
        std::string("--client is not an option of state."),
        FaultOf({"state", "--client", "127.0.0.1:1"}, kVariables));
    CPPUNIT_ASSERT_EQUAL(std::string("--wrong is not an option."),
                         FaultOf({"state", "--wrong"}, kVariables));
  }

  void RefusesWrongValues() {
    CPPUNIT_ASSERT_EQUAL(std::string("--timeout needs a value."),
                         FaultOf({"state", "--timeout"}, kVariables));
    CPPUNIT_ASSERT(Contains(FaultOf({"state", "--timeout", "5"}, kVariables),
                            "--timeout 5 is not allowed"));
    CPPUNIT_ASSERT(
        Contains(FaultOf({"note", "apply", "f", "--retries", "-1"}, kVariables),
                 "--retries -1 is not allowed"));
  }

  void RefusesIncompletePeers() {
    CPPUNIT_ASSERT(
        Contains(FaultOf({"state"}, kNoVariables), "--entry ADDR is missing"));
    CPPUNIT_ASSERT(Contains(FaultOf({"state"}, Environment{"127.0.0.1:9", ""}),
                            "--token TOKEN is missing"));
    CPPUNIT_ASSERT_EQUAL(std::string("--client ADDR is missing."),
                         FaultOf({"answer", "H.1"}, kVariables));
  }

  void RefusesIncompleteSubmissions() {
    const Arguments none = {"submit", "--client", "127.0.0.1:1"};
    Arguments some = none;
    CPPUNIT_ASSERT(Contains(FaultOf(some, kNoVariables), "--service"));
    some.insert(some.end(), {"--service", "s"});
    CPPUNIT_ASSERT(Contains(FaultOf(some, kNoVariables), "--tenant"));
    some.insert(some.end(), {"--tenant", "t"});
    CPPUNIT_ASSERT(Contains(FaultOf(some, kNoVariables), "--task"));
    for (int i = 0; i < 111; ++i) some.insert(some.end(), {"--task", "x"});
    CPPUNIT_ASSERT_EQUAL(std::string("A job has at most 110 tasks, not 111."),
                         FaultOf(some, kNoVariables));
  }

  void RemovesEntriesOnlyIfConfirmed() {
    CPPUNIT_ASSERT(
        Contains(FaultOf({"entries", "remove", "127.0.0.1:1~a"}, kVariables),
                 "--confirm-dead"));
    const Options options = Parsed(
        {"entries", "remove", "127.0.0.1:1~a", "--confirm-dead"}, kVariables);
    CPPUNIT_ASSERT(options.command == Command::kEntriesRemove);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:1~a"), options.argument);
  }

  void ExplainsFromLogsWithoutAnEntry() {
    CPPUNIT_ASSERT(
        Contains(FaultOf({"explain", "H.1"}, kNoVariables), "--entry"));
    const Options options = Parsed({"explain", "H.1", "--logs"}, kNoVariables);
    CPPUNIT_ASSERT(options.from_logs);
    CPPUNIT_ASSERT(Contains(FaultOf({"state", "--logs"}, kVariables),
                            "--logs is not an option of state"));
  }

  void PrintsHelpAndVersion() {
    CPPUNIT_ASSERT(Contains(OutputOf({"--help"}), "Exit codes:"));
    CPPUNIT_ASSERT(Contains(OutputOf({"-h"}), "note apply FILE"));
    CPPUNIT_ASSERT(Contains(OutputOf({"submit", "--help"}), "--tasks-file"));
    CPPUNIT_ASSERT(!Contains(OutputOf({"state", "--help"}), "--tasks-file"));
    CPPUNIT_ASSERT(Contains(OutputOf({"--version"}), "tarragonctl "));
  }

  void ReadsDurations() {
    CPPUNIT_ASSERT(ParseDuration("250us") == std::chrono::microseconds(250));
    CPPUNIT_ASSERT(ParseDuration("250ms") == std::chrono::milliseconds(250));
    CPPUNIT_ASSERT(ParseDuration("5s") == std::chrono::seconds(5));
    CPPUNIT_ASSERT(ParseDuration("2min") == std::chrono::minutes(2));
    CPPUNIT_ASSERT(ParseDuration("1h") == std::chrono::hours(1));
    for (const char* wrong : {"", "5", "0s", "-5s", "s", "5 s", "5d", "1.5s"}) {
      CPPUNIT_ASSERT_MESSAGE(wrong, !ParseDuration(wrong));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OptionsTest);

}  // namespace
}  // namespace tarragon::ctl
