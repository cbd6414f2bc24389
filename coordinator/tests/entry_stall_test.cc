#include <algorithm>

#include "entry_fixture.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// What an entry does that was paused, or was too busy to look at its
/// connections. Clients resubmit elsewhere 1.3 s after their connection ends.
class EntryStallTest : public EntryFixture {
  CPPUNIT_TEST_SUITE(EntryStallTest);
  CPPUNIT_TEST(StartsNothingUntilConnectionsWereRead);
  CPPUNIT_TEST(DropsJobWhoseClientLeftDuringStall);
  CPPUNIT_TEST(DropsJobWhoseRequestAndCloseCameLate);
  CPPUNIT_TEST(StallCountsAgainstDeadlineOfRequestReadAfterIt);
  CPPUNIT_TEST(StartsJobWhoseClientStillWaits);
  CPPUNIT_TEST(StartsNoTaskOfExpiredJobBetweenTicks);
  CPPUNIT_TEST(ShortPauseDelaysNothing);
  CPPUNIT_TEST(NoJobStartsTwiceWhateverTheOrderOfEvents);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StartsNothingUntilConnectionsWereRead() {
    WaitForRoom("j1");
    now_ = now_ + milliseconds(1400);
    Report(GateId(1), 16000);
    CPPUNIT_ASSERT(TakeStarts().empty());
    OnTick(&board_, now_);
    Report(GateId(1), 16000);
    CPPUNIT_ASSERT(TakeStarts().empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, board_.counts.stalls);
  }

  void DropsJobWhoseClientLeftDuringStall() {
    const CallId call = WaitForRoom("j1");
    now_ = now_ + milliseconds(1400);
    Report(GateId(1), 16000);
    OnTick(&board_, now_);
    OnCallClosed(&board_, now_, call);
    ReportFor(milliseconds(400));
    CPPUNIT_ASSERT(TakeStarts().empty());
  }

  void StallCountsAgainstDeadlineOfRequestReadAfterIt() {
    Report(GateId(1), 0);
    Advance(milliseconds(40));
    now_ = now_ + milliseconds(1400);
    JobRequest request;
    request.id = JobId("j1");
    request.steps.resize(1);
    request.steps[0].count = 1;
    request.steps[0].declared_run_time = milliseconds(20);
    OnSubmit(&board_, now_, CallId(99), board_.operator_state.queues.at(0),
             request, now_ + milliseconds(1500));
    const auto job = board_.jobs.find(request.id);
    CPPUNIT_ASSERT(job == board_.jobs.end() ||
                   job->second->answer_by <= now_ + milliseconds(100));
  }

  void DropsJobWhoseRequestAndCloseCameLate() {
    Report(GateId(1), 16000);
    Advance(milliseconds(40));
    now_ = now_ + milliseconds(1400);
    // The request waited unread in the stalled entry. The end of its connection
    // is still on its way.
    const CallId call = Submit("j1", 1);
    OnTick(&board_, now_);
    now_ = now_ + milliseconds(32);
    Report(GateId(1), 16000);
    OnTick(&board_, now_);
    OnCallClosed(&board_, now_, call);
    ReportFor(milliseconds(400));
    CPPUNIT_ASSERT(TakeStarts().empty());
  }

  void StartsJobWhoseClientStillWaits() {
    WaitForRoom("j1", milliseconds(900));
    now_ = now_ + milliseconds(500);
    OnTick(&board_, now_);
    ReportFor(milliseconds(80));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeStarts().size());
  }

  void StartsNoTaskOfExpiredJobBetweenTicks() {
    // Its objective is 220 ms, and after three times that it is useless.
    Report(GateId(1), 1600);
    Submit("j1", 1);
    const std::vector<SendTo<StartRun>> first = TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.size());
    Advance(milliseconds(650));
    Report(GateId(1), 16000);
    now_ = now_ + milliseconds(15);
    ReportEnd(first[0], RunEnd::kLapsed);
    CPPUNIT_ASSERT(TakeStarts().empty());
  }

  void ShortPauseDelaysNothing() {
    WaitForRoom("j1");
    now_ = now_ + milliseconds(100);
    Report(GateId(1), 16000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeStarts().size());
  }

  /// After a stall of 1.4 s, four events arrive in any order within the time
  /// that the entry needs to read all of its connections: a report with free
  /// room, the tick, the late request, and the end of its connection. A close
  /// before its request is found by the server, which drops the request.
  void NoJobStartsTwiceWhateverTheOrderOfEvents() {
    std::vector<int> order = {0, 1, 2, 3};
    do {
      if (std::find(order.begin(), order.end(), 3) <
          std::find(order.begin(), order.end(), 2)) {
        continue;
      }
      setUp();
      Report(GateId(1), 16000);
      Advance(milliseconds(40));
      now_ = now_ + milliseconds(1400);
      CallId call;
      for (const int event : order) {
        now_ = now_ + milliseconds(10);
        if (event == 0) Report(GateId(1), 16000);
        if (event == 1) OnTick(&board_, now_);
        if (event == 2) call = Submit("j1", 1);
        if (event == 3) OnCallClosed(&board_, now_, call);
      }
      ReportFor(milliseconds(200));
      CPPUNIT_ASSERT(TakeStarts().empty());
    } while (std::next_permutation(order.begin(), order.end()));
  }

 private:
  /// A job that waits, because no room is free.
  CallId WaitForRoom(const std::string& id,
                     core::Duration run = milliseconds(100)) {
    Report(GateId(1), 16000);
    Advance(milliseconds(40));
    Submit("other", 10, run);
    const CallId call = Submit(id, 1, run);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, TakeStarts().size());
    return call;
  }

  /// Ticks, and reports free room in between.
  void ReportFor(core::Duration time) {
    const core::Time end = now_ + time;
    while (now_ < end) {
      Report(GateId(1), 16000);
      Advance(milliseconds(20));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryStallTest);

}  // namespace
}  // namespace tarragon::coordinator
