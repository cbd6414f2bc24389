#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <string>

#include "tarragon/prove/campaign.h"

namespace tarragon::prove {
namespace {

constexpr std::uint64_t kFirstSeed = 1;
constexpr unsigned kThreads = 4;

/// Whole campaigns from fixed seeds: no run fails, and every check and branch
/// of interest is exercised.
class CampaignTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CampaignTest);
  CPPUNIT_TEST(KeepsItsPromisesUnderFaults);
  CPPUNIT_TEST(KeepsItsPromisesUnderManyFaultsAndDoubledMessages);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KeepsItsPromisesUnderFaults() { Run(false, 36); }
  void KeepsItsPromisesUnderManyFaultsAndDoubledMessages() { Run(true, 24); }

 private:
  static void Run(bool harsh, std::uint64_t seeds) {
    CampaignOptions options;
    options.first_seed = kFirstSeed;
    options.seeds = seeds;
    options.harsh = harsh;
    options.threads = kThreads;
    const CampaignResult result = RunCampaign(options, [](const RunResult&) {});
    for (const RunResult& run : result.failures) {
      CPPUNIT_FAIL(run.failure);
    }
    for (const std::string& name : result.missing) {
      CPPUNIT_FAIL("Not exercised: " + name);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CampaignTest);

}  // namespace
}  // namespace tarragon::prove
