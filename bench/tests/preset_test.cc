#include "tarragon/bench/preset.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragon::bench {
namespace {

constexpr char kSmall[] =
    "[preset]\nname = small\ntargets = 2\nslots_per_target = 3\n"
    "deadline = 4s\n"
    "[runs]\nmedian = 100ms\nsigma = 0.5\nshortest = 10ms\nlongest = 1s\n"
    "[service look]\nidempotent = true\nweight = 3\n"
    "[service carve]\nidempotent = false\n"
    "[tenant a]\nweight = 1\n"
    "[size one]\nweight = 9\n"
    "[size many]\nmin_tasks = 2\nmax_tasks = 4\nweight = 1\n";

Preset Parsed(const std::string& text) {
  BenchError reason;
  const std::optional<Preset> preset = ParsePreset(text, &reason);
  CPPUNIT_ASSERT_MESSAGE(reason.text, preset.has_value());
  return *preset;
}

std::string FaultOf(const std::string& text) {
  BenchError reason;
  CPPUNIT_ASSERT(!ParsePreset(text, &reason));
  return reason.text;
}

class PresetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PresetTest);
  CPPUNIT_TEST(KnowsItsNames);
  CPPUNIT_TEST(ReadsAFile);
  CPPUNIT_TEST(RefusesWrongText);
  CPPUNIT_TEST(MeansFollowThePreset);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KnowsItsNames() {
    BenchError reason;
    const std::optional<Preset> kaptafa = LoadPreset("kaptafa", &reason);
    const std::optional<Preset> agence = LoadPreset("agence", &reason);
    CPPUNIT_ASSERT(kaptafa && agence);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(80), Slots(*kaptafa));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(80), Slots(*agence));
    CPPUNIT_ASSERT(!LoadPreset("no-such-preset", &reason));
    CPPUNIT_ASSERT(reason.text.find("no-such-preset") != std::string::npos);
  }

  void ReadsAFile() {
    const Preset preset = Parsed(kSmall);
    CPPUNIT_ASSERT_EQUAL(std::string("small"), preset.name);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(6), Slots(preset));
    CPPUNIT_ASSERT(preset.deadline == std::chrono::seconds(4));
    CPPUNIT_ASSERT(preset.runs.median == std::chrono::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(0.5, preset.runs.sigma);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), preset.services.size());
    CPPUNIT_ASSERT(preset.services[0] ==
                   (ServiceMix{core::ServiceId("look"), true, 3}));
    CPPUNIT_ASSERT(preset.services[1] ==
                   (ServiceMix{core::ServiceId("carve"), false, 1}));
    CPPUNIT_ASSERT(preset.sizes[1] == (SizeClass{"many", 2, 4, 1}));
  }

  void RefusesWrongText() {
    const std::string small = kSmall;
    CPPUNIT_ASSERT_EQUAL(std::string("[wrong] is not known."),
                         FaultOf(small + "[wrong]\nx = 1\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("[tenant b] has keys that are not known."),
                         FaultOf(small + "[tenant b]\nwait = 1\n"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("[tenant b] weight must be a whole number."),
        FaultOf(small + "[tenant b]\nweight = -1\n"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("[service b] idempotent must be true or false."),
        FaultOf(small + "[service b]\nidempotent = maybe\n"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("[size x] must lie within 1 and 110 tasks."),
        FaultOf(small + "[size x]\nmax_tasks = 111\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("No [service NAME] has a weight."),
                         FaultOf("[preset]\nname = empty\n"));
    CPPUNIT_ASSERT(FaultOf("not an ini").find("line 1") != std::string::npos);
  }

  void MeansFollowThePreset() {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.2, MeanTasks(Parsed(kSmall)), 1e-9);
    RunTimes constant;
    constant.sigma = 0;
    CPPUNIT_ASSERT(MeanRun(constant) == constant.median);
    // Without clamping the mean is median * exp(sigma^2 / 2).
    RunTimes wide;
    wide.shortest = core::Duration(1);
    wide.longest = std::chrono::hours(10);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(275426,
                                 static_cast<double>(MeanRun(wide).count()), 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PresetTest);

}  // namespace
}  // namespace tarragon::bench
