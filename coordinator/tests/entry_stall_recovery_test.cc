#include "entry_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// An entry with a small share of a core, which is paused again as soon as it
/// has noticed that it was stalled.
class EntryStallRecoveryTest : public EntryFixture {
  CPPUNIT_TEST_SUITE(EntryStallRecoveryTest);
  CPPUNIT_TEST(StartsNothingIfRecoveryTimePassedInAnotherPause);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a start for a client that has left: the time in which the
  // entry reads its connections passed while it was paused.
  void StartsNothingIfRecoveryTimePassedInAnotherPause() {
    Report(GateId(1), 16000);
    Advance(milliseconds(40));
    Submit("other", 10, milliseconds(900));
    const CallId call = Submit("j1", 1, milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, TakeStarts().size());
    now_ = now_ + milliseconds(400);
    OnTick(&board_, now_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, board_.counts.stalls);
    now_ = now_ + milliseconds(90);
    Report(GateId(1), 16000);
    const std::size_t started = TakeStarts().size();
    OnCallClosed(&board_, now_, call);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, started);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryStallRecoveryTest);

}  // namespace
}  // namespace tarragon::coordinator
