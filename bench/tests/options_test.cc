#include "tarragon/bench/options.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragon::bench {
namespace {

using Arguments = std::vector<std::string>;

Options Parsed(const Arguments& arguments) {
  BenchError reason;
  const std::optional<Options> options = ParseOptions(arguments, &reason);
  CPPUNIT_ASSERT_MESSAGE(reason.text, options.has_value());
  return *options;
}

std::string FaultOf(const Arguments& arguments) {
  BenchError reason;
  CPPUNIT_ASSERT(!ParseOptions(arguments, &reason));
  return reason.text;
}

class OptionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OptionsTest);
  CPPUNIT_TEST(ReadsARun);
  CPPUNIT_TEST(HasDefaults);
  CPPUNIT_TEST(ReadsAComparison);
  CPPUNIT_TEST(ReadsHelpAndVersion);
  CPPUNIT_TEST(RefusesWrongCommands);
  CPPUNIT_TEST(RefusesWrongValues);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsARun() {
    const Options options = Parsed({"run",
                                    "--client",
                                    "127.0.0.1:1,127.0.0.1:2",
                                    "--preset",
                                    "agence",
                                    "--load",
                                    "0.85",
                                    "--seconds",
                                    "12",
                                    "--seed",
                                    "9",
                                    "--json",
                                    "out.json",
                                    "--slots",
                                    "16",
                                    "--deadline",
                                    "5s",
                                    "--attempt-timeout",
                                    "500ms",
                                    "--retry-refused",
                                    "--max-outstanding",
                                    "100",
                                    "--metrics",
                                    "127.0.0.1:3"});
    CPPUNIT_ASSERT(options.command == Options::Command::kRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), options.clients.size());
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:3"),
                         options.processes.at(0).value());
    CPPUNIT_ASSERT_EQUAL(std::string("agence"), options.preset);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(850), options.load_permille);
    CPPUNIT_ASSERT(options.length == std::chrono::seconds(12));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), options.seed);
    CPPUNIT_ASSERT_EQUAL(std::string("out.json"), options.json_file);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(16), options.slots);
    CPPUNIT_ASSERT(options.deadline == std::chrono::seconds(5));
    CPPUNIT_ASSERT(options.attempt_timeout == std::chrono::milliseconds(500));
    CPPUNIT_ASSERT(options.retry_refused);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(100), options.max_outstanding);
  }

  void HasDefaults() {
    const Options options = Parsed({"--client", "127.0.0.1:1", "run"});
    CPPUNIT_ASSERT_EQUAL(std::string("kaptafa"), options.preset);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(700), options.load_permille);
    CPPUNIT_ASSERT(options.length == std::chrono::seconds(30));
    CPPUNIT_ASSERT(!options.retry_refused);
  }

  void ReadsAComparison() {
    const Options options = Parsed({"compare", "a.json", "b.json"});
    CPPUNIT_ASSERT(options.command == Options::Command::kCompare);
    CPPUNIT_ASSERT(options.files == Arguments({"a.json", "b.json"}));
  }

  void ReadsHelpAndVersion() {
    CPPUNIT_ASSERT(Parsed({"--help"}).command == Options::Command::kHelp);
    CPPUNIT_ASSERT(Parsed({"run", "-h"}).command == Options::Command::kHelp);
    CPPUNIT_ASSERT(Parsed({"--version"}).command == Options::Command::kVersion);
    CPPUNIT_ASSERT(Help().find("--retry-refused") != std::string::npos);
  }

  void RefusesWrongCommands() {
    CPPUNIT_ASSERT_EQUAL(std::string("A command is missing: run or compare."),
                         FaultOf({}));
    const std::string forms = "Give run, or compare with two reports.";
    CPPUNIT_ASSERT_EQUAL(forms, FaultOf({"walk"}));
    CPPUNIT_ASSERT_EQUAL(forms, FaultOf({"run", "more"}));
    CPPUNIT_ASSERT_EQUAL(forms, FaultOf({"compare", "a.json"}));
    CPPUNIT_ASSERT_EQUAL(std::string("--client ADDR is missing."),
                         FaultOf({"run"}));
  }

  void RefusesWrongValues() {
    CPPUNIT_ASSERT_EQUAL(std::string("--load 0 is not allowed."),
                         FaultOf({"run", "--load", "0"}));
    CPPUNIT_ASSERT_EQUAL(std::string("--load 70% is not allowed."),
                         FaultOf({"run", "--load", "70%"}));
    CPPUNIT_ASSERT_EQUAL(std::string("--seconds -1 is not allowed."),
                         FaultOf({"run", "--seconds", "-1"}));
    CPPUNIT_ASSERT_EQUAL(std::string("--deadline 5 is not allowed."),
                         FaultOf({"run", "--deadline", "5"}));
    CPPUNIT_ASSERT_EQUAL(std::string("--slots 0 is not allowed."),
                         FaultOf({"run", "--slots", "0"}));
    CPPUNIT_ASSERT_EQUAL(std::string("--seed needs a value."),
                         FaultOf({"run", "--seed"}));
    CPPUNIT_ASSERT_EQUAL(std::string("--wrong is not an option."),
                         FaultOf({"run", "--wrong"}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OptionsTest);

}  // namespace
}  // namespace tarragon::bench
