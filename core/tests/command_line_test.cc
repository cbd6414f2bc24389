#include "tarragon/core/command_line.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "tarragon/core/log.h"
#include "tests/capture.h"

namespace tarragon::core {
namespace {

const std::vector<SettingSpec>& Specs() {
  static const std::vector<SettingSpec> specs = {
      {.section = "clients",
       .key = "idle",
       .type = SettingType::kDuration,
       .default_value = "3s"}};
  return specs;
}

class CommandLineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommandLineTest);
  CPPUNIT_TEST(ReadsEveryOption);
  CPPUNIT_TEST(HelpAndVersionEndWell);
  CPPUNIT_TEST(RefusesAWrongCommandLine);
  CPPUNIT_TEST(AppliesLogLevels);
  CPPUNIT_TEST(LoadsSettings);
  CPPUNIT_TEST(CheckAndReferenceEndWell);
  CPPUNIT_TEST(PrintsEveryWrongSetting);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override {
    SetLogLevel("*", LogLevel::kInfo);
    SetLogProgram("");
  }

  void ReadsEveryOption() {
    const std::optional<CommandLine> command =
        Parse({"--config", "entry.ini", "--set=a.b=1", "--set", "c.d=2",
               "--check", "--reference"});
    CPPUNIT_ASSERT(command);
    CPPUNIT_ASSERT_EQUAL(std::string("entry.ini"), command->config_file);
    CPPUNIT_ASSERT(command->overrides ==
                   std::vector<std::string>({"a.b=1", "c.d=2"}));
    CPPUNIT_ASSERT(command->check);
    CPPUNIT_ASSERT(command->reference);
    const std::optional<CommandLine> plain = Parse({});
    CPPUNIT_ASSERT(plain && plain->config_file.empty() && !plain->check);
  }

  void HelpAndVersionEndWell() {
    for (const std::string option : {"--help", "-h", "--version"}) {
      CPPUNIT_ASSERT(!Parse({option}));
      CPPUNIT_ASSERT_EQUAL(kExitOk, exit_code_);
      CPPUNIT_ASSERT(output_.find("tarragon-entry") != std::string::npos);
    }
    Parse({"--help"});
    for (const std::string option :
         {"Takes jobs.", "--config FILE", "--set", "--check", "--reference",
          "--log", "--version"}) {
      CPPUNIT_ASSERT(output_.find(option) != std::string::npos);
    }
  }

  void RefusesAWrongCommandLine() {
    const std::vector<std::vector<std::string>> wrong = {
        {"--bogus"}, {"--config"},       {"--set"},          {"file"},
        {"-x"},      {"--log", "noisy"}, {"--log", "gate="}, {"--check=1"}};
    for (const std::vector<std::string>& arguments : wrong) {
      CPPUNIT_ASSERT(!Parse(arguments));
      CPPUNIT_ASSERT_EQUAL(kExitUsage, exit_code_);
    }
  }

  void AppliesLogLevels() {
    CPPUNIT_ASSERT(Parse({"--log", "warn"}));
    CPPUNIT_ASSERT(!Log("command-line-test").Enabled(LogLevel::kInfo));
    CPPUNIT_ASSERT(Parse({"--log", "command-line-test=debug,*=error"}));
    CPPUNIT_ASSERT(Log("command-line-test").Enabled(LogLevel::kDebug));
    CPPUNIT_ASSERT(!Log("command-line-other").Enabled(LogLevel::kWarn));
  }

  void LoadsSettings() {
    const std::optional<Settings> settings =
        Load({.overrides = {"clients.idle=4s"}});
    CPPUNIT_ASSERT(settings);
    CPPUNIT_ASSERT_EQUAL(kExitOk, exit_code_);
    CPPUNIT_ASSERT(settings->Duration("clients", "idle") ==
                   std::chrono::seconds(4));
  }

  void CheckAndReferenceEndWell() {
    CPPUNIT_ASSERT(!Load({.check = true}));
    CPPUNIT_ASSERT_EQUAL(kExitOk, exit_code_);
    CPPUNIT_ASSERT(!Load({.reference = true}));
    CPPUNIT_ASSERT_EQUAL(kExitOk, exit_code_);
    CPPUNIT_ASSERT_EQUAL(ReferenceFile(Specs()), output_);
  }

  void PrintsEveryWrongSetting() {
    CPPUNIT_ASSERT(
        !Load({.overrides = {"clients.idle=4", "x.y=1"}, .check = true}));
    CPPUNIT_ASSERT_EQUAL(kExitSettings, exit_code_);
    CPPUNIT_ASSERT(errors_.find("[clients] idle") != std::string::npos);
    CPPUNIT_ASSERT(errors_.find("[x] y") != std::string::npos);
  }

 private:
  std::optional<CommandLine> Parse(const std::vector<std::string>& arguments) {
    std::vector<std::string> words = {"tarragon-entry"};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    argv.reserve(words.size() + 1);
    for (std::string& word : words) argv.push_back(word.data());
    argv.push_back(nullptr);
    exit_code_ = -1;
    const Capture output(&std::cout);
    const Capture errors(&std::cerr);
    std::optional<CommandLine> command =
        ParseCommandLine(static_cast<int>(words.size()), argv.data(),
                         {"tarragon-entry", "Takes jobs."}, &exit_code_);
    output_ = output.text();
    errors_ = errors.text();
    return command;
  }

  std::optional<Settings> Load(const CommandLine& command) {
    exit_code_ = -1;
    const Capture output(&std::cout);
    const Capture errors(&std::cerr);
    std::optional<Settings> settings =
        LoadSettings(command, Specs(), &exit_code_);
    output_ = output.text();
    errors_ = errors.text();
    return settings;
  }

  int exit_code_ = -1;
  std::string output_;
  std::string errors_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandLineTest);

}  // namespace
}  // namespace tarragon::core
