#include <random>

#include "agent_fixture.h"

namespace tarragon::dispatch {
namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr int kSteps = 6000;
constexpr std::uint32_t kSlots = 8;
constexpr core::Duration kMs = std::chrono::milliseconds(1);

/// A placed task and its executor.
struct PlacedTask {
  core::NodeId executor;
  TaskRef ref;
};

/// Tests that a home handles deadlines and seals when they are due.
class HomeScheduleTest : public AgentFixture {
  CPPUNIT_TEST_SUITE(HomeScheduleTest);
  CPPUNIT_TEST(HandlesEverythingDueUnderRandomEvents);
  CPPUNIT_TEST(TickSkipsJobsThatAreNotDue);
  CPPUNIT_TEST(LostConnectionMakesSealDueEarlier);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HandlesEverythingDueUnderRandomEvents() {
    random_.seed(kSeed);
    for (int step = 0; step < kSteps; ++step) {
      Advance(kMs * RandomBelow(60));
      if (step % 20 == 0) RenewPermit();
      ApplyRandomEvent(step);
      CheckIndex();
      OnTick(&board_, now_);
      board_.actions.clear();
      CheckIndex();
      CheckNothingDue();
    }
    CPPUNIT_ASSERT(board_.counters.seals > 100);
    CPPUNIT_ASSERT(board_.counters.retries > 100);
    CPPUNIT_ASSERT(board_.counters.outcomes["complete"] > 100);
    CPPUNIT_ASSERT(board_.counters.outcomes["failed"] > 100);
    CPPUNIT_ASSERT(board_.counters.outcomes["unknown"] > 20);
  }

  void TickSkipsJobsThatAreNotDue() {
    RenewPermit();
    Receive(kEntryNode, MakeSubmit(1, MakeKey("a"), 3));
    const HomeJob& job = board_.jobs.at(MakeKey("a"));
    const core::Time due = job.due_at;
    CPPUNIT_ASSERT(job.tasks[0].next_seal_at == due);
    now_ = due - kMs;
    OnTick(&board_, now_);
    CPPUNIT_ASSERT(TakeMessages<Seal>().empty());
    CPPUNIT_ASSERT(due == job.due_at);
    now_ = due;
    OnTick(&board_, now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, TakeMessages<Seal>().size());
    CPPUNIT_ASSERT(now_ + board_.policy.seal_interval == job.due_at);
  }

  void LostConnectionMakesSealDueEarlier() {
    RenewPermit();
    Receive(kEntryNode, MakeSubmit(1, MakeKey("a")));
    const core::NodeId executor =
        board_.jobs.at(MakeKey("a")).tasks[0].executor;
    Advance(10 * kMs);
    OnPeerLost(&board_, now_, executor);
    Advance(50 * kMs);
    OnTick(&board_, now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, TakeMessages<Seal>().size());
  }

 private:
  std::uint64_t RandomBelow(std::uint64_t bound) {
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random_);
  }

  void RenewPermit() {
    GrantPermit(MakeWorld(1),
                {StatusOf(kOtherNode, kSlots), StatusOf(kThirdNode, kSlots)});
    board_.actions.clear();
  }

  void ApplyRandomEvent(int step) {
    const std::uint64_t kind = RandomBelow(20);
    if (kind < 6) {
      Submit submit = MakeSubmit(
          static_cast<std::uint64_t>(step) + 1, MakeKey(std::to_string(step)),
          static_cast<std::uint32_t>(RandomBelow(4)) + 1);
      submit.spec.time_left = kMs * (500 + RandomBelow(6000));
      Receive(kEntryNode, submit);
    } else if (kind < 18) {
      AnswerOnePlacedTask(kind);
    } else if (kind == 18) {
      OnPeerLost(&board_, now_, RandomBelow(2) == 0 ? kOtherNode : kThirdNode);
    } else if (RandomBelow(10) == 0) {
      OnPeerGone(&board_, now_, RandomBelow(2) == 0 ? kOtherNode : kThirdNode);
    }
  }

  /// Delivers an executor's answer for a random placed task.
  void AnswerOnePlacedTask(std::uint64_t kind) {
    const std::vector<PlacedTask> placed = FindPlacedTasks();
    if (placed.empty()) return;
    const PlacedTask& one = placed[RandomBelow(placed.size())];
    if (kind < 9) {
      Receive(one.executor, Refused{one.ref, Reason::kNoSlot, {}, {}});
    } else if (kind < 11) {
      Receive(one.executor, Started{one.ref, {}});
    } else {
      Finished finished = MakeFinished(one.ref, "done");
      finished.run_time = kMs * (1 + RandomBelow(900));
      Receive(one.executor, finished);
    }
  }

  std::vector<PlacedTask> FindPlacedTasks() const {
    std::vector<PlacedTask> placed;
    for (const core::JobKey& key : board_.active_jobs) {
      const HomeJob& job = board_.jobs.at(key);
      for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        const HomeTask& task = job.tasks[i];
        if (task.state != TaskState::kAssigned) continue;
        placed.push_back(
            {task.executor, TaskRef{key, core::TaskIndex(i), task.attempt}});
      }
    }
    return placed;
  }

  /// Checks that the index has exactly the active jobs, none with a due time
  /// later than its deadline or a seal.
  void CheckIndex() const {
    CPPUNIT_ASSERT_EQUAL(board_.active_jobs.size(),
                         board_.jobs_by_due_time.size());
    for (const core::JobKey& key : board_.active_jobs) {
      const HomeJob& job = board_.jobs.at(key);
      CPPUNIT_ASSERT(
          board_.jobs_by_due_time.at({job.due_at, job.arrival_number}) == key);
      CPPUNIT_ASSERT(job.due_at <= job.deadline);
      for (const HomeTask& task : job.tasks) {
        if (task.state != TaskState::kAssigned) continue;
        CPPUNIT_ASSERT(job.due_at <= task.next_seal_at);
      }
    }
  }

  void CheckNothingDue() const {
    for (const core::JobKey& key : board_.active_jobs) {
      const HomeJob& job = board_.jobs.at(key);
      CPPUNIT_ASSERT(job.deadline > now_);
      for (const HomeTask& task : job.tasks) {
        if (task.state != TaskState::kAssigned) continue;
        CPPUNIT_ASSERT(task.next_seal_at > now_);
      }
    }
  }

  std::mt19937_64 random_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HomeScheduleTest);

}  // namespace
}  // namespace tarragon::dispatch
