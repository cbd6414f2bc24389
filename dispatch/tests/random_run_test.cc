#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <string>

#include "tarragon/prove/campaign.h"

namespace tarragon::dispatch {
namespace {

constexpr std::uint64_t kFirstSeed = 1;
constexpr unsigned kThreads = 4;

/// The decisions against fakes with random faults, from fixed seeds. The
/// program tarragon-prove runs more of them.
class RandomRunTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RandomRunTest);
  CPPUNIT_TEST(KeepsItsPromisesUnderFaults);
  CPPUNIT_TEST(KeepsItsPromisesUnderManyFaultsAndDoubledMessages);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KeepsItsPromisesUnderFaults() { Run(false, 36); }
  void KeepsItsPromisesUnderManyFaultsAndDoubledMessages() { Run(true, 24); }

 private:
  static void Run(bool harsh, std::uint64_t seeds) {
    prove::CampaignOptions options;
    options.first_seed = kFirstSeed;
    options.seeds = seeds;
    options.harsh = harsh;
    options.threads = kThreads;
    const prove::CampaignResult result =
        prove::RunCampaign(options, [](const prove::RunResult&) {});
    for (const prove::RunResult& run : result.failures) {
      CPPUNIT_FAIL(run.failure);
    }
    for (const std::string& name : result.missing) {
      CPPUNIT_FAIL("Not exercised: " + name);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RandomRunTest);

}  // namespace
}  // namespace tarragon::dispatch
