#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "executor.h"
#include "queue.h"
#include "tarragon/dispatch/agent.h"

namespace tarragon::dispatch {
namespace {

constexpr std::uint32_t kSlots = 2;

const core::NodeId kSelf{core::Address("10.0.0.1:1"), core::Incarnation(1)};
const core::NodeId kHome{core::Address("10.0.0.2:1"), core::Incarnation(2)};
const core::ServiceId kService("carve");

/// Tests which slots are reported free, reserved and used.
class SlotsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotsTest);
  CPPUNIT_TEST(CountsForeignTasksAfterTwoAnnouncements);
  CPPUNIT_TEST(ReportsReservedSlotsToTheirHome);
  CPPUNIT_TEST(AssignmentUsesSlotReservedForItsHome);
  CPPUNIT_TEST(SendsNoPullToHomeWithRecentReport);
  CPPUNIT_TEST(CountsHomesByNumberOfAgents);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    now_ = core::Time{std::chrono::seconds(100)};
    board_ = AgentBoard{};
    InitAgent(&board_, now_, kSelf, core::DomainId("d1"), {}, 1);
    board_.world.services[kService] = Service{};
    board_.world.domains[core::DomainId("d1")] = Domain{};
    board_.permit_until = now_ + std::chrono::hours(1);
    OnTargetAnnounce(&board_, now_, Announcement(0));
  }

  void CountsForeignTasksAfterTwoAnnouncements() {
    OnTargetAnnounce(&board_, now_, Announcement(1));
    CPPUNIT_ASSERT_EQUAL(kSlots, FreeSlots(board_, now_));
    OnTargetAnnounce(&board_, now_, Announcement(1));
    CPPUNIT_ASSERT_EQUAL(kSlots - 1, FreeSlots(board_, now_));
  }

  void ReportsReservedSlotsToTheirHome() {
    OnMessage(&board_, now_, kHome, Want{kService, 1, core::Duration(0)});
    CPPUNIT_ASSERT_EQUAL(kSlots - 1, FreeSlots(board_, now_));
    CPPUNIT_ASSERT_EQUAL(kSlots,
                         MakeLoadReport(&board_, now_, kHome).free_slots);
  }

  void AssignmentUsesSlotReservedForItsHome() {
    OnMessage(&board_, now_, kHome, MakeAssign(1));
    OnMessage(&board_, now_, kHome, Want{kService, 1, core::Duration(0)});
    CPPUNIT_ASSERT_EQUAL(0U, FreeSlots(board_, now_));
    OnMessage(&board_, now_, kHome, MakeAssign(2));
    CPPUNIT_ASSERT_EQUAL(kSlots, board_.running_tasks);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, board_.counters.refused_assigns);
  }

  void SendsNoPullToHomeWithRecentReport() {
    MakeLoadReport(&board_, now_, kHome);
    OnMessage(&board_, now_, kHome, Want{kService, 1, core::Duration(0)});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, board_.counters.pulls);
    // The grace period has passed and the home has not used them.
    now_ = now_ + std::chrono::milliseconds(20);
    OnTick(&board_, now_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, board_.counters.pulls);
  }

  void CountsHomesByNumberOfAgents() {
    constexpr std::uint32_t kAgents = 64;
    for (std::uint64_t i = 10; i < 10 + kAgents; ++i) {
      const core::NodeId node{
          core::Address("10.0.1." + std::to_string(i) + ":1"),
          core::Incarnation(i)};
      board_.peers[node].status.node = node;
    }
    board_.policy.agents_per_home = 32;
    CPPUNIT_ASSERT_EQUAL(2U, CountHomes(board_));
    board_.peers.clear();
    CPPUNIT_ASSERT_EQUAL(1U, CountHomes(board_));
  }

 private:
  static Target Announcement(std::uint32_t foreign) {
    Target target;
    target.services = {kService};
    target.slots = kSlots;
    target.foreign_running = foreign;
    return target;
  }

  static Assign MakeAssign(std::uint32_t attempt) {
    Assign assign;
    assign.ref = TaskRef{core::JobKey("key"), core::TaskIndex(attempt),
                         core::Attempt(attempt)};
    assign.service = kService;
    assign.time_left = std::chrono::seconds(10);
    return assign;
  }

  core::Time now_;
  AgentBoard board_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotsTest);

}  // namespace
}  // namespace tarragon::dispatch
