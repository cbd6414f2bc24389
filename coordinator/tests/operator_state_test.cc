#include "tarragon/coordinator/operator_state.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace tarragon::coordinator {
namespace {

/// When two copies of the operator state have the same digest.
class OperatorStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorStateTest);
  CPPUNIT_TEST(ExcludesRevisionFromDigest);
  CPPUNIT_TEST(DetectsEveryOtherDifference);
  CPPUNIT_TEST_SUITE_END();

 public:
  static OperatorState State() {
    OperatorState state;
    state.revision = 3;
    state.version = 2;
    Queue queue;
    queue.name = QueueId("checks");
    queue.host = "q.example";
    queue.path_prefix = "/checks/";
    queue.service = core::ServiceId("carve");
    state.queues = {queue};
    state.drained = {core::DomainId("szeged")};
    return state;
  }

  void ExcludesRevisionFromDigest() {
    OperatorState later = State();
    later.revision = 9;
    CPPUNIT_ASSERT_EQUAL(ContentDigest(State()), ContentDigest(later));
  }

  void DetectsEveryOtherDifference() {
    std::vector<OperatorState> states(14, State());
    states[1].version = 3;
    states[2].queues[0].name = QueueId("check");
    states[3].queues[0].host = "r.example";
    states[4].queues[0].path_prefix = "/check/";
    states[5].queues[0].service = core::ServiceId("mill");
    states[6].queues[0].priority = 1;
    states[7].queues[0].max_attempts = 2;
    states[8].queues[0].stretch_permille = 1600;
    states[9].queues[0].latency_target = std::chrono::milliseconds(1);
    states[10].queues[0].timeout = std::chrono::milliseconds(1);
    states[11].queues[0].needs_advice = true;
    states[12].drained = {core::DomainId("bekes")};
    states[13].queues.push_back(states[13].queues[0]);
    std::set<std::uint64_t> digests;
    for (const OperatorState& state : states) {
      digests.insert(ContentDigest(state));
    }
    CPPUNIT_ASSERT_EQUAL(states.size(), digests.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorStateTest);

}  // namespace
}  // namespace tarragon::coordinator
