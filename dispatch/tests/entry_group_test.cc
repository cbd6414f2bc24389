#include "entry_group.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragon::dispatch {
namespace {

constexpr core::Duration kSettleTime = std::chrono::seconds(10);
constexpr core::Duration kOutage = std::chrono::minutes(10);
constexpr core::Duration kShortWait = std::chrono::seconds(2);
constexpr core::Duration kStep = std::chrono::milliseconds(20);
/// After this time the second entry is listed and no list change is pending.
constexpr core::Duration kRegistration = std::chrono::seconds(5);

ReleaseNote MakeNote(const std::string& id, std::uint64_t base) {
  ReleaseNote note;
  note.id = core::NoteId(id);
  note.base = core::NoteVersion(base);
  note.added_domains[core::DomainId(id)] = Domain{core::RegionId("r"), true};
  return note;
}

std::size_t ListedEntries(const EntryBoard& board) {
  return board.entries.members.size();
}

/// Interaction of entries: registration, table outages and release notes.
class EntryGroupTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryGroupTest);
  CPPUNIT_TEST(AllEntriesRegister);
  CPPUNIT_TEST(OneEntryGrantsPermitsDuringOutage);
  CPPUNIT_TEST(TwoEntriesGrantPermitsDuringOutage);
  CPPUNIT_TEST(ThreeEntriesGrantPermitsDuringOutage);
  CPPUNIT_TEST(GrantsPermitsInOutageRightAfterFirstRegistration);
  CPPUNIT_TEST(GrantsPermitsInOutageAtAnyTimeOfSecondRegistration);
  CPPUNIT_TEST(OneOfTwoGrantsNoPermitsInOutage);
  CPPUNIT_TEST(TwoOfThreeGrantPermitsInOutage);
  CPPUNIT_TEST(ReplacementEntryGrantsNoPermitsUntilOutageEnds);
  CPPUNIT_TEST(NoteAcceptedRightBeforeOutageReachesAllEntries);
  CPPUNIT_TEST(IsolatedEntryStopsGrantingPermits);
  CPPUNIT_TEST(LostWriteReplyIsResolvedByRead);
  CPPUNIT_TEST(FailedWriteIsRetried);
  CPPUNIT_TEST(OneOfTwoConcurrentNotesIsAccepted);
  CPPUNIT_TEST(ResubmittedNoteIsAppliedOnce);
  CPPUNIT_TEST(ResubmittedNoteIsRecognizedByEntryThatLearnedItFromPeer);
  CPPUNIT_TEST(PermitContainsWorldWithoutNoteIds);
  CPPUNIT_TEST(NewEntryNeedsConfirmationOfRegisteredEntries);
  CPPUNIT_TEST(SilentEntryIsRemovedAfterTimeout);
  CPPUNIT_TEST(OperatorRemovesDeadEntryToRestoreQuorum);
  CPPUNIT_TEST(StoppingEntryIsDeregistered);
  CPPUNIT_TEST(OnlyEntryIsReplaced);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AllEntriesRegister() {
    EntryGroup group(3);
    group.Run(kSettleTime);
    for (std::size_t i = 0; i < group.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, ListedEntries(group.BoardOf(i)));
      CPPUNIT_ASSERT(group.BoardOf(i).entries.previous.empty());
      CPPUNIT_ASSERT(group.GrantsPermits(i));
    }
  }

  void OneEntryGrantsPermitsDuringOutage() { CheckPermitsDuringOutage(1); }
  void TwoEntriesGrantPermitsDuringOutage() { CheckPermitsDuringOutage(2); }
  void ThreeEntriesGrantPermitsDuringOutage() { CheckPermitsDuringOutage(3); }

  void GrantsPermitsInOutageRightAfterFirstRegistration() {
    EntryGroup group(1);
    group.slow_table = true;
    while (ListedEntries(group.BoardOf(0)) == 0) group.Run(kStep);
    // One more read of the table takes two steps.
    group.Run(2 * kStep);
    CPPUNIT_ASSERT(CanGrantPermitsWithoutTable(group.BoardOf(0), group.now()));
    group.table_out = true;
    group.Run(kOutage);
    CPPUNIT_ASSERT(group.GrantsPermits(0));
  }

  /// Also while the second entry is being registered.
  void GrantsPermitsInOutageAtAnyTimeOfSecondRegistration() {
    for (core::Duration lead{0}; lead < kRegistration; lead += kStep) {
      EntryGroup group(2);
      group.slow_table = true;
      while (!CanGrantPermitsWithoutTable(group.BoardOf(0), group.now()) &&
             !CanGrantPermitsWithoutTable(group.BoardOf(1), group.now())) {
        group.Run(kStep);
      }
      group.Run(lead);
      group.table_out = true;
      group.Run(kSettleTime);
      CPPUNIT_ASSERT(group.GrantsPermits(0) || group.GrantsPermits(1));
    }
  }

  void OneOfTwoGrantsNoPermitsInOutage() {
    EntryGroup group(2);
    group.Run(kSettleTime);
    group.table_out = true;
    group.At(0).alive = false;
    group.Run(kSettleTime);
    CPPUNIT_ASSERT(!group.GrantsPermits(1));
    CPPUNIT_ASSERT(NotReadyReason(group.BoardOf(1), group.now()).has_value());
  }

  void TwoOfThreeGrantPermitsInOutage() {
    EntryGroup group(3);
    group.Run(kSettleTime);
    group.table_out = true;
    group.At(0).alive = false;
    group.Run(kOutage);
    CPPUNIT_ASSERT(group.GrantsPermits(1));
    CPPUNIT_ASSERT(group.GrantsPermits(2));
  }

  void ReplacementEntryGrantsNoPermitsUntilOutageEnds() {
    EntryGroup group(2);
    group.Run(kSettleTime);
    group.table_out = true;
    group.At(0).alive = false;
    group.At(1).alive = false;
    const std::size_t fresh = group.Add();
    group.Run(kOutage);
    CPPUNIT_ASSERT(!group.GrantsPermits(fresh));
    CPPUNIT_ASSERT_EQUAL(
        std::string("Neither the table nor other entries confirm the release "
                    "note."),
        NotReadyReason(group.BoardOf(fresh), group.now()).value());
    group.table_out = false;
    group.Run(kShortWait);
    CPPUNIT_ASSERT(group.GrantsPermits(fresh));
  }

  void NoteAcceptedRightBeforeOutageReachesAllEntries() {
    EntryGroup group(3);
    group.Run(kSettleTime);
    // Two entries cannot reach the table when the note is written.
    group.At(1).table_unreachable = true;
    group.At(2).table_unreachable = true;
    group.SubmitNote(0, MakeNote("n1", 0));
    group.Run(kShortWait);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, group.At(0).note_answers.size());
    CPPUNIT_ASSERT(NoteState::kAccepted ==
                   group.At(0).note_answers.front().state);
    group.table_out = true;
    group.At(0).alive = false;
    group.Run(kShortWait);
    for (const std::size_t entry : {std::size_t{1}, std::size_t{2}}) {
      CPPUNIT_ASSERT(core::NoteVersion(1) ==
                     group.BoardOf(entry).world.version);
      CPPUNIT_ASSERT(group.GrantsPermits(entry));
    }
  }

  void IsolatedEntryStopsGrantingPermits() {
    EntryGroup group(3);
    group.Run(kSettleTime);
    group.At(2).isolated = true;
    group.At(2).table_unreachable = true;
    group.SubmitNote(0, MakeNote("n1", 0));
    group.Run(std::chrono::seconds(3));
    CPPUNIT_ASSERT(!group.GrantsPermits(2));
    CPPUNIT_ASSERT(group.GrantsPermits(0));
  }

  void LostWriteReplyIsResolvedByRead() {
    EntryGroup group(1);
    group.Run(kSettleTime);
    const std::uint64_t before = group.writes;
    group.At(0).lose_next_write = true;
    group.SubmitNote(0, MakeNote("n1", 0));
    group.Run(kShortWait);
    CPPUNIT_ASSERT(NoteState::kAccepted ==
                   group.At(0).note_answers.at(0).state);
    CPPUNIT_ASSERT_EQUAL(before + 1, group.writes);
    CPPUNIT_ASSERT(core::NoteVersion(1) == group.BoardOf(0).world.version);
  }

  void FailedWriteIsRetried() {
    EntryGroup group(1);
    group.Run(kSettleTime);
    group.table_out = true;
    group.SubmitNote(0, MakeNote("n1", 0));
    group.Run(kShortWait);
    CPPUNIT_ASSERT(group.At(0).note_answers.empty());
    group.table_out = false;
    group.Run(kShortWait);
    CPPUNIT_ASSERT(NoteState::kAccepted ==
                   group.At(0).note_answers.at(0).state);
    group.table_out = true;
    group.SubmitNote(0, MakeNote("n2", 1));
    group.Run(kSettleTime);
    CPPUNIT_ASSERT(NoteState::kUnavailable ==
                   group.At(0).note_answers.at(1).state);
  }

  void OneOfTwoConcurrentNotesIsAccepted() {
    EntryGroup group(2);
    group.Run(kSettleTime);
    group.SubmitNote(0, MakeNote("n1", 0));
    group.SubmitNote(1, MakeNote("n2", 0));
    group.Run(kShortWait);
    CPPUNIT_ASSERT(NoteState::kAccepted ==
                   group.At(0).note_answers.at(0).state);
    CPPUNIT_ASSERT(NoteState::kConflict ==
                   group.At(1).note_answers.at(0).state);
    const World& world = group.BoardOf(1).world;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.domains.size());
  }

  void ResubmittedNoteIsAppliedOnce() {
    EntryGroup group(2);
    group.Run(kSettleTime);
    group.SubmitNote(0, MakeNote("n1", 0));
    group.Run(kShortWait);
    group.SubmitNote(1, MakeNote("n1", 0));
    group.Run(kShortWait);
    CPPUNIT_ASSERT(NoteState::kAccepted ==
                   group.At(1).note_answers.at(0).state);
    CPPUNIT_ASSERT(core::NoteVersion(1) == group.BoardOf(0).world.version);
  }

  void ResubmittedNoteIsRecognizedByEntryThatLearnedItFromPeer() {
    EntryGroup group(2);
    group.Run(kSettleTime);
    group.At(1).table_unreachable = true;
    group.SubmitNote(0, MakeNote("n1", 0));
    group.Run(kShortWait);
    // Permits omit the note ids; the state sent to other entries keeps them.
    group.RequestPermit(0);
    const World& learned = group.BoardOf(1).world;
    CPPUNIT_ASSERT(group.BoardOf(0).world == learned);
    CPPUNIT_ASSERT(ContainsNote(learned, core::NoteId("n1")));
    group.At(1).table_unreachable = false;
    const std::uint64_t writes = group.writes;
    group.SubmitNote(1, MakeNote("n1", 0));
    group.Run(kShortWait);
    CPPUNIT_ASSERT(NoteState::kAccepted ==
                   group.At(1).note_answers.front().state);
    CPPUNIT_ASSERT_EQUAL(writes, group.writes);
  }

  void PermitContainsWorldWithoutNoteIds() {
    EntryGroup group(1);
    group.Run(kSettleTime);
    group.SubmitNote(0, MakeNote("n1", 0));
    group.Run(kShortWait);
    World wanted = group.BoardOf(0).world;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, wanted.recent_notes.size());
    wanted.recent_notes.clear();
    const Permit permit = group.RequestPermit(0);
    CPPUNIT_ASSERT(permit.has_world);
    CPPUNIT_ASSERT(wanted == permit.world);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         group.BoardOf(0).world.recent_notes.size());
  }

  void NewEntryNeedsConfirmationOfRegisteredEntries() {
    EntryGroup group(1);
    group.Run(kSettleTime);
    group.At(0).isolated = true;
    group.At(0).table_unreachable = true;
    const std::size_t fresh = group.Add();
    group.SubmitNote(fresh, MakeNote("n1", 0));
    group.Run(kSettleTime);
    // The other entry still grants permits for the world without the note.
    CPPUNIT_ASSERT(group.GrantsPermits(0));
    CPPUNIT_ASSERT(NoteState::kPending ==
                   group.At(fresh).note_answers.at(0).state);
    group.At(0).isolated = false;
    group.Run(kSettleTime);
    CPPUNIT_ASSERT(core::NoteVersion(1) == group.BoardOf(0).world.version);
    group.SubmitNote(fresh, MakeNote("n1", 0));
    group.Run(kShortWait);
    CPPUNIT_ASSERT(NoteState::kAccepted ==
                   group.At(fresh).note_answers.at(1).state);
  }

  void SilentEntryIsRemovedAfterTimeout() {
    EntryGroup group(3);
    group.Run(kSettleTime);
    group.At(0).alive = false;
    group.Run(group.BoardOf(1).policy.entry_timeout + kSettleTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ListedEntries(group.BoardOf(1)));
    CPPUNIT_ASSERT(group.BoardOf(1).entries.previous.empty());
  }

  void OperatorRemovesDeadEntryToRestoreQuorum() {
    EntryGroup group(3);
    group.Run(kSettleTime);
    group.At(0).alive = false;
    group.At(1).alive = false;
    group.Run(group.BoardOf(2).policy.entry_timeout + kSettleTime);
    CPPUNIT_ASSERT(!group.BoardOf(2).entries.previous.empty());
    const core::NodeId dead = group.BoardOf(0).self;
    CPPUNIT_ASSERT(OnOperatorRemoveEntry(&group.BoardOf(2), group.now(), dead));
    group.Run(kSettleTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ListedEntries(group.BoardOf(2)));
    CPPUNIT_ASSERT(group.BoardOf(2).entries.previous.empty());
    CPPUNIT_ASSERT(
        !OnOperatorRemoveEntry(&group.BoardOf(2), group.now(), dead));
  }

  void StoppingEntryIsDeregistered() {
    EntryGroup group(2);
    group.Run(kSettleTime);
    RequestStop(&group.BoardOf(0), group.now());
    CPPUNIT_ASSERT(!IsStopFinished(group.BoardOf(0), group.now()));
    group.Run(std::chrono::seconds(6));
    CPPUNIT_ASSERT(IsStopFinished(group.BoardOf(0), group.now()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ListedEntries(group.BoardOf(1)));
    group.At(0).alive = false;
    group.table_out = true;
    group.Run(kSettleTime);
    CPPUNIT_ASSERT(group.GrantsPermits(1));
  }

  void OnlyEntryIsReplaced() {
    EntryGroup group(1);
    group.Run(kSettleTime);
    RequestStop(&group.BoardOf(0), group.now());
    group.Run(std::chrono::seconds(6));
    CPPUNIT_ASSERT(IsStopFinished(group.BoardOf(0), group.now()));
    group.At(0).alive = false;
    const std::size_t fresh = group.Add();
    group.Run(kSettleTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ListedEntries(group.BoardOf(fresh)));
    group.SubmitNote(fresh, MakeNote("n1", 0));
    group.Run(kShortWait);
    CPPUNIT_ASSERT(NoteState::kAccepted ==
                   group.At(fresh).note_answers.at(0).state);
  }

 private:
  /// Checks that permits are granted during ten minutes without the table.
  static void CheckPermitsDuringOutage(int entries) {
    EntryGroup group(entries);
    group.Run(kSettleTime);
    group.SubmitNote(0, MakeNote("n1", 0));
    group.Run(kShortWait);
    group.table_out = true;
    for (core::Duration passed{0}; passed < kOutage; passed += kShortWait) {
      group.Run(kShortWait);
      for (std::size_t i = 0; i < group.size(); ++i) {
        const Permit permit = group.RequestPermit(i);
        CPPUNIT_ASSERT(permit.lifetime > std::chrono::seconds(1));
        CPPUNIT_ASSERT(core::NoteVersion(1) == permit.note_version);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryGroupTest);

}  // namespace
}  // namespace tarragon::dispatch
