#include "tarragon/daemons/settings_validation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

#include "tarragon/daemons/agent_daemon.h"
#include "tarragon/daemons/entry_daemon.h"

namespace tarragon::daemons {
namespace {

constexpr char kEntrySettings[] =
    "[entry]\ndomain = szeged\n[operators]\ntoken = t\n"
    "[platform]\ntable = 127.0.0.1:9000\n";
constexpr char kAgentSettings[] =
    "[agent]\ndomain = szeged\nentries = 127.0.0.1:7000\n";

core::Settings ParseSettings(const std::vector<core::SettingSpec>& specs,
                             const std::string& text,
                             const std::vector<std::string>& overrides) {
  std::vector<core::SettingError> errors;
  const std::optional<core::Settings> settings =
      core::Settings::Parse(specs, text, "test.ini", overrides, &errors);
  CPPUNIT_ASSERT(settings.has_value());
  return *settings;
}

std::vector<core::SettingError> ValidateEntry(
    const std::vector<std::string>& overrides) {
  return ValidateSettings(
      ParseSettings(EntrySpecs(), kEntrySettings, overrides), "entry");
}

std::vector<core::SettingError> ValidateAgent(
    const std::vector<std::string>& overrides) {
  return ValidateSettings(
      ParseSettings(AgentSpecs(), kAgentSettings, overrides), "agent");
}

class SettingsValidationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsValidationTest);
  CPPUNIT_TEST(DefaultsAreValidAndListenOnLoopback);
  CPPUNIT_TEST(WildcardListenRequiresAdvertise);
  CPPUNIT_TEST(RejectsInconsistentDurations);
  CPPUNIT_TEST(RejectsInvalidDomainNames);
  CPPUNIT_TEST(LoadingSetsExitCode);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DefaultsAreValidAndListenOnLoopback() {
    CPPUNIT_ASSERT(ValidateEntry({}).empty());
    CPPUNIT_ASSERT(ValidateAgent({}).empty());
    const core::Settings entry =
        ParseSettings(EntrySpecs(), kEntrySettings, {});
    const core::Settings agent =
        ParseSettings(AgentSpecs(), kAgentSettings, {});
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:7000"),
                         entry.Address("entry", "listen").value());
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:8080"),
                         entry.Address("clients", "listen").value());
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:7100"),
                         agent.Address("agent", "listen").value());
  }

  void WildcardListenRequiresAdvertise() {
    for (const char* listen : {"0.0.0.0:0", "[::]:0"}) {
      const std::string entry = std::string("entry.listen=") + listen;
      const std::string agent = std::string("agent.listen=") + listen;
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ValidateEntry({entry}).size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ValidateAgent({agent}).size());
      CPPUNIT_ASSERT_EQUAL(std::string("advertise"),
                           ValidateEntry({entry})[0].key);
      CPPUNIT_ASSERT(
          ValidateEntry({entry, "entry.advertise=10.0.0.1:7000"}).empty());
      CPPUNIT_ASSERT(
          ValidateAgent({agent, "agent.advertise=10.0.0.1:7000"}).empty());
      CPPUNIT_ASSERT_EQUAL(
          std::size_t{1},
          ValidateEntry({entry, "entry.advertise=0.0.0.0:7000"}).size());
    }
    CPPUNIT_ASSERT(ValidateEntry({"clients.listen=0.0.0.0:8080"}).empty());
  }

  void RejectsInconsistentDurations() {
    const std::vector<std::vector<std::string>> wrong = {
        {"policy.seal_after=8s", "policy.gone_after=8s"},
        {"policy.member_timeout=1s", "policy.heartbeat_interval=1s"},
        {"policy.freshness=1s", "policy.poll_interval=500ms"},
    };
    const std::vector<std::vector<std::string>> right = {
        {"policy.seal_after=7999ms", "policy.gone_after=8s"},
        {"policy.member_timeout=1001ms", "policy.heartbeat_interval=1s"},
        {"policy.freshness=1001ms", "policy.poll_interval=500ms"},
    };
    for (const std::vector<std::string>& overrides : wrong) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ValidateEntry(overrides).size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ValidateAgent(overrides).size());
    }
    for (const std::vector<std::string>& overrides : right) {
      CPPUNIT_ASSERT(ValidateEntry(overrides).empty());
      CPPUNIT_ASSERT(ValidateAgent(overrides).empty());
    }
  }

  void RejectsInvalidDomainNames() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         ValidateEntry({"entry.domain=sze ged"}).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         ValidateAgent({"agent.domain=a/b"}).size());
  }

  void LoadingSetsExitCode() {
    core::CommandLine command;
    command.check = true;
    command.overrides = {"agent.domain=szeged", "agent.entries=127.0.0.1:7000"};
    int exit_code = -1;
    CPPUNIT_ASSERT(
        !LoadValidatedSettings(command, AgentSpecs(), "agent", &exit_code));
    CPPUNIT_ASSERT_EQUAL(core::kExitOk, exit_code);
    command.overrides.emplace_back("agent.listen=0.0.0.0:7100");
    CPPUNIT_ASSERT(
        !LoadValidatedSettings(command, AgentSpecs(), "agent", &exit_code));
    CPPUNIT_ASSERT_EQUAL(core::kExitSettings, exit_code);
    command.check = false;
    CPPUNIT_ASSERT(
        !LoadValidatedSettings(command, AgentSpecs(), "agent", &exit_code));
    command.overrides.pop_back();
    CPPUNIT_ASSERT(
        LoadValidatedSettings(command, AgentSpecs(), "agent", &exit_code));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsValidationTest);

}  // namespace
}  // namespace tarragon::daemons
