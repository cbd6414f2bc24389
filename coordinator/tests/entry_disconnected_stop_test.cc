#include "entry_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// Runs that are to stop while the connection to their gate is lost.
class EntryDisconnectedStopTest : public EntryFixture {
  CPPUNIT_TEST_SUITE(EntryDisconnectedStopTest);
  CPPUNIT_TEST(SendsStopAsSoonAsGateIsHeardAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a stop that waits for the interval between two queries,
  // although none was sent.
  void SendsStopAsSoonAsGateIsHeardAgain() {
    Report(GateId(1), 16000);
    const CallId call = Submit("j1", 1, milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeStarts().size());
    Advance(milliseconds(200));
    OnGateDisconnected(&board_, now_, GateId(1));
    OnCallClosed(&board_, now_, call);
    CPPUNIT_ASSERT(TakeQueries().empty());
    now_ = now_ + milliseconds(20);
    Report(GateId(1), 14400);
    const std::vector<SendTo<AskRun>> asked = TakeQueries();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asked.size());
    CPPUNIT_ASSERT(asked[0].message.stop);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryDisconnectedStopTest);

}  // namespace
}  // namespace tarragon::coordinator
