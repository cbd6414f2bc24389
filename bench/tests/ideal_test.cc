#include "tarragon/bench/ideal.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragon::bench {
namespace {

using Times = std::vector<core::Duration>;

core::Duration Ms(int ms) { return std::chrono::milliseconds(ms); }

class IdealTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IdealTest);
  CPPUNIT_TEST(RunsAtOnceOnFreeSlots);
  CPPUNIT_TEST(QueuesInTheOrderOfArrival);
  CPPUNIT_TEST(EndsWithTheLastTask);
  CPPUNIT_TEST(ReusesTheSlotThatIsFreeFirst);
  CPPUNIT_TEST(KeepsIdleTimeIdle);
  CPPUNIT_TEST(AcceptsEmptyInput);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RunsAtOnceOnFreeSlots() {
    CPPUNIT_ASSERT(SimulateIdeal({{Ms(0), {Ms(100)}}, {Ms(10), {Ms(50)}}}, 2) ==
                   Times({Ms(100), Ms(50)}));
  }

  void QueuesInTheOrderOfArrival() {
    // One slot: 0-100, 100-150, 150-160.
    CPPUNIT_ASSERT(
        SimulateIdeal(
            {{Ms(0), {Ms(100)}}, {Ms(10), {Ms(50)}}, {Ms(20), {Ms(10)}}}, 1) ==
        Times({Ms(100), Ms(140), Ms(140)}));
  }

  void EndsWithTheLastTask() {
    // Two slots: 0-30, 0-10, then 10-50.
    CPPUNIT_ASSERT(SimulateIdeal({{Ms(5), {Ms(30), Ms(10), Ms(40)}}}, 2) ==
                   Times({Ms(50)}));
  }

  void ReusesTheSlotThatIsFreeFirst() {
    // Slots are free at 100 and 20; the next job starts at 20.
    CPPUNIT_ASSERT(SimulateIdeal({{Ms(0), {Ms(100), Ms(20)}},
                                  {Ms(10), {Ms(30)}},
                                  {Ms(15), {Ms(60)}}},
                                 2) == Times({Ms(100), Ms(40), Ms(95)}));
  }

  void KeepsIdleTimeIdle() {
    CPPUNIT_ASSERT(SimulateIdeal({{Ms(0), {Ms(10)}}, {Ms(500), {Ms(10)}}}, 1) ==
                   Times({Ms(10), Ms(10)}));
  }

  void AcceptsEmptyInput() {
    CPPUNIT_ASSERT(SimulateIdeal({}, 4).empty());
    CPPUNIT_ASSERT(SimulateIdeal({{Ms(5), {}}}, 4) == Times({Ms(0)}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdealTest);

}  // namespace
}  // namespace tarragon::bench
