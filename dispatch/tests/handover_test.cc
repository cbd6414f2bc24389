#include <algorithm>

#include "agent_fixture.h"

namespace tarragon::dispatch {
namespace {

/// A stopping home hands its memory to an heir. `board_` is the home first; the
/// heirs are boards of their own.
class HandoverTest : public AgentFixture {
  CPPUNIT_TEST_SUITE(HandoverTest);
  CPPUNIT_TEST(TheHeirGivesTheKeptAnswer);
  CPPUNIT_TEST(TheHeirSaysNotRunOnlyForWhatTheHomeWouldKnow);
  CPPUNIT_TEST(TheHeirKeepsRefusingAReusedKey);
  CPPUNIT_TEST(AHalfReceivedMemoryAnswersNothing);
  CPPUNIT_TEST(TheStopWaitsForTheLastConfirmation);
  CPPUNIT_TEST(ALostConfirmationIsAskedForAgain);
  CPPUNIT_TEST(TwoHeirsAnswerAlike);
  CPPUNIT_TEST(ALeavingHeirRefusesAndAnotherIsAsked);
  CPPUNIT_TEST(WithoutAnHeirTheStopEnds);
  CPPUNIT_TEST(AHeirThatStopsHandsOnWhatItInherited);
  CPPUNIT_TEST(AnHeirInAnotherDomainIsPreferred);
  CPPUNIT_TEST(NothingIsHandedOverWhileAJobRuns);
  CPPUNIT_TEST(AnInheritedAnswerIsDroppedInTime);
  CPPUNIT_TEST(AFullHeirRefuses);
  CPPUNIT_TEST(AFrozenHomeAnswersAsItsHeir);
  CPPUNIT_TEST(TheHeirTellsAnEntryThatIsNew);
  CPPUNIT_TEST(AHomeThatKnowsNoHeirYetWaitsForOne);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    AgentFixture::setUp();
    Admit(MakeWorld(1), {StatusOf(kOtherNode, 2)});
    board_.actions.clear();
    InitAgent(&heir_, now_, kOtherNode, kOtherDomain, {}, 2);
    InitAgent(&third_, now_, kThirdNode, kOtherDomain, {}, 3);
  }

  void TheHeirGivesTheKeptAnswer() {
    Complete("a");
    HandOver();
    Ask(&heir_, MakeSubmit(5, MakeKey("a")));
    CPPUNIT_ASSERT(Outcome::kComplete == Last(&heir_).outcome);
    CPPUNIT_ASSERT_EQUAL(std::string("done"), Last(&heir_).results.at(0));
    Ask(&heir_, Query{6, MakeKey("a")});
    CPPUNIT_ASSERT(Outcome::kComplete == Last(&heir_).outcome);
  }

  void TheHeirSaysNotRunOnlyForWhatTheHomeWouldKnow() {
    Advance(8 * board_.policy.handle_epoch);
    Admit(MakeWorld(1), {StatusOf(kOtherNode, 2)});
    HandOver();
    Ask(&heir_, MakeSubmit(5, MakeKey("never", 8)));
    CPPUNIT_ASSERT(Outcome::kNotRun == Last(&heir_).outcome);
    CPPUNIT_ASSERT(Reason::kLeaving == Last(&heir_).reason);
    Ask(&heir_, MakeSubmit(6, MakeKey("never", 2)));
    CPPUNIT_ASSERT(Outcome::kNotRun == Last(&heir_).outcome);
    Ask(&heir_, MakeSubmit(7, MakeKey("never", 1)));
    CPPUNIT_ASSERT(Outcome::kUnknown == Last(&heir_).outcome);
    CPPUNIT_ASSERT(heir_.jobs.empty());
  }

  void TheHeirKeepsRefusingAReusedKey() {
    Complete("a");
    HandOver();
    Ask(&heir_, MakeSubmit(5, MakeKey("a"), 1, "another body"));
    CPPUNIT_ASSERT(Outcome::kNotRun == Last(&heir_).outcome);
    CPPUNIT_ASSERT(Reason::kKeyReused == Last(&heir_).reason);
  }

  void AHalfReceivedMemoryAnswersNothing() {
    CompleteMany();
    Stop();
    const Handover first = TakeOne<Handover>();
    CPPUNIT_ASSERT(!first.last);
    Deliver(&heir_, kAgentNode, first);
    for (const char* suffix : {"0", "2999", "never"}) {
      Ask(&heir_, Query{6, MakeKey(suffix)});
      CPPUNIT_ASSERT(Outcome::kUnknown == Last(&heir_).outcome);
    }
  }

  void TheStopWaitsForTheLastConfirmation() {
    CompleteMany();
    Stop();
    int parts = 0;
    for (std::vector<Handover> sent = Take<Handover>(); !sent.empty();
         sent = Take<Handover>()) {
      CPPUNIT_ASSERT(!IsStopFinished(board_, now_));
      ++parts;
      Deliver(&heir_, kAgentNode, sent.front());
      Receive(kOtherNode, AckOf(&heir_));
    }
    CPPUNIT_ASSERT_EQUAL(3, parts);
    CPPUNIT_ASSERT(IsStopFinished(board_, now_));
    const Inherited told = Take<Inherited>().front();
    CPPUNIT_ASSERT(kOtherNode == told.heir);
    CPPUNIT_ASSERT(kAgentNode == told.homes.at(0));
    Ask(&heir_, Query{6, MakeKey("2999")});
    CPPUNIT_ASSERT(Outcome::kUnknown == Last(&heir_).outcome);
    CPPUNIT_ASSERT(Reason::kAnswerDropped == Last(&heir_).reason);
  }

  void ALostConfirmationIsAskedForAgain() {
    Stop();
    Deliver(&heir_, kAgentNode, TakeOne<Handover>());
    AckOf(&heir_);
    Advance(std::chrono::milliseconds(300));
    OnTick(&board_, now_);
    Deliver(&heir_, kAgentNode, TakeOne<Handover>());
    Receive(kOtherNode, AckOf(&heir_));
    CPPUNIT_ASSERT(IsStopFinished(board_, now_));
  }

  void TwoHeirsAnswerAlike() {
    Admit(MakeWorld(1), {StatusOf(kOtherNode, 2), StatusOf(kThirdNode, 2)});
    Complete("a");
    Stop();
    const core::NodeId first = HeirOf(&board_);
    Deliver(Of(first), kAgentNode, TakeOne<Handover>());
    // Its confirmations are lost, and the home turns to the other.
    for (int i = 0; i < 8; ++i) {
      Advance(std::chrono::milliseconds(300));
      OnTick(&board_, now_);
    }
    const core::NodeId second = HeirOf(&board_);
    CPPUNIT_ASSERT(first != second);
    Deliver(Of(second), kAgentNode, Take<Handover>().back());
    for (const char* suffix : {"a", "never"}) {
      for (const core::NodeId& node : {first, second}) {
        Ask(Of(node), MakeSubmit(5, MakeKey(suffix)));
      }
      CPPUNIT_ASSERT(Last(&heir_) == Last(&third_));
    }
  }

  void ALeavingHeirRefusesAndAnotherIsAsked() {
    Admit(MakeWorld(1), {StatusOf(kOtherNode, 2), StatusOf(kThirdNode, 2)});
    Stop();
    const core::NodeId first = HeirOf(&board_);
    RequestStop(Of(first), now_);
    Deliver(Of(first), kAgentNode, TakeOne<Handover>());
    Receive(first, AckOf(Of(first)));
    const core::NodeId second = HeirOf(&board_);
    CPPUNIT_ASSERT(first != second);
    Deliver(Of(second), kAgentNode, TakeOne<Handover>());
    Receive(second, AckOf(Of(second)));
    CPPUNIT_ASSERT(IsStopFinished(board_, now_));
  }

  void WithoutAnHeirTheStopEnds() {
    Stop();
    CPPUNIT_ASSERT(!IsStopFinished(board_, now_));
    OnPeerGone(&board_, now_, kOtherNode);
    CPPUNIT_ASSERT(!IsStopFinished(board_, now_));
    Advance(2 * board_.policy.heartbeat_interval);
    OnTick(&board_, now_);
    CPPUNIT_ASSERT(IsStopFinished(board_, now_));
  }

  void AHeirThatStopsHandsOnWhatItInherited() {
    Complete("a");
    HandOver();
    EntryLink link;
    link.address = kEntryNode.address;
    link.last_reply_at = now_;
    link.members[kThirdNode] = StatusOf(kThirdNode, 2);
    heir_.entry_links = {link};
    RequestStop(&heir_, now_);
    for (const Handover& part : SentBy<Handover>(&heir_)) {
      Deliver(&third_, kOtherNode, part);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, third_.inherited_snapshots.size());
    Ask(&third_, MakeSubmit(5, MakeKey("a")));
    CPPUNIT_ASSERT(Outcome::kComplete == Last(&third_).outcome);
  }

  void AnHeirInAnotherDomainIsPreferred() {
    AgentStatus near = StatusOf(kOtherNode, 2);
    near.domain = kDomain;
    Admit(MakeWorld(1), {near, StatusOf(kThirdNode, 2)});
    Stop();
    CPPUNIT_ASSERT(kThirdNode == HeirOf(&board_));
  }

  void NothingIsHandedOverWhileAJobRuns() {
    Receive(kEntryNode, MakeSubmit(1, MakeKey("a")));
    const TaskRef ref = TakeOne<Assign>().ref;
    Stop();
    CPPUNIT_ASSERT(Take<Handover>().empty());
    Receive(kOtherNode, MakeFinished(ref, "done"));
    OnTick(&board_, now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeOne<Handover>().records.size());
  }

  void AnInheritedAnswerIsDroppedInTime() {
    Complete("a");
    HandOver();
    const std::uint64_t before = heir_.bytes_held;
    CPPUNIT_ASSERT(before > 0);
    Advance(heir_.policy.answer_memory);
    OnTick(&heir_, now_);
    Ask(&heir_, MakeSubmit(5, MakeKey("a")));
    CPPUNIT_ASSERT(Reason::kAnswerDropped == Last(&heir_).reason);
    Advance(7 * heir_.policy.handle_epoch);
    OnTick(&heir_, now_);
    CPPUNIT_ASSERT(heir_.inherited_snapshots.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, heir_.bytes_held);
  }

  void AFullHeirRefuses() {
    heir_.policy.max_home_bytes = 200;
    Complete("a");
    Stop();
    Deliver(&heir_, kAgentNode, TakeOne<Handover>());
    Receive(kOtherNode, AckOf(&heir_));
    CPPUNIT_ASSERT(heir_.inherited_snapshots.empty());
    Advance(2 * board_.policy.heartbeat_interval);
    OnTick(&board_, now_);
    CPPUNIT_ASSERT(IsStopFinished(board_, now_));
  }

  void AFrozenHomeAnswersAsItsHeir() {
    Complete("a");
    HandOver();
    for (const char* suffix : {"a", "never"}) {
      Ask(&board_, MakeSubmit(5, MakeKey(suffix)));
      Ask(&heir_, MakeSubmit(5, MakeKey(suffix)));
      CPPUNIT_ASSERT(Last(&board_) == Last(&heir_));
    }
    CPPUNIT_ASSERT(board_.active_jobs.empty());
  }

  void AHomeThatKnowsNoHeirYetWaitsForOne() {
    Admit(MakeWorld(1));
    Stop();
    CPPUNIT_ASSERT(Take<Handover>().empty());
    CPPUNIT_ASSERT(!IsStopFinished(board_, now_));
    Admit(MakeWorld(1), {StatusOf(kOtherNode, 2)});
    OnTick(&board_, now_);
    Deliver(&heir_, kAgentNode, TakeOne<Handover>());
    Receive(kOtherNode, AckOf(&heir_));
    CPPUNIT_ASSERT(IsStopFinished(board_, now_));
  }

  void TheHeirTellsAnEntryThatIsNew() {
    Handover whole;
    whole.home = kThirdNode;
    whole.last = true;
    whole.time_left = std::chrono::hours(1);
    Receive(kThirdNode, whole);
    OnTick(&board_, now_);
    Take<Inherited>();
    Permit permit = MakePermit(SendHeartbeat(), MakeWorld(1));
    const core::NodeId added{core::Address("10.0.9.2:7100"),
                             core::Incarnation(10)};
    permit.entries.version = 2;
    permit.entries.members = {{added, kDomain}};
    OnMessage(&board_, now_, kEntryNode, permit);
    OnTick(&board_, now_);
    const bool told =
        std::any_of(board_.actions.begin(), board_.actions.end(),
                    [&added](const AgentAction& action) {
                      const auto* send = std::get_if<SendMessage>(&action);
                      return send != nullptr && send->to == added &&
                             std::holds_alternative<Inherited>(send->message);
                    });
    CPPUNIT_ASSERT(told);
  }

 private:
  template <typename Kind>
  static std::vector<Kind> SentBy(AgentBoard* board) {
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

  void Ask(AgentBoard* board, Message message) {
    Deliver(board, kEntryNode, std::move(message));
  }

  static JobAnswer Last(AgentBoard* board) {
    const std::vector<Answer> answers = SentBy<Answer>(board);
    CPPUNIT_ASSERT(!answers.empty());
    return answers.back().answer;
  }

  static HandoverAck AckOf(AgentBoard* heir) {
    const std::vector<HandoverAck> acks = SentBy<HandoverAck>(heir);
    CPPUNIT_ASSERT(!acks.empty());
    return acks.back();
  }

  static core::NodeId HeirOf(AgentBoard* board) {
    const OutgoingHandover& outgoing =
        board->outgoing_handovers.at(board->self);
    CPPUNIT_ASSERT(outgoing.heir.has_value());
    return *outgoing.heir;
  }

  AgentBoard* Of(const core::NodeId& node) {
    return node == kOtherNode ? &heir_ : &third_;
  }

  void Complete(const std::string& suffix) {
    Receive(kEntryNode, MakeSubmit(1, MakeKey(suffix)));
    const core::NodeId executor =
        board_.jobs.at(MakeKey(suffix)).tasks.at(0).executor;
    Receive(executor, MakeFinished(TakeOne<Assign>().ref, "done"));
    Take<Answer>();
  }

  /// Keys enough for three parts, of which only the outcome is left.
  void CompleteMany() {
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
    Deliver(&heir_, kAgentNode, TakeOne<Handover>());
    Receive(kOtherNode, AckOf(&heir_));
    CPPUNIT_ASSERT(IsStopFinished(board_, now_));
  }

  AgentBoard heir_;
  AgentBoard third_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HandoverTest);

}  // namespace
}  // namespace tarragon::dispatch
