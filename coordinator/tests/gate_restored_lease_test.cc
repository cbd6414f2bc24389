#include "gate_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// The lease of runs that a restarted gate finds at the stored target, whose
/// clock it did not know before the first poll.
class GateRestoredLeaseTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GateRestoredLeaseTest);
  CPPUNIT_TEST(LeaseOfEarlierProcessIsNotTakenForOver);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a second run beside one whose target is silent: it holds the
  // lease that the earlier process gave it.
  void LeaseOfEarlierProcessIsNotTakenForOver() {
    TargetReport stored = *board_.target->stored_report;
    board_ = GateBoard{};
    board_.domain = core::DomainId("szeged");
    OnPreviousTargetFound(&board_, now_, stored, "store");
    AnswerPoll({MakeRun(0), MakeRun(1)}, {});
    OnMessage(&board_, now_, kEntry, AskRun{MakeRun(0), false, {1600, 10, 0}});
    for (int i = 0; i < 47; ++i) {
      Advance(milliseconds(20), false);
      LosePolls();
      CPPUNIT_ASSERT_MESSAGE(
          "Ended after " + std::to_string(20 * (i + 1)) + " ms.",
          !TakeEndOf(MakeRun(0)).has_value());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateRestoredLeaseTest);

}  // namespace
}  // namespace tarragon::coordinator
