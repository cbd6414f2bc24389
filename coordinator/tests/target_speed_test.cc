#include "tarragon/coordinator/target_speed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// What a gate learns of its target's speed.
class TargetSpeedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetSpeedTest);
  CPPUNIT_TEST(IsUnknownAfterFewJobs);
  CPPUNIT_TEST(CountsRunsOfOneJobOnce);
  CPPUNIT_TEST(FollowsLastingChange);
  CPPUNIT_TEST(StoresRarelyAndRestores);
  CPPUNIT_TEST_SUITE_END();

  void RecordJobs(int count, int took_ms) {
    for (int i = 0; i < count; ++i) {
      RecordSpeedSample(&speed_, JobId(std::to_string(++last_job_)),
                        milliseconds(100), milliseconds(took_ms));
    }
  }

 public:
  void IsUnknownAfterFewJobs() {
    RecordJobs(20, 50);
    CPPUNIT_ASSERT_EQUAL(0U, SpeedPermille(speed_));
    RecordJobs(80, 50);
    CPPUNIT_ASSERT_EQUAL(2000U, SpeedPermille(speed_));
  }

  void CountsRunsOfOneJobOnce() {
    RecordJobs(100, 100);
    for (int i = 0; i < 32; ++i) {
      RecordSpeedSample(&speed_, JobId("wide"), milliseconds(100),
                        milliseconds(700));
    }
    CPPUNIT_ASSERT(SpeedPermille(speed_) >= 980);
  }

  void FollowsLastingChange() {
    RecordJobs(300, 100);
    RecordJobs(20, 300);
    CPPUNIT_ASSERT(SpeedPermille(speed_) >= 850);
    RecordJobs(100, 300);
    CPPUNIT_ASSERT(SpeedPermille(speed_) <= 400);
  }

  void StoresRarelyAndRestores() {
    const Policy policy;
    core::Time now{std::chrono::seconds(100)};
    RecordJobs(100, 110);
    CPPUNIT_ASSERT(!IsSpeedStoreDue(speed_, policy, now));
    RecordJobs(300, 150);
    CPPUNIT_ASSERT(IsSpeedStoreDue(speed_, policy, now));
    speed_.stored_at = now;
    CPPUNIT_ASSERT(!IsSpeedStoreDue(speed_, policy, now));
    TargetSpeed restored;
    RestoreSpeed(&restored, SpeedPermille(speed_));
    CPPUNIT_ASSERT_EQUAL(SpeedPermille(speed_), SpeedPermille(restored));
    RestoreSpeed(&restored, 3000);
    CPPUNIT_ASSERT_EQUAL(SpeedPermille(speed_), SpeedPermille(restored));
  }

 private:
  TargetSpeed speed_;
  int last_job_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetSpeedTest);

}  // namespace
}  // namespace tarragon::coordinator
