#include "gate_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// Whom a gate tells first that room is free, under a load that takes all of
/// it.
class GateOfferTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GateOfferTest);
  CPPUNIT_TEST(OffersFreeRoomAtOnce);
  CPPUNIT_TEST(OffersFreedRoomToTheMostUrgentTask);
  CPPUNIT_TEST(PrefersATaskThatCanBeInTime);
  CPPUNIT_TEST(PassesOverATaskThatDoesNotFit);
  CPPUNIT_TEST(HidesOfferedRoomFromOthers);
  CPPUNIT_TEST(TakesBackAnOfferWithoutAnAnswer);
  CPPUNIT_TEST(EndsAnOfferThatIsNotNeeded);
  CPPUNIT_TEST(EndsAnOfferByAStart);
  CPPUNIT_TEST(ForgetsTheWantsOfALostEntry);
  CPPUNIT_TEST(OffersNothingAtALeavingTarget);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Want(const core::NodeId& entry, milliseconds slack,
            std::int64_t millicores = 1600, bool late = false) {
    OnMessage(&board_, now_, entry,
              RoomWanted{{millicores, 10, 0}, late, slack});
  }

  /// All room is taken by ten runs of the first entry.
  void Fill() {
    for (std::uint32_t i = 0; i < 10; ++i) StartAndAccept(Run(i));
    board_.actions.clear();
  }

  /// The first of them ends.
  void EndOne() {
    Take<SendTo<TargetReport>>();
    AnswerPoll({}, {{1, Run(0), RunEnd::kDone}});
  }

  /// The last report to the entry since the last look.
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

  void OffersFreeRoomAtOnce() {
    Want(kOtherEntry, milliseconds(50));
    CPPUNIT_ASSERT(IsOffered(kOtherEntry));
  }

  void OffersFreedRoomToTheMostUrgentTask() {
    Fill();
    Want(kEntry, milliseconds(100));
    Want(kOtherEntry, milliseconds(50));
    EndOne();
    CPPUNIT_ASSERT(IsOffered(kOtherEntry));
    CPPUNIT_ASSERT(!IsOffered(kEntry));
  }

  void PrefersATaskThatCanBeInTime() {
    Fill();
    Want(kEntry, milliseconds(-20), 1600, true);
    Want(kOtherEntry, milliseconds(50));
    EndOne();
    CPPUNIT_ASSERT(IsOffered(kOtherEntry));
  }

  void PassesOverATaskThatDoesNotFit() {
    Fill();
    Want(kOtherEntry, milliseconds(10), 2300);
    Want(kEntry, milliseconds(100));
    EndOne();
    CPPUNIT_ASSERT(IsOffered(kEntry));
    CPPUNIT_ASSERT(!IsOffered(kOtherEntry));
  }

  void HidesOfferedRoomFromOthers() {
    Fill();
    Want(kOtherEntry, milliseconds(50));
    EndOne();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1600},
                         ReportTo(kOtherEntry)->free.millicores);
    MarkReportsByTick();
    const std::optional<TargetReport> other = ReportTo(kEntry);
    CPPUNIT_ASSERT(other.has_value());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, other->free.millicores);
  }

  void TakesBackAnOfferWithoutAnAnswer() {
    Fill();
    Want(kOtherEntry, milliseconds(50));
    EndOne();
    board_.actions.clear();
    Advance(milliseconds(40));
    const std::optional<TargetReport> other = ReportTo(kEntry);
    CPPUNIT_ASSERT(other.has_value());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1600}, other->free.millicores);
  }

  void EndsAnOfferThatIsNotNeeded() {
    Fill();
    Want(kOtherEntry, milliseconds(50));
    Want(kEntry, milliseconds(100));
    EndOne();
    CPPUNIT_ASSERT(IsOffered(kOtherEntry));
    OnMessage(&board_, now_, kOtherEntry, RoomWanted{});
    CPPUNIT_ASSERT(IsOffered(kEntry));
  }

  void EndsAnOfferByAStart() {
    Fill();
    Want(kOtherEntry, milliseconds(50));
    EndOne();
    Start(Run(20), 800, kOtherEntry);
    // What the start has left is free for the others.
    Want(kEntry, milliseconds(100), 800);
    CPPUNIT_ASSERT(IsOffered(kEntry));
  }

  void ForgetsTheWantsOfALostEntry() {
    Fill();
    Want(kOtherEntry, milliseconds(50));
    OnEntryDisconnected(&board_, now_, kOtherEntry);
    Want(kEntry, milliseconds(100));
    EndOne();
    CPPUNIT_ASSERT(IsOffered(kEntry));
  }

  void OffersNothingAtALeavingTarget() {
    Fill();
    Want(kOtherEntry, milliseconds(50));
    Announce(1, 2, true);
    EndOne();
    CPPUNIT_ASSERT(!IsOffered(kOtherEntry));
  }

 private:
  /// Lets the pause between reports to other entries pass, but not the time of
  /// an offer.
  void MarkReportsByTick() {
    now_ = now_ + milliseconds(5);
    OnTick(&board_, now_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateOfferTest);

}  // namespace
}  // namespace tarragon::coordinator
