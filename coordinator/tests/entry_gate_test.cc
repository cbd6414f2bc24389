#include "entry_fixture.h"

namespace tarragon::coordinator {
namespace {

/// How an entry tracks its gates and handles their loss.
class EntryGateTest : public EntryFixture {
  CPPUNIT_TEST_SUITE(EntryGateTest);
  CPPUNIT_TEST(CountsOwnStartsUntilGateCountsThem);
  CPPUNIT_TEST(PlacesNothingAtSilentGate);
  CPPUNIT_TEST(PlacesNoMoreAtGateThatCountsNoStarts);
  CPPUNIT_TEST(RetriesGateOnceLostStartIsStale);
  CPPUNIT_TEST(PlacesNothingInDrainedDomain);
  CPPUNIT_TEST(PlacesElsewhereAfterRefusal);
  CPPUNIT_TEST(QueriesRunsAfterReconnect);
  CPPUNIT_TEST(QueriesRunsAtRestartedGate);
  CPPUNIT_TEST(SendsTargetHintToRestartedGate);
  CPPUNIT_TEST(RepeatsStopUntilEndIsReported);
  CPPUNIT_TEST(PlacesAgainOnlyAfterProvedEnd);
  CPPUNIT_TEST(EndsRunsOfSilentGateAfterLimit);
  CPPUNIT_TEST(ReconnectsToSilentGate);
  CPPUNIT_TEST(SendsOperatorStateToOutdatedGate);
  CPPUNIT_TEST(SendsNoStateIfOnlyTheRevisionDiffers);
  CPPUNIT_TEST(AppliesNewerOperatorStateFromGate);
  CPPUNIT_TEST(IgnoresOlderOperatorState);
  CPPUNIT_TEST(GivesSuspectTargetOnlyTrials);
  CPPUNIT_TEST(SuspectsSlowTarget);
  CPPUNIT_TEST(SuspectsNoTargetWhenAllAreSlow);
  CPPUNIT_TEST(LimitsNumberOfSuspectTargets);
  CPPUNIT_TEST(StopsRunThatWouldEndSoonerElsewhere);
  CPPUNIT_TEST(StopsStalledRun);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CountsOwnStartsUntilGateCountsThem() {
    Report(GateId(1), 3200);
    Submit("j1", 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, TakeStarts().size());
    // A report that was sent before the starts arrived.
    TargetReport old = *board_.gates.at(GateId(1).address).report;
    old.starts_seen = 0;
    OnMessage(&board_, now_, GateId(1), old);
    CPPUNIT_ASSERT(TakeStarts().empty());
    Report(GateId(1), 1600);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeStarts().size());
  }

  void PlacesNothingAtSilentGate() {
    Report(GateId(1), 16000);
    Advance(std::chrono::milliseconds(520));
    AssertRefusal(Submit("j1", 1), Refusal::kNoTarget);
  }

  void PlacesNoMoreAtGateThatCountsNoStarts() {
    Report(GateId(1), 16000);
    Submit("j1", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeStarts().size());
    now_ = now_ + std::chrono::milliseconds(110);
    Submit("j2", 1);
    CPPUNIT_ASSERT(TakeStarts().empty());
    // A later report counts the start.
    Report(GateId(1), 14400);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeStarts().size());
  }

  void RetriesGateOnceLostStartIsStale() {
    Report(GateId(1), 16000);
    Submit("j1", 1);
    TakeStarts();
    TargetReport unchanged = *board_.gates.at(GateId(1).address).report;
    Advance(std::chrono::milliseconds(420));
    unchanged.clock = now_;
    OnMessage(&board_, now_, GateId(1), unchanged);
    Submit("j2", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeStarts().size());
  }

  void PlacesNothingInDrainedDomain() {
    Report(GateId(1), 16000);
    OperatorState state = board_.operator_state;
    state.revision = 2;
    state.drained = {core::DomainId("szeged")};
    OnOperatorState(&board_, now_, state, "test");
    AssertRefusal(Submit("j1", 1), Refusal::kNoTarget);
  }

  void PlacesElsewhereAfterRefusal() {
    Report(GateId(1), 16000);
    Submit("j1", 1);
    const auto first = TakeStarts();
    Report(GateId(2), 2000);
    ReportEnd(first.at(0), RunEnd::kRefused, RefusalReason::kNoTarget);
    CPPUNIT_ASSERT(GateId(2) == TakeStarts().at(0).to);
  }

  void QueriesRunsAfterReconnect() {
    Report(GateId(1), 16000);
    Submit("j1", 1);
    const auto starts = TakeStarts();
    OnGateDisconnected(&board_, now_, GateId(1));
    CPPUNIT_ASSERT(TakeQueries().empty());
    Advance(std::chrono::milliseconds(200));
    Report(GateId(1), 16000);
    const auto asks = TakeQueries();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asks.size());
    CPPUNIT_ASSERT(!asks[0].message.stop);
    CPPUNIT_ASSERT(asks[0].message.run == starts.at(0).message.run);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1600}, asks[0].message.room.millicores);
  }

  void QueriesRunsAtRestartedGate() {
    Report(GateId(1), 16000);
    Submit("j1", 1);
    TakeStarts();
    Advance(std::chrono::milliseconds(200));
    Report(GateId(1, 2), 0);
    const auto asks = TakeQueries();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asks.size());
    CPPUNIT_ASSERT(GateId(1, 2) == asks[0].to);
  }

  void SendsTargetHintToRestartedGate() {
    Report(GateId(1), 16000);
    OnMessage(&board_, now_, GateId(1, 2), TargetReport{});
    const auto hints = TakeActions<SendTo<TargetHint>>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hints.size());
    CPPUNIT_ASSERT(GateId(1, 2) == hints[0].to);
    CPPUNIT_ASSERT_EQUAL(std::string("t-10.0.1.1:7000"),
                         hints[0].message.last.target.value());
    OnMessage(&board_, now_, GateId(1, 2), TargetReport{});
    CPPUNIT_ASSERT(TakeActions<SendTo<TargetHint>>().empty());
  }

  void RepeatsStopUntilEndIsReported() {
    Report(GateId(1), 16000);
    const CallId call = Submit("j1", 1);
    const auto starts = TakeStarts();
    OnCallClosed(&board_, now_, call);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeQueries().size());
    Advance(std::chrono::milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeQueries().size());
    ReportEnd(starts.at(0), RunEnd::kStopped);
    Advance(std::chrono::milliseconds(200));
    CPPUNIT_ASSERT(TakeQueries().empty());
  }

  void PlacesAgainOnlyAfterProvedEnd() {
    Report(GateId(1), 16000);
    Submit("j1", 1, std::chrono::milliseconds(900));
    TakeStarts();
    OnGateDisconnected(&board_, now_, GateId(1));
    Report(GateId(2), 16000);
    CPPUNIT_ASSERT(TakeStarts().empty());
    OnGateReplaced(&board_, now_, GateId(1));
    CPPUNIT_ASSERT(TakeStarts().empty());
  }

  void EndsRunsOfSilentGateAfterLimit() {
    Report(GateId(1), 16000);
    Submit("j1", 1, std::chrono::milliseconds(900));
    TakeStarts();
    OnGateDisconnected(&board_, now_, GateId(1));
    for (int i = 0; i < 94; ++i) {
      Advance(std::chrono::milliseconds(20));
      Report(GateId(2), 16000);
    }
    CPPUNIT_ASSERT(TakeStarts().empty());
    Advance(std::chrono::milliseconds(60));
    CPPUNIT_ASSERT(GateId(2) == TakeStarts().at(0).to);
  }

  void ReconnectsToSilentGate() {
    Report(GateId(1), 16000);
    TakeActions<SendTo<EntryNotice>>();
    Advance(std::chrono::milliseconds(840));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<DisconnectGate>().size());
    TakeActions<SendTo<EntryNotice>>();
    Advance(std::chrono::milliseconds(420));
    const auto notices = TakeActions<SendTo<EntryNotice>>();
    CPPUNIT_ASSERT(!notices.empty());
    CPPUNIT_ASSERT(core::Incarnation(0) == notices[0].to.incarnation);
  }

  void SendsOperatorStateToOutdatedGate() {
    TargetReport report;
    report.operator_revision = 0;
    OnMessage(&board_, now_, GateId(1), report);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         TakeActions<SendTo<OperatorUpdate>>().size());
    OnMessage(&board_, now_, GateId(1), report);
    CPPUNIT_ASSERT(TakeActions<SendTo<OperatorUpdate>>().empty());
  }

  void SendsNoStateIfOnlyTheRevisionDiffers() {
    Report(GateId(1), 16000);
    TakeActions<SendTo<OperatorUpdate>>();
    TargetReport report = *board_.gates.at(GateId(1).address).report;
    report.operator_revision = 0;
    report.domains_digest = board_.domains_digest;
    OnMessage(&board_, now_, GateId(1), report);
    CPPUNIT_ASSERT(TakeActions<SendTo<OperatorUpdate>>().empty());
    // Changes of other rows have increased the store's revision.
    OperatorState same = board_.operator_state;
    same.revision = 40;
    OnOperatorState(&board_, now_, same, "store");
    CPPUNIT_ASSERT(TakeActions<SendTo<OperatorUpdate>>().empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, board_.operator_state.revision);
    same.revision = 41;
    same.drained = {core::DomainId("szeged")};
    OnOperatorState(&board_, now_, same, "store");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         TakeActions<SendTo<OperatorUpdate>>().size());
  }

  void AppliesNewerOperatorStateFromGate() {
    OperatorState state = board_.operator_state;
    state.revision = 9;
    state.version = 4;
    OnMessage(&board_, now_, GateId(1), OperatorUpdate{state});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, board_.operator_state.version);
  }

  void IgnoresOlderOperatorState() {
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

  /// Four gates report that all their room is free.
  void ReportFourFreeGates() {
    for (int i = 1; i <= 4; ++i) Report(GateId(i), 16000);
  }

  int CountStartsAt(const std::vector<SendTo<StartRun>>& starts,
                    const core::NodeId& gate) {
    int count = 0;
    for (const SendTo<StartRun>& start : starts) count += start.to == gate;
    return count;
  }

  /// Gate 1 reports another slowness and failure share than the others.
  void ReportHistory(std::uint32_t slowness_permille,
                     std::uint32_t failed_permille) {
    TargetReport report = *board_.gates.at(GateId(1).address).report;
    report.clock = now_;
    report.starts_seen = board_.last_start_sequence;
    report.entries = 2;
    report.slowness_permille = slowness_permille;
    report.failed_permille = failed_permille;
    OnMessage(&board_, now_, GateId(1), report);
  }

  bool IsSuspect(int gate) {
    return board_.gates.at(GateId(gate).address).health.suspect;
  }

  void GivesSuspectTargetOnlyTrials() {
    ReportFourFreeGates();
    ReportHistory(1000, 700);
    CPPUNIT_ASSERT(IsSuspect(1));
    Submit("j1", 30);
    CPPUNIT_ASSERT_EQUAL(0, CountStartsAt(TakeStarts(), GateId(1)));
    for (int i = 0; i < 26; ++i) {
      Advance(std::chrono::milliseconds(40));
      for (int j = 2; j <= 4; ++j) Report(GateId(j), 0);
      ReportHistory(1000, 700);
    }
    // Two entries share the trials, of which there is one in 500 ms.
    TakeStarts();
    Submit("j2", 5);
    CPPUNIT_ASSERT_EQUAL(1, CountStartsAt(TakeStarts(), GateId(1)));
    ReportHistory(1000, 100);
    CPPUNIT_ASSERT(!IsSuspect(1));
  }

  void SuspectsSlowTarget() {
    ReportFourFreeGates();
    ReportHistory(2100, 0);
    CPPUNIT_ASSERT(!IsSuspect(1));
    ReportHistory(2300, 0);
    CPPUNIT_ASSERT(IsSuspect(1));
    CPPUNIT_ASSERT(!IsSuspect(2));
  }

  void SuspectsNoTargetWhenAllAreSlow() {
    for (int i = 1; i <= 4; ++i) {
      Report(GateId(i), 16000);
      TargetReport report = *board_.gates.at(GateId(i).address).report;
      report.slowness_permille = 3000;
      OnMessage(&board_, now_, GateId(i), report);
    }
    for (int i = 2; i <= 4; ++i) CPPUNIT_ASSERT(!IsSuspect(i));
    ReportHistory(3000, 0);
    CPPUNIT_ASSERT(!IsSuspect(1));
  }

  void LimitsNumberOfSuspectTargets() {
    ReportFourFreeGates();
    int suspects = 0;
    for (int i = 1; i <= 2; ++i) {
      TargetReport report = *board_.gates.at(GateId(i).address).report;
      report.slowness_permille = 9000;
      OnMessage(&board_, now_, GateId(i), report);
    }
    for (int i = 1; i <= 4; ++i) suspects += IsSuspect(i);
    CPPUNIT_ASSERT_EQUAL(1, suspects);
  }

  void StopsRunThatWouldEndSoonerElsewhere() {
    ReportFourFreeGates();
    Submit("j1", 4, std::chrono::milliseconds(900), 14000);
    TakeStarts();
    for (int i = 0; i < 25; ++i) {
      Advance(std::chrono::milliseconds(40));
      for (int j = 2; j <= 4; ++j) Report(GateId(j), 2000);
      ReportHistory(6000, 0);
    }
    const auto asks = TakeQueries();
    CPPUNIT_ASSERT(!asks.empty());
    for (const auto& ask : asks) {
      CPPUNIT_ASSERT(ask.to == GateId(1));
      CPPUNIT_ASSERT(ask.message.stop);
    }
  }

  void StopsStalledRun() {
    Report(GateId(1), 16000);
    JobRequest request;
    Submit("j1", 1, std::chrono::milliseconds(60));
    TakeStarts();
    for (int i = 0; i < 15; ++i) {
      Advance(std::chrono::milliseconds(20));
      Report(GateId(1), 14400);
    }
    CPPUNIT_ASSERT(TakeQueries().empty());
    for (int i = 0; i < 4; ++i) {
      Advance(std::chrono::milliseconds(20));
      Report(GateId(1), 14400);
    }
    const auto asks = TakeQueries();
    CPPUNIT_ASSERT(!asks.empty());
    CPPUNIT_ASSERT(asks[0].message.stop);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryGateTest);

}  // namespace
}  // namespace tarragon::coordinator
