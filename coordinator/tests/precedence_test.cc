#include <string>
#include <vector>

#include "entry_fixture.h"
#include "gate_fixture.h"
#include "precedence.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Order and admission of an entry with queues of two priorities.
class PrecedenceTest : public EntryFixture {
  CPPUNIT_TEST_SUITE(PrecedenceTest);
  CPPUNIT_TEST(OrdersByPriorityOnlyWhileRoomIsShort);
  CPPUNIT_TEST(RefusesOnlyLowerPriorityForWorkOfOthers);
  CPPUNIT_TEST(AcceptsWhileTargetHasRoom);
  CPPUNIT_TEST(IgnoresDemandOfSilentEntries);
  CPPUNIT_TEST(KeepsShortageThroughBriefCalm);
  CPPUNIT_TEST(IgnoresDemandIfPrioritiesAreEqual);
  CPPUNIT_TEST(LimitsWorkOfOddTask);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    EntryFixture::setUp();
    SetLowPriority(2);
  }

  // Guards against sums of work that overflow after one odd submission.
  void LimitsWorkOfOddTask() {
    CPPUNIT_ASSERT_EQUAL(std::int64_t{160000},
                         ComputeTaskWork({1600, 64, 0}, milliseconds(100)));
    const std::int64_t odd = ComputeTaskWork({std::int64_t{1} << 32, 0, 0},
                                             std::chrono::hours(24 * 30));
    CPPUNIT_ASSERT(odd > 0);
    CPPUNIT_ASSERT(odd <= std::int64_t{1} << 40);
  }

  /// Adds a queue "low" of the same service.
  void SetLowPriority(std::uint32_t priority) {
    OperatorState state = board_.operator_state;
    ++state.version;
    state.queues.resize(1);
    state.queues.push_back(state.queues[0]);
    state.queues[1].name = QueueId("low");
    state.queues[1].priority = priority;
    OnOperatorState(&board_, now_, state, "test");
  }

  /// A report with other entries' waiting work of priority 2, as time that the
  /// target would take for it.
  void ReportOthers(std::int64_t free, milliseconds work) {
    Report(GateId(1), free);
    TargetReport report = *board_.gates.at(GateId(1).address).report;
    report.entries = 2;
    // The first report came from a gate that knows no other entry.
    board_.precedence.others_at.reset();
    board_.precedence.others.clear();
    report.others_demand = {
        {0, 0, 0}, {2, static_cast<std::uint64_t>(work.count()) * 16000, 0}};
    OnMessage(&board_, now_, GateId(1), report);
  }

  CallId SubmitLow(const std::string& id, core::Duration run) {
    JobRequest request;
    request.id = JobId(id);
    StepSpec step;
    step.count = 1;
    step.room = {1600, 64, 0};
    step.declared_run_time = run;
    request.steps = {step};
    OnSubmit(&board_, now_, CallId(++last_call_),
             board_.operator_state.queues.at(1), std::move(request),
             now_ + seconds(10));
    return CallId(last_call_);
  }

  /// The job that is placed first when room for one task becomes free. The job
  /// of low priority has the earlier latest start.
  std::string FirstOfTwo(milliseconds others_work) {
    ReportOthers(0, others_work);
    OnTick(&board_, now_);
    Submit("high", 1, milliseconds(400));
    SubmitLow("low", milliseconds(200));
    TakeStarts();
    Report(GateId(1), 1600);
    const std::vector<SendTo<StartRun>> starts = TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    return starts[0].message.run.task.job.value();
  }

  void OrdersByPriorityOnlyWhileRoomIsShort() {
    CPPUNIT_ASSERT_EQUAL(std::string("low"), FirstOfTwo(milliseconds(20)));
    setUp();
    CPPUNIT_ASSERT_EQUAL(std::string("high"), FirstOfTwo(milliseconds(60)));
  }

  void RefusesOnlyLowerPriorityForWorkOfOthers() {
    ReportOthers(0, seconds(1));
    AssertRefusal(SubmitLow("low", milliseconds(100)), Refusal::kOverload);
    CPPUNIT_ASSERT(!TakeAnswerTo(Submit("high", 1)).has_value());
  }

  void AcceptsWhileTargetHasRoom() {
    ReportOthers(1600, seconds(1));
    CPPUNIT_ASSERT(
        !TakeAnswerTo(SubmitLow("a", milliseconds(100))).has_value());
    AssertRefusal(SubmitLow("b", milliseconds(100)), Refusal::kOverload);
  }

  void IgnoresDemandOfSilentEntries() {
    ReportOthers(0, seconds(1));
    Advance(milliseconds(1020));
    Report(GateId(1), 0);
    CPPUNIT_ASSERT(
        !TakeAnswerTo(SubmitLow("low", milliseconds(100))).has_value());
  }

  void KeepsShortageThroughBriefCalm() {
    ReportOthers(0, seconds(1));
    Advance(milliseconds(20));
    CPPUNIT_ASSERT(board_.precedence.room_short);
    ReportOthers(0, milliseconds(0));
    Advance(milliseconds(400));
    ReportOthers(0, milliseconds(600));
    Advance(milliseconds(20));
    ReportOthers(0, milliseconds(0));
    Advance(milliseconds(400));
    CPPUNIT_ASSERT(board_.precedence.room_short);
    Advance(milliseconds(200));
    CPPUNIT_ASSERT(!board_.precedence.room_short);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, board_.counts.shortages);
  }

  void IgnoresDemandIfPrioritiesAreEqual() {
    SetLowPriority(0);
    CPPUNIT_ASSERT_EQUAL(std::string("low"), FirstOfTwo(seconds(1)));
    for (const auto& notice : TakeActions<SendTo<EntryNotice>>()) {
      CPPUNIT_ASSERT(notice.message.demand.empty());
    }
  }
};

/// How a gate passes on demand and orders requests for room.
class GatePrecedenceTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GatePrecedenceTest);
  CPPUNIT_TEST(ReportsDemandOfOthersForOneSecond);
  CPPUNIT_TEST(OffersRoomToHighestPriority);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Demand in the last report to `kEntry` that has any.
  std::vector<PriorityDemand> TakeDemand() {
    std::vector<PriorityDemand> demand;
    for (const auto& sent : TakeActions<SendTo<TargetReport>>()) {
      if (sent.to != kEntry || sent.message.others_demand.empty()) continue;
      demand = sent.message.others_demand;
    }
    return demand;
  }

  void Tell(const core::NodeId& entry, std::uint64_t work) {
    EntryNotice notice = MakeNotice(now_);
    notice.demand = {{2, work, 7}};
    OnMessage(&board_, now_, entry, notice);
  }

  void ReportsDemandOfOthersForOneSecond() {
    Tell(kOtherEntry, 500);
    for (int i = 0; i < 6; ++i) {
      Advance(milliseconds(200), false);
      Tell(kEntry, 300);
      const std::vector<PriorityDemand> demand = TakeDemand();
      if (i >= 5) {
        CPPUNIT_ASSERT(demand.empty());
      } else if (i >= 1) {
        CPPUNIT_ASSERT((demand == std::vector<PriorityDemand>{{2, 500, 7}}));
      }
    }
  }

  void OffersRoomToHighestPriority() {
    for (std::uint32_t i = 0; i < 10; ++i) StartAndAccept(MakeRun(i));
    board_.actions.clear();
    OnMessage(&board_, now_, kEntry,
              RoomWanted{{1600, 10, 0}, false, milliseconds(10), 2});
    OnMessage(&board_, now_, kOtherEntry,
              RoomWanted{{1600, 10, 0}, false, milliseconds(90), 0});
    AnswerPoll({}, {{1, MakeRun(0), RunEnd::kDone}});
    CPPUNIT_ASSERT(board_.homes.at(kOtherEntry.address).offer.has_value());
    CPPUNIT_ASSERT(!board_.homes.at(kEntry.address).offer.has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrecedenceTest);
CPPUNIT_TEST_SUITE_REGISTRATION(GatePrecedenceTest);

}  // namespace
}  // namespace tarragon::coordinator
