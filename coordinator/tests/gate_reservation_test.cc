#include "gate_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// How a gate reserves room that runs will release, and what ends a
/// reservation. Ten runs of 1.6 cores take all room; each is expected to take
/// 100 ms, and one starts every millisecond.
class GateReservationTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GateReservationTest);
  CPPUNIT_TEST(KeepsFreedRoomForLargeRequest);
  CPPUNIT_TEST(LetsShortRunsBackfill);
  CPPUNIT_TEST(GivesWayToMoreUrgentRequest);
  CPPUNIT_TEST(HidesReservedRoomAndTellsReleases);
  CPPUNIT_TEST(SendsNoReleasesWhileRoomIsFree);
  CPPUNIT_TEST(RefusesStartOnlyOnceReservationIsKnown);
  CPPUNIT_TEST(ReservesNothingBeyondSlack);
  CPPUNIT_TEST(EndsWithRequest);
  CPPUNIT_TEST(EndsWithLostEntry);
  CPPUNIT_TEST(EndsWithSilentEntry);
  CPPUNIT_TEST(EndsWithCrashedTarget);
  CPPUNIT_TEST(LapsesAfterLateRelease);
  CPPUNIT_TEST(ReservesNothingForRunsOfEarlierGate);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TakeAllRoom() {
    for (std::uint32_t i = 0; i < 10; ++i) {
      StartExpecting(MakeRun(i), 1600, milliseconds(100), kEntry);
      OnStartAnswer(&board_, now_, MakeRun(i), OrderAnswer::kAccepted,
                    std::nullopt);
      now_ = now_ + milliseconds(1);
    }
    board_.actions.clear();
  }

  void StartExpecting(const RunRef& run, std::int64_t millicores,
                      core::Duration expected, const core::NodeId& from) {
    StartRun start;
    start.run = run;
    start.sequence = ++sequence_;
    start.service = core::ServiceId("carve");
    start.room = {millicores, 10, 0};
    start.expected_run = expected;
    start.start_by = now_ + milliseconds(400);
    OnMessage(&board_, now_, from, start);
  }

  void Request(const core::NodeId& entry, std::int64_t millicores,
               core::Duration slack, core::Duration expected) {
    RoomWanted wanted;
    wanted.room = {millicores, 10, 0};
    wanted.slack = slack;
    wanted.expected_run = expected;
    OnMessage(&board_, now_, entry, wanted);
  }

  /// Reserves 2.7 cores for the other entry, and ends one run 20 ms before the
  /// second is expected to end.
  void ReserveAndEndOneRun() {
    TakeAllRoom();
    now_ = now_ + milliseconds(71);
    OnTick(&board_, now_);
    Request(kOtherEntry, 2700, milliseconds(150), milliseconds(500));
    CPPUNIT_ASSERT(board_.reservation.has_value());
    EndRunAt(0);
  }

  void EndRunAt(std::uint32_t index) {
    AnswerPoll(Listed(index + 1), {{index + 1, MakeRun(index), RunEnd::kDone}});
  }

  static std::vector<RunRef> Listed(std::uint32_t from) {
    std::vector<RunRef> runs;
    for (std::uint32_t i = from; i < 10; ++i) runs.push_back(MakeRun(i));
    return runs;
  }

  bool IsOffered(const core::NodeId& entry) {
    return board_.homes.at(entry.address).offer.has_value();
  }

  void KeepsFreedRoomForLargeRequest() {
    ReserveAndEndOneRun();
    Request(kEntry, 1300, milliseconds(200), milliseconds(200));
    CPPUNIT_ASSERT(!IsOffered(kEntry));
    EndRunAt(1);
    CPPUNIT_ASSERT(IsOffered(kOtherEntry));
    // The next request has the reservation then.
    CPPUNIT_ASSERT(board_.reservation->holder == kEntry);
    // What the request leaves is free for others.
    Request(kEntry, 500, milliseconds(200), milliseconds(200));
    CPPUNIT_ASSERT(IsOffered(kEntry));
  }

  void LetsShortRunsBackfill() {
    ReserveAndEndOneRun();
    Request(kEntry, 1300, milliseconds(200), milliseconds(5));
    CPPUNIT_ASSERT(IsOffered(kEntry));
    CPPUNIT_ASSERT(board_.reservation.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, board_.counts.backfills);
  }

  void GivesWayToMoreUrgentRequest() {
    ReserveAndEndOneRun();
    Request(kEntry, 1300, milliseconds(20), milliseconds(200));
    CPPUNIT_ASSERT(IsOffered(kEntry));
  }

  std::optional<TargetReport> ReportTo(const core::NodeId& entry) {
    std::optional<TargetReport> found;
    for (const auto& sent : TakeActions<SendTo<TargetReport>>()) {
      if (sent.to == entry) found = sent.message;
    }
    return found;
  }

  void HidesReservedRoomAndTellsReleases() {
    ReserveAndEndOneRun();
    const std::optional<TargetReport> report = ReportTo(kEntry);
    CPPUNIT_ASSERT(report.has_value());
    // The reservation leaves 0.5 of the 3.2 cores of this release and the next
    // one, so it takes all of the next one.
    CPPUNIT_ASSERT_EQUAL(std::int64_t{500}, report->free.millicores);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, report->releases.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1600}, report->releases[0].millicores);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{6400}, report->releases[3].millicores);
    CPPUNIT_ASSERT(report->releases[0].after == milliseconds(21));
  }

  void SendsNoReleasesWhileRoomIsFree() {
    StartExpecting(MakeRun(0), 1600, milliseconds(100), kEntry);
    const std::optional<TargetReport> report = ReportTo(kEntry);
    CPPUNIT_ASSERT(report.has_value());
    CPPUNIT_ASSERT(report->releases.empty());
  }

  void RefusesStartOnlyOnceReservationIsKnown() {
    ReserveAndEndOneRun();
    StartExpecting(MakeRun(20), 400, milliseconds(200), kEntry);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderStart>().size());
    now_ = board_.reservation->binding_at;
    StartExpecting(MakeRun(21), 800, milliseconds(200), kEntry);
    AssertRefused(MakeRun(21), RefusalReason::kNoRoom);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, board_.counts.reserved_refusals);
  }

  void ReservesNothingBeyondSlack() {
    TakeAllRoom();
    Request(kOtherEntry, 2700, milliseconds(20), milliseconds(500));
    CPPUNIT_ASSERT(!board_.reservation.has_value());
  }

  void AssertRoomIsOfferedToOthers() {
    CPPUNIT_ASSERT(!board_.reservation.has_value());
    Request(kEntry, 1300, milliseconds(200), milliseconds(200));
    CPPUNIT_ASSERT(IsOffered(kEntry));
  }

  void EndsWithRequest() {
    ReserveAndEndOneRun();
    OnMessage(&board_, now_, kOtherEntry, RoomWanted{});
    AssertRoomIsOfferedToOthers();
  }

  void EndsWithLostEntry() {
    ReserveAndEndOneRun();
    OnEntryDisconnected(&board_, now_, kOtherEntry);
    OnTick(&board_, now_);
    AssertRoomIsOfferedToOthers();
  }

  /// The entry was killed, and its connection has not been closed.
  void EndsWithSilentEntry() {
    ReserveAndEndOneRun();
    board_.homes.at(kOtherEntry.address).timed_out = true;
    OnTick(&board_, now_);
    AssertRoomIsOfferedToOthers();
  }

  void EndsWithCrashedTarget() {
    ReserveAndEndOneRun();
    Announce(2, 1);
    CPPUNIT_ASSERT(!board_.reservation.has_value());
  }

  void LapsesAfterLateRelease() {
    ReserveAndEndOneRun();
    const core::Time lapses_at = board_.reservation->lapses_at;
    while (now_ <= lapses_at) {
      CPPUNIT_ASSERT(board_.reservation.has_value());
      now_ = now_ + milliseconds(5);
      OnTick(&board_, now_);
    }
    AssertRoomIsOfferedToOthers();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, board_.counts.lapsed_reservations);
  }

  /// A restarted gate does not know how long the runs take that it found.
  void ReservesNothingForRunsOfEarlierGate() {
    AnswerNextPoll({MakeRun(0)}, {});
    OnMessage(&board_, now_, kEntry, AskRun{MakeRun(0), false, {16000, 10, 0}});
    Request(kOtherEntry, 2700, milliseconds(150), milliseconds(500));
    CPPUNIT_ASSERT(!board_.reservation.has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateReservationTest);

}  // namespace
}  // namespace tarragon::coordinator
