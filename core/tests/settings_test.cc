#include "tarragon/core/settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <stdexcept>

namespace tarragon::core {
namespace {

std::vector<SettingSpec> Specs() {
  return {
      {.section = "clients",
       .key = "listen",
       .type = SettingType::kAddress,
       .required = true,
       .help = "Where clients connect."},
      {.section = "clients",
       .key = "idle",
       .type = SettingType::kDuration,
       .default_value = "3s",
       .minimum = "1ms",
       .maximum = "10min",
       .reloadable = true},
      {.section = "clients",
       .key = "body",
       .type = SettingType::kBytes,
       .default_value = "1MiB",
       .maximum = "2MiB"},
      {.section = "agents", .key = "seeds", .type = SettingType::kAddressList},
      {.section = "agents",
       .key = "retries",
       .type = SettingType::kInteger,
       .default_value = "2",
       .minimum = "-1"},
      {.section = "agents",
       .key = "spread",
       .type = SettingType::kPermille,
       .default_value = "250"},
      {.section = "agents",
       .key = "eager",
       .type = SettingType::kBool,
       .default_value = "false"},
      {.section = "operators", .key = "token", .secret = true},
  };
}

constexpr char kListen[] = "[clients]\nlisten = 127.0.0.1:0\n";

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(ReadsEveryType);
  CPPUNIT_TEST(GivesDefaults);
  CPPUNIT_TEST(ReadsEveryUnit);
  CPPUNIT_TEST(OverridesWin);
  CPPUNIT_TEST(RefusesWrongValues);
  CPPUNIT_TEST(RefusesWrongAddresses);
  CPPUNIT_TEST(RefusesValuesThatOverflow);
  CPPUNIT_TEST(GathersEveryFaultWithItsLine);
  CPPUNIT_TEST(TakesNoValueFromAFaultySection);
  CPPUNIT_TEST(SuggestsTheNearestName);
  CPPUNIT_TEST(RefusesWrongOverrides);
  CPPUNIT_TEST(RequiresAValue);
  CPPUNIT_TEST(ReadsSecretsFromTheEnvironment);
  CPPUNIT_TEST(NeverShowsASecret);
  CPPUNIT_TEST(RefusesAWrongDescription);
  CPPUNIT_TEST(RefusesAFileThatCannotBeRead);
  CPPUNIT_TEST(ListsChangesThatNeedARestart);
  CPPUNIT_TEST(ThrowsWhenTheProgramAsksWrongly);
  CPPUNIT_TEST(ReferenceFileIsValid);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsEveryType() {
    const Settings settings = Good(
        "# A comment.\n; Another.\n\n"
        "[clients]\r\n  listen=10.0.0.5:7001\r\nidle = 250ms\nbody = 64KiB\n"
        "[agents]\nseeds = 10.0.0.6:1, [::1]:65535\nretries = -1\n"
        "spread = 1000\neager = true\n[operators]\ntoken = a = b\n");
    CPPUNIT_ASSERT(settings.Address("clients", "listen") ==
                   Address("10.0.0.5:7001"));
    CPPUNIT_ASSERT(settings.Duration("clients", "idle") ==
                   std::chrono::milliseconds(250));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{65536},
                         settings.Bytes("clients", "body"));
    CPPUNIT_ASSERT(
        settings.Addresses("agents", "seeds") ==
        std::vector<Address>({Address("10.0.0.6:1"), Address("[::1]:65535")}));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{-1},
                         settings.Integer("agents", "retries"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1000},
                         settings.Integer("agents", "spread"));
    CPPUNIT_ASSERT(settings.Bool("agents", "eager"));
    CPPUNIT_ASSERT_EQUAL(std::string("a = b"),
                         settings.Text("operators", "token"));
  }

  void GivesDefaults() {
    const Settings settings = Good(kListen);
    CPPUNIT_ASSERT(settings.Duration("clients", "idle") ==
                   std::chrono::seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1048576},
                         settings.Bytes("clients", "body"));
    CPPUNIT_ASSERT(settings.Addresses("agents", "seeds").empty());
    CPPUNIT_ASSERT(!settings.Bool("agents", "eager"));
    CPPUNIT_ASSERT(!settings.Has("operators", "token"));
    CPPUNIT_ASSERT(settings.Has("clients", "listen"));
  }

  void ReadsEveryUnit() {
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1500}, Idle("1500us"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7000}, Idle("7ms"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2000000}, Idle("2s"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{600000000}, Idle("10min"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, Body("12B"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3072}, Body("3KiB"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2097152}, Body("2MiB"));
  }

  void OverridesWin() {
    const Settings settings =
        Good("[clients]\nlisten = 127.0.0.1:1\nidle = 99h\n",
             {"clients.listen=127.0.0.1:2", "clients.idle=5s",
              "clients.idle=6s", "operators.token=a.b=c"});
    CPPUNIT_ASSERT(settings.Address("clients", "listen") ==
                   Address("127.0.0.1:2"));
    CPPUNIT_ASSERT(settings.Duration("clients", "idle") ==
                   std::chrono::seconds(6));
    CPPUNIT_ASSERT_EQUAL(std::string("a.b=c"),
                         settings.Text("operators", "token"));
  }

  void RefusesWrongValues() {
    const std::vector<std::string> overrides = {
        "clients.idle=",        "clients.idle=250",   "clients.idle=0.5s",
        "clients.idle=1 s",     "clients.idle=1S",    "clients.idle=-1s",
        "clients.idle=999us",   "clients.idle=601s",  "clients.idle=s",
        "clients.body=1MB",     "clients.body=-1B",   "clients.body=3MiB",
        "agents.retries=-2",    "agents.retries=1x",  "agents.retries=+1",
        "agents.retries=",      "agents.spread=1001", "agents.spread=-1",
        "agents.spread=25%",    "agents.eager=yes",   "agents.eager=True",
        "clients.idle=3s ; no",
    };
    for (const std::string& each : overrides) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(each, std::size_t{1},
                                   Faults(kListen, {each}).size());
    }
    CPPUNIT_ASSERT_EQUAL(
        std::string("--set: [clients] idle: \"20min\" is out of range; allowed "
                    "is 1ms to 10min."),
        ToString(Faults(kListen, {"clients.idle=20min"}).front()));
    CPPUNIT_ASSERT_EQUAL(
        std::string("--set: [agents] eager: \"1\" is not allowed; give true or "
                    "false."),
        ToString(Faults(kListen, {"agents.eager=1"}).front()));
  }

  void RefusesWrongAddresses() {
    for (const std::string text :
         {"localhost:1", "127.0.0.1", "127.0.0.1:", ":80", "127.0.0.1:65536",
          "127.0.0.1:-1", "127.0.0.1:8x", "127.0.0.1.1:8", "::1:80", "[::1]",
          "[]:80", "[127.0.0.1]:80", "[::1:80"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          text, std::size_t{1},
          Faults("", {std::string("clients.listen=") + text}).size());
    }
    for (const std::string text :
         {"10.0.0.1:1,", ",10.0.0.1:1", "10.0.0.1:1,,10.0.0.2:1",
          "10.0.0.1:1 10.0.0.2:1", "10.0.0.1:1, x"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          text, std::size_t{1},
          Faults(kListen, {std::string("agents.seeds=") + text}).size());
    }
  }

  void RefusesValuesThatOverflow() {
    for (const std::string each :
         {"clients.idle=9223372036854775807h", "clients.body=9999999999999GiB",
          "agents.retries=9223372036854775808"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(each, std::size_t{1},
                                   Faults(kListen, {each}).size());
    }
  }

  void GathersEveryFaultWithItsLine() {
    const std::vector<SettingError> faults = Faults(
        "stray = 1\n"     // 1
        "[clients]\n"     // 2
        "listn = 1\n"     // 3
        "idle = 20min\n"  // 4
        "body = 1KiB\n"   // 5
        "body = 2KiB\n"   // 6
        "no setting\n"    // 7
        "= 5\n"           // 8
        "[agents] x\n"    // 9
        "[]\n"            // 10
        "[agents\n"       // 11
        "[opertors]\n"    // 12
        "token = 1\n"     // 13
        "[clients]\n",    // 14
        {"agents.eager=maybe"});
    std::vector<int> lines;
    for (const SettingError& fault : faults) {
      lines.push_back(fault.line);
      const bool overridden = fault.key == "eager";
      CPPUNIT_ASSERT_EQUAL(std::string(overridden ? "--set" : "entry.ini"),
                           fault.file);
    }
    // The two without a line are the override and the missing clients.listen.
    CPPUNIT_ASSERT(
        lines == std::vector<int>({0, 0, 1, 3, 4, 6, 7, 8, 9, 10, 11, 12, 14}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("entry.ini:6: [clients] body: the key stands already in "
                    "line 5; write it once."),
        ToString(faults[5]));
    CPPUNIT_ASSERT_EQUAL(
        std::string("entry.ini:14: [clients]: the section "
                    "stands already in line 2; write it once."),
        ToString(faults.back()));
  }

  void TakesNoValueFromAFaultySection() {
    // The repeated section is the only fault: listen counts as given.
    const std::vector<SettingError> faults =
        Faults("[clients]\nidle = 1s\n[clients]\nlisten = 127.0.0.1:1\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, faults.size());
    CPPUNIT_ASSERT_EQUAL(3, faults.front().line);
  }

  void SuggestsTheNearestName() {
    const std::string file = kListen;
    CPPUNIT_ASSERT_EQUAL(std::string("unknown key; did you mean idle?"),
                         Faults(file + "idel = 1s\n").front().text);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown key; it belongs to [agents]."),
                         Faults(file + "retries = 1\n").front().text);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown key."),
                         Faults(file + "windmill = 1\n").front().text);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown section; did you mean [agents]?"),
                         Faults(file + "[agent]\nretries = 1\n").front().text);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown section."),
                         Faults(file + "[windmill]\n").front().text);
  }

  void RefusesWrongOverrides() {
    for (const std::string each :
         {"", "idle", "idle=1s", "clients.idle", ".idle=1s", "clients.=1s",
          "clients.idel=1s", "client.idle=1s", "=a.b"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(each, std::size_t{1},
                                   Faults(kListen, {each}).size());
    }
  }

  void RequiresAValue() {
    CPPUNIT_ASSERT_EQUAL(std::string("entry.ini: [clients] listen: the key is "
                                     "missing; give IP:port, as in "
                                     "127.0.0.1:7001."),
                         ToString(Faults("").front()));
    const std::vector<SettingError> faults = Faults("[clients]\nlisten =\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, faults.size());
    CPPUNIT_ASSERT_EQUAL(2, faults.front().line);
  }

  void ReadsSecretsFromTheEnvironment() {
    CPPUNIT_ASSERT_EQUAL(0, setenv("TARRAGON_TEST_TOKEN", "swan", 1));
    const Settings settings =
        Good(kListen, {"operators.token=env:TARRAGON_TEST_TOKEN"});
    CPPUNIT_ASSERT_EQUAL(std::string("swan"),
                         settings.Text("operators", "token"));
    CPPUNIT_ASSERT_EQUAL(0, unsetenv("TARRAGON_TEST_TOKEN"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("the environment variable TARRAGON_TEST_TOKEN is not set."),
        Faults(kListen, {"operators.token=env:TARRAGON_TEST_TOKEN"})
            .front()
            .text);
  }

  void NeverShowsASecret() {
    std::vector<SettingSpec> specs = Specs();
    specs.back().type = SettingType::kInteger;
    specs.back().maximum = "10";
    for (const std::string value : {"swan", "4711"}) {
      std::vector<SettingError> errors;
      CPPUNIT_ASSERT(!Settings::Parse(specs, kListen, "entry.ini",
                                      {"operators.token=" + value}, &errors));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, errors.size());
      CPPUNIT_ASSERT(ToString(errors.front()).find(value) == std::string::npos);
    }
  }

  void RefusesAWrongDescription() {
    std::vector<SettingError> errors;
    const SettingSpec wrong_default{.section = "a",
                                    .key = "b",
                                    .type = SettingType::kDuration,
                                    .default_value = "5"};
    CPPUNIT_ASSERT(!Settings::Parse({wrong_default}, "", "", {}, &errors));
    const SettingSpec wrong_limit{.section = "a",
                                  .key = "b",
                                  .type = SettingType::kDuration,
                                  .default_value = "5s",
                                  .maximum = "9"};
    CPPUNIT_ASSERT(!Settings::Parse({wrong_limit}, "", "", {}, &errors));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, errors.size());
  }

  void RefusesAFileThatCannotBeRead() {
    for (const std::string file : {"/nonexistent/entry.ini", "/"}) {
      std::vector<SettingError> errors;
      CPPUNIT_ASSERT(!Settings::Load(Specs(), file, {}, &errors));
      CPPUNIT_ASSERT_EQUAL(file + ": the file cannot be read.",
                           ToString(errors.front()));
    }
    std::vector<SettingError> errors;
    CPPUNIT_ASSERT(
        Settings::Load(Specs(), "", {"clients.listen=127.0.0.1:0"}, &errors));
    CPPUNIT_ASSERT(errors.empty());
  }

  void ListsChangesThatNeedARestart() {
    const Settings before = Good(kListen);
    const Settings after = Good(
        kListen, {"clients.idle=9s", "clients.body=2KiB", "operators.token=x"});
    CPPUNIT_ASSERT(before.ChangedFixed(before).empty());
    CPPUNIT_ASSERT(
        before.ChangedFixed(after) ==
        std::vector<std::string>({"clients.body", "operators.token"}));
  }

  void ThrowsWhenTheProgramAsksWrongly() {
    const Settings settings = Good(kListen);
    CPPUNIT_ASSERT_THROW(settings.Text("clients", "nothing"), std::logic_error);
    CPPUNIT_ASSERT_THROW(settings.Integer("clients", "idle"), std::logic_error);
    CPPUNIT_ASSERT_THROW(settings.Bytes("clients", "idle"), std::logic_error);
    CPPUNIT_ASSERT_THROW(settings.Address("agents", "seeds"), std::logic_error);
  }

  void ReferenceFileIsValid() {
    const std::string reference = ReferenceFile(Specs());
    for (const std::string part :
         {"[clients]\n", "# Where clients connect.\n", "Required.\nlisten =\n",
          "Range: 1ms to 10min. Reloadable.\n# idle = 3s\n",
          "Range: 0 to 1000.\n# spread = 250\n", "[operators]\n",
          "\n# token =\n"}) {
      CPPUNIT_ASSERT_MESSAGE(part, reference.find(part) != std::string::npos);
    }
    Good(reference, {"clients.listen=127.0.0.1:0"});
    // With every key in use it still holds the defaults.
    std::string open = reference;
    for (const SettingSpec& spec : Specs()) {
      const std::size_t at = open.find("# " + spec.key + " =");
      if (at != std::string::npos) open.erase(at, 2);
    }
    const Settings defaults = Good(kListen);
    CPPUNIT_ASSERT(
        defaults.ChangedFixed(Good(open, {"clients.listen=127.0.0.1:0"}))
            .empty());
  }

 private:
  static Settings Good(const std::string& text,
                       const std::vector<std::string>& overrides = {}) {
    std::vector<SettingError> errors;
    const std::optional<Settings> settings =
        Settings::Parse(Specs(), text, "entry.ini", overrides, &errors);
    for (const SettingError& error : errors) CPPUNIT_FAIL(ToString(error));
    CPPUNIT_ASSERT(settings);
    return *settings;
  }

  static std::vector<SettingError> Faults(
      const std::string& text, const std::vector<std::string>& overrides = {}) {
    std::vector<SettingError> errors;
    CPPUNIT_ASSERT(
        !Settings::Parse(Specs(), text, "entry.ini", overrides, &errors));
    CPPUNIT_ASSERT(!errors.empty());
    return errors;
  }

  static std::int64_t Idle(const std::string& text) {
    return Good(kListen, {"clients.idle=" + text})
        .Duration("clients", "idle")
        .count();
  }

  static std::uint64_t Body(const std::string& text) {
    return Good(kListen, {"clients.body=" + text}).Bytes("clients", "body");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace
}  // namespace tarragon::core
