#include <algorithm>

#include "agent_fixture.h"

namespace tarragon::dispatch {
namespace {

/// Tests the handover of a stopping home to its heir. `board_` is the home; the
/// heirs have their own boards.
class HandoverTest : public AgentFixture {
  CPPUNIT_TEST_SUITE(HandoverTest);
  CPPUNIT_TEST(HeirReturnsKeptAnswer);
  CPPUNIT_TEST(HeirAnswersNotRunOnlyForCoveredEpochs);
  CPPUNIT_TEST(HeirRefusesReusedKey);
  CPPUNIT_TEST(IncompleteSnapshotAnswersNothing);
  CPPUNIT_TEST(StopWaitsForConfirmationOfLastPart);
  CPPUNIT_TEST(ResendsPartAfterLostConfirmation);
  CPPUNIT_TEST(TwoHeirsGiveSameAnswers);
  CPPUNIT_TEST(AsksAnotherHeirWhenLeavingOneRefuses);
  CPPUNIT_TEST(StopEndsWithoutHeir);
  CPPUNIT_TEST(StoppingHeirHandsOverInheritedSnapshot);
  CPPUNIT_TEST(PrefersHeirInAnotherDomain);
  CPPUNIT_TEST(HandsOverNothingWhileJobRuns);
  CPPUNIT_TEST(InheritedAnswerExpires);
  CPPUNIT_TEST(FullHeirRefusesSnapshot);
  CPPUNIT_TEST(HomeAnswersLikeHeirAfterSnapshot);
  CPPUNIT_TEST(HeirAnnouncesInheritedHomesToNewEntry);
  CPPUNIT_TEST(HomeWaitsForFirstHeir);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    AgentFixture::setUp();
    GrantPermit(MakeWorld(1), {StatusOf(kOtherNode, 2)});
    board_.actions.clear();
    InitAgent(&heir_, now_, kOtherNode, kOtherDomain, {}, 2);
    InitAgent(&third_, now_, kThirdNode, kOtherDomain, {}, 3);
  }

  void HeirReturnsKeptAnswer() {
    CompleteJob("a");
    HandOver();
    SendFromEntry(&heir_, MakeSubmit(5, MakeKey("a")));
    CPPUNIT_ASSERT(Outcome::kComplete == LastAnswer(&heir_).outcome);
    CPPUNIT_ASSERT_EQUAL(std::string("done"), LastAnswer(&heir_).results.at(0));
    SendFromEntry(&heir_, Query{6, MakeKey("a")});
    CPPUNIT_ASSERT(Outcome::kComplete == LastAnswer(&heir_).outcome);
  }

  void HeirAnswersNotRunOnlyForCoveredEpochs() {
    Advance(8 * board_.policy.handle_epoch);
    GrantPermit(MakeWorld(1), {StatusOf(kOtherNode, 2)});
    HandOver();
    SendFromEntry(&heir_, MakeSubmit(5, MakeKey("never", 8)));
    CPPUNIT_ASSERT(Outcome::kNotRun == LastAnswer(&heir_).outcome);
    CPPUNIT_ASSERT(Reason::kLeaving == LastAnswer(&heir_).reason);
    SendFromEntry(&heir_, MakeSubmit(6, MakeKey("never", 2)));
    CPPUNIT_ASSERT(Outcome::kNotRun == LastAnswer(&heir_).outcome);
    SendFromEntry(&heir_, MakeSubmit(7, MakeKey("never", 1)));
    CPPUNIT_ASSERT(Outcome::kUnknown == LastAnswer(&heir_).outcome);
    CPPUNIT_ASSERT(heir_.jobs.empty());
  }

  void HeirRefusesReusedKey() {
    CompleteJob("a");
    HandOver();
    SendFromEntry(&heir_, MakeSubmit(5, MakeKey("a"), 1, "another body"));
    CPPUNIT_ASSERT(Outcome::kNotRun == LastAnswer(&heir_).outcome);
    CPPUNIT_ASSERT(Reason::kKeyReused == LastAnswer(&heir_).reason);
  }

  void IncompleteSnapshotAnswersNothing() {
    AddManyTombstones();
    Stop();
    const Handover first = TakeOnlyMessage<Handover>();
    CPPUNIT_ASSERT(!first.last);
    Deliver(&heir_, kAgentNode, first);
    for (const char* suffix : {"0", "2999", "never"}) {
      SendFromEntry(&heir_, Query{6, MakeKey(suffix)});
      CPPUNIT_ASSERT(Outcome::kUnknown == LastAnswer(&heir_).outcome);
    }
  }

  void StopWaitsForConfirmationOfLastPart() {
    AddManyTombstones();
    Stop();
    int parts = 0;
    for (std::vector<Handover> sent = TakeMessages<Handover>(); !sent.empty();
         sent = TakeMessages<Handover>()) {
      CPPUNIT_ASSERT(!IsStopFinished(board_, now_));
      ++parts;
      Deliver(&heir_, kAgentNode, sent.front());
      Receive(kOtherNode, LastAck(&heir_));
    }
    CPPUNIT_ASSERT_EQUAL(3, parts);
    CPPUNIT_ASSERT(IsStopFinished(board_, now_));
    const Inherited announced = TakeMessages<Inherited>().front();
    CPPUNIT_ASSERT(kOtherNode == announced.heir);
    CPPUNIT_ASSERT(kAgentNode == announced.homes.at(0));
    SendFromEntry(&heir_, Query{6, MakeKey("2999")});
    CPPUNIT_ASSERT(Outcome::kUnknown == LastAnswer(&heir_).outcome);
    CPPUNIT_ASSERT(Reason::kAnswerDropped == LastAnswer(&heir_).reason);
  }

  void ResendsPartAfterLostConfirmation() {
    Stop();
    Deliver(&heir_, kAgentNode, TakeOnlyMessage<Handover>());
    LastAck(&heir_);
    Advance(std::chrono::milliseconds(300));
    OnTick(&board_, now_);
    Deliver(&heir_, kAgentNode, TakeOnlyMessage<Handover>());
    Receive(kOtherNode, LastAck(&heir_));
    CPPUNIT_ASSERT(IsStopFinished(board_, now_));
  }

  void TwoHeirsGiveSameAnswers() {
    GrantPermit(MakeWorld(1),
                {StatusOf(kOtherNode, 2), StatusOf(kThirdNode, 2)});
    CompleteJob("a");
    Stop();
    const core::NodeId first = CurrentHeir(&board_);
    Deliver(BoardOf(first), kAgentNode, TakeOnlyMessage<Handover>());
    // The confirmations of the first heir are lost, so the home tries the other
    // one.
    for (int i = 0; i < 8; ++i) {
      Advance(std::chrono::milliseconds(300));
      OnTick(&board_, now_);
    }
    const core::NodeId second = CurrentHeir(&board_);
    CPPUNIT_ASSERT(first != second);
    Deliver(BoardOf(second), kAgentNode, TakeMessages<Handover>().back());
    for (const char* suffix : {"a", "never"}) {
      for (const core::NodeId& node : {first, second}) {
        SendFromEntry(BoardOf(node), MakeSubmit(5, MakeKey(suffix)));
      }
      CPPUNIT_ASSERT(LastAnswer(&heir_) == LastAnswer(&third_));
    }
  }

  void AsksAnotherHeirWhenLeavingOneRefuses() {
    GrantPermit(MakeWorld(1),
                {StatusOf(kOtherNode, 2), StatusOf(kThirdNode, 2)});
    Stop();
    const core::NodeId first = CurrentHeir(&board_);
    RequestStop(BoardOf(first), now_);
    Deliver(BoardOf(first), kAgentNode, TakeOnlyMessage<Handover>());
    Receive(first, LastAck(BoardOf(first)));
    const core::NodeId second = CurrentHeir(&board_);
    CPPUNIT_ASSERT(first != second);
    Deliver(BoardOf(second), kAgentNode, TakeOnlyMessage<Handover>());
    Receive(second, LastAck(BoardOf(second)));
    CPPUNIT_ASSERT(IsStopFinished(board_, now_));
  }

  void StopEndsWithoutHeir() {
    Stop();
    CPPUNIT_ASSERT(!IsStopFinished(board_, now_));
    OnPeerGone(&board_, now_, kOtherNode);
    CPPUNIT_ASSERT(!IsStopFinished(board_, now_));
    Advance(2 * board_.policy.heartbeat_interval);
    OnTick(&board_, now_);
    CPPUNIT_ASSERT(IsStopFinished(board_, now_));
  }

  void StoppingHeirHandsOverInheritedSnapshot() {
    CompleteJob("a");
    HandOver();
    EntryLink link;
    link.address = kEntryNode.address;
    link.last_reply_at = now_;
    link.members[kThirdNode] = StatusOf(kThirdNode, 2);
    heir_.entry_links = {link};
    RequestStop(&heir_, now_);
    for (const Handover& part : SentMessages<Handover>(&heir_)) {
      Deliver(&third_, kOtherNode, part);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, third_.inherited_snapshots.size());
    SendFromEntry(&third_, MakeSubmit(5, MakeKey("a")));
    CPPUNIT_ASSERT(Outcome::kComplete == LastAnswer(&third_).outcome);
  }

  void PrefersHeirInAnotherDomain() {
    AgentStatus near = StatusOf(kOtherNode, 2);
    near.domain = kDomain;
    GrantPermit(MakeWorld(1), {near, StatusOf(kThirdNode, 2)});
    Stop();
    CPPUNIT_ASSERT(kThirdNode == CurrentHeir(&board_));
  }

  void HandsOverNothingWhileJobRuns() {
    Receive(kEntryNode, MakeSubmit(1, MakeKey("a")));
    const TaskRef ref = TakeOnlyMessage<Assign>().ref;
    Stop();
    CPPUNIT_ASSERT(TakeMessages<Handover>().empty());
    Receive(kOtherNode, MakeFinished(ref, "done"));
    OnTick(&board_, now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         TakeOnlyMessage<Handover>().records.size());
  }

  void InheritedAnswerExpires() {
    CompleteJob("a");
    HandOver();
    const std::uint64_t before = heir_.bytes_held;
    CPPUNIT_ASSERT(before > 0);
    Advance(heir_.policy.answer_memory);
    OnTick(&heir_, now_);
    SendFromEntry(&heir_, MakeSubmit(5, MakeKey("a")));
    CPPUNIT_ASSERT(Reason::kAnswerDropped == LastAnswer(&heir_).reason);
    Advance(7 * heir_.policy.handle_epoch);
    OnTick(&heir_, now_);
    CPPUNIT_ASSERT(heir_.inherited_snapshots.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, heir_.bytes_held);
  }

  void FullHeirRefusesSnapshot() {
    heir_.policy.max_home_bytes = 200;
    CompleteJob("a");
    Stop();
    Deliver(&heir_, kAgentNode, TakeOnlyMessage<Handover>());
    Receive(kOtherNode, LastAck(&heir_));
    CPPUNIT_ASSERT(heir_.inherited_snapshots.empty());
    Advance(2 * board_.policy.heartbeat_interval);
    OnTick(&board_, now_);
    CPPUNIT_ASSERT(IsStopFinished(board_, now_));
  }

  void HomeAnswersLikeHeirAfterSnapshot() {
    CompleteJob("a");
    HandOver();
    for (const char* suffix : {"a", "never"}) {
      SendFromEntry(&board_, MakeSubmit(5, MakeKey(suffix)));
      SendFromEntry(&heir_, MakeSubmit(5, MakeKey(suffix)));
      CPPUNIT_ASSERT(LastAnswer(&board_) == LastAnswer(&heir_));
    }
    CPPUNIT_ASSERT(board_.active_jobs.empty());
  }

  void HomeWaitsForFirstHeir() {
    GrantPermit(MakeWorld(1));
    Stop();
    CPPUNIT_ASSERT(TakeMessages<Handover>().empty());
    CPPUNIT_ASSERT(!IsStopFinished(board_, now_));
    GrantPermit(MakeWorld(1), {StatusOf(kOtherNode, 2)});
    OnTick(&board_, now_);
    Deliver(&heir_, kAgentNode, TakeOnlyMessage<Handover>());
    Receive(kOtherNode, LastAck(&heir_));
    CPPUNIT_ASSERT(IsStopFinished(board_, now_));
  }

  void HeirAnnouncesInheritedHomesToNewEntry() {
    Handover only_part;
    only_part.home = kThirdNode;
    only_part.last = true;
    only_part.time_left = std::chrono::hours(1);
    Receive(kThirdNode, only_part);
    OnTick(&board_, now_);
    TakeMessages<Inherited>();
    Permit permit = MakePermit(SendHeartbeat(), MakeWorld(1));
    const core::NodeId added{core::Address("10.0.9.2:7100"),
                             core::Incarnation(10)};
    permit.entries.version = 2;
    permit.entries.members = {{added, kDomain}};
    OnMessage(&board_, now_, kEntryNode, permit);
    OnTick(&board_, now_);
    const bool announced =
        std::any_of(board_.actions.begin(), board_.actions.end(),
                    [&added](const AgentAction& action) {
                      const auto* send = std::get_if<SendMessage>(&action);
                      return send != nullptr && send->to == added &&
                             std::holds_alternative<Inherited>(send->message);
                    });
    CPPUNIT_ASSERT(announced);
  }

 private:
  template <typename Kind>
  static std::vector<Kind> SentMessages(AgentBoard* board) {
    std::vector<Kind> sent;
    for (const AgentAction& action : board->actions) {
      const auto* send = std::get_if<SendMessage>(&action);
      if (send == nullptr) continue;
      const auto* message = std::get_if<Kind>(&send->message);
      if (message != nullptr) sent.push_back(*message);
    }
    return sent;
  }

  void Deliver(AgentBoard* board, const core::NodeId& from, Message message) {
    OnMessage(board, now_, from, std::move(message));
  }

  void SendFromEntry(AgentBoard* board, Message message) {
    Deliver(board, kEntryNode, std::move(message));
  }

  static JobAnswer LastAnswer(AgentBoard* board) {
    const std::vector<Answer> answers = SentMessages<Answer>(board);
    CPPUNIT_ASSERT(!answers.empty());
    return answers.back().answer;
  }

  static HandoverAck LastAck(AgentBoard* heir) {
    const std::vector<HandoverAck> acks = SentMessages<HandoverAck>(heir);
    CPPUNIT_ASSERT(!acks.empty());
    return acks.back();
  }

  static core::NodeId CurrentHeir(AgentBoard* board) {
    const OutgoingHandover& outgoing =
        board->outgoing_handovers.at(board->self);
    CPPUNIT_ASSERT(outgoing.heir.has_value());
    return *outgoing.heir;
  }

  AgentBoard* BoardOf(const core::NodeId& node) {
    return node == kOtherNode ? &heir_ : &third_;
  }

  void CompleteJob(const std::string& suffix) {
    Receive(kEntryNode, MakeSubmit(1, MakeKey(suffix)));
    const core::NodeId executor =
        board_.jobs.at(MakeKey(suffix)).tasks.at(0).executor;
    Receive(executor, MakeFinished(TakeOnlyMessage<Assign>().ref, "done"));
    TakeMessages<Answer>();
  }

  /// Adds enough tombstones for a snapshot of three parts.
  void AddManyTombstones() {
    for (int i = 0; i < 3000; ++i) {
      board_.tombstones[MakeKey(std::to_string(i))] =
          Tombstone{0, Outcome::kComplete};
    }
  }

  void Stop() {
    RequestStop(&board_, now_);
    OnTick(&board_, now_);
  }

  void HandOver() {
    Stop();
    Deliver(&heir_, kAgentNode, TakeOnlyMessage<Handover>());
    Receive(kOtherNode, LastAck(&heir_));
    CPPUNIT_ASSERT(IsStopFinished(board_, now_));
  }

  AgentBoard heir_;
  AgentBoard third_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HandoverTest);

}  // namespace
}  // namespace tarragon::dispatch
