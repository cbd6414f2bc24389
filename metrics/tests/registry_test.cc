#include "tarragon/metrics/registry.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

namespace tarragon::metrics {
namespace {

using std::chrono::milliseconds;

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

class RegistryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegistryTest);
  CPPUNIT_TEST(CountsBySortedLabels);
  CPPUNIT_TEST(WritesCountersAndGauges);
  CPPUNIT_TEST(WritesHistograms);
  CPPUNIT_TEST(EscapesLabelsAndHelp);
  CPPUNIT_TEST(WritesValuesThatAreNoNumbers);
  CPPUNIT_TEST(LeavesOutFamiliesWithoutSeries);
  CPPUNIT_TEST(PutsLabelSetsOverTheBoundIntoOther);
  CPPUNIT_TEST(BoundsAllSeries);
  CPPUNIT_TEST(ForgetMakesRoom);
  CPPUNIT_TEST(LeavesOutUsesAsAnotherKind);
  CPPUNIT_TEST(AbsentSeriesReadAsZero);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CountsBySortedLabels() {
    Registry registry;
    registry.Count("jobs_total", {{"tenant", "a"}, {"outcome", "complete"}});
    registry.Count("jobs_total", {{"outcome", "complete"}, {"tenant", "a"}}, 4);
    CPPUNIT_ASSERT_EQUAL(
        5.0, registry.Value("jobs_total",
                            {{"tenant", "a"}, {"outcome", "complete"}}));
    const Labels twice{{"a", "first"}, {"a", "second"}};
    CPPUNIT_ASSERT(twice == Labels({{"a", "first"}}));
  }

  void WritesCountersAndGauges() {
    Registry registry;
    registry.Describe("jobs_total", MetricKind::kCounter, "Jobs that ended.");
    registry.Describe("running", MetricKind::kGauge, "Tasks that run.");
    registry.Count("jobs_total", {{"tenant", "b"}}, 2);
    registry.Count("jobs_total", {{"tenant", "a"}});
    registry.Set("running", {}, 2.5);
    registry.Set("running", {}, -7);
    CPPUNIT_ASSERT_EQUAL(std::string("# HELP tarragon_jobs_total Jobs that "
                                     "ended.\n"
                                     "# TYPE tarragon_jobs_total counter\n"
                                     "tarragon_jobs_total{tenant=\"a\"} 1\n"
                                     "tarragon_jobs_total{tenant=\"b\"} 2\n"
                                     "# HELP tarragon_running Tasks that run.\n"
                                     "# TYPE tarragon_running gauge\n"
                                     "tarragon_running -7\n"),
                         registry.Exposition());
  }

  void WritesHistograms() {
    Registry registry;
    registry.Observe("wait_seconds", {{"tenant", "a"}}, milliseconds(1));
    registry.Observe("wait_seconds", {{"tenant", "a"}}, milliseconds(250));
    const std::string text = registry.Exposition();
    CPPUNIT_ASSERT(Contains(text, "# TYPE tarragon_wait_seconds histogram\n"));
    CPPUNIT_ASSERT(Contains(
        text, "tarragon_wait_seconds_bucket{tenant=\"a\",le=\"0.0001\"} 0\n"));
    CPPUNIT_ASSERT(Contains(
        text, "tarragon_wait_seconds_bucket{tenant=\"a\",le=\"0.001\"} 1\n"));
    CPPUNIT_ASSERT(Contains(
        text, "tarragon_wait_seconds_bucket{tenant=\"a\",le=\"1000\"} 2\n"));
    CPPUNIT_ASSERT(Contains(
        text, "tarragon_wait_seconds_bucket{tenant=\"a\",le=\"+Inf\"} 2\n"));
    CPPUNIT_ASSERT(
        Contains(text, "tarragon_wait_seconds_sum{tenant=\"a\"} 0.251\n"));
    CPPUNIT_ASSERT(
        Contains(text, "tarragon_wait_seconds_count{tenant=\"a\"} 2\n"));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        0.25, registry.Quantile("wait_seconds", {{"tenant", "a"}}, 1), 1e-9);
  }

  void EscapesLabelsAndHelp() {
    Registry registry;
    registry.Describe("x_total", MetricKind::kCounter, "A\\B\n\"C\"");
    registry.Count("x_total", {{"name", "a\"b\\c\nd"}});
    CPPUNIT_ASSERT_EQUAL(
        std::string("# HELP tarragon_x_total A\\\\B\\n\"C\"\n"
                    "# TYPE tarragon_x_total counter\n"
                    "tarragon_x_total{name=\"a\\\"b\\\\c\\nd\"} 1\n"),
        registry.Exposition());
  }

  void WritesValuesThatAreNoNumbers() {
    Registry registry;
    const double infinite = std::numeric_limits<double>::infinity();
    registry.Set("a", {}, infinite);
    registry.Set("b", {}, -infinite);
    registry.Set("c", {}, std::numeric_limits<double>::quiet_NaN());
    const std::string text = registry.Exposition();
    CPPUNIT_ASSERT(Contains(text, "tarragon_a +Inf\n"));
    CPPUNIT_ASSERT(Contains(text, "tarragon_b -Inf\n"));
    CPPUNIT_ASSERT(Contains(text, "tarragon_c NaN\n"));
  }

  void LeavesOutFamiliesWithoutSeries() {
    Registry registry;
    registry.Describe("x_total", MetricKind::kCounter, "Never used.");
    CPPUNIT_ASSERT_EQUAL(std::string(), registry.Exposition());
  }

  void PutsLabelSetsOverTheBoundIntoOther() {
    Registry registry({.max_series = 100, .max_label_sets = 3});
    for (int i = 0; i < 10; ++i) {
      const std::string tenant = "t" + std::to_string(i);
      registry.Count("jobs_total", {{"tenant", tenant}});
      registry.Observe("wait_seconds", {{"tenant", tenant}}, milliseconds(5));
    }
    registry.Count("jobs_total", {{"tenant", "t0"}});
    CPPUNIT_ASSERT_EQUAL(2.0, registry.Value("jobs_total", {{"tenant", "t0"}}));
    CPPUNIT_ASSERT_EQUAL(0.0, registry.Value("jobs_total", {{"tenant", "t3"}}));
    CPPUNIT_ASSERT_EQUAL(
        7.0, registry.Value("jobs_total", {{"tenant", kOtherLabel}}));
    CPPUNIT_ASSERT_EQUAL(
        7.0, registry.Value("wait_seconds", {{"tenant", kOtherLabel}}));
  }

  void BoundsAllSeries() {
    Registry registry({.max_series = 4, .max_label_sets = 100});
    for (int i = 0; i < 50; ++i) {
      registry.Count("a_total", {{"k", std::to_string(i)}});
      // Other label names do not make a second series of the rest.
      registry.Count("a_total", {{"l", std::to_string(i)}});
      registry.Count("b_total", {{"k", std::to_string(i)}});
    }
    const std::string text = registry.Exposition();
    int series = 0;
    for (std::size_t at = text.find("\ntarragon_"); at != std::string::npos;
         at = text.find("\ntarragon_", at + 1)) {
      ++series;
    }
    // The four, and one "other" of each name.
    CPPUNIT_ASSERT_EQUAL(6, series);
  }

  void ForgetMakesRoom() {
    Registry registry({.max_series = 2, .max_label_sets = 2});
    registry.Set("load", {{"peer", "a"}}, 1);
    registry.Set("load", {{"peer", "b"}}, 2);
    registry.Set("load", {{"peer", "c"}}, 3);
    CPPUNIT_ASSERT_EQUAL(3.0, registry.Value("load", {{"peer", kOtherLabel}}));
    registry.Forget("load", {{"peer", "a"}});
    registry.Forget("load", {{"peer", "a"}});
    registry.Forget("absent", {});
    registry.Set("load", {{"peer", "c"}}, 4);
    CPPUNIT_ASSERT_EQUAL(4.0, registry.Value("load", {{"peer", "c"}}));
    registry.Set("load", {{"peer", "d"}}, 5);
    CPPUNIT_ASSERT_EQUAL(0.0, registry.Value("load", {{"peer", "d"}}));
  }

  void LeavesOutUsesAsAnotherKind() {
    Registry registry;
    registry.Count("x_total", {});
    registry.Set("x_total", {}, 9);
    registry.Observe("x_total", {}, milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(1.0, registry.Value("x_total", {}));
    CPPUNIT_ASSERT_EQUAL(2.0, registry.Value("metrics_misused_total", {}));
  }

  void AbsentSeriesReadAsZero() {
    Registry registry;
    registry.Count("x_total", {});
    CPPUNIT_ASSERT_EQUAL(0.0, registry.Value("y", {}));
    CPPUNIT_ASSERT_EQUAL(0.0, registry.Value("x_total", {{"a", "b"}}));
    CPPUNIT_ASSERT_EQUAL(0.0, registry.Quantile("x_total", {}, 0.5));
    CPPUNIT_ASSERT_EQUAL(0.0, registry.Quantile("y", {}, 0.5));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistryTest);

}  // namespace
}  // namespace tarragon::metrics
