#include "entry_fixture.h"

namespace tarragon::coordinator {
namespace {

/// What an entry believes of its gates, and what it does when one is lost.
class EntryGateTest : public EntryFixture {
  CPPUNIT_TEST_SUITE(EntryGateTest);
  CPPUNIT_TEST(CountsItsOwnStartsUntilTheGateDoes);
  CPPUNIT_TEST(PlacesNothingAtASilentGate);
  CPPUNIT_TEST(PlacesNothingMoreAtAGateThatCountsNoStarts);
  CPPUNIT_TEST(TriesAGateAgainWhenALostStartWouldBeRefused);
  CPPUNIT_TEST(PlacesNothingInADrainedDomain);
  CPPUNIT_TEST(PlacesElsewhereAfterARefusal);
  CPPUNIT_TEST(AsksAboutRunsAfterALostConnection);
  CPPUNIT_TEST(AsksARestartedGate);
  CPPUNIT_TEST(TellsARestartedGateOfItsTarget);
  CPPUNIT_TEST(RepeatsAStopUntilTheEndIsTold);
  CPPUNIT_TEST(PlacesAgainOnlyAfterProof);
  CPPUNIT_TEST(TakesRunsOfASilentGateForOverInTime);
  CPPUNIT_TEST(DialsASilentGateAnew);
  CPPUNIT_TEST(GivesItsOperatorStateToGatesThatAreBehind);
  CPPUNIT_TEST(SendsNoStateThatAGateHasUnderAnotherRevision);
  CPPUNIT_TEST(TakesANewerOperatorStateFromAGate);
  CPPUNIT_TEST(NeverGoesBackToAnOlderOperatorState);
  CPPUNIT_TEST(GivesASuspectTargetSingleTrials);
  CPPUNIT_TEST(SuspectsASlowTarget);
  CPPUNIT_TEST(SuspectsNobodyWhenAllAreSlow);
  CPPUNIT_TEST(NeverSuspectsMostTargets);
  CPPUNIT_TEST(EndsARunOfASlowTargetThatWouldEndSoonerElsewhere);
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

  void PlacesNothingMoreAtAGateThatCountsNoStarts() {
    Report(Gate(1), 16000);
    Submit("j1", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts().size());
    now_ = now_ + std::chrono::milliseconds(110);
    Submit("j2", 1);
    CPPUNIT_ASSERT(Starts().empty());
    // The start is counted in the end.
    Report(Gate(1), 14400);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts().size());
  }

  void TriesAGateAgainWhenALostStartWouldBeRefused() {
    Report(Gate(1), 16000);
    Submit("j1", 1);
    Starts();
    TargetReport unchanged = *board_.gates.at(Gate(1).address).report;
    Advance(std::chrono::milliseconds(420));
    unchanged.clock = now_;
    OnMessage(&board_, now_, Gate(1), unchanged);
    Submit("j2", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts().size());
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
    OnGateDisconnected(&board_, now_, Gate(1));
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

  void TellsARestartedGateOfItsTarget() {
    Report(Gate(1), 16000);
    OnMessage(&board_, now_, Gate(1, 2), TargetReport{});
    const auto hints = Take<SendTo<TargetHint>>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hints.size());
    CPPUNIT_ASSERT(Gate(1, 2) == hints[0].to);
    CPPUNIT_ASSERT_EQUAL(std::string("t-10.0.1.1:7000"),
                         hints[0].message.last.target.value());
    OnMessage(&board_, now_, Gate(1, 2), TargetReport{});
    CPPUNIT_ASSERT(Take<SendTo<TargetHint>>().empty());
  }

  void RepeatsAStopUntilTheEndIsTold() {
    Report(Gate(1), 16000);
    const CallId call = Submit("j1", 1);
    const auto starts = Starts();
    OnCallClosed(&board_, now_, call);
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
    OnGateDisconnected(&board_, now_, Gate(1));
    Report(Gate(2), 16000);
    CPPUNIT_ASSERT(Starts().empty());
    OnGateReplaced(&board_, now_, Gate(1));
    CPPUNIT_ASSERT(Starts().empty());
  }

  void TakesRunsOfASilentGateForOverInTime() {
    Report(Gate(1), 16000);
    Submit("j1", 1, std::chrono::milliseconds(900));
    Starts();
    OnGateDisconnected(&board_, now_, Gate(1));
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
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Take<DisconnectGate>().size());
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

  void SendsNoStateThatAGateHasUnderAnotherRevision() {
    Report(Gate(1), 16000);
    Take<SendTo<OperatorUpdate>>();
    TargetReport report = *board_.gates.at(Gate(1).address).report;
    report.operator_revision = 0;
    report.operator_digest = board_.operator_digest;
    OnMessage(&board_, now_, Gate(1), report);
    CPPUNIT_ASSERT(Take<SendTo<OperatorUpdate>>().empty());
    // The store's counter has risen by other rows.
    OperatorState same = board_.operator_state;
    same.revision = 40;
    OnOperatorState(&board_, now_, same, "store");
    CPPUNIT_ASSERT(Take<SendTo<OperatorUpdate>>().empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, board_.operator_state.revision);
    same.revision = 41;
    same.drained = {core::DomainId("szeged")};
    OnOperatorState(&board_, now_, same, "store");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Take<SendTo<OperatorUpdate>>().size());
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

  /// Gate 1 reports a history that differs from the others'.
  void ReportHistory(std::uint32_t slowness_permille,
                     std::uint32_t failed_permille) {
    TargetReport report = *board_.gates.at(Gate(1).address).report;
    report.clock = now_;
    report.starts_seen = board_.last_start_sequence;
    report.entries = 2;
    report.slowness_permille = slowness_permille;
    report.failed_permille = failed_permille;
    OnMessage(&board_, now_, Gate(1), report);
  }

  bool IsSuspect(int gate) {
    return board_.gates.at(Gate(gate).address).health.suspect;
  }

  void GivesASuspectTargetSingleTrials() {
    ReportFour();
    ReportHistory(1000, 700);
    CPPUNIT_ASSERT(IsSuspect(1));
    Submit("j1", 30);
    CPPUNIT_ASSERT_EQUAL(0, StartsAt(Starts(), Gate(1)));
    for (int i = 0; i < 26; ++i) {
      Advance(std::chrono::milliseconds(40));
      for (int j = 2; j <= 4; ++j) Report(Gate(j), 0);
      ReportHistory(1000, 700);
    }
    // Two entries share the trials, one each half second.
    Starts();
    Submit("j2", 5);
    CPPUNIT_ASSERT_EQUAL(1, StartsAt(Starts(), Gate(1)));
    ReportHistory(1000, 100);
    CPPUNIT_ASSERT(!IsSuspect(1));
  }

  void SuspectsASlowTarget() {
    ReportFour();
    ReportHistory(2100, 0);
    CPPUNIT_ASSERT(!IsSuspect(1));
    ReportHistory(2300, 0);
    CPPUNIT_ASSERT(IsSuspect(1));
    CPPUNIT_ASSERT(!IsSuspect(2));
  }

  void SuspectsNobodyWhenAllAreSlow() {
    for (int i = 1; i <= 4; ++i) {
      Report(Gate(i), 16000);
      TargetReport report = *board_.gates.at(Gate(i).address).report;
      report.slowness_permille = 3000;
      OnMessage(&board_, now_, Gate(i), report);
    }
    for (int i = 2; i <= 4; ++i) CPPUNIT_ASSERT(!IsSuspect(i));
    ReportHistory(3000, 0);
    CPPUNIT_ASSERT(!IsSuspect(1));
  }

  void NeverSuspectsMostTargets() {
    ReportFour();
    int suspects = 0;
    for (int i = 1; i <= 2; ++i) {
      TargetReport report = *board_.gates.at(Gate(i).address).report;
      report.slowness_permille = 9000;
      OnMessage(&board_, now_, Gate(i), report);
    }
    for (int i = 1; i <= 4; ++i) suspects += IsSuspect(i);
    CPPUNIT_ASSERT_EQUAL(1, suspects);
  }

  void EndsARunOfASlowTargetThatWouldEndSoonerElsewhere() {
    ReportFour();
    Submit("j1", 4, std::chrono::milliseconds(900), 14000);
    Starts();
    for (int i = 0; i < 25; ++i) {
      Advance(std::chrono::milliseconds(40));
      for (int j = 2; j <= 4; ++j) Report(Gate(j), 2000);
      ReportHistory(6000, 0);
    }
    const auto asks = Asks();
    CPPUNIT_ASSERT(!asks.empty());
    for (const auto& ask : asks) {
      CPPUNIT_ASSERT(ask.to == Gate(1));
      CPPUNIT_ASSERT(ask.message.stop);
    }
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
