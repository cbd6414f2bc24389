#include "tarragon/bench/report.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tarragon/bench/report_json.h"
#include "tarragon/bench/report_text.h"

namespace tarragon::bench {
namespace {

core::Duration Ms(int ms) { return std::chrono::milliseconds(ms); }

PlannedJob Job(int at_ms, const char* service, bool idempotent,
               const char* tenant, std::vector<core::Duration> runs) {
  PlannedJob job;
  job.at = Ms(at_ms);
  job.service = core::ServiceId(service);
  job.idempotent = idempotent;
  job.tenant = core::TenantId(tenant);
  job.size_class = runs.size() > 1 ? 1 : 0;
  job.runs = std::move(runs);
  return job;
}

JobRecord Record(JobEnd end, const char* reason, int ended_at_ms) {
  JobRecord record;
  record.end = end;
  record.reason = reason;
  record.ended_at = Ms(ended_at_ms);
  return record;
}

/// One slot and four jobs, of which the second is refused.
RunPlan SmallPlan() {
  RunPlan plan;
  plan.preset.name = "small";
  plan.preset.targets = 1;
  plan.preset.slots_per_target = 1;
  plan.preset.sizes = {{"1", 1, 1, 1}, {"2", 2, 2, 1}};
  plan.length = std::chrono::seconds(2);
  plan.seed = 5;
  plan.jobs = {Job(0, "look", true, "a", {Ms(100)}),
               Job(10, "look", true, "b", {Ms(500)}),
               Job(20, "carve", false, "a", {Ms(50), Ms(50)}),
               Job(1000, "look", true, "b", {Ms(300)})};
  return plan;
}

RunResult SmallResult() {
  RunResult result;
  result.records = {Record(JobEnd::kComplete, "none", 110),
                    Record(JobEnd::kNotRun, "overload", 15),
                    Record(JobEnd::kComplete, "none", 230),
                    Record(JobEnd::kComplete, "none", 1305)};
  result.records[0].resubmissions = 2;
  result.records[0].lost_answers = 3;
  result.records[1].refusals = 1;
  result.records[3].crossed = true;
  result.records[3].sent_late = Ms(4);
  result.refusal_times = {Ms(5)};
  return result;
}

ProcessReport Process(const char* address, std::uint64_t assigns) {
  ProcessReport process;
  process.address = core::Address(address);
  ProcessCounters& spent = process.spent.emplace();
  spent.sent = {{"assign", assigns}, {"finished", 4}};
  spent.cpu = Ms(30);
  spent.resident_bytes = std::uint64_t{1024} * 1024;
  spent.bytes_out = 500;
  return process;
}

Report SmallReport() {
  ProcessReport silent;
  silent.address = core::Address("127.0.0.1:3");
  return BuildReport(
      SmallPlan(), SmallResult(),
      {Process("127.0.0.1:1", 4), Process("127.0.0.1:2", 8), silent});
}

const GroupReport& Group(const Report& report, const std::string& kind,
                         const std::string& name) {
  for (const GroupReport& group : report.groups) {
    if (group.kind == kind && group.name == name) return group;
  }
  CPPUNIT_FAIL("no group " + kind + " " + name);
  return report.groups.front();
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

class ReportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReportTest);
  CPPUNIT_TEST(TakesQuantilesByTheNearestRank);
  CPPUNIT_TEST(CountsJobsAndWork);
  CPPUNIT_TEST(ComparesWithTheIdealOfCompleteJobs);
  CPPUNIT_TEST(GroupsJobs);
  CPPUNIT_TEST(LeavesLateWorkOutOfGoodput);
  CPPUNIT_TEST(CountsOutcomes);
  CPPUNIT_TEST(SumsUpEachSecond);
  CPPUNIT_TEST(SumsUpProcesses);
  CPPUNIT_TEST(ComparesReadings);
  CPPUNIT_TEST(RoundTripsThroughJson);
  CPPUNIT_TEST(RefusesWhatIsNoReport);
  CPPUNIT_TEST(PrintsTheReport);
  CPPUNIT_TEST(SaysWhatWasNotMeasured);
  CPPUNIT_TEST(PrintsTheComparison);
  CPPUNIT_TEST(AcceptsAnEmptyRun);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TakesQuantilesByTheNearestRank() {
    std::vector<core::Duration> values;
    for (int i = 1000; i >= 1; --i) values.push_back(Ms(i));
    const Quantiles quantiles = QuantilesOf(values);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1000), quantiles.count);
    CPPUNIT_ASSERT(quantiles.mean == core::Duration(500500));
    CPPUNIT_ASSERT(quantiles.p50 == Ms(500));
    CPPUNIT_ASSERT(quantiles.p99 == Ms(990));
    CPPUNIT_ASSERT(quantiles.p999 == Ms(999));
    CPPUNIT_ASSERT(quantiles.longest == Ms(1000));
    CPPUNIT_ASSERT(QuantilesOf({Ms(-3)}).p50 == Ms(-3));
    CPPUNIT_ASSERT(QuantilesOf({}) == Quantiles());
  }

  void CountsJobsAndWork() {
    const Report report = SmallReport();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), report.jobs);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), report.tasks);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), report.completed_tasks);
    CPPUNIT_ASSERT(report.offered_work == Ms(1000));
    CPPUNIT_ASSERT(report.completed_work == Ms(500));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, Offered(report), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, Completed(report), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, Goodput(report), 1e-9);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), report.crossed);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), report.partial);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), report.resubmissions);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), report.lost_answers);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), report.refusals);
    CPPUNIT_ASSERT(report.refusal_time.p50 == Ms(5));
    CPPUNIT_ASSERT(report.sent_late.longest == Ms(4));
  }

  void ComparesWithTheIdealOfCompleteJobs() {
    // Without the refused job the slot is busy 0-100, 100-200, 1000-1300: ideal
    // responses 100, 180, 300; seen were 110, 210, 305.
    const Report report = SmallReport();
    const GroupReport& all = Group(report, "all", "all");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), all.jobs);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), all.response.count);
    CPPUNIT_ASSERT(all.response.p50 == Ms(210));
    CPPUNIT_ASSERT(all.ideal.p50 == Ms(180));
    CPPUNIT_ASSERT(all.excess.mean == Ms(15));
    CPPUNIT_ASSERT(all.excess.p50 == Ms(10));
    CPPUNIT_ASSERT(all.excess.longest == Ms(30));
  }

  void GroupsJobs() {
    const Report report = SmallReport();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                         Group(report, "tenant", "a").response.count);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                         Group(report, "tenant", "b").response.count);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3),
                         Group(report, "service", "look").jobs);
    CPPUNIT_ASSERT(Group(report, "class", "non-idempotent").response.p50 ==
                   Ms(210));
    CPPUNIT_ASSERT(Group(report, "size", "2").excess.p50 == Ms(30));
    CPPUNIT_ASSERT_EQUAL(std::size_t(9), report.groups.size());
  }

  void LeavesLateWorkOutOfGoodput() {
    RunResult result = SmallResult();
    result.records[3].ended_at = Ms(2001);
    const Report report = BuildReport(SmallPlan(), result, {});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, Completed(report), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.10, Goodput(report), 1e-9);
  }

  void CountsOutcomes() {
    const std::vector<OutcomeCount> expected = {
        {JobEnd::kComplete, "none", 3}, {JobEnd::kNotRun, "overload", 1}};
    CPPUNIT_ASSERT(SmallReport().outcomes == expected);
  }

  void SumsUpEachSecond() {
    const std::vector<SecondReport> expected = {{2, Ms(200), 1, 0},
                                                {1, Ms(300), 0, 0}};
    CPPUNIT_ASSERT(SmallReport().seconds == expected);
  }

  void SumsUpProcesses() {
    const Report report = SmallReport();
    const std::map<std::string, std::uint64_t> expected = {{"assign", 12},
                                                           {"finished", 8}};
    CPPUNIT_ASSERT(MessagesSent(report) == expected);
    CPPUNIT_ASSERT(!MessagesWasted(report));
  }

  void ComparesReadings() {
    ProcessCounters early;
    early.sent = {{"assign", 10}};
    early.cpu = Ms(5);
    ProcessCounters late;
    late.sent = {{"assign", 13}, {"pull", 2}};
    late.cpu = Ms(9);
    const std::vector<ProcessReport> processes = CompareReadings(
        {core::Address("127.0.0.1:1"), core::Address("127.0.0.1:2")},
        {early, std::nullopt}, {late, late});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3),
                         processes[0].spent->sent->at("assign"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                         processes[0].spent->sent->at("pull"));
    CPPUNIT_ASSERT(processes[0].spent->cpu == Ms(4));
    CPPUNIT_ASSERT(!processes[1].spent);
  }

  void RoundTripsThroughJson() {
    const Report report = SmallReport();
    BenchError reason;
    const std::optional<Report> read =
        DecodeReport(EncodeReport(report), &reason);
    CPPUNIT_ASSERT_MESSAGE(reason.text, read.has_value());
    CPPUNIT_ASSERT(*read == report);
  }

  void RefusesWhatIsNoReport() {
    BenchError reason;
    CPPUNIT_ASSERT(!DecodeReport("", &reason));
    CPPUNIT_ASSERT(!DecodeReport("[]", &reason));
    CPPUNIT_ASSERT(!DecodeReport("{\"preset\":\"x\"}", &reason));
    CPPUNIT_ASSERT(Contains(reason.text, "This is no report"));
    CPPUNIT_ASSERT(!DecodeReport("{\"preset\":7}", &reason));
  }

  void PrintsTheReport() {
    const std::string text = FormatReport(SmallReport());
    CPPUNIT_ASSERT(
        Contains(text, "offered 0.500  completed 0.250  goodput 0.250"));
    CPPUNIT_ASSERT(Contains(text, "crossed 1  partial 0"));
    CPPUNIT_ASSERT(Contains(text, "refusal answer time ms: p50 5.0"));
    CPPUNIT_ASSERT(Contains(text, "non-idempotent"));
    CPPUNIT_ASSERT(Contains(text, "all          20                    5.000"));
    CPPUNIT_ASSERT(
        Contains(text, "processes that answered before and after: 2 of 3"));
  }

  void SaysWhatWasNotMeasured() {
    const std::string text =
        FormatReport(BuildReport(SmallPlan(), SmallResult(), {}));
    CPPUNIT_ASSERT(
        Contains(text, "Messages between processes: not measured\n"));
    CPPUNIT_ASSERT(Contains(text, "Wasted messages: not measured\n"));
  }

  void PrintsTheComparison() {
    const Report a = SmallReport();
    Report b = a;
    b.completed_work = Ms(1000);
    const std::string text = FormatComparison(a, b);
    CPPUNIT_ASSERT(Contains(text, "completed  "));
    CPPUNIT_ASSERT(Contains(text, "0.250  0.500     100.0"));
    CPPUNIT_ASSERT(Contains(text, "size 2: over ideal p99 ms"));
  }

  void AcceptsAnEmptyRun() {
    RunPlan plan = SmallPlan();
    plan.jobs.clear();
    const Report report = BuildReport(plan, RunResult(), {});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), report.jobs);
    CPPUNIT_ASSERT(Contains(FormatReport(report), "jobs 0"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReportTest);

}  // namespace
}  // namespace tarragon::bench
