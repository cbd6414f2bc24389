#include "gate_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// A target that is started again under its id and answers a poll before it
/// announces itself.
class GateRebornTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GateRebornTest);
  CPPUNIT_TEST(DrainingOfNewIncarnationIsObeyed);
  CPPUNIT_TEST(NewIncarnationIsUsedAfterItsFirstAnnouncement);
  CPPUNIT_TEST(NewIncarnationMayHaveOtherServiceAndCapacity);
  CPPUNIT_TEST(DrainingOfEarlierIncarnationEndsWithIt);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against starts at a target whose draining was acknowledged (DRAIN,
  // review/5): the announcements of a new incarnation counted as outdated until
  // it had sent more of them than the earlier one.
  void DrainingOfNewIncarnationIsObeyed() {
    FindNewIncarnationByPoll();
    Announce(2, 1);
    AssertAcceptsStart(MakeRun(1));
    Announce(2, 2, true);
    Start(MakeRun(2));
    AssertRefused(MakeRun(2), RefusalReason::kNoTarget);
  }

  // Guards against starts by the capacity and labels of the earlier
  // incarnation, and against a sound target that stays unused.
  void NewIncarnationIsUsedAfterItsFirstAnnouncement() {
    FindNewIncarnationByPoll();
    Start(MakeRun(1));
    AssertRefused(MakeRun(1), RefusalReason::kNoTarget);
    Announce(2, 1);
    AssertAcceptsStart(MakeRun(2));
    Advance(milliseconds(4000));
    Announce(2, 2);
    Advance(milliseconds(2000));
    AssertAcceptsStart(MakeRun(3));
  }

  void NewIncarnationMayHaveOtherServiceAndCapacity() {
    Announcement other = board_.target->announcement;
    FindNewIncarnationByPoll();
    other.born = TargetIncarnation(2);
    other.sequence = 1;
    other.service = core::ServiceId("mill");
    other.capacity.millicores = 1600;
    OnAnnouncement(&board_, now_, other);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1600},
                         ComputeFreeRoom(board_).millicores);
    Start(MakeRun(1));
    AssertRefused(MakeRun(1), RefusalReason::kWrongTarget);
  }

  void DrainingOfEarlierIncarnationEndsWithIt() {
    StartAndAccept(MakeRun(0));
    Announce(1, 21, true);
    AnswerAsNewIncarnation();
    Announce(2, 1);
    AssertAcceptsStart(MakeRun(1));
  }

 private:
  void FindNewIncarnationByPoll() {
    Announce(1, 20);
    StartAndAccept(MakeRun(0));
    AnswerAsNewIncarnation();
    AssertEnded(MakeRun(0), RunEnd::kLapsed);
    board_.actions.clear();
  }

  void AnswerAsNewIncarnation() {
    LosePolls();
    Advance(milliseconds(80));
    AnswerPoll({}, {}, 2);
  }

  void AssertAcceptsStart(const RunRef& run) {
    TakeActions<OrderStart>();
    Start(run);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderStart>().size());
    OnStartAnswer(&board_, now_, run, OrderAnswer::kAccepted, std::nullopt);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateRebornTest);

}  // namespace
}  // namespace tarragon::coordinator
