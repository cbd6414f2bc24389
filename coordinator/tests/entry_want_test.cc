#include "entry_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// Which gates an entry tells of tasks that wait, under a load that takes all
/// room.
class EntryWantTest : public EntryFixture {
  CPPUNIT_TEST_SUITE(EntryWantTest);
  CPPUNIT_TEST(TellsGatesOfATaskThatWaits);
  CPPUNIT_TEST(TellsNobodyWhileThereIsRoom);
  CPPUNIT_TEST(TellsEachGateOnce);
  CPPUNIT_TEST(TellsOfAMoreUrgentTask);
  CPPUNIT_TEST(TellsAFewGatesOnly);
  CPPUNIT_TEST(TakesWhatIsOffered);
  CPPUNIT_TEST(GivesBackWhatItDoesNotNeed);
  CPPUNIT_TEST(TellsAnotherGateAfterALostConnection);
  CPPUNIT_TEST(RefusesAJobThatWouldHardlyBeInTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  std::vector<SendTo<RoomWanted>> Wants() { return Take<SendTo<RoomWanted>>(); }

  void Offer(const core::NodeId& gate, std::int64_t free) {
    TargetReport report = *board_.gates.at(gate.address).report;
    report.clock = now_;
    report.starts_seen = board_.last_start_sequence;
    report.free = {free, 64000, 0};
    report.offered = true;
    OnMessage(&board_, now_, gate, report);
  }

  void TellsGatesOfATaskThatWaits() {
    Report(Gate(1), 0);
    Submit("j1", 1);
    const std::vector<SendTo<RoomWanted>> wants = Wants();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, wants.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1600}, wants[0].message.room.millicores);
    CPPUNIT_ASSERT(!wants[0].message.late);
    // 100 ms may take 160 and 60 more.
    CPPUNIT_ASSERT(wants[0].message.slack == milliseconds(120));
  }

  void TellsNobodyWhileThereIsRoom() {
    Report(Gate(1), 16000);
    Submit("j1", 1);
    CPPUNIT_ASSERT(Wants().empty());
  }

  void TellsEachGateOnce() {
    Report(Gate(1), 0);
    Submit("j1", 1);
    Wants();
    Submit("j2", 1);
    Report(Gate(1), 0);
    CPPUNIT_ASSERT(Wants().empty());
  }

  void TellsOfAMoreUrgentTask() {
    Report(Gate(1), 0);
    Submit("j1", 1, milliseconds(400));
    Wants();
    Submit("j2", 1, milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Wants().size());
  }

  void TellsAFewGatesOnly() {
    for (int i = 1; i <= 20; ++i) Report(Gate(i), 0);
    Submit("j1", 1);
    CPPUNIT_ASSERT_EQUAL(board_.policy.wants_per_task, Wants().size());
    Submit("j2", 8);
    CPPUNIT_ASSERT_EQUAL(board_.policy.max_wants - board_.policy.wants_per_task,
                         Wants().size());
  }

  void TakesWhatIsOffered() {
    Report(Gate(1), 0);
    Submit("j1", 2);
    Wants();
    Offer(Gate(1), 1600);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts().size());
    const std::vector<SendTo<RoomWanted>> wants = Wants();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, wants.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1600}, wants[0].message.room.millicores);
  }

  void GivesBackWhatItDoesNotNeed() {
    Report(Gate(1), 0);
    Report(Gate(2), 0);
    Submit("j1", 1);
    Wants();
    Offer(Gate(1), 1600);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts().size());
    CPPUNIT_ASSERT(Wants().empty());
    Offer(Gate(2), 1600);
    const std::vector<SendTo<RoomWanted>> wants = Wants();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, wants.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, wants[0].message.room.millicores);
  }

  void TellsAnotherGateAfterALostConnection() {
    for (int i = 1; i <= 3; ++i) Report(Gate(i), 0);
    Submit("j1", 1);
    const std::vector<SendTo<RoomWanted>> wants = Wants();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, wants.size());
    OnGateDisconnected(&board_, now_, wants[0].to);
    Advance(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Wants().size());
  }

  void RefusesAJobThatWouldHardlyBeInTime() {
    Report(Gate(1), 16000);
    // The first job takes all room, the second waits.
    Submit("j1", 10, milliseconds(400));
    Submit("j2", 4, milliseconds(400));
    // By the estimate there is room after 160 ms, and 300 ms would be in time.
    CPPUNIT_ASSERT(AnswerTo(Submit("j3", 1, milliseconds(400))).has_value());
    board_.policy.wait_margin = 1;
    CPPUNIT_ASSERT(!AnswerTo(Submit("j4", 1, milliseconds(400))).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryWantTest);

}  // namespace
}  // namespace tarragon::coordinator
