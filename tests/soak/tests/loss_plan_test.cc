#include "loss_plan.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace tarragon::soak {
namespace {

using std::chrono::milliseconds;

constexpr int kEntries = 3;
constexpr int kGates = 8;
constexpr milliseconds kLength{60000};

/// Tests the series that a seed stands for.
class LossPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LossPlanTest);
  CPPUNIT_TEST(SameSeedDrawsSameSeries);
  CPPUNIT_TEST(SeedsLoseGatesWhileTheirEntryIsLost);
  CPPUNIT_TEST(LossesNameProcessesThatExist);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SameSeedDrawsSameSeries() {
    const std::vector<LossSeries> first =
        DrawLossSeries(7, kEntries, kGates, kLength);
    const std::vector<LossSeries> again =
        DrawLossSeries(7, kEntries, kGates, kLength);
    CPPUNIT_ASSERT_EQUAL(first.size(), again.size());
    CPPUNIT_ASSERT(first.size() > 10);
    for (std::size_t i = 0; i < first.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(first[i].name, again[i].name);
      CPPUNIT_ASSERT(first[i].at == again[i].at);
      CPPUNIT_ASSERT_EQUAL(first[i].gates.size(), again[i].gates.size());
    }
    // A longer run begins with the same series.
    const std::vector<LossSeries> longer =
        DrawLossSeries(7, kEntries, kGates, 2 * kLength);
    CPPUNIT_ASSERT_EQUAL(first.back().name, longer[first.size() - 1].name);
  }

  void SeedsLoseGatesWhileTheirEntryIsLost() {
    std::set<std::string> names;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      for (const LossSeries& series :
           DrawLossSeries(seed, kEntries, kGates, kLength)) {
        names.insert(series.name);
        CPPUNIT_ASSERT(!series.entries.empty());
        for (const Loss& gate : series.gates) {
          CPPUNIT_ASSERT(gate.at >= series.entries[0].at);
          CPPUNIT_ASSERT(gate.at <= milliseconds(1200));
        }
      }
    }
    for (const char* name :
         {"all-kill", "entry-kill gates-kill", "entry-kill gates-freeze",
          "entry-cut-reset gates-freeze", "entry-freeze gates-cut-out+orders",
          "entry-cut-out gates-none"}) {
      CPPUNIT_ASSERT_MESSAGE(name, names.contains(name));
    }
  }

  void LossesNameProcessesThatExist() {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      for (const LossSeries& series : DrawLossSeries(seed, 1, 2, kLength)) {
        for (const Loss& entry : series.entries) {
          CPPUNIT_ASSERT_EQUAL(0, entry.index);
        }
        for (const Loss& gate : series.gates) {
          CPPUNIT_ASSERT(gate.index >= 0 && gate.index < 2);
        }
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LossPlanTest);

}  // namespace
}  // namespace tarragon::soak
