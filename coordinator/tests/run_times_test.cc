#include "tarragon/coordinator/run_times.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// Run times of a queue in which three tasks in a hundred take seven times as
/// long.
class RunTimesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunTimesTest);
  CPPUNIT_TEST(BoundIsCautiousWithoutSamples);
  CPPUNIT_TEST(BoundCoversTail);
  CPPUNIT_TEST(LongestGrowsWithNumberOfTasks);
  CPPUNIT_TEST(ForgetsTailThatIsOver);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BoundIsCautiousWithoutSamples() {
    CPPUNIT_ASSERT(Bound() >= milliseconds(700));
    Record(20, true);
    CPPUNIT_ASSERT(Bound() >= milliseconds(700));
  }

  void BoundCoversTail() {
    Record(600, true);
    CPPUNIT_ASSERT(Bound() >= milliseconds(700));
    CPPUNIT_ASSERT(Bound() < milliseconds(1400));
  }

  void LongestGrowsWithNumberOfTasks() {
    Record(600, true);
    CPPUNIT_ASSERT(LongestOf(1) ==
                   EstimateRunTime(times_, queue_, milliseconds(100)));
    CPPUNIT_ASSERT(LongestOf(8) >= LongestOf(1));
    CPPUNIT_ASSERT(LongestOf(8) < milliseconds(200));
    CPPUNIT_ASSERT(LongestOf(128) > milliseconds(500));
  }

  void ForgetsTailThatIsOver() {
    Record(600, true);
    Record(1200, false);
    CPPUNIT_ASSERT(Bound() < milliseconds(200));
    CPPUNIT_ASSERT(LongestOf(128) < milliseconds(200));
  }

 private:
  void Record(int runs, bool tail) {
    for (int i = 0; i < runs; ++i) {
      RecordRunTime(
          &times_, queue_, milliseconds(100),
          tail && i % 33 == 5 ? milliseconds(700) : milliseconds(95 + i % 10));
    }
  }
  core::Duration Bound() const {
    return EstimateLongestRunTime(times_, queue_, milliseconds(100));
  }
  core::Duration LongestOf(std::uint32_t tasks) const {
    return EstimateLongestOf(times_, queue_, milliseconds(100), tasks);
  }

  const QueueId queue_{"checks"};
  RunTimes times_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunTimesTest);

}  // namespace
}  // namespace tarragon::coordinator
