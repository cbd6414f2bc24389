#include "gate_fixture.h"

namespace tarragon::coordinator {
namespace {

/// What a restarted gate learns of its target from an earlier process.
class GateRestartTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GateRestartTest);
  CPPUNIT_TEST(StoresTargetThatStartsDraining);
  CPPUNIT_TEST(StoresTargetThatHasLeft);
  CPPUNIT_TEST(StoresUnchangedTargetOnce);
  CPPUNIT_TEST(RefusesStartAtTargetThatWasDraining);
  CPPUNIT_TEST(DrainingHintOverridesOlderStoredTarget);
  CPPUNIT_TEST(HintOfEarlierIncarnationChangesNothing);
  CPPUNIT_TEST(FillsNoTargetBeyondCapacityThatHadShrunk);
  CPPUNIT_TEST(HintOfShrunkCapacityOverridesOlderStoredTarget);
  CPPUNIT_TEST(OlderHintOfCapacityChangesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StoresTargetThatStartsDraining() {
    TakeActions<StoreTarget>();
    Announce(1, 2, true);
    const std::vector<StoreTarget> stored = TakeActions<StoreTarget>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stored.size());
    CPPUNIT_ASSERT(stored[0].target.draining);
  }

  void StoresTargetThatHasLeft() {
    TakeActions<StoreTarget>();
    OnTargetLeft(&board_, now_, TargetId("t-1"));
    const std::vector<StoreTarget> stored = TakeActions<StoreTarget>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stored.size());
    CPPUNIT_ASSERT(stored[0].target.draining);
  }

  void StoresUnchangedTargetOnce() {
    TakeActions<StoreTarget>();
    Announce(1, 2);
    Announce(1, 3);
    CPPUNIT_ASSERT(TakeActions<StoreTarget>().empty());
  }

  void RefusesStartAtTargetThatWasDraining() {
    Announce(1, 2, true);
    const std::vector<StoreTarget> stored = TakeActions<StoreTarget>();
    CPPUNIT_ASSERT(!stored.empty());
    Restart(stored.back().target);
    Start(MakeRun(0));
    AssertRefused(MakeRun(0), RefusalReason::kNoTarget);
  }

  void DrainingHintOverridesOlderStoredTarget() {
    const TargetReport stored = MakeStoredReport(1, 1, false);
    Restart(stored);
    OnMessage(&board_, now_, kEntry, TargetHint{MakeStoredReport(1, 7, true)});
    Start(MakeRun(0));
    AssertRefused(MakeRun(0), RefusalReason::kNoTarget);
  }

  void HintOfEarlierIncarnationChangesNothing() {
    Restart(MakeStoredReport(2, 1, false));
    OnMessage(&board_, now_, kEntry, TargetHint{MakeStoredReport(1, 7, true)});
    Start(MakeRun(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderStart>().size());
  }

  void AnnounceCapacity(std::int64_t sequence, std::int64_t millicores) {
    Announcement announcement = board_.target->announcement;
    announcement.sequence = sequence;
    announcement.capacity.millicores = millicores;
    OnAnnouncement(&board_, now_, announcement);
  }

  void FillsNoTargetBeyondCapacityThatHadShrunk() {
    StoreTarget last = {MakeStoredReport(1, 1, false)};
    AnnounceCapacity(2, 3200);
    for (const StoreTarget& stored : TakeActions<StoreTarget>()) last = stored;
    Restart(last.target);
    Start(MakeRun(0));
    Start(MakeRun(1));
    TakeActions<OrderStart>();
    Start(MakeRun(2));
    AssertRefused(MakeRun(2), RefusalReason::kNoRoom);
  }

  void HintOfShrunkCapacityOverridesOlderStoredTarget() {
    Restart(MakeStoredReport(1, 1, false));
    TargetReport hint = MakeStoredReport(1, 7, false);
    hint.capacity.millicores = 1600;
    OnMessage(&board_, now_, kEntry, TargetHint{hint});
    Start(MakeRun(0));
    TakeActions<OrderStart>();
    Start(MakeRun(1));
    AssertRefused(MakeRun(1), RefusalReason::kNoRoom);
  }

  void OlderHintOfCapacityChangesNothing() {
    Restart(MakeStoredReport(1, 8, false));
    TargetReport hint = MakeStoredReport(1, 7, false);
    hint.capacity.millicores = 1600;
    OnMessage(&board_, now_, kEntry, TargetHint{hint});
    Start(MakeRun(0));
    Start(MakeRun(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, TakeActions<OrderStart>().size());
  }

 private:
  static TargetReport MakeStoredReport(std::int64_t born, std::int64_t sequence,
                                       bool draining) {
    TargetReport report;
    report.target = TargetId("t-1");
    report.born = TargetIncarnation(born);
    report.sequence = sequence;
    report.address = core::Address("10.0.0.9:80");
    report.service = core::ServiceId("carve");
    report.domain = core::DomainId("szeged");
    report.capacity = {16000, 1000, 0};
    report.draining = draining;
    return report;
  }

  /// Another process of the gate reads the stored target and polls it.
  void Restart(const TargetReport& stored) {
    board_ = GateBoard{};
    board_.domain = core::DomainId("szeged");
    OnPreviousTargetFound(&board_, now_, stored, "store");
    AnswerPoll({}, {}, stored.born.value());
    OnMessage(&board_, now_, kEntry, EntryNotice{});
    TakeActions<OrderPoll>();
    board_.actions.clear();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateRestartTest);

}  // namespace
}  // namespace tarragon::coordinator
