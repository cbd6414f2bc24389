#include "entry_fixture.h"

namespace tarragon::coordinator {
namespace {

/// How an entry uses the speeds that gates report.
class FinishTimeTest : public EntryFixture {
  CPPUNIT_TEST_SUITE(FinishTimeTest);
  CPPUNIT_TEST(SuspectsOnlyTargetSlowerThanItsOwnSpeed);
  CPPUNIT_TEST(PlacesTaskWhereItEndsInTime);
  CPPUNIT_TEST(PrefersFastTargetToFreeRoomOnlyIfSpeedsDiffer);
  CPPUNIT_TEST_SUITE_END();

  void ReportSpeed(int gate, std::uint32_t speed, std::uint32_t slowness,
                   std::int64_t free = 16000) {
    Report(GateId(gate), free);
    TargetReport report = *board_.gates.at(GateId(gate).address).report;
    report.speed_permille = speed;
    report.slowness_permille = slowness;
    OnMessage(&board_, now_, GateId(gate), report);
  }

  bool IsSuspect(int gate) {
    return board_.gates.at(GateId(gate).address).health.suspect;
  }

 public:
  void SuspectsOnlyTargetSlowerThanItsOwnSpeed() {
    for (int i = 1; i <= 4; ++i) ReportSpeed(i, 1000, 1000);
    ReportSpeed(1, 400, 2500);
    ReportSpeed(2, 1600, 625);
    Advance(std::chrono::milliseconds(400));
    ReportSpeed(1, 400, 2500);
    ReportSpeed(2, 1600, 625);
    CPPUNIT_ASSERT(!IsSuspect(1));
    CPPUNIT_ASSERT(!IsSuspect(2));
    ReportSpeed(2, 1600, 1875);
    CPPUNIT_ASSERT(IsSuspect(2));
  }

  void PlacesTaskWhereItEndsInTime() {
    for (int i = 0; i < 20; ++i) {
      ReportSpeed(1, 500, 1000);
      ReportSpeed(2, 1000, 1000, 9000);
      Advance(std::chrono::milliseconds(20));
    }
    Submit("j1", 1, std::chrono::milliseconds(900));
    const auto starts = TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    CPPUNIT_ASSERT(starts[0].to == GateId(2));
    // The gate learns its speed relative to this.
    CPPUNIT_ASSERT(core::Duration(std::chrono::milliseconds(900)) ==
                   starts[0].message.expected_run);
  }

  void PrefersFastTargetToFreeRoomOnlyIfSpeedsDiffer() {
    for (int i = 0; i < 20; ++i) {
      ReportSpeed(1, 980, 1000);
      ReportSpeed(2, 1020, 1000, 9000);
      Advance(std::chrono::milliseconds(20));
    }
    Submit("j1", 1, std::chrono::milliseconds(900));
    CPPUNIT_ASSERT(TakeStarts().at(0).to == GateId(1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FinishTimeTest);

}  // namespace
}  // namespace tarragon::coordinator
