#ifndef TARRAGON_COORDINATOR_TESTS_GATE_FIXTURE_H_
#define TARRAGON_COORDINATOR_TESTS_GATE_FIXTURE_H_

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "tarragon/coordinator/gate.h"

namespace tarragon::coordinator {

inline const core::NodeId kEntry{core::Address("10.0.0.1:7000"),
                                 core::Incarnation(1)};
inline const core::NodeId kEntryAgain{core::Address("10.0.0.1:7000"),
                                      core::Incarnation(2)};
inline const core::NodeId kOtherEntry{core::Address("10.0.0.2:7000"),
                                      core::Incarnation(3)};

/// A gate with a usable target of 16 cores whose runs are known, and two
/// entries. Tests pass in events and check the actions that the gate requests.
class GateFixture : public CppUnit::TestFixture {
 public:
  void setUp() override {
    board_ = GateBoard{};
    board_.domain = core::DomainId("szeged");
    now_ = core::Time{std::chrono::seconds(100)};
    Announce(1, 1);
    AnswerPoll({}, {});
    OnMessage(&board_, now_, kEntry, MakeNotice({}));
    OnMessage(&board_, now_, kOtherEntry, MakeNotice({}));
    TakeActions<OrderPoll>();
    board_.actions.clear();
  }

 protected:
  void Announce(std::int64_t born, std::int64_t sequence,
                bool draining = false) {
    Announcement announcement;
    announcement.target = TargetId("t-1");
    announcement.born = TargetIncarnation(born);
    announcement.sequence = sequence;
    announcement.address = core::Address("10.0.0.9:80");
    announcement.service = core::ServiceId("carve");
    announcement.domain = core::DomainId("szeged");
    announcement.labels = {Label("a")};
    announcement.capacity = {16000, 1000, 0};
    announcement.draining = draining;
    announcement.clock = TargetClock(core::Millis(now_.since_start));
    OnAnnouncement(&board_, now_, announcement);
  }

  /// Advances the clock in ticks. Both entries send notices unless
  /// `entries_heard` is false.
  void Advance(core::Duration time, bool entries_heard = true) {
    constexpr core::Duration kStep = std::chrono::milliseconds(20);
    const core::Time end = now_ + time;
    while (now_ < end) {
      now_ = std::min(now_ + kStep, end);
      if (entries_heard) {
        OnMessage(&board_, now_, kEntry, MakeNotice(now_));
        OnMessage(&board_, now_, kOtherEntry, MakeNotice(now_));
      }
      OnTick(&board_, now_);
    }
  }

  /// The notice of an entry that knows of no drained domain.
  static EntryNotice MakeNotice(core::Time echo) {
    return {echo, 0, DomainsDigest({}), 0, {}};
  }

  static RunRef MakeRun(std::uint32_t index, std::uint32_t number = 1) {
    return {{JobId("job"), 0, index}, number};
  }

  void Start(const RunRef& run, std::int64_t millicores = 1600,
             const core::NodeId& from = kEntry) {
    StartRun start;
    start.run = run;
    start.sequence = ++sequence_;
    start.service = core::ServiceId("carve");
    start.room = {millicores, 10, 0};
    start.payload = "scan";
    start.start_by = now_ + std::chrono::milliseconds(400);
    OnMessage(&board_, now_, from, start);
  }

  /// Starts a run that the target accepts.
  void StartAndAccept(const RunRef& run) {
    Start(run);
    OnStartAnswer(&board_, now_, run, OrderAnswer::kAccepted, std::nullopt);
    now_ = now_ + std::chrono::milliseconds(1);
  }

  TargetClock CurrentTargetClock() const {
    return TargetClock(core::Millis(now_.since_start));
  }

  /// Answers the last poll.
  void AnswerPoll(const std::vector<RunRef>& running,
                  const std::vector<ListedEnd>& ended, std::int64_t born = 1) {
    PollReply poll;
    poll.born = TargetIncarnation(born);
    poll.clock = CurrentTargetClock();
    for (const RunRef& run : running) poll.running.push_back({run, {}});
    poll.ended = ended;
    OnPollAnswer(&board_, now_, board_.last_poll, poll);
  }

  /// Fails all pending polls.
  void LosePolls() {
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, poll] : board_.polls) numbers.push_back(number);
    for (const std::uint64_t number : numbers) {
      OnPollAnswer(&board_, now_, number, std::nullopt);
    }
  }

  /// Fails all pending polls and answers the next one.
  void AnswerNextPoll(const std::vector<RunRef>& running,
                      const std::vector<ListedEnd>& ended) {
    now_ = now_ + std::chrono::milliseconds(1);
    LosePolls();
    Advance(std::chrono::milliseconds(80));
    AnswerPoll(running, ended);
  }

  /// Removes all actions of one type from the board and returns them.
  template <typename Action>
  std::vector<Action> TakeActions() {
    std::vector<Action> taken;
    std::vector<GateAction> rest;
    for (GateAction& action : board_.actions) {
      if (auto* found = std::get_if<Action>(&action)) {
        taken.push_back(std::move(*found));
      } else {
        rest.push_back(std::move(action));
      }
    }
    board_.actions = std::move(rest);
    return taken;
  }

  /// The end of `run` that was reported to an entry, if any.
  std::optional<RunEnded> TakeEndOf(const RunRef& run) {
    std::optional<RunEnded> found;
    for (const SendTo<RunEnded>& sent : TakeActions<SendTo<RunEnded>>()) {
      if (sent.message.run == run) found = sent.message;
    }
    return found;
  }

  void AssertEnded(const RunRef& run, RunEnd end) {
    const std::optional<RunEnded> ended = TakeEndOf(run);
    CPPUNIT_ASSERT(ended.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string(Name(end)), std::string(Name(ended->end)));
  }

  void AssertRefused(const RunRef& run, RefusalReason reason) {
    const std::optional<RunEnded> ended = TakeEndOf(run);
    CPPUNIT_ASSERT(ended.has_value());
    CPPUNIT_ASSERT(ended->end == RunEnd::kRefused);
    CPPUNIT_ASSERT_EQUAL(std::string(Name(reason)),
                         std::string(Name(ended->reason)));
    CPPUNIT_ASSERT(TakeActions<OrderStart>().empty());
  }

  GateBoard board_;
  core::Time now_;
  std::uint64_t sequence_ = 0;
};

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_TESTS_GATE_FIXTURE_H_
