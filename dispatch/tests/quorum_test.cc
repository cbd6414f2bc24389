#include "quorum.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace tarragon::dispatch {
namespace {

core::NodeId Node(std::uint64_t number) {
  return core::NodeId{
      core::Address("10.0.9." + std::to_string(number) + ":7100"),
      core::Incarnation(number)};
}

std::vector<EntryMember> Members(const std::vector<std::uint64_t>& numbers) {
  std::vector<EntryMember> members;
  members.reserve(numbers.size());
  for (const std::uint64_t number : numbers) {
    members.push_back(EntryMember{Node(number), core::DomainId("d")});
  }
  return members;
}

/// Quorums of the registered entries.
class QuorumTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuorumTest);
  CPPUNIT_TEST(ReadAndWriteQuorumsIntersect);
  CPPUNIT_TEST(SingleEntryIsReadQuorum);
  CPPUNIT_TEST(TwoEntriesNeedBothForReadQuorum);
  CPPUNIT_TEST(ConfirmedAtIsTimeOfMajority);
  CPPUNIT_TEST(ListChangeNeedsQuorumsInBothLists);
  CPPUNIT_TEST(UnregisteredEntryHasNoReadQuorum);
  CPPUNIT_TEST(ReadQuorumNeedsTableReadAfterRegistration);
  CPPUNIT_TEST(DeadEntryCountsForWriteQuorumOnly);
  CPPUNIT_TEST(PreviousProcessAtOwnAddressCountsForWrites);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    now_ = core::Time{std::chrono::seconds(100)};
    board_ = EntryBoard{};
    board_.self = Node(1);
    board_.registered_since = core::Time{std::chrono::seconds(1)};
    board_.world_read_at = core::Time{std::chrono::seconds(2)};
  }

  void ReadAndWriteQuorumsIntersect() {
    for (std::size_t size = 1; size <= 60; ++size) {
      CPPUNIT_ASSERT(ReadQuorum(size) + WriteQuorum(size) > size);
      CPPUNIT_ASSERT(ReadQuorum(size) <= size);
      CPPUNIT_ASSERT(WriteQuorum(size) >= 1);
      CPPUNIT_ASSERT(2 * ReadQuorum(size) > size);
    }
  }

  void SingleEntryIsReadQuorum() {
    board_.entries.members = Members({1});
    CPPUNIT_ASSERT(now_ == QuorumConfirmedAt(board_, now_));
  }

  void TwoEntriesNeedBothForReadQuorum() {
    board_.entries.members = Members({1, 2});
    CPPUNIT_ASSERT(!QuorumConfirmedAt(board_, now_).has_value());
    board_.peers[Node(2)].confirmed_at = core::Time{std::chrono::seconds(99)};
    CPPUNIT_ASSERT(core::Time{std::chrono::seconds(99)} ==
                   QuorumConfirmedAt(board_, now_));
  }

  void ConfirmedAtIsTimeOfMajority() {
    board_.entries.members = Members({1, 2, 3, 4, 5});
    for (std::uint64_t number = 2; number <= 4; ++number) {
      board_.peers[Node(number)].confirmed_at =
          core::Time{std::chrono::seconds(90 + number)};
    }
    CPPUNIT_ASSERT(core::Time{std::chrono::seconds(93)} ==
                   QuorumConfirmedAt(board_, now_));
  }

  void ListChangeNeedsQuorumsInBothLists() {
    board_.entries.members = Members({1});
    board_.entries.previous = Members({1, 2, 3});
    CPPUNIT_ASSERT(!QuorumConfirmedAt(board_, now_).has_value());
    CPPUNIT_ASSERT(!IsNoteConfirmed(board_, core::NoteVersion(4)));
    EntryPeer& peer = board_.peers[Node(2)];
    peer.confirmed_at = now_;
    peer.note_version = core::NoteVersion(4);
    CPPUNIT_ASSERT(QuorumConfirmedAt(board_, now_).has_value());
    CPPUNIT_ASSERT(IsNoteConfirmed(board_, core::NoteVersion(4)));
    CPPUNIT_ASSERT(!IsNoteConfirmed(board_, core::NoteVersion(5)));
  }

  void UnregisteredEntryHasNoReadQuorum() {
    board_.entries.members = Members({2});
    board_.peers[Node(2)].confirmed_at = now_;
    CPPUNIT_ASSERT(!QuorumConfirmedAt(board_, now_).has_value());
  }

  void ReadQuorumNeedsTableReadAfterRegistration() {
    board_.entries.members = Members({1});
    board_.registered_since = core::Time{std::chrono::seconds(3)};
    CPPUNIT_ASSERT(!QuorumConfirmedAt(board_, now_).has_value());
    board_.world_read_at = board_.registered_since;
    CPPUNIT_ASSERT(QuorumConfirmedAt(board_, now_).has_value());
  }

  void DeadEntryCountsForWriteQuorumOnly() {
    board_.entries.members = Members({1, 2, 3});
    board_.peers[Node(2)].proved_dead = true;
    CPPUNIT_ASSERT(IsNoteConfirmed(board_, core::NoteVersion(4)));
    CPPUNIT_ASSERT(!QuorumConfirmedAt(board_, now_).has_value());
  }

  void PreviousProcessAtOwnAddressCountsForWrites() {
    board_.entries.members = Members({1});
    board_.entries.previous = {
        EntryMember{core::NodeId{Node(1).address, core::Incarnation(99)},
                    core::DomainId("d")}};
    board_.entries.version = 7;
    CPPUNIT_ASSERT(IsEntryListConfirmed(board_));
    CPPUNIT_ASSERT(!QuorumConfirmedAt(board_, now_).has_value());
  }

 private:
  core::Time now_;
  EntryBoard board_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuorumTest);

}  // namespace
}  // namespace tarragon::dispatch
