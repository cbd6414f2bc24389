#include "tarragon/daemons/policy_settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

namespace tarragon::daemons {
namespace {

class PolicySettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PolicySettingsTest);
  CPPUNIT_TEST(FormatsDurationsInLargestUnit);
  CPPUNIT_TEST(DefaultsEqualPolicyDefaults);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FormatsDurationsInLargestUnit() {
    std::map<std::string, std::string> defaults;
    for (const core::SettingSpec& spec : PolicySpecs()) {
      defaults[spec.key] = spec.default_value;
    }
    CPPUNIT_ASSERT_EQUAL(std::string("2s"), defaults["seal_after"]);
    CPPUNIT_ASSERT_EQUAL(std::string("2800ms"), defaults["freshness"]);
    CPPUNIT_ASSERT_EQUAL(std::string("10min"), defaults["answer_memory"]);
    CPPUNIT_ASSERT_EQUAL(std::string("1min"), defaults["drain_limit"]);
  }

  void DefaultsEqualPolicyDefaults() {
    std::vector<core::SettingError> errors;
    const std::optional<core::Settings> settings =
        core::Settings::Parse(PolicySpecs(), "", "", {}, &errors);
    CPPUNIT_ASSERT(settings.has_value());
    const dispatch::Policy defaults;
    const dispatch::Policy read = ReadPolicy(*settings);
    CPPUNIT_ASSERT(defaults.seal_after == read.seal_after);
    CPPUNIT_ASSERT(defaults.freshness == read.freshness);
    CPPUNIT_ASSERT(defaults.drain_limit == read.drain_limit);
    CPPUNIT_ASSERT(defaults.retry_pause == read.retry_pause);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PolicySettingsTest);

}  // namespace
}  // namespace tarragon::daemons
