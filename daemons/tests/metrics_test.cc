#include <cppunit/extensions/HelperMacros.h>

#include <sstream>
#include <string>

#include "agent_metrics.h"
#include "entry_metrics.h"

namespace tarragon::daemons {
namespace {

/// Every family of the page must have a help line before its type line.
void AssertDescribed(const std::string& page) {
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

wire::TransportCounters SomeTraffic() {
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
  CPPUNIT_TEST(DescribesAllOfAnEntry);
  CPPUNIT_TEST(DescribesAllOfAnAgent);
  CPPUNIT_TEST(CountsTasksAndWhatIsOverTheIdeal);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DescribesAllOfAnEntry() {
    dispatch::EntryBoard board;
    board.counters = {{{"complete", 1}}, 1, 1, 1, 1, 1};
    board.invariants["x"] = 1;
    EntryMetrics metrics;
    AssertDescribed(metrics.Page(board, SomeTraffic()));
  }

  void DescribesAllOfAnAgent() {
    dispatch::AgentBoard board;
    dispatch::AgentCounters& counters = board.counters;
    counters.outcomes["complete"] = 1;
    counters.refusals["no_slot"] = 1;
    counters.starts = counters.placements = counters.retries = 1;
    counters.seals = counters.pulls = counters.empty_pulls = 1;
    counters.hints = counters.duplicates = counters.refused_assigns = 1;
    board.invariant_counts["x"] = 1;
    board.job_samples.push_back(Job(dispatch::Outcome::kComplete));
    board.task_samples.push_back(Task());
    AgentMetrics metrics;
    metrics.Take(&board);
    AssertDescribed(metrics.Page(board, SomeTraffic(), core::Time{}));
  }

  void CountsTasksAndWhatIsOverTheIdeal() {
    dispatch::AgentBoard board;
    board.job_samples.push_back(Job(dispatch::Outcome::kComplete));
    board.job_samples.push_back(Job(dispatch::Outcome::kFailed));
    board.task_samples.push_back(Task());
    AgentMetrics metrics;
    metrics.Take(&board);
    CPPUNIT_ASSERT(board.job_samples.empty());
    CPPUNIT_ASSERT(board.task_samples.empty());
    const std::string page = metrics.Page(board, {}, core::Time{});
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
  static dispatch::JobSample Job(dispatch::Outcome outcome) {
    return dispatch::JobSample{core::TenantId("t"), core::ServiceId("s"),
                               std::chrono::milliseconds(300), outcome,
                               std::chrono::milliseconds(200)};
  }

  static dispatch::TaskSample Task() {
    return dispatch::TaskSample{core::TenantId("t"), core::ServiceId("s"),
                                std::chrono::milliseconds(50),
                                std::chrono::milliseconds(200)};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

}  // namespace
}  // namespace tarragon::daemons
