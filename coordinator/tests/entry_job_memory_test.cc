#include "entry_fixture.h"
#include "job_memory.h"

namespace tarragon::coordinator {
namespace {

constexpr std::size_t kMaxJobBytes = std::size_t{1024} * 1024;

/// The bound on the memory of the accepted jobs.
class EntryJobMemoryTest : public EntryFixture {
  CPPUNIT_TEST_SUITE(EntryJobMemoryTest);
  CPPUNIT_TEST(RefusesJobsThatTakeTooMuch);
  CPPUNIT_TEST(LargeJobsLeaveRoomForOrdinaryOnes);
  CPPUNIT_TEST(MemoryIsFreeAgainWhenJobsEnd);
  CPPUNIT_TEST(CountsWhatABodyBecomes);
  CPPUNIT_TEST(AcceptsLargestJobInCalm);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    EntryFixture::setUp();
    board_.policy.max_job_bytes = kMaxJobBytes;
    Report(GateId(1), 16000);
  }

  void RefusesJobsThatTakeTooMuch() {
    const CallId call = SubmitWaiting("large", 10000);
    const std::optional<ClientAnswer> answer = TakeAnswerTo(call);
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT(answer->refusal == Refusal::kOverload);
    CPPUNIT_ASSERT(answer->retry_after.count() > 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, board_.counts.refused_for_memory);
    CPPUNIT_ASSERT(board_.jobs.empty());
    CPPUNIT_ASSERT(TakeStarts().empty());
  }

  void LargeJobsLeaveRoomForOrdinaryOnes() {
    for (int i = 0; i < 100; ++i) {
      SubmitWaiting("large" + std::to_string(i), 500);
    }
    CPPUNIT_ASSERT(board_.counts.refused_for_memory > 0);
    CPPUNIT_ASSERT(board_.job_bytes <= kMaxJobBytes);
    const CallId ordinary = Submit("ordinary", 4);
    CPPUNIT_ASSERT(!TakeAnswerTo(ordinary).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, board_.jobs.count(JobId("ordinary")));
  }

  void MemoryIsFreeAgainWhenJobsEnd() {
    const CallId call = SubmitWaiting("large", 500);
    CPPUNIT_ASSERT(board_.job_bytes > 0);
    OnCallClosed(&board_, now_, call);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, board_.job_bytes);
    const CallId next = Submit("next", 1);
    const std::vector<SendTo<StartRun>> starts = TakeStarts();
    ReportEnd(starts.back(), RunEnd::kDone);
    AssertState(next, JobState::kCompleted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, board_.job_bytes);
  }

  void CountsWhatABodyBecomes() {
    JobRequest request;
    request.steps.resize(1);
    const std::size_t least = EstimateMemory(request);
    request.steps[0].count = 100;
    const std::size_t with_tasks = EstimateMemory(request);
    CPPUNIT_ASSERT(with_tasks >= least + 100 * sizeof(Task));
    request.steps[0].after.resize(1000);
    const std::size_t with_order = EstimateMemory(request);
    CPPUNIT_ASSERT(with_order >= with_tasks + 1000 * sizeof(std::uint32_t));
    const std::size_t short_payload = request.payload.capacity();
    request.payload.resize(4000);
    CPPUNIT_ASSERT(EstimateMemory(request) + short_payload >=
                   with_order + 4000);
  }

  void AcceptsLargestJobInCalm() {
    // A share of the smallest VM.
    board_.policy.max_job_bytes = std::size_t{30} * 1000 * 1000;
    const CallId call = SubmitWaiting("large", 10000);
    CPPUNIT_ASSERT(!TakeAnswerTo(call).has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, board_.counts.refused_for_memory);
  }

 private:
  /// Submits a job of which all tasks but the first wait for that one.
  CallId SubmitWaiting(const std::string& id, std::uint32_t tasks) {
    JobRequest request;
    request.id = JobId(id);
    StepSpec first;
    first.count = 1;
    first.declared_run_time = std::chrono::milliseconds(100);
    StepSpec rest = first;
    rest.count = tasks - 1;
    rest.after = {0};
    request.steps = {first, rest};
    return SubmitRequest(std::move(request));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryJobMemoryTest);

}  // namespace
}  // namespace tarragon::coordinator
