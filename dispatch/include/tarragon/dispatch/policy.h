#ifndef TARRAGON_DISPATCH_POLICY_H_
#define TARRAGON_DISPATCH_POLICY_H_

#include <cstdint>

#include "tarragon/core/clock.h"

namespace tarragon::dispatch {

/// How a home chooses among executors that it believes free.
enum class PlacementStrategy : std::uint8_t {
  /// Any eligible executor, free or not; the plain baseline.
  kRandom,
  /// The one with the largest share of free slots.
  kLeastLoaded,
};

/// In which order waiting tasks of different tenants get slots.
enum class QueueOrder : std::uint8_t {
  /// The tenant that runs least for its weight goes first.
  kFair,
  /// Whoever came first.
  kArrival,
};

/// The tunable behaviour of agents and entries. The defaults serve both of
/// today's deployments.
struct Policy {
  // Placement.
  PlacementStrategy placement = PlacementStrategy::kLeastLoaded;
  QueueOrder order = QueueOrder::kArrival;
  /// Tasks wait at their home and a freed slot asks for one. Otherwise they
  /// wait at the executor to which they were sent.
  bool late_binding = true;
  /// Tasks that may wait at an executor without late binding.
  std::uint32_t executor_queue = 1000;
  /// Targets that fail most tasks, or are far slower than their peers, get
  /// only single trials.
  bool ejection = true;
  /// A task is late after this many times the usual run time of its service.
  /// Zero: slow targets are not ejected.
  std::uint32_t late_factor = 2;
  /// A target must be slow for this long before it is ejected, so that news of
  /// its peers arrives first: longer than a heartbeat interval.
  core::Duration slow_confirm{std::chrono::milliseconds(1500)};
  /// Pause between two trials of an ejected target.
  core::Duration trial_interval{std::chrono::seconds(2)};
  /// Executors to which one home announces that it has waiting tasks.
  std::uint32_t want_fanout = 32;
  /// Executors are told when no task waits any more.
  bool retract_wants = true;
  /// Executors are told anew of waiting tasks after this time.
  core::Duration want_refresh{std::chrono::seconds(1)};
  /// Least time between two load hints to the same home.
  core::Duration hint_interval{std::chrono::milliseconds(50)};
  /// A home that sent no task for this long gets no more load hints.
  core::Duration hint_recipient_timeout{std::chrono::seconds(5)};
  /// A pull that is not answered frees its slot after this time.
  core::Duration pull_timeout{std::chrono::milliseconds(300)};

  // Admission.
  /// Longest estimated wait for a slot with which a job is still taken in.
  core::Duration max_queue_delay{std::chrono::milliseconds(600)};
  /// Tasks waiting at one home.
  std::uint32_t max_home_queue = 4000;
  /// Bytes of payloads, results and kept answers held by one home. Over it the
  /// oldest kept answers go.
  std::uint64_t max_home_bytes = 24ULL << 20;
  /// Run time assumed for a service of which nothing was measured yet.
  core::Duration assumed_run_time{std::chrono::milliseconds(200)};
  /// A measured run time counts for this long after the last end. Otherwise a
  /// service that was slow once would be refused for ever: what is refused is
  /// not measured.
  core::Duration run_time_validity{std::chrono::seconds(5)};

  // Settling.
  /// Silence of an executor after which a home seals what it placed there.
  core::Duration seal_after{std::chrono::seconds(2)};
  /// Pause between two seals of the same task.
  core::Duration seal_interval{std::chrono::milliseconds(500)};
  /// Unanswered seals for this long mean that the executor is gone.
  core::Duration gone_after{std::chrono::seconds(8)};
  /// Placements of one task, the first included.
  std::uint32_t max_attempts = 8;
  /// Second placements as a share of first ones, in thousandths.
  std::uint32_t retry_permille = 200;
  /// Second placements that are allowed at once, whatever the share.
  std::uint32_t retry_burst = 64;
  /// Mean pause before a refused task is placed again; the pause is jittered.
  core::Duration retry_pause{std::chrono::milliseconds(5)};
  /// An executor repeats an end that its home has not confirmed.
  core::Duration finished_interval{std::chrono::seconds(1)};
  /// It gives up after this time.
  core::Duration finished_retry_limit{std::chrono::minutes(2)};
  /// A sealed task that never started is remembered this long.
  core::Duration tombstone_retention{std::chrono::minutes(10)};

  // Homes.
  /// Agents that take new jobs as homes: at least this many,
  std::uint32_t min_homes = 1;
  /// and one for each so many agents. Few homes know the load better, many
  /// lose fewer jobs each when they die.
  std::uint32_t agents_per_home = 32;

  // Keys.
  /// Final answers are kept this long.
  core::Duration answer_memory{std::chrono::minutes(10)};
  /// Length of one epoch of handles.
  core::Duration handle_epoch{std::chrono::minutes(10)};
  /// Epochs whose handles are accepted for a first submission, the present one
  /// included. Keys are remembered for one epoch more.
  std::uint32_t handle_epochs = 6;
  /// Records in one part of the memory that a stopping home hands over.
  std::uint32_t handover_part_records = 1000;

  // Membership and freshness.
  core::Duration heartbeat_interval{std::chrono::seconds(1)};
  /// Entries to which one agent sends heartbeats.
  std::uint32_t heartbeat_fanout = 3;
  /// A silent agent is no member any more.
  core::Duration member_timeout{std::chrono::seconds(4)};
  /// Members told to one agent.
  std::uint32_t member_sample = 64;
  /// A withdrawn domain starts nothing later than this after acceptance.
  core::Duration freshness{std::chrono::milliseconds(2800)};
  /// Pause between two looks at the platform's version.
  core::Duration poll_interval{std::chrono::milliseconds(500)};
  /// Pause between two pings of an entry to another.
  core::Duration ping_interval{std::chrono::milliseconds(500)};
  /// A silent entry is proposed for removal after this time.
  core::Duration entry_timeout{std::chrono::seconds(30)};
  /// Silence of a target after which its announcement lapses.
  core::Duration target_timeout{std::chrono::seconds(5)};
  /// A home that answers nothing for this long is given up by the entry.
  core::Duration home_timeout{std::chrono::seconds(6)};
  /// Pause before an entry repeats a submission whose connection broke.
  core::Duration resubmit_interval{std::chrono::milliseconds(200)};
  /// Open client requests at one entry.
  std::uint32_t max_entry_requests = 5000;
  /// A stop that has not finished its work by then ends anyway.
  core::Duration drain_limit{std::chrono::seconds(60)};
};

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_POLICY_H_
