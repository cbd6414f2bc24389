#include "entry_fixture.h"

namespace tarragon::coordinator {
namespace {

/// What an entry believes of its gates, and what it does when one is lost.
class EntryGateTest : public EntryFixture {
  CPPUNIT_TEST_SUITE(EntryGateTest);
  CPPUNIT_TEST(CountsItsOwnStartsUntilTheGateDoes);
  CPPUNIT_TEST(PlacesNothingAtASilentGate);
  CPPUNIT_TEST(PlacesNothingInADrainedDomain);
  CPPUNIT_TEST(PlacesElsewhereAfterARefusal);
  CPPUNIT_TEST(AsksAboutRunsAfterALostConnection);
  CPPUNIT_TEST(AsksARestartedGate);
  CPPUNIT_TEST(RepeatsAStopUntilTheEndIsTold);
  CPPUNIT_TEST(PlacesAgainOnlyAfterProof);
  CPPUNIT_TEST(TakesRunsOfASilentGateForOverInTime);
  CPPUNIT_TEST(DialsASilentGateAnew);
  CPPUNIT_TEST(GivesItsOperatorStateToGatesThatAreBehind);
  CPPUNIT_TEST(TakesANewerOperatorStateFromAGate);
  CPPUNIT_TEST(NeverGoesBackToAnOlderOperatorState);
  CPPUNIT_TEST(GivesASuspectTargetSingleTrials);
  CPPUNIT_TEST(SuspectsASlowTarget);
  CPPUNIT_TEST(NeverSuspectsMostTargets);
  CPPUNIT_TEST(EndsARunThatStandsStill);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CountsItsOwnStartsUntilTheGateDoes() {
    Report(Gate(1), 3200);
    Submit("j1", 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Starts().size());
    // A report that was sent before the starts arrived.
    TargetReport old = *board_.gates.at(Gate(1).address).report;
    old.starts_seen = 0;
    OnMessage(&board_, now_, Gate(1), old);
    CPPUNIT_ASSERT(Starts().empty());
    Report(Gate(1), 1600);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts().size());
  }

  void PlacesNothingAtASilentGate() {
    Report(Gate(1), 16000);
    Advance(std::chrono::milliseconds(520));
    AssertRefusal(Submit("j1", 1), Refusal::kNoTarget);
  }

  void PlacesNothingInADrainedDomain() {
    Report(Gate(1), 16000);
    OperatorState state = board_.operator_state;
    state.revision = 2;
    state.drained = {core::DomainId("szeged")};
    OnOperatorState(&board_, now_, state, "test");
    AssertRefusal(Submit("j1", 1), Refusal::kNoTarget);
  }

  void PlacesElsewhereAfterARefusal() {
    Report(Gate(1), 16000);
    Submit("j1", 1);
    const auto first = Starts();
    Report(Gate(2), 2000);
    End(first.at(0), RunEnd::kRefused, RefusalReason::kNoTarget);
    CPPUNIT_ASSERT(Gate(2) == Starts().at(0).to);
  }

  void AsksAboutRunsAfterALostConnection() {
    Report(Gate(1), 16000);
    Submit("j1", 1);
    const auto starts = Starts();
    OnGateLost(&board_, now_, Gate(1));
    CPPUNIT_ASSERT(Asks().empty());
    Advance(std::chrono::milliseconds(200));
    Report(Gate(1), 16000);
    const auto asks = Asks();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asks.size());
    CPPUNIT_ASSERT(!asks[0].message.stop);
    CPPUNIT_ASSERT(asks[0].message.run == starts.at(0).message.run);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1600}, asks[0].message.room.millicores);
  }

  void AsksARestartedGate() {
    Report(Gate(1), 16000);
    Submit("j1", 1);
    Starts();
    Advance(std::chrono::milliseconds(200));
    Report(Gate(1, 2), 0);
    const auto asks = Asks();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asks.size());
    CPPUNIT_ASSERT(Gate(1, 2) == asks[0].to);
  }

  void RepeatsAStopUntilTheEndIsTold() {
    Report(Gate(1), 16000);
    const CallId call = Submit("j1", 1);
    const auto starts = Starts();
    OnCallGone(&board_, now_, call);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Asks().size());
    Advance(std::chrono::milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Asks().size());
    End(starts.at(0), RunEnd::kStopped);
    Advance(std::chrono::milliseconds(200));
    CPPUNIT_ASSERT(Asks().empty());
  }

  void PlacesAgainOnlyAfterProof() {
    Report(Gate(1), 16000);
    Submit("j1", 1, std::chrono::milliseconds(900));
    Starts();
    OnGateLost(&board_, now_, Gate(1));
    Report(Gate(2), 16000);
    CPPUNIT_ASSERT(Starts().empty());
    OnGateGone(&board_, now_, Gate(1));
    CPPUNIT_ASSERT(Starts().empty());
  }

  void TakesRunsOfASilentGateForOverInTime() {
    Report(Gate(1), 16000);
    Submit("j1", 1, std::chrono::milliseconds(900));
    Starts();
    OnGateLost(&board_, now_, Gate(1));
    for (int i = 0; i < 94; ++i) {
      Advance(std::chrono::milliseconds(20));
      Report(Gate(2), 16000);
    }
    CPPUNIT_ASSERT(Starts().empty());
    Advance(std::chrono::milliseconds(60));
    CPPUNIT_ASSERT(Gate(2) == Starts().at(0).to);
  }

  void DialsASilentGateAnew() {
    Report(Gate(1), 16000);
    Take<SendTo<EntryNotice>>();
    Advance(std::chrono::milliseconds(840));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Take<DropGate>().size());
    Take<SendTo<EntryNotice>>();
    Advance(std::chrono::milliseconds(420));
    const auto notices = Take<SendTo<EntryNotice>>();
    CPPUNIT_ASSERT(!notices.empty());
    CPPUNIT_ASSERT(core::Incarnation(0) == notices[0].to.incarnation);
  }

  void GivesItsOperatorStateToGatesThatAreBehind() {
    TargetReport report;
    report.operator_revision = 0;
    OnMessage(&board_, now_, Gate(1), report);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Take<SendTo<OperatorUpdate>>().size());
    OnMessage(&board_, now_, Gate(1), report);
    CPPUNIT_ASSERT(Take<SendTo<OperatorUpdate>>().empty());
  }

  void TakesANewerOperatorStateFromAGate() {
    OperatorState state = board_.operator_state;
    state.revision = 9;
    state.version = 4;
    OnMessage(&board_, now_, Gate(1), OperatorUpdate{state});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, board_.operator_state.version);
  }

  void NeverGoesBackToAnOlderOperatorState() {
    OperatorState state = board_.operator_state;
    state.revision = 9;
    state.version = 4;
    OnOperatorState(&board_, now_, state, "store");
    state.revision = 8;
    state.version = 3;
    OnOperatorState(&board_, now_, state, "gate");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, board_.operator_state.revision);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, board_.operator_state.version);
  }

  /// Reports four gates with all their room free.
  void ReportFour() {
    for (int i = 1; i <= 4; ++i) Report(Gate(i), 16000);
  }

  int StartsAt(const std::vector<SendTo<StartRun>>& starts,
               const core::NodeId& gate) {
    int count = 0;
    for (const SendTo<StartRun>& start : starts) count += start.to == gate;
    return count;
  }

  /// Lets gate 1 fail all its runs until it is suspect.
  void FailGateOne() {
    for (int i = 0; i < 20; ++i) {
      ReportFour();
      Submit("f" + std::to_string(i), 4);
      for (const SendTo<StartRun>& start : Starts()) {
        End(start, start.to == Gate(1) ? RunEnd::kFailed : RunEnd::kDone);
      }
      for (const SendTo<StartRun>& start : Starts()) {
        End(start, start.to == Gate(1) ? RunEnd::kFailed : RunEnd::kDone);
      }
    }
  }

  void GivesASuspectTargetSingleTrials() {
    FailGateOne();
    CPPUNIT_ASSERT(board_.gates.at(Gate(1).address).health.suspect);
    Advance(std::chrono::milliseconds(20));
    ReportFour();
    Submit("j1", 30);
    CPPUNIT_ASSERT_EQUAL(0, StartsAt(Starts(), Gate(1)));
    Advance(std::chrono::milliseconds(450));
    for (int i = 2; i <= 4; ++i) Report(Gate(i), 0);
    Report(Gate(1), 16000);
    Submit("j2", 5);
    const auto trial = Starts();
    CPPUNIT_ASSERT_EQUAL(1, StartsAt(trial, Gate(1)));
    End(trial.at(0), RunEnd::kDone);
    CPPUNIT_ASSERT(!board_.gates.at(Gate(1).address).health.suspect);
  }

  void SuspectsASlowTarget() {
    for (int i = 0; i < 12; ++i) {
      ReportFour();
      Submit("s" + std::to_string(i), 4);
      for (const SendTo<StartRun>& start : Starts()) {
        const bool slow = start.to == Gate(1);
        OnMessage(
            &board_, now_, start.to,
            RunEnded{start.message.run, RunEnd::kDone, RefusalReason::kNone,
                     std::chrono::milliseconds(slow ? 600 : 100)});
      }
    }
    CPPUNIT_ASSERT(board_.gates.at(Gate(1).address).health.suspect);
    CPPUNIT_ASSERT(!board_.gates.at(Gate(2).address).health.suspect);
  }

  void NeverSuspectsMostTargets() {
    for (int i = 0; i < 20; ++i) {
      ReportFour();
      Submit("f" + std::to_string(i), 8);
      for (const SendTo<StartRun>& start : Starts()) {
        End(start, RunEnd::kFailed);
      }
    }
    int suspects = 0;
    for (const auto& [address, gate] : board_.gates) {
      suspects += gate.health.suspect;
    }
    CPPUNIT_ASSERT_EQUAL(1, suspects);
  }

  void EndsARunThatStandsStill() {
    Report(Gate(1), 16000);
    JobRequest request;
    Submit("j1", 1, std::chrono::milliseconds(60));
    Starts();
    for (int i = 0; i < 15; ++i) {
      Advance(std::chrono::milliseconds(20));
      Report(Gate(1), 14400);
    }
    CPPUNIT_ASSERT(Asks().empty());
    for (int i = 0; i < 4; ++i) {
      Advance(std::chrono::milliseconds(20));
      Report(Gate(1), 14400);
    }
    const auto asks = Asks();
    CPPUNIT_ASSERT(!asks.empty());
    CPPUNIT_ASSERT(asks[0].message.stop);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryGateTest);

}  // namespace
}  // namespace tarragon::coordinator
