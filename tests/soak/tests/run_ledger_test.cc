#include "run_ledger.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragon::soak {
namespace {

using std::chrono::milliseconds;

/// Tests what counts as two runs of a task at the same time.
class RunLedgerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunLedgerTest);
  CPPUNIT_TEST(MeasuresTwoRunsAtOnce);
  CPPUNIT_TEST(EndThatIsReportedLateIsNoOverlap);
  CPPUNIT_TEST(RunThatNeverEndsOverlapsUntilNow);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MeasuresTwoRunsAtOnce() {
    ledger_.OnRunStarted("t1", "j.0.0.0", 1, "entry-0 attempt 1", At(100));
    ledger_.OnRunStarted("t1", "j.0.0.1", 1, "entry-0 attempt 1", At(100));
    ledger_.OnRunStarted("t2", "j.0.0.0", 1, "entry-1 attempt 2", At(1400));
    ledger_.OnRunEnded("t1", "j.0.0.0", "lapsed", At(1450));
    ledger_.OnRunEnded("t2", "j.0.0.0", "done", At(2000));
    const std::vector<RunOverlap> overlaps = ledger_.FindOverlaps(At(3000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, overlaps.size());
    CPPUNIT_ASSERT(overlaps[0].length == milliseconds(50));
    CPPUNIT_ASSERT(overlaps[0].between_starts == milliseconds(1300));
    CPPUNIT_ASSERT_EQUAL(std::string("t1"), overlaps[0].first.target);
    CPPUNIT_ASSERT_EQUAL(std::string("entry-1 attempt 2"),
                         overlaps[0].second.label);
  }

  void EndThatIsReportedLateIsNoOverlap() {
    ledger_.OnRunStarted("t1", "j.0.0.0", 1, "", At(100));
    ledger_.OnRunStarted("t2", "j.0.0.0", 1, "", At(1400));
    ledger_.OnRunEnded("t1", "j.0.0.0", "lapsed", At(1400));
    ledger_.OnRunEnded("t2", "j.0.0.0", "done", At(1500));
    CPPUNIT_ASSERT(ledger_.FindOverlaps(At(3000)).empty());
  }

  void RunThatNeverEndsOverlapsUntilNow() {
    ledger_.OnRunStarted("t1", "j.0.0.0", 1, "", At(100));
    ledger_.OnRunStarted("t2", "j.0.0.0", 1, "", At(1400));
    const std::vector<RunOverlap> overlaps = ledger_.FindOverlaps(At(3000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, overlaps.size());
    CPPUNIT_ASSERT(overlaps[0].length == milliseconds(1600));
  }

 private:
  static RunLedger::Time At(int ms) {
    return RunLedger::Time(milliseconds(ms));
  }

  RunLedger ledger_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunLedgerTest);

}  // namespace
}  // namespace tarragon::soak
