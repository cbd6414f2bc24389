#include <cppunit/extensions/HelperMacros.h>

#include <sstream>
#include <string>

#include "agent_metrics.h"
#include "entry_metrics.h"

namespace tarragon::daemons {
namespace {

/// Every family of the page must have a help line before its type line.
void AssertEveryMetricHasHelp(const std::string& page) {
  std::istringstream lines(page);
  std::string line;
  std::string before;
  int families = 0;
  while (std::getline(lines, line)) {
    if (line.rfind("# TYPE ", 0) == 0) {
      const std::string name = line.substr(7, line.find(' ', 7) - 7);
      CPPUNIT_ASSERT_MESSAGE(name,
                             before.rfind("# HELP " + name + " ", 0) == 0);
      ++families;
    }
    before = line;
  }
  CPPUNIT_ASSERT(families > 10);
}

bool Contains(const std::string& page, const std::string& text) {
  return page.find(text) != std::string::npos;
}

wire::TransportCounters MakeTransportCounters() {
  wire::TransportCounters counters;
  counters.sent["assign"].messages = 1;
  counters.sent["assign"].bytes = 1;
  counters.received["assign"].messages = 1;
  counters.received["assign"].bytes = 1;
  counters.bytes_sent = 1;
  counters.bytes_received = 1;
  counters.refused_frames = 1;
  counters.violations = 1;
  counters.dropped_messages = 1;
  return counters;
}

class MetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(EntryPageHasHelpForEveryMetric);
  CPPUNIT_TEST(AgentPageHasHelpForEveryMetric);
  CPPUNIT_TEST(RecordsJobAndTaskSamples);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EntryPageHasHelpForEveryMetric() {
    dispatch::EntryBoard board;
    board.counters = {{{"complete", 1}}, 1, 1, 1, 1, 1};
    board.invariants["x"] = 1;
    EntryMetrics metrics;
    AssertEveryMetricHasHelp(
        metrics.RenderPage(board, MakeTransportCounters()));
  }

  void AgentPageHasHelpForEveryMetric() {
    dispatch::AgentBoard board;
    dispatch::AgentCounters& counters = board.counters;
    counters.outcomes["complete"] = 1;
    counters.refusals["no_slot"] = 1;
    counters.starts = counters.placements = counters.retries = 1;
    counters.seals = counters.pulls = counters.empty_pulls = 1;
    counters.hints = counters.duplicates = counters.refused_assigns = 1;
    board.invariant_counts["x"] = 1;
    board.job_samples.push_back(MakeJobSample(dispatch::Outcome::kComplete));
    board.task_samples.push_back(MakeTaskSample());
    AgentMetrics metrics;
    metrics.RecordSamples(&board);
    AssertEveryMetricHasHelp(
        metrics.RenderPage(board, MakeTransportCounters(), core::Time{}));
  }

  void RecordsJobAndTaskSamples() {
    dispatch::AgentBoard board;
    board.job_samples.push_back(MakeJobSample(dispatch::Outcome::kComplete));
    board.job_samples.push_back(MakeJobSample(dispatch::Outcome::kFailed));
    board.task_samples.push_back(MakeTaskSample());
    AgentMetrics metrics;
    metrics.RecordSamples(&board);
    CPPUNIT_ASSERT(board.job_samples.empty());
    CPPUNIT_ASSERT(board.task_samples.empty());
    const std::string page = metrics.RenderPage(board, {}, core::Time{});
    const std::string labels = R"({service="s",tenant="t"})";
    for (const char* count : {"job_response_seconds_count{labels} 2",
                              "job_over_ideal_seconds_count{labels} 1",
                              "task_queue_seconds_count{labels} 1",
                              "task_run_seconds_count{labels} 1"}) {
      std::string line = std::string("tarragon_") + count;
      line.replace(line.find("{labels}"), 8, labels);
      CPPUNIT_ASSERT_MESSAGE(line, Contains(page, line));
    }
  }

 private:
  static dispatch::JobSample MakeJobSample(dispatch::Outcome outcome) {
    return dispatch::JobSample{core::TenantId("t"), core::ServiceId("s"),
                               std::chrono::milliseconds(300), outcome,
                               std::chrono::milliseconds(200)};
  }

  static dispatch::TaskSample MakeTaskSample() {
    return dispatch::TaskSample{core::TenantId("t"), core::ServiceId("s"),
                                std::chrono::milliseconds(50),
                                std::chrono::milliseconds(200)};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

}  // namespace
}  // namespace tarragon::daemons
