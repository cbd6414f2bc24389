#include "condition_watch.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace tarragon::daemons {
namespace {

core::Time At(int seconds) { return core::Time{std::chrono::seconds(seconds)}; }

class ConditionWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConditionWatchTest);
  CPPUNIT_TEST(ReportsTableOutageOnce);
  CPPUNIT_TEST(ReportsWhenEntryCannotGrantPermits);
  CPPUNIT_TEST(ReportsPermitChanges);
  CPPUNIT_TEST(ReportsUnlistedDomain);
  CPPUNIT_TEST(FindsReasonWhyAgentIsNotReady);
  CPPUNIT_TEST(ReportsLostPeerOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReportsTableOutageOnce() {
    using dispatch::TableStatus;
    EntryConditionWatch watch;
    CPPUNIT_ASSERT(!watch.OnTableReply(TableStatus::kUnchanged).has_value());
    CPPUNIT_ASSERT(watch.OnTableReply(TableStatus::kUnavailable)->is_warning);
    CPPUNIT_ASSERT(!watch.OnTableReply(TableStatus::kUnknown).has_value());
    CPPUNIT_ASSERT(!watch.OnTableReply(TableStatus::kMissing)->is_warning);
    CPPUNIT_ASSERT(!watch.OnTableReply(TableStatus::kOk).has_value());
  }

  void ReportsWhenEntryCannotGrantPermits() {
    EntryConditionWatch watch;
    dispatch::EntryBoard board;
    CPPUNIT_ASSERT(watch.FindChanges(board, At(1)).empty());
    board.confirmed_at = At(1);
    CPPUNIT_ASSERT(!watch.FindChanges(board, At(1)).at(0).is_warning);
    CPPUNIT_ASSERT(watch.FindChanges(board, At(2)).empty());
    CPPUNIT_ASSERT(watch.FindChanges(board, At(60)).at(0).is_warning);
    CPPUNIT_ASSERT(watch.FindChanges(board, At(61)).empty());
  }

  void ReportsPermitChanges() {
    AgentConditionWatch watch;
    dispatch::AgentBoard board;
    CPPUNIT_ASSERT(watch.FindChanges(board, At(1)).empty());
    board.permit_until = At(5);
    CPPUNIT_ASSERT(!watch.FindChanges(board, At(2)).at(0).is_warning);
    CPPUNIT_ASSERT(watch.FindChanges(board, At(4)).empty());
    CPPUNIT_ASSERT(watch.FindChanges(board, At(5)).at(0).is_warning);
    CPPUNIT_ASSERT(watch.FindChanges(board, At(6)).empty());
  }

  void ReportsUnlistedDomain() {
    AgentConditionWatch watch;
    dispatch::AgentBoard board;
    board.domain = core::DomainId("szeged");
    CPPUNIT_ASSERT(watch.FindChanges(board, At(1)).empty());
    board.world.version = core::NoteVersion(1);
    CPPUNIT_ASSERT(watch.FindChanges(board, At(1)).at(0).is_warning);
    CPPUNIT_ASSERT(watch.FindChanges(board, At(2)).empty());
    board.world.domains[board.domain] = dispatch::Domain{};
    CPPUNIT_ASSERT(!watch.FindChanges(board, At(3)).at(0).is_warning);
  }

  void FindsReasonWhyAgentIsNotReady() {
    dispatch::AgentBoard board;
    board.domain = core::DomainId("szeged");
    CPPUNIT_ASSERT_EQUAL(std::string("The agent has no permit."),
                         *FindNotReadyReason(board, At(1)));
    board.permit_until = At(5);
    CPPUNIT_ASSERT_EQUAL(std::string("The agent has no target."),
                         *FindNotReadyReason(board, At(1)));
    board.target.present = true;
    CPPUNIT_ASSERT(!FindNotReadyReason(board, At(1)).has_value());
    board.world.version = core::NoteVersion(1);
    CPPUNIT_ASSERT_EQUAL(
        std::string("The failure domain szeged is not in the release note."),
        *FindNotReadyReason(board, At(1)));
    board.stopping = true;
    CPPUNIT_ASSERT_EQUAL(std::string("The agent is being stopped."),
                         *FindNotReadyReason(board, At(1)));
  }

  void ReportsLostPeerOnce() {
    LostPeerTracker peers;
    const core::NodeId seed{core::Address("127.0.0.1:1"), core::Incarnation(0)};
    const core::NodeId node{core::Address("127.0.0.1:1"), core::Incarnation(7)};
    const core::NodeId other{core::Address("127.0.0.1:2"),
                             core::Incarnation(7)};
    CPPUNIT_ASSERT(peers.MarkLost(seed));
    CPPUNIT_ASSERT(!peers.MarkLost(seed));
    CPPUNIT_ASSERT(peers.MarkLost(other));
    peers.MarkReached(node);
    CPPUNIT_ASSERT(peers.MarkLost(node));
    CPPUNIT_ASSERT(!peers.MarkLost(other));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConditionWatchTest);

}  // namespace
}  // namespace tarragon::daemons
