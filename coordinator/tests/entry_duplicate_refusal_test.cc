#include "entry_fixture.h"

namespace tarragon::coordinator {
namespace {

/// A gate refuses a start because another run of the task is at work there: the
/// client had submitted the job to another entry before.
class EntryDuplicateRefusalTest : public EntryFixture {
  CPPUNIT_TEST_SUITE(EntryDuplicateRefusalTest);
  CPPUNIT_TEST(StartsTaskNowhereWhileAnotherRunOfItIsAtWork);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a second run of a task at another gate.
  void StartsTaskNowhereWhileAnotherRunOfItIsAtWork() {
    Report(GateId(1), 16000);
    Report(GateId(2), 16000);
    Submit("j1", 1);
    const std::vector<SendTo<StartRun>> starts = TakeStarts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    ReportEnd(starts[0], RunEnd::kRefused, RefusalReason::kDuplicate);
    const std::vector<SendTo<StartRun>> again = TakeStarts();
    CPPUNIT_ASSERT_MESSAGE(
        again.empty()
            ? ""
            : "Started at " + core::ToString(again[0].to) + " at once.",
        again.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryDuplicateRefusalTest);

}  // namespace
}  // namespace tarragon::coordinator
