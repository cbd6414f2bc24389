#include "entry_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// At which gates an entry requests room while the load takes all room.
class EntryWantTest : public EntryFixture {
  CPPUNIT_TEST_SUITE(EntryWantTest);
  CPPUNIT_TEST(RequestsRoomForWaitingTask);
  CPPUNIT_TEST(RequestsNothingWhileRoomIsFree);
  CPPUNIT_TEST(RequestsRoomOncePerGate);
  CPPUNIT_TEST(RequestsAgainForMoreUrgentTask);
  CPPUNIT_TEST(LimitsNumberOfGates);
  CPPUNIT_TEST(StartsTaskInOfferedRoom);
  CPPUNIT_TEST(ReturnsUnneededOffer);
  CPPUNIT_TEST(RequestsElsewhereAfterLostConnection);
  CPPUNIT_TEST(RefusesJobThatIsLikelyLate);
  CPPUNIT_TEST_SUITE_END();

 public:
  std::vector<SendTo<RoomWanted>> TakeRequests() {
    return TakeActions<SendTo<RoomWanted>>();
  }

  void Offer(const core::NodeId& gate, std::int64_t free) {
    TargetReport report = *board_.gates.at(gate.address).report;
    report.clock = now_;
    report.starts_seen = board_.last_start_sequence;
    report.free = {free, 64000, 0};
    report.offered = true;
    OnMessage(&board_, now_, gate, report);
  }

  void RequestsRoomForWaitingTask() {
    Report(GateId(1), 0);
    Submit("j1", 1);
    const std::vector<SendTo<RoomWanted>> requests = TakeRequests();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1600},
                         requests[0].message.room.millicores);
    CPPUNIT_ASSERT(!requests[0].message.late);
    // A run of 100 ms may take 160 ms plus the latency target of 60 ms.
    CPPUNIT_ASSERT(requests[0].message.slack == milliseconds(120));
  }

  void RequestsNothingWhileRoomIsFree() {
    Report(GateId(1), 16000);
    Submit("j1", 1);
    CPPUNIT_ASSERT(TakeRequests().empty());
  }

  void RequestsRoomOncePerGate() {
    Report(GateId(1), 0);
    Submit("j1", 1);
    TakeRequests();
    Submit("j2", 1);
    Report(GateId(1), 0);
    CPPUNIT_ASSERT(TakeRequests().empty());
  }

  void RequestsAgainForMoreUrgentTask() {
    Report(GateId(1), 0);
    Submit("j1", 1, milliseconds(400));
    TakeRequests();
    Submit("j2", 1, milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeRequests().size());
  }

  void LimitsNumberOfGates() {
    for (int i = 1; i <= 20; ++i) Report(GateId(i), 0);
    Submit("j1", 1);
    CPPUNIT_ASSERT_EQUAL(board_.policy.wants_per_task, TakeRequests().size());
    Submit("j2", 8);
    CPPUNIT_ASSERT_EQUAL(board_.policy.max_wants - board_.policy.wants_per_task,
                         TakeRequests().size());
  }

  void StartsTaskInOfferedRoom() {
    Report(GateId(1), 0);
    Submit("j1", 2);
    TakeRequests();
    Offer(GateId(1), 1600);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeStarts().size());
    const std::vector<SendTo<RoomWanted>> requests = TakeRequests();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1600},
                         requests[0].message.room.millicores);
  }

  void ReturnsUnneededOffer() {
    Report(GateId(1), 0);
    Report(GateId(2), 0);
    Submit("j1", 1);
    TakeRequests();
    Offer(GateId(1), 1600);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeStarts().size());
    CPPUNIT_ASSERT(TakeRequests().empty());
    Offer(GateId(2), 1600);
    const std::vector<SendTo<RoomWanted>> requests = TakeRequests();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, requests[0].message.room.millicores);
  }

  void RequestsElsewhereAfterLostConnection() {
    for (int i = 1; i <= 3; ++i) Report(GateId(i), 0);
    Submit("j1", 1);
    const std::vector<SendTo<RoomWanted>> requests = TakeRequests();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, requests.size());
    OnGateDisconnected(&board_, now_, requests[0].to);
    Advance(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeRequests().size());
  }

  void RefusesJobThatIsLikelyLate() {
    Report(GateId(1), 16000);
    // The first job takes all room, the second waits.
    Submit("j1", 10, milliseconds(400));
    Submit("j2", 4, milliseconds(400));
    // Room is predicted after 160 ms, and a start after 300 ms would be in
    // time.
    CPPUNIT_ASSERT(
        TakeAnswerTo(Submit("j3", 1, milliseconds(400))).has_value());
    board_.policy.wait_margin = 1;
    CPPUNIT_ASSERT(
        !TakeAnswerTo(Submit("j4", 1, milliseconds(400))).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryWantTest);

}  // namespace
}  // namespace tarragon::coordinator
