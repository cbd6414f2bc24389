#include <algorithm>

#include "entry_fixture.h"

namespace tarragon::coordinator {
namespace {

constexpr core::Duration kTick = std::chrono::milliseconds(20);

/// What an entry tells a gate by the report that it acknowledges: it has read
/// from its clients what had arrived before the report was sent.
class EntryAcknowledgementTest : public EntryFixture {
  CPPUNIT_TEST_SUITE(EntryAcknowledgementTest);
  CPPUNIT_TEST(AcknowledgesNoReportBeforeReadingClients);
  CPPUNIT_TEST(AcknowledgesNothingNewAfterStall);
  CPPUNIT_TEST(AcknowledgesNoReportOfEarlierIncarnation);
  CPPUNIT_TEST(AsksToStopAtOnceAfterReconnecting);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AcknowledgesNoReportBeforeReadingClients() {
    Report(GateId(1), 16000);
    const core::Time reported = now_;
    now_ = now_ + kTick;
    OnTick(&board_, now_);
    CPPUNIT_ASSERT(LastRead() < reported);
    Advance(std::chrono::milliseconds(300));
    CPPUNIT_ASSERT(LastRead() == reported);
  }

  void AcknowledgesNothingNewAfterStall() {
    Report(GateId(1), 16000);
    const core::Time reported = now_;
    Advance(std::chrono::milliseconds(300));
    LastRead();
    // The entry is paused, and then reads a report that has come meanwhile.
    now_ = now_ + std::chrono::milliseconds(600);
    Report(GateId(1), 16000);
    OnTick(&board_, now_);
    CPPUNIT_ASSERT(LastRead() <= reported);
  }

  void AcknowledgesNoReportOfEarlierIncarnation() {
    Report(GateId(1), 16000);
    Advance(std::chrono::milliseconds(300));
    LastRead();
    Report(GateId(1, 2), 16000);
    const core::Time reported = now_;
    std::vector<core::Time> marks;
    while (now_ < reported + std::chrono::milliseconds(300)) {
      Advance(kTick);
      for (const SendTo<EntryNotice>& sent : TakeActions<SendTo<EntryNotice>>())
        marks.push_back(sent.message.clients_read);
    }
    CPPUNIT_ASSERT(!marks.empty());
    for (const core::Time mark : marks) {
      CPPUNIT_ASSERT(mark == kNothingRead || mark == reported);
    }
  }

  void AsksToStopAtOnceAfterReconnecting() {
    Report(GateId(1), 16000);
    Advance(kTick);
    const CallId call = Submit("job", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeStarts().size());
    OnGateDisconnected(&board_, now_, GateId(1));
    OnCallClosed(&board_, now_, call);
    TakeQueries();
    now_ = now_ + std::chrono::milliseconds(5);
    Report(GateId(1), 16000);
    const std::vector<SendTo<AskRun>> queries = TakeQueries();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queries.size());
    CPPUNIT_ASSERT(queries[0].message.stop);
  }

 private:
  /// The newest report that a notice since the last call acknowledges.
  core::Time LastRead() {
    core::Time read;
    for (const SendTo<EntryNotice>& sent : TakeActions<SendTo<EntryNotice>>()) {
      read = std::max(read, sent.message.clients_read);
    }
    return read;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryAcknowledgementTest);

}  // namespace
}  // namespace tarragon::coordinator
