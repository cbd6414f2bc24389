#ifndef TARRAGON_COORDINATOR_POLICY_H_
#define TARRAGON_COORDINATOR_POLICY_H_

#include <cstddef>
#include <cstdint>

#include "tarragon/core/clock.h"

namespace tarragon::coordinator {

/// Times, limits and weights of the decisions. The defaults are for targets
/// that limit a lease to one second and clients that submit again 1.3 s after a
/// broken connection.
struct Policy {
  /// Between two notices to a gate, and between two reports without a change.
  /// Three fit into `home_silence` and two into `gate_silence`.
  core::Duration notice_interval{std::chrono::milliseconds(200)};
  /// A gate ends the runs of an entry that has not shown for so long that it
  /// hears the gate. With a stop of 50 ms and a lease of 1 s a lost run is over
  /// well before the client's second attempt at 1.3 s after this.
  core::Duration home_silence{std::chrono::milliseconds(700)};
  /// An entry places nothing at a gate that it has not heard for so long.
  core::Duration gate_silence{std::chrono::milliseconds(500)};
  /// An entry places nothing more at a gate that has not counted a start for so
  /// long. A gate answers each start by a report, within milliseconds.
  core::Duration uncounted_limit{std::chrono::milliseconds(100)};
  /// A gate that is not heard for so long is dialled anew: the connection may
  /// be silent for good.
  core::Duration redial_after{std::chrono::milliseconds(800)};
  /// Between two attempts to reach a gate or entry that does not answer.
  core::Duration reconnect_interval{std::chrono::milliseconds(400)};
  /// A gate reaches for an entry that it has learned of, and that has not
  /// reached for the gate, after this time. An entry that can read the store
  /// needs less.
  core::Duration first_dial_delay{std::chrono::milliseconds(150)};
  /// For each entry that a gate knows: least pause between reports of room that
  /// others have taken or given back, while room is scarce and while it is
  /// ample. Load that is 100 ms old places well as long as own starts are
  /// counted.
  core::Duration scarce_room_report_pause{std::chrono::milliseconds(4)};
  core::Duration ample_room_report_pause{std::chrono::milliseconds(10)};
  /// Room is scarce below this share of the capacity, in thousandths.
  std::int64_t scarce_permille = 250;
  /// How long freed room is kept for the entry whose task is the most urgent:
  /// several round trips between failure domains.
  core::Duration offer_time{std::chrono::milliseconds(10)};
  /// Gates that are told of an entry's waiting tasks: `wants_per_task` for each
  /// of them, and `max_wants` at most. Of so many one gets room free within
  /// milliseconds.
  std::size_t wants_per_task = 2;
  std::size_t max_wants = 8;
  /// A gate is told anew of a task that is more urgent by this.
  core::Duration want_urgency_step{std::chrono::milliseconds(10)};
  /// An entry that has been silent for so long is forgotten by gates, and the
  /// other way round.
  core::Duration forget_peer_after{std::chrono::seconds(60)};
  /// Runs at a gate that is silent are surely over after `home_silence`, a stop
  /// that was lost and a lease of 1 s on a clock that is 2 % slow.
  core::Duration runs_surely_over{std::chrono::milliseconds(1900)};
  /// A start that the gate reads later than this after it was ordered is
  /// refused. Covers a link with a queue, not a suspended machine.
  core::Duration start_window{std::chrono::milliseconds(400)};

  /// How long a target's history reaches back: several jobs of a busy target.
  core::Duration target_history_age{std::chrono::milliseconds(400)};

  /// Longest lease that targets grant.
  core::Duration max_lease{std::chrono::milliseconds(1000)};
  /// Part of the lease that is asked for; the rest covers the estimate of the
  /// target's clock.
  core::Duration requested_lease{std::chrono::milliseconds(950)};
  /// What a lease may last beyond its end on a clock that is 2 % slow, and the
  /// error of the estimate of that clock.
  core::Duration lease_slack{std::chrono::milliseconds(80)};
  /// How long a poll of a target's runs waits for an end.
  core::Duration hold_wait{std::chrono::milliseconds(100)};
  /// Added to `hold_wait` before a poll is given up: three of them fit a lease.
  core::Duration hold_margin{std::chrono::milliseconds(130)};
  /// An order on the local machine takes a few milliseconds. One without an
  /// answer for so long is settled by a stop.
  core::Duration order_timeout{std::chrono::milliseconds(60)};
  /// Pause before a stop without an answer is sent again.
  core::Duration stop_retry_pause{std::chrono::milliseconds(60)};
  /// The lease of a target's runs is renewed while polls have failed for less
  /// than this: two lost polls are chance, after more the target may be dead,
  /// and its runs must be proved over while their jobs still have time.
  core::Duration lease_renewal_silence{std::chrono::milliseconds(250)};
  /// Polls at a target fail for so long until no task is placed there.
  core::Duration target_silence{std::chrono::milliseconds(600)};
  /// Three missed announcements at the usual 1.5 s.
  core::Duration announcement_timeout{std::chrono::milliseconds(5000)};
  /// How long a gate remembers how a run ended, for entries that ask again.
  core::Duration ended_run_memory{std::chrono::seconds(5)};

  /// A target whose run times over the expected ones are this multiple of the
  /// usual is suspect. Declared times are off by some 40 %, and run times vary
  /// by as much.
  double suspect_slowness = 2.2;
  /// So is one that fails this share of its runs, in thousandths, if others do
  /// not. One run in five hundred fails on a sound target.
  std::uint32_t suspect_failed_permille = 400;
  /// Between two trials of a suspect target by all entries. A job that is used
  /// as a trial may be late.
  core::Duration trial_interval{std::chrono::milliseconds(500)};
  /// Most suspect targets, in thousandths of all; beyond it the cause is likely
  /// to lie elsewhere.
  std::uint32_t max_suspects_permille = 340;
  /// A run that takes this multiple of what is expected, and `stall_floor`
  /// more, stands still; the longest tasks of a kind take four times the mean.
  double stall_factor = 4.0;
  core::Duration stall_floor{std::chrono::milliseconds(100)};
  /// After a gate refused a start for another reason than room.
  core::Duration refusal_pause{std::chrono::milliseconds(40)};
  /// Between two questions about one run.
  core::Duration run_query_interval{std::chrono::milliseconds(150)};
  /// A job is refused if this multiple of the predicted wait is longer than the
  /// time that it has to spare. The prediction knows neither the tasks of other
  /// entries nor the true run times, each of which may double a wait; a job
  /// that just fits by it is late more often than not.
  double wait_margin = 3;
  /// Gates that were found so lately are taken to have room until they are
  /// heard. After a restart all of them answer within some 100 ms.
  core::Duration gate_discovery_time{std::chrono::milliseconds(500)};
  /// Left for the way of an answer to its client.
  core::Duration answer_margin{std::chrono::milliseconds(40)};
  /// After a stop signal new jobs are taken for so long: the balancer goes on
  /// sending clients for two misses of its check, once a second.
  core::Duration stop_accepting_after{std::chrono::milliseconds(2500)};
  /// Shortest time after which a refused client should come back.
  core::Duration retry_floor{std::chrono::seconds(1)};
  /// A job whose objective is past is still of some use up to this multiple.
  std::uint32_t useful_factor = 3;
  /// How many waiting tasks are tried for a place behind one that fits nowhere.
  std::size_t place_lookahead = 12;
  /// Ended jobs whose state is kept for later questions.
  std::size_t max_ended_states = 512;
};

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_POLICY_H_
