#include "gate_fixture.h"

namespace tarragon::coordinator {
namespace {

/// Runs of one task with the same number, ordered by two entries: a client may
/// submit a job again to another entry, which numbers its runs anew.
class GateAttemptTest : public GateFixture {
  CPPUNIT_TEST_SUITE(GateAttemptTest);
  CPPUNIT_TEST(QueryOfOtherEntryLeavesRun);
  CPPUNIT_TEST(StopOfOtherEntryLeavesRun);
  CPPUNIT_TEST(EndOfOtherEntrysRunIsNoAnswer);
  CPPUNIT_TEST(TellsBothEntriesOfRunThatEitherMayHaveOrdered);
  CPPUNIT_TEST(StopsRunThatEitherEntryMayHaveOrdered);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an entry that takes over another entry's run, so that the
  // other one never learns of its end.
  void QueryOfOtherEntryLeavesRun() {
    StartAndAccept(MakeRun(0));
    Ask(kOtherEntry, false);
    AssertToldRefused(kOtherEntry, RefusalReason::kDuplicate);
    AnswerNextPoll({}, {{1, MakeRun(0), RunEnd::kDone}});
    const auto ends = TakeActions<SendTo<RunEnded>>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
    CPPUNIT_ASSERT(ends[0].to == kEntry);
    CPPUNIT_ASSERT(ends[0].message.end == RunEnd::kDone);
  }

  // Guards against an entry that gives up its attempt and stops the run of
  // another entry's attempt.
  void StopOfOtherEntryLeavesRun() {
    StartAndAccept(MakeRun(0));
    Ask(kOtherEntry, true);
    CPPUNIT_ASSERT(TakeActions<OrderStop>().empty());
    AssertToldRefused(kOtherEntry, RefusalReason::kDuplicate);
  }

  void EndOfOtherEntrysRunIsNoAnswer() {
    StartAndAccept(MakeRun(0));
    AnswerNextPoll({}, {{1, MakeRun(0), RunEnd::kDone}});
    AssertEnded(MakeRun(0), RunEnd::kDone);
    Ask(kOtherEntry, false);
    AssertToldRefused(kOtherEntry, RefusalReason::kSealed);
    Ask(kEntry, false);
    AssertEnded(MakeRun(0), RunEnd::kDone);
  }

  void TellsBothEntriesOfRunThatEitherMayHaveOrdered() {
    FindUnorderedRun();
    Ask(kEntry, false);
    Ask(kOtherEntry, false);
    Ask(kOtherEntry, false);
    CPPUNIT_ASSERT(TakeActions<SendTo<RunEnded>>().empty());
    AnswerNextPoll({MakeRun(1)}, {{1, MakeRun(0), RunEnd::kDone}});
    const auto ends = TakeActions<SendTo<RunEnded>>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ends.size());
    CPPUNIT_ASSERT(ends[0].to == kEntry);
    CPPUNIT_ASSERT(ends[1].to == kOtherEntry);
    CPPUNIT_ASSERT(ends[1].message.end == RunEnd::kDone);
  }

  void StopsRunThatEitherEntryMayHaveOrdered() {
    FindUnorderedRun();
    Ask(kEntry, false);
    Ask(kOtherEntry, true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeActions<OrderStop>().size());
    AnswerNextPoll({MakeRun(1)}, {{1, MakeRun(0), RunEnd::kStopped}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         TakeActions<SendTo<RunEnded>>().size());
  }

 private:
  void Ask(const core::NodeId& from, bool stop) {
    OnMessage(&board_, now_, from, AskRun{MakeRun(0), stop, {1600, 10, 0}});
  }

  /// The target lists a run that this process of the gate has not ordered.
  void FindUnorderedRun() {
    StartAndAccept(MakeRun(1));
    AnswerNextPoll({MakeRun(0), MakeRun(1)}, {});
    board_.actions.clear();
  }

  void AssertToldRefused(const core::NodeId& entry, RefusalReason reason) {
    const auto ends = TakeActions<SendTo<RunEnded>>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
    CPPUNIT_ASSERT(ends[0].to == entry);
    CPPUNIT_ASSERT(ends[0].message.end == RunEnd::kRefused);
    CPPUNIT_ASSERT_EQUAL(std::string(Name(reason)),
                         std::string(Name(ends[0].message.reason)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GateAttemptTest);

}  // namespace
}  // namespace tarragon::coordinator
