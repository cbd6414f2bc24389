#include <algorithm>
#include <deque>
#include <variant>

#include "entry_fixture.h"
#include "tarragon/coordinator/gate.h"

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// An entry and a gate whose only run is long, so that reports are rare.
class ConfirmationAgeTest : public EntryFixture {
  CPPUNIT_TEST_SUITE(ConfirmationAgeTest);
  CPPUNIT_TEST(SoundEntryIsConfirmed);
  CPPUNIT_TEST(EntryOfSmallShareIsConfirmed);
  CPPUNIT_TEST(BusyEntryIsConfirmed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SoundEntryIsConfirmed() { AssertConfirmed(milliseconds(20)); }
  // Guards against stopping the runs of an entry that is paused for 100 ms at a
  // time.
  void EntryOfSmallShareIsConfirmed() { AssertConfirmed(milliseconds(120)); }
  // Guards against stopping the runs of an entry that has been paused less than
  // it may be.
  void BusyEntryIsConfirmed() { AssertConfirmed(milliseconds(200)); }

 private:
  template <typename Message>
  struct Sent {
    core::Time at;
    Message message;
  };

  void AssertConfirmed(core::Duration entry_tick) {
    constexpr milliseconds kLatency(15);
    const core::NodeId entry{core::Address("10.0.0.1:7000"),
                             core::Incarnation(1)};
    const core::NodeId gate_id = GateId(1);
    GateBoard gate;
    gate.domain = core::DomainId("szeged");
    std::deque<Sent<TargetReport>> reports;
    std::deque<Sent<EntryNotice>> notices;
    core::Duration oldest{0};
    core::Time next_tick = now_;
    const core::Time begin = now_;
    OnMessage(&gate, now_, entry, EntryNotice{{}, 0, DomainsDigest({}), 0, {}});
    while (now_ < begin + std::chrono::seconds(20)) {
      now_ = now_ + milliseconds(5);
      if ((now_ - begin) % milliseconds(20) == milliseconds(0)) {
        OnTick(&gate, now_);
      }
      for (GateAction& action : gate.actions) {
        if (auto* report = std::get_if<SendTo<TargetReport>>(&action)) {
          reports.push_back({now_ + kLatency, report->message});
        }
      }
      gate.actions.clear();
      // The entry handles everything at its ticks.
      if (now_ >= next_tick) {
        next_tick = now_ + entry_tick;
        while (!reports.empty() && reports.front().at <= now_) {
          OnMessage(&board_, now_, gate_id, reports.front().message);
          reports.pop_front();
        }
        OnTick(&board_, now_);
        for (const auto& sent : TakeActions<SendTo<EntryNotice>>()) {
          notices.push_back({now_ + kLatency, sent.message});
        }
        board_.actions.clear();
      }
      while (!notices.empty() && notices.front().at <= now_) {
        OnMessage(&gate, now_, entry, notices.front().message);
        notices.pop_front();
      }
      if (now_ > begin + std::chrono::seconds(2)) {
        oldest = std::max(
            oldest, now_ - gate.homes.at(entry.address).confirmed_report_at);
      }
    }
    CPPUNIT_ASSERT_MESSAGE("The confirmation is up to " +
                               std::to_string(core::Millis(oldest)) +
                               " ms old.",
                           oldest < gate.policy.home_silence);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfirmationAgeTest);

}  // namespace
}  // namespace tarragon::coordinator
