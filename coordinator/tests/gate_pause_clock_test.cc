#include "gate_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// A gate that reads an announcement of its target before its first tick after
/// a pause.
class GatePauseClockTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GatePauseClockTest);
  CPPUNIT_TEST(AnnouncementReadBeforeTickSetsClock);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a start that its target refuses as late.
  void AnnouncementReadBeforeTickSetsClock() {
    now_ = now_ + milliseconds(2000);
    Announce(1, 2);
    OnTick(&board_, now_);
    OnMessage(&board_, now_, kEntry, MakeNotice(now_));
    TakeActions<OrderStart>();
    Start(MakeRun(1));
    const std::vector<OrderStart> starts = TakeActions<OrderStart>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    const std::int64_t left =
        starts[0].start_deadline.value() - CurrentTargetClock().value();
    CPPUNIT_ASSERT_MESSAGE(
        "The target accepts the start for " + std::to_string(left) + " ms.",
        left >= 250);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatePauseClockTest);

}  // namespace
}  // namespace tarragon::coordinator
