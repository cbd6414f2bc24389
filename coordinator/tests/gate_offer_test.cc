#include "gate_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// To which entry a gate offers freed room while the load takes all room.
class GateOfferTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GateOfferTest);
  CPPUNIT_TEST(OffersFreeRoomImmediately);
  CPPUNIT_TEST(OffersFreedRoomToMostUrgentTask);
  CPPUNIT_TEST(PrefersTaskThatCanBeInTime);
  CPPUNIT_TEST(SkipsTaskThatDoesNotFit);
  CPPUNIT_TEST(HidesOfferedRoomFromOtherEntries);
  CPPUNIT_TEST(WithdrawsUnansweredOffer);
  CPPUNIT_TEST(EndsOfferThatIsReturned);
  CPPUNIT_TEST(EndsOfferWhenEntryStartsRun);
  CPPUNIT_TEST(DropsRequestOfDisconnectedEntry);
  CPPUNIT_TEST(OffersNoRoomAtDrainingTarget);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequestRoom(const core::NodeId& entry, milliseconds slack,
                   std::int64_t millicores = 1600, bool late = false) {
    OnMessage(&board_, now_, entry,
              RoomWanted{{millicores, 10, 0}, late, slack});
  }

  /// Takes all room by ten runs of the first entry.
  void TakeAllRoom() {
    for (std::uint32_t i = 0; i < 10; ++i) StartAndAccept(MakeRun(i));
    board_.actions.clear();
  }

  /// Ends the first of these runs.
  void EndFirstRun() {
    TakeActions<SendTo<TargetReport>>();
    AnswerPoll({}, {{1, MakeRun(0), RunEnd::kDone}});
  }

  /// The last report to the entry since the previous call.
  std::optional<TargetReport> ReportTo(const core::NodeId& entry) {
    std::optional<TargetReport> found;
    std::vector<GateAction> rest;
    for (GateAction& action : board_.actions) {
      auto* sent = std::get_if<SendTo<TargetReport>>(&action);
      if (sent != nullptr && sent->to == entry) {
        found = sent->message;
      } else {
        rest.push_back(std::move(action));
      }
    }
    board_.actions = std::move(rest);
    return found;
  }

  bool IsOffered(const core::NodeId& entry) {
    const std::optional<TargetReport> report = ReportTo(entry);
    return report.has_value() && report->offered;
  }

  void OffersFreeRoomImmediately() {
    RequestRoom(kOtherEntry, milliseconds(50));
    CPPUNIT_ASSERT(IsOffered(kOtherEntry));
  }

  void OffersFreedRoomToMostUrgentTask() {
    TakeAllRoom();
    RequestRoom(kEntry, milliseconds(100));
    RequestRoom(kOtherEntry, milliseconds(50));
    EndFirstRun();
    CPPUNIT_ASSERT(IsOffered(kOtherEntry));
    CPPUNIT_ASSERT(!IsOffered(kEntry));
  }

  void PrefersTaskThatCanBeInTime() {
    TakeAllRoom();
    RequestRoom(kEntry, milliseconds(-20), 1600, true);
    RequestRoom(kOtherEntry, milliseconds(50));
    EndFirstRun();
    CPPUNIT_ASSERT(IsOffered(kOtherEntry));
  }

  void SkipsTaskThatDoesNotFit() {
    TakeAllRoom();
    RequestRoom(kOtherEntry, milliseconds(10), 2300);
    RequestRoom(kEntry, milliseconds(100));
    EndFirstRun();
    CPPUNIT_ASSERT(IsOffered(kEntry));
    CPPUNIT_ASSERT(!IsOffered(kOtherEntry));
  }

  void HidesOfferedRoomFromOtherEntries() {
    TakeAllRoom();
    RequestRoom(kOtherEntry, milliseconds(50));
    EndFirstRun();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1600},
                         ReportTo(kOtherEntry)->free.millicores);
    AdvanceToNextReport();
    const std::optional<TargetReport> other = ReportTo(kEntry);
    CPPUNIT_ASSERT(other.has_value());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, other->free.millicores);
  }

  void WithdrawsUnansweredOffer() {
    TakeAllRoom();
    RequestRoom(kOtherEntry, milliseconds(50));
    EndFirstRun();
    board_.actions.clear();
    Advance(milliseconds(40));
    const std::optional<TargetReport> other = ReportTo(kEntry);
    CPPUNIT_ASSERT(other.has_value());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1600}, other->free.millicores);
  }

  void EndsOfferThatIsReturned() {
    TakeAllRoom();
    RequestRoom(kOtherEntry, milliseconds(50));
    RequestRoom(kEntry, milliseconds(100));
    EndFirstRun();
    CPPUNIT_ASSERT(IsOffered(kOtherEntry));
    OnMessage(&board_, now_, kOtherEntry, RoomWanted{});
    CPPUNIT_ASSERT(IsOffered(kEntry));
  }

  void EndsOfferWhenEntryStartsRun() {
    TakeAllRoom();
    RequestRoom(kOtherEntry, milliseconds(50));
    EndFirstRun();
    Start(MakeRun(20), 800, kOtherEntry);
    // The rest of the offered room is free for other entries.
    RequestRoom(kEntry, milliseconds(100), 800);
    CPPUNIT_ASSERT(IsOffered(kEntry));
  }

  void DropsRequestOfDisconnectedEntry() {
    TakeAllRoom();
    RequestRoom(kOtherEntry, milliseconds(50));
    OnEntryDisconnected(&board_, now_, kOtherEntry);
    RequestRoom(kEntry, milliseconds(100));
    EndFirstRun();
    CPPUNIT_ASSERT(IsOffered(kEntry));
  }

  void OffersNoRoomAtDrainingTarget() {
    TakeAllRoom();
    RequestRoom(kOtherEntry, milliseconds(50));
    Announce(1, 2, true);
    EndFirstRun();
    CPPUNIT_ASSERT(!IsOffered(kOtherEntry));
  }

 private:
  /// Advances beyond the pause between reports to other entries, but not to the
  /// end of an offer.
  void AdvanceToNextReport() {
    now_ = now_ + milliseconds(5);
    OnTick(&board_, now_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateOfferTest);

}  // namespace
}  // namespace tarragon::coordinator
