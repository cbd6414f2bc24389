#ifndef TARRAGON_DISPATCH_POLICY_H_
#define TARRAGON_DISPATCH_POLICY_H_

#include <cstdint>

#include "tarragon/core/clock.h"

namespace tarragon::dispatch {

/// How a home chooses among the executors that probably have a free slot.
enum class PlacementStrategy : std::uint8_t {
  /// Any eligible executor, free or not; the baseline for comparisons.
  kRandom,
  /// The one with the largest share of free slots.
  kLeastLoaded,
};

/// The order in which waiting tasks of different tenants get slots.
enum class QueueOrder : std::uint8_t {
  /// The tenant with the fewest running tasks relative to its weight goes
  /// first.
  kFair,
  /// In the order of arrival.
  kArrival,
};

/// The settings of agents and entries. The defaults suit both of today's
/// deployments.
struct Policy {
  // Placement.
  PlacementStrategy placement = PlacementStrategy::kLeastLoaded;
  QueueOrder order = QueueOrder::kArrival;
  /// Late binding: tasks wait at their home, and an executor with a free slot
  /// asks for one. Otherwise they wait at the executor to which they were sent.
  bool late_binding = true;
  /// Maximum number of tasks that wait at an executor without late binding.
  std::uint32_t executor_queue = 1000;
  /// Targets that fail most tasks, or are far slower than their peers, are
  /// ejected: they get only one trial task at a time.
  bool ejection = true;
  /// A task is late after this many times the usual run time of its service.
  /// Zero: slow targets are not ejected.
  std::uint32_t late_factor = 2;
  /// A target must be slow for this long before it is ejected. It must exceed
  /// the heartbeat interval, so that the status of its peers arrives first.
  core::Duration slow_confirm{std::chrono::milliseconds(1500)};
  /// Interval between two trial tasks of an ejected target.
  core::Duration trial_interval{std::chrono::seconds(2)};
  /// Maximum number of executors to which one home announces its waiting tasks
  /// of a service.
  std::uint32_t want_fanout = 32;
  /// Executors are notified when no task waits any more.
  bool retract_wants = true;
  /// Executors are notified of waiting tasks again after this time.
  core::Duration want_refresh{std::chrono::seconds(1)};
  /// Minimum time between two load hints to the same home.
  core::Duration hint_interval{std::chrono::milliseconds(50)};
  /// A home that sent no task for this long gets no more load hints.
  core::Duration hint_recipient_timeout{std::chrono::seconds(5)};
  /// A pull that is not answered frees its slot after this time.
  core::Duration pull_timeout{std::chrono::milliseconds(300)};

  // Admission.
  /// Longest estimated wait for a slot at which a job is still accepted.
  core::Duration max_queue_delay{std::chrono::milliseconds(600)};
  /// Maximum number of tasks that wait at one home.
  std::uint32_t max_home_queue = 4000;
  /// Maximum bytes of payloads, results and kept answers at one home. Above it
  /// the oldest kept answers are dropped.
  std::uint64_t max_home_bytes = 24ULL << 20;
  /// Run time assumed for a service without a recent measurement.
  core::Duration assumed_run_time{std::chrono::milliseconds(200)};
  /// A measured run time is valid for this long after the last successful task.
  /// Without a limit a service that was slow once would be refused for ever,
  /// since refused jobs yield no new measurements.
  core::Duration run_time_validity{std::chrono::seconds(5)};

  // Seals, retries and confirmations.
  /// A home seals a task of which the executor has reported nothing for this
  /// long.
  core::Duration seal_after{std::chrono::seconds(2)};
  /// Interval between two seals of the same task.
  core::Duration seal_interval{std::chrono::milliseconds(500)};
  /// An executor that has not answered seals for this long is taken as gone.
  core::Duration gone_after{std::chrono::seconds(8)};
  /// Maximum number of placements of one task, including the first.
  std::uint32_t max_attempts = 8;
  /// Retry budget: repeated placements per thousand first placements.
  std::uint32_t retry_permille = 200;
  /// Maximum retries that the budget saves up for a burst.
  std::uint32_t retry_burst = 64;
  /// Mean pause before a refused task is placed again; the pause has random
  /// jitter.
  core::Duration retry_pause{std::chrono::milliseconds(5)};
  /// Interval at which an executor repeats the report of a task's end until its
  /// home confirms it.
  core::Duration finished_interval{std::chrono::seconds(1)};
  /// The executor stops repeating the report after this time.
  core::Duration finished_retry_limit{std::chrono::minutes(2)};
  /// Time for which an executor remembers a sealed or confirmed task, so that a
  /// late copy of the assignment starts nothing.
  core::Duration tombstone_retention{std::chrono::minutes(10)};

  // Homes.
  /// Agents that accept new jobs as homes: at least this many,
  std::uint32_t min_homes = 1;
  /// and one for this many agents. Few homes know the load better; with many,
  /// fewer jobs are lost when one of them dies.
  std::uint32_t agents_per_home = 32;

  // Keys.
  /// Time for which final answers are kept.
  core::Duration answer_memory{std::chrono::minutes(10)};
  /// Length of one epoch of handles.
  core::Duration handle_epoch{std::chrono::minutes(10)};
  /// Number of epochs whose handles are accepted for a first submission,
  /// including the current one. Keys are remembered for one epoch more.
  std::uint32_t handle_epochs = 6;
  /// Maximum number of records in one part of the snapshot that a stopping home
  /// hands over.
  std::uint32_t handover_part_records = 1000;

  // Membership and freshness.
  core::Duration heartbeat_interval{std::chrono::seconds(1)};
  /// Number of entries to which one agent sends heartbeats.
  std::uint32_t heartbeat_fanout = 3;
  /// An agent that has sent no heartbeat for this long is removed from the
  /// members.
  core::Duration member_timeout{std::chrono::seconds(4)};
  /// Maximum number of members that an entry reports to one agent.
  std::uint32_t member_sample = 64;
  /// No task starts in a withdrawn domain later than this after the release
  /// note was accepted.
  core::Duration freshness{std::chrono::milliseconds(2800)};
  /// Interval at which the platform's version is polled.
  core::Duration poll_interval{std::chrono::milliseconds(500)};
  /// Interval between two pings from one entry to another.
  core::Duration ping_interval{std::chrono::milliseconds(500)};
  /// A silent entry is proposed for removal after this time.
  core::Duration entry_timeout{std::chrono::seconds(30)};
  /// Silence of a target after which its announcement lapses.
  core::Duration target_timeout{std::chrono::seconds(5)};
  /// An entry gives up a home that has answered nothing for this long.
  core::Duration home_timeout{std::chrono::seconds(6)};
  /// Pause before an entry repeats a submission whose connection broke.
  core::Duration resubmit_interval{std::chrono::milliseconds(200)};
  /// Maximum number of open client requests at one entry.
  std::uint32_t max_entry_requests = 5000;
  /// A stop ends after this time even if work is unfinished.
  core::Duration drain_limit{std::chrono::seconds(60)};
};

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_POLICY_H_
