#include "ejection.h"

#include "agent_fixture.h"
#include "executor.h"

namespace tarragon::dispatch {
namespace {

/// Tests the ejection of targets that fail most tasks, its limit and its trial
/// tasks.
class EjectionTest : public AgentFixture {
  CPPUNIT_TEST_SUITE(EjectionTest);
  CPPUNIT_TEST(EjectsOnlyFailingTarget);
  CPPUNIT_TEST(EjectsNoTargetWhenAllFail);
  CPPUNIT_TEST(EjectsAtMostAQuarterOfTargets);
  CPPUNIT_TEST(EjectsNoTargetAmongThree);
  CPPUNIT_TEST(AllowsOneTrialAfterInterval);
  CPPUNIT_TEST(EndsEjectionAfterSuccesses);
  CPPUNIT_TEST(DoesNotCountStoppedTasks);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EjectsOnlyFailingTarget() { CPPUNIT_ASSERT(IsEjected({0, 0, 0})); }

  void EjectsNoTargetWhenAllFail() {
    CPPUNIT_ASSERT(!IsEjected({900, 900, 900}));
  }

  void EjectsAtMostAQuarterOfTargets() {
    // Two of eight targets may be ejected, and two others are worse.
    CPPUNIT_ASSERT(!IsEjected({1001, 1001, 0, 0, 0, 0, 0}));
    CPPUNIT_ASSERT(IsEjected({1001, 0, 0, 0, 0, 0, 0}));
  }

  void EjectsNoTargetAmongThree() { CPPUNIT_ASSERT(!IsEjected({0, 0})); }

  void AllowsOneTrialAfterInterval() {
    CPPUNIT_ASSERT(IsEjected({0, 0, 0}));
    CPPUNIT_ASSERT_EQUAL(0U, FreeSlots(board_, now_));
    Advance(board_.policy.trial_interval);
    GrantPermit(MakeWorld(1), MakeOthers({0, 0, 0}));
    CPPUNIT_ASSERT_EQUAL(1U, FreeSlots(board_, now_));
  }

  void EndsEjectionAfterSuccesses() {
    CPPUNIT_ASSERT(IsEjected({0, 0, 0}));
    for (int i = 0; i < 3; ++i) {
      RecordTaskEnd(&board_, true, std::chrono::milliseconds(10));
    }
    UpdateEjection(&board_, now_);
    CPPUNIT_ASSERT(!board_.health.ejected);
  }

  /// Guards against counting the ends of cancelled tasks as failures of the
  /// target.
  void DoesNotCountStoppedTasks() {
    AnnounceTarget(4);
    GrantPermit(MakeWorld(1), MakeOthers({0, 0, 0}));
    for (std::uint32_t i = 0; i < 10; ++i) {
      const Assign assign = MakeAssign("key" + std::to_string(i), 1);
      Receive(kOtherNode, assign);
      Receive(kOtherNode, Seal{assign.ref, true});
      OnTaskEnd(&board_, now_, assign.ref, TaskEnd::kFailed, "");
    }
    CPPUNIT_ASSERT_EQUAL(0U, FailurePermille(board_.health));
    CPPUNIT_ASSERT(!board_.health.ejected);
  }

 private:
  static std::vector<AgentStatus> MakeOthers(
      const std::vector<std::uint32_t>& failures) {
    std::vector<AgentStatus> others;
    for (std::size_t i = 0; i < failures.size(); ++i) {
      const core::NodeId node{
          core::Address("10.0.1." + std::to_string(i) + ":7100"),
          core::Incarnation(100 + i)};
      AgentStatus status = StatusOf(node, 4);
      status.failure_permille = failures[i];
      others.push_back(status);
    }
    return others;
  }

  /// True if the target is ejected when it fails every task and the others fail
  /// these shares, in thousandths.
  bool IsEjected(const std::vector<std::uint32_t>& failures) {
    board_ = AgentBoard{};
    InitBoard();
    AnnounceTarget(4);
    GrantPermit(MakeWorld(1), MakeOthers(failures));
    for (int i = 0; i < 10; ++i) {
      RecordTaskEnd(&board_, false, std::chrono::milliseconds(10));
    }
    UpdateEjection(&board_, now_);
    return board_.health.ejected;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EjectionTest);

}  // namespace
}  // namespace tarragon::dispatch
