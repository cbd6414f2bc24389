#include "entry_fixture.h"
#include "tarragon/coordinator/gate.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// An entry that is paused twice, each time for less than the limit of a stall.
class EntryTwoPausesTest : public EntryFixture {
  CPPUNIT_TEST_SUITE(EntryTwoPausesTest);
  CPPUNIT_TEST(RunOfClientThatLeftBeforeBothPausesIsOverInTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a long lease for a client that left in the first pause: the
  // tick after it may end a pass that polled the sockets before it.
  void RunOfClientThatLeftBeforeBothPausesIsOverInTime() {
    Report(GateId(1), 0);
    Advance(milliseconds(40));
    Submit("job", 1, milliseconds(900));
    const core::Time left_at = now_;
    now_ = now_ + milliseconds(290);
    OnTick(&board_, now_);
    now_ = now_ + milliseconds(290);
    Report(GateId(1), 16000);
    GateBoard gate = MakeGate();
    for (const SendTo<StartRun>& start : TakeStarts()) {
      OnMessage(&gate, now_, kEntryId, start.message);
    }
    for (const GateAction& action : gate.actions) {
      const OrderStart* order = std::get_if<OrderStart>(&action);
      if (order == nullptr) continue;
      const std::int64_t end =
          order->start_deadline.value() - core::Millis(left_at.since_start);
      CPPUNIT_ASSERT_MESSAGE("The run may go on until " + std::to_string(end) +
                                 " ms after its client has left.",
                             end * 102 / 100 < 1300);
    }
  }

 private:
  inline static const core::NodeId kEntryId{core::Address("10.0.0.1:7000"),
                                            core::Incarnation(1)};

  GateBoard MakeGate() const {
    GateBoard gate;
    gate.domain = core::DomainId("szeged");
    gate.operator_state = board_.operator_state;
    gate.domains_digest = board_.domains_digest;
    Announcement announcement;
    announcement.target = TargetId("t-1");
    announcement.born = TargetIncarnation(1);
    announcement.sequence = 1;
    announcement.address = core::Address("10.0.0.9:80");
    announcement.service = core::ServiceId("carve");
    announcement.domain = gate.domain;
    announcement.capacity = {16000, 64000, 0};
    announcement.clock = TargetClock(core::Millis(now_.since_start));
    OnAnnouncement(&gate, now_, announcement);
    PollReply poll;
    poll.born = announcement.born;
    poll.clock = announcement.clock;
    OnPollAnswer(&gate, now_, gate.last_poll, poll);
    return gate;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryTwoPausesTest);

}  // namespace
}  // namespace tarragon::coordinator
