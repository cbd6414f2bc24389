#include "gate_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// A gate that seals a run for an entry that has just connected.
class GateSealingLeaseTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GateSealingLeaseTest);
  CPPUNIT_TEST(UnstartedRunDoesNotRefuseOtherEntrysStart);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against refusing starts because a run that never started is sealed.
  void UnstartedRunDoesNotRefuseOtherEntrysStart() {
    // No start of an earlier process can reach the target any more.
    Advance(milliseconds(1100));
    StartAndAccept(MakeRun(0));
    const core::NodeId later{core::Address("10.0.0.3:7000"),
                             core::Incarnation(4)};
    OnMessage(&board_, now_, later, AskRun{MakeRun(7), true, {}});
    TakeActions<OrderStart>();
    now_ = now_ + milliseconds(20);
    OnMessage(&board_, now_, kEntry, MakeNotice(now_));
    OnTick(&board_, now_);
    AnswerPoll({MakeRun(0)}, {});
    Start(MakeRun(1), 1600, kOtherEntry);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderStart>().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateSealingLeaseTest);

}  // namespace
}  // namespace tarragon::coordinator
