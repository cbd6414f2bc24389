#include "tarragon/bench/arrivals.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

namespace tarragon::bench {
namespace {

constexpr std::uint32_t kLoad = 700;
/// Long enough that the drawn load lies near the asked one.
constexpr std::chrono::hours kLong{1};

Preset Kaptafa() { return LoadPreset("kaptafa", nullptr).value(); }

class ArrivalsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ArrivalsTest);
  CPPUNIT_TEST(EqualSeedsGiveEqualPlans);
  CPPUNIT_TEST(OtherSeedsGiveOtherPlans);
  CPPUNIT_TEST(OtherLoadsGiveTheSameJobs);
  CPPUNIT_TEST(ReachesTheAskedLoad);
  CPPUNIT_TEST(StaysInOrderAndWithinTheLength);
  CPPUNIT_TEST(DrawsTheMixOfThePreset);
  CPPUNIT_TEST(DrawsRunTimesWithinTheirBounds);
  CPPUNIT_TEST(NoLoadGivesNoJobs);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EqualSeedsGiveEqualPlans() {
    const RunPlan a = PlanRun(Kaptafa(), kLoad, std::chrono::seconds(30), 7);
    const RunPlan b = PlanRun(Kaptafa(), kLoad, std::chrono::seconds(30), 7);
    CPPUNIT_ASSERT(!a.jobs.empty());
    CPPUNIT_ASSERT(a.jobs == b.jobs);
  }

  void OtherSeedsGiveOtherPlans() {
    const RunPlan a = PlanRun(Kaptafa(), kLoad, std::chrono::seconds(30), 7);
    const RunPlan b = PlanRun(Kaptafa(), kLoad, std::chrono::seconds(30), 8);
    CPPUNIT_ASSERT(!(a.jobs == b.jobs));
  }

  void OtherLoadsGiveTheSameJobs() {
    const RunPlan a = PlanRun(Kaptafa(), 500, std::chrono::seconds(30), 7);
    const RunPlan b = PlanRun(Kaptafa(), 1000, std::chrono::seconds(30), 7);
    CPPUNIT_ASSERT(b.jobs.size() > a.jobs.size());
    for (std::size_t i = 0; i < a.jobs.size(); ++i) {
      CPPUNIT_ASSERT(a.jobs[i].runs == b.jobs[i].runs);
      CPPUNIT_ASSERT(a.jobs[i].service == b.jobs[i].service);
      CPPUNIT_ASSERT(a.jobs[i].at > b.jobs[i].at);
    }
  }

  void ReachesTheAskedLoad() {
    const Preset preset = Kaptafa();
    const RunPlan plan = PlanRun(preset, kLoad, kLong, 1);
    core::Duration work{0};
    for (const PlannedJob& job : plan.jobs) work += Work(job);
    const double capacity =
        Slots(preset) * static_cast<double>(plan.length.count());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        0.7, static_cast<double>(work.count()) / capacity, 0.02);
  }

  void StaysInOrderAndWithinTheLength() {
    const RunPlan plan = PlanRun(Kaptafa(), kLoad, std::chrono::seconds(30), 3);
    core::Duration last{0};
    for (const PlannedJob& job : plan.jobs) {
      CPPUNIT_ASSERT(job.at >= last);
      CPPUNIT_ASSERT(job.at <= plan.length);
      last = job.at;
    }
  }

  void DrawsTheMixOfThePreset() {
    const Preset preset = Kaptafa();
    const RunPlan plan = PlanRun(preset, kLoad, kLong, 1);
    const double jobs = static_cast<double>(plan.jobs.size());
    std::map<std::size_t, double> sizes;
    double carvings = 0;
    for (const PlannedJob& job : plan.jobs) {
      const SizeClass& size = preset.sizes[job.size_class];
      CPPUNIT_ASSERT(job.runs.size() >= size.min_tasks);
      CPPUNIT_ASSERT(job.runs.size() <= size.max_tasks);
      CPPUNIT_ASSERT_EQUAL(job.service.value() != "carve", job.idempotent);
      sizes[job.size_class] += 1;
      carvings += job.idempotent ? 0 : 1;
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.70, sizes[0] / jobs, 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.20, sizes[1] / jobs, 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.08, sizes[2] / jobs, 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.02, sizes[3] / jobs, 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.15, carvings / jobs, 0.01);
  }

  void DrawsRunTimesWithinTheirBounds() {
    const Preset preset = Kaptafa();
    const RunPlan plan = PlanRun(preset, kLoad, kLong, 1);
    std::vector<core::Duration> runs;
    for (const PlannedJob& job : plan.jobs) {
      runs.insert(runs.end(), job.runs.begin(), job.runs.end());
    }
    std::sort(runs.begin(), runs.end());
    CPPUNIT_ASSERT(runs.front() >= preset.runs.shortest);
    CPPUNIT_ASSERT(runs.back() <= preset.runs.longest);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), runs[0].count() % 1000);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        200, static_cast<double>(core::Millis(runs[runs.size() / 2])), 3);
    core::Duration sum{0};
    for (const core::Duration run : runs) sum += run;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        static_cast<double>(core::Millis(MeanRun(preset.runs))),
        static_cast<double>(core::Millis(sum)) /
            static_cast<double>(runs.size()),
        3);
  }

  void NoLoadGivesNoJobs() {
    CPPUNIT_ASSERT(PlanRun(Kaptafa(), 0, kLong, 1).jobs.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ArrivalsTest);

}  // namespace
}  // namespace tarragon::bench
