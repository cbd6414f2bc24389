#include "condition_watch.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace tarragon::daemons {
namespace {

core::Time At(int seconds) { return core::Time{std::chrono::seconds(seconds)}; }

class ConditionWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConditionWatchTest);
  CPPUNIT_TEST(TellsOfTheTableOnce);
  CPPUNIT_TEST(TellsWhenAnEntryCannotVouch);
  CPPUNIT_TEST(TellsOfPermits);
  CPPUNIT_TEST(TellsOfAnUnlistedDomain);
  CPPUNIT_TEST(SaysWhyAnAgentIsNotReady);
  CPPUNIT_TEST(TellsOfALostPeerOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TellsOfTheTableOnce() {
    using dispatch::TableStatus;
    EntryWatch watch;
    CPPUNIT_ASSERT(!watch.TableReplied(TableStatus::kUnchanged).has_value());
    CPPUNIT_ASSERT(watch.TableReplied(TableStatus::kUnavailable)->warn);
    CPPUNIT_ASSERT(!watch.TableReplied(TableStatus::kUnknown).has_value());
    CPPUNIT_ASSERT(!watch.TableReplied(TableStatus::kMissing)->warn);
    CPPUNIT_ASSERT(!watch.TableReplied(TableStatus::kOk).has_value());
  }

  void TellsWhenAnEntryCannotVouch() {
    EntryWatch watch;
    dispatch::EntryBoard board;
    CPPUNIT_ASSERT(watch.Look(board, At(1)).empty());
    board.confirmed_at = At(1);
    CPPUNIT_ASSERT(!watch.Look(board, At(1)).at(0).warn);
    CPPUNIT_ASSERT(watch.Look(board, At(2)).empty());
    CPPUNIT_ASSERT(watch.Look(board, At(60)).at(0).warn);
    CPPUNIT_ASSERT(watch.Look(board, At(61)).empty());
  }

  void TellsOfPermits() {
    AgentWatch watch;
    dispatch::AgentBoard board;
    CPPUNIT_ASSERT(watch.Look(board, At(1)).empty());
    board.permit_until = At(5);
    CPPUNIT_ASSERT(!watch.Look(board, At(2)).at(0).warn);
    CPPUNIT_ASSERT(watch.Look(board, At(4)).empty());
    CPPUNIT_ASSERT(watch.Look(board, At(5)).at(0).warn);
    CPPUNIT_ASSERT(watch.Look(board, At(6)).empty());
  }

  void TellsOfAnUnlistedDomain() {
    AgentWatch watch;
    dispatch::AgentBoard board;
    board.domain = core::DomainId("szeged");
    CPPUNIT_ASSERT(watch.Look(board, At(1)).empty());
    board.world.version = core::NoteVersion(1);
    CPPUNIT_ASSERT(watch.Look(board, At(1)).at(0).warn);
    CPPUNIT_ASSERT(watch.Look(board, At(2)).empty());
    board.world.domains[board.domain] = dispatch::Domain{};
    CPPUNIT_ASSERT(!watch.Look(board, At(3)).at(0).warn);
  }

  void SaysWhyAnAgentIsNotReady() {
    dispatch::AgentBoard board;
    board.domain = core::DomainId("szeged");
    CPPUNIT_ASSERT_EQUAL(std::string("No permit."), *NotReady(board, At(1)));
    board.permit_until = At(5);
    CPPUNIT_ASSERT_EQUAL(std::string("No target."), *NotReady(board, At(1)));
    board.target.present = true;
    CPPUNIT_ASSERT(!NotReady(board, At(1)).has_value());
    board.world.version = core::NoteVersion(1);
    CPPUNIT_ASSERT_EQUAL(
        std::string("The failure domain szeged is in no release note."),
        *NotReady(board, At(1)));
    board.stopping = true;
    CPPUNIT_ASSERT_EQUAL(std::string("The agent is being stopped."),
                         *NotReady(board, At(1)));
  }

  void TellsOfALostPeerOnce() {
    LostPeers peers;
    const core::NodeId seed{core::Address("127.0.0.1:1"), core::Incarnation(0)};
    const core::NodeId node{core::Address("127.0.0.1:1"), core::Incarnation(7)};
    const core::NodeId other{core::Address("127.0.0.1:2"),
                             core::Incarnation(7)};
    CPPUNIT_ASSERT(peers.Lost(seed));
    CPPUNIT_ASSERT(!peers.Lost(seed));
    CPPUNIT_ASSERT(peers.Lost(other));
    peers.Reached(node);
    CPPUNIT_ASSERT(peers.Lost(node));
    CPPUNIT_ASSERT(!peers.Lost(other));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConditionWatchTest);

}  // namespace
}  // namespace tarragon::daemons
