#include <algorithm>

#include "entry_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// A stop that was lost with the connection to its gate.
class EntryLostStopTest : public EntryFixture {
  CPPUNIT_TEST_SUITE(EntryLostStopTest);
  CPPUNIT_TEST(AcknowledgesNoLaterReportBeforeStopIsSentAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a notice that confirms a run to a gate which has not
  // received the stop that the entry had sent for its client's sake.
  void AcknowledgesNoLaterReportBeforeStopIsSentAgain() {
    Report(GateId(1), 16000);
    Advance(milliseconds(20));
    const CallId call = Submit("job", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeStarts().size());
    const core::Time client_left_at = now_;
    OnCallClosed(&board_, now_, call);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeQueries().size());
    // What the entry sends is held up; the gate's reports arrive.
    for (int i = 0; i < 10; ++i) {
      Advance(milliseconds(60));
      Report(GateId(1), 16000);
    }
    Advance(milliseconds(40));
    OnGateDisconnected(&board_, now_, GateId(1));
    TakeQueries();
    TakeActions<SendTo<EntryNotice>>();
    Advance(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, TakeQueries().size());
    for (const SendTo<EntryNotice>& sent : TakeActions<SendTo<EntryNotice>>()) {
      CPPUNIT_ASSERT_MESSAGE(
          "Confirms the run " +
              std::to_string(
                  core::Millis(sent.message.clients_read - client_left_at)) +
              " ms after its client has left.",
          sent.message.clients_read <= client_left_at);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryLostStopTest);

}  // namespace
}  // namespace tarragon::coordinator
