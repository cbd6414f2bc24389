#ifndef TARRAGON_COORDINATOR_POLICY_H_
#define TARRAGON_COORDINATOR_POLICY_H_

#include <cstddef>
#include <cstdint>

#include "tarragon/core/clock.h"

namespace tarragon::coordinator {

/// Timeouts, limits and weights of the scheduling decisions. The defaults suit
/// targets that grant leases of at most one second and clients that resubmit
/// 1.3 s after a broken connection.
struct Policy {
  /// Interval between two notices to a gate, and between two reports when
  /// nothing has changed. Three intervals fit into `home_silence` and two into
  /// `gate_silence`.
  core::Duration notice_interval{std::chrono::milliseconds(200)};
  /// A target may go on with a run for this time after the last moment at which
  /// the run's entry had certainly not lost its client. On a clock that is 2 %
  /// slow it ends before the client resubmits the job, 1.3 s after it lost the
  /// entry.
  core::Duration confirmation_lifetime{std::chrono::milliseconds(1100)};
  /// A gate stops the runs of an entry that has not acknowledged a report of
  /// the gate for this time. Stopping takes 50 ms, so it is done before the
  /// lease of all runs at the target ends with `confirmation_lifetime`.
  core::Duration home_silence{std::chrono::milliseconds(700)};
  /// An entry places no tasks at a gate from which it has received nothing for
  /// this time.
  core::Duration gate_silence{std::chrono::milliseconds(500)};
  /// An entry places no more tasks at a gate that has left a start uncounted
  /// for this time. A gate answers each start with a report within
  /// milliseconds.
  core::Duration uncounted_limit{std::chrono::milliseconds(100)};
  /// An entry reconnects to a gate from which it has received nothing for this
  /// time, because the connection may be dead without having been closed.
  core::Duration redial_after{std::chrono::milliseconds(800)};
  /// Interval between two attempts to connect to a gate or entry that does not
  /// answer.
  core::Duration reconnect_interval{std::chrono::milliseconds(400)};
  /// A gate connects to a newly discovered entry after this time, unless the
  /// entry has connected first. An entry that can read the store connects
  /// sooner.
  core::Duration first_dial_delay{std::chrono::milliseconds(150)};
  /// Minimum pause, per entry that a gate knows, between reports of room that
  /// other entries have taken or released, while room is scarce and while it is
  /// ample. Reports that are 100 ms old still give good placements, because an
  /// entry subtracts its own starts.
  core::Duration scarce_room_report_pause{std::chrono::milliseconds(4)};
  core::Duration ample_room_report_pause{std::chrono::milliseconds(10)};
  /// Room is scarce while less than this share of the capacity is free, in
  /// thousandths.
  std::int64_t scarce_permille = 250;
  /// How long freed room is reserved for the entry with the most urgent task.
  /// Covers several round trips between failure domains.
  core::Duration offer_time{std::chrono::milliseconds(10)};
  /// Number of gates at which an entry requests room for its waiting tasks:
  /// `wants_per_task` for each task, and at most `max_wants`. Among `max_wants`
  /// busy gates one has free room within milliseconds.
  std::size_t wants_per_task = 2;
  std::size_t max_wants = 8;
  /// An entry repeats its request for room to a gate when the most urgent task
  /// has become more urgent by this time.
  core::Duration want_urgency_step{std::chrono::milliseconds(10)};
  /// Gates forget an entry that has been silent for this time, and entries
  /// forget such a gate.
  core::Duration forget_peer_after{std::chrono::seconds(60)};
  /// Runs at a silent gate have certainly ended after this time: it covers
  /// `gate_silence`, in which a start may still be sent there, and
  /// `confirmation_lifetime` on a clock that is 2 % slow.
  core::Duration runs_surely_over{std::chrono::milliseconds(1900)};
  /// A gate refuses a start that it reads later than this after the entry sent
  /// it. Covers queueing on the link, but not a suspended VM.
  core::Duration start_window{std::chrono::milliseconds(400)};

  /// Maximum age of the samples in a target's history. Covers several jobs of a
  /// busy target.
  core::Duration target_history_age{std::chrono::milliseconds(400)};

  /// Longest lease that a target grants.
  core::Duration max_lease{std::chrono::milliseconds(1000)};
  /// Length of the lease that a gate requests. The difference to `max_lease`
  /// covers the error in the estimate of the target's clock.
  core::Duration requested_lease{std::chrono::milliseconds(950)};
  /// Time that a lease may last beyond its end on a clock that is 2 % slow,
  /// plus the error in the estimate of that clock.
  core::Duration lease_slack{std::chrono::milliseconds(80)};
  /// How long a target may hold a poll open until a run ends (long polling).
  core::Duration hold_wait{std::chrono::milliseconds(100)};
  /// A poll times out this long after `hold_wait`. Three such polls fit into a
  /// lease.
  core::Duration hold_margin{std::chrono::milliseconds(130)};
  /// A start or stop that is unanswered for this time has failed; a stop
  /// follows a start with an unknown outcome. The target is on the same VM and
  /// answers within a few milliseconds.
  core::Duration order_timeout{std::chrono::milliseconds(60)};
  /// Pause before an unanswered stop is sent again.
  core::Duration stop_retry_pause{std::chrono::milliseconds(60)};
  /// A gate renews the lease of a target's runs while polls have failed for
  /// less than this. Two lost polls may be chance. After more the target may be
  /// dead, and the lease must expire to prove that its runs have ended while
  /// their jobs still have time.
  core::Duration lease_renewal_silence{std::chrono::milliseconds(250)};
  /// A gate accepts no starts once polls of its target have failed for this
  /// time.
  core::Duration target_silence{std::chrono::milliseconds(600)};
  /// A target without an announcement for this time is unusable. Allows three
  /// missed announcements at the usual interval of 1.5 s.
  core::Duration announcement_timeout{std::chrono::milliseconds(5000)};
  /// How long a gate remembers how a run ended, so that it can repeat the
  /// answer to an entry.
  core::Duration ended_run_memory{std::chrono::seconds(5)};

  /// A target is suspect if its ratio of actual to expected run time is this
  /// multiple of the median target's. Declared times are off by some 40 %, and
  /// run times vary by as much.
  double suspect_slowness = 2.2;
  /// A target is also suspect if it fails this share of its runs, in
  /// thousandths, and other targets do not. One run in five hundred fails on a
  /// healthy target.
  std::uint32_t suspect_failed_permille = 400;
  /// Interval between two trial runs at a suspect target, over all entries. A
  /// job that is used as a trial may be late.
  core::Duration trial_interval{std::chrono::milliseconds(500)};
  /// Maximum share of suspect targets, in thousandths. If more targets look
  /// bad, the cause is probably elsewhere.
  std::uint32_t max_suspects_permille = 340;
  /// A run is stalled if it takes longer than this multiple of its expected
  /// time plus `stall_floor`. The longest tasks of a kind take four times the
  /// mean.
  double stall_factor = 4.0;
  core::Duration stall_floor{std::chrono::milliseconds(100)};
  /// A job fails once so many targets have crashed under one of its tasks. The
  /// first crash may be chance or the fault of another task there.
  std::uint32_t max_crashes = 2;
  /// How long an entry avoids a gate that refused a start for a reason other
  /// than lack of room.
  core::Duration refusal_pause{std::chrono::milliseconds(40)};
  /// Interval between two queries about the same run.
  core::Duration run_query_interval{std::chrono::milliseconds(150)};
  /// A job is refused if the predicted wait times this factor exceeds the job's
  /// slack. The prediction includes neither the tasks of other entries nor the
  /// true run times, each of which may double the wait; a job that just fits by
  /// the prediction is late more often than not.
  double wait_margin = 3;
  /// A newly found gate is assumed to have room for this time, until its first
  /// report. After a restart of the entry all gates report within some 100 ms.
  core::Duration gate_discovery_time{std::chrono::milliseconds(500)};
  /// Time reserved for sending the answer to the client.
  core::Duration answer_margin{std::chrono::milliseconds(40)};
  /// How long new jobs are accepted after a stop signal. The load balancer
  /// checks once a second and keeps sending clients until two checks have
  /// failed.
  core::Duration stop_accepting_after{std::chrono::milliseconds(2500)};
  /// Minimum Retry-After for a refused client.
  core::Duration retry_floor{std::chrono::seconds(1)};
  /// A job is useful to its client until this multiple of the time that its
  /// objective allows.
  std::uint32_t useful_factor = 3;
  /// An entry whose last tick is older than this was stalled: paused, or busy
  /// for so long that it has not looked at its connections. Clients may have
  /// left meanwhile and resubmitted elsewhere, so it starts nothing before it
  /// has caught up. A start that it sends before tells its gate that it has
  /// read its clients within two such limits, which leaves 500 ms of
  /// `confirmation_lifetime`.
  core::Duration stall_limit{std::chrono::milliseconds(300)};
  /// Time after a stall within which the entry reads what has arrived on its
  /// connections meanwhile, such as their end.
  core::Duration stall_recovery{std::chrono::milliseconds(60)};
  /// How many waiting tasks that fit nowhere are skipped in search of one that
  /// fits.
  std::size_t place_lookahead = 12;
  /// Memory that the accepted jobs of an entry take together.
  std::size_t max_job_bytes = std::size_t{32} * 1024 * 1024;
  /// Number of ended jobs whose state is kept for later queries.
  std::size_t max_ended_states = 512;
  /// Least time without a rise of the listed percent after which a run stands.
  /// Two polls that find no rise fit into it, and it ends before a run of the
  /// shortest tasks, 51 ms, is stalled by `stall_factor`.
  core::Duration standing_time{std::chrono::milliseconds(90)};
  /// Least interval between two messages about the progress of one run.
  core::Duration progress_interval{std::chrono::milliseconds(200)};
  /// A target is asked again after this time, instead of `hold_wait`, while one
  /// of its runs with known progress is over its expected time.
  core::Duration progress_hold_wait{std::chrono::milliseconds(50)};
  /// What an entry knows of the progress of a run is too old after this time
  /// in which it has heard the gate: three messages may be lost.
  core::Duration progress_age{std::chrono::milliseconds(600)};
  /// Demand of another entry that is older than this does not count: the entry
  /// may be gone. Covers four notices.
  core::Duration demand_lifetime{std::chrono::seconds(1)};
  /// Room is short once the usable targets would take this time for all waiting
  /// work. Below that, jobs of the shortest tasks, with some 100 ms of slack,
  /// start in time in the order of their latest starts.
  core::Duration shortage_begins{std::chrono::milliseconds(40)};
  /// Room is no longer short once the same time has been below this for
  /// `shortage_hold`. The distance to `shortage_begins` and the hold cover the
  /// variation of arrivals and the age of the other entries' demand.
  core::Duration shortage_ends{std::chrono::milliseconds(10)};
  core::Duration shortage_hold{std::chrono::milliseconds(500)};
  /// Time over which arriving work and shares of tasks started in time are
  /// measured.
  core::Duration floor_window{std::chrono::seconds(2)};
  /// While room is short, a priority is raised to the highest if its share of
  /// tasks started in time is below this part of the share of all tasks, in
  /// thousandths. Above the half that is to be kept, because the share is known
  /// only some 500 ms after the tasks arrived.
  std::uint32_t floor_permille = 600;
  /// So many tasks started in time are added to the share of each priority. An
  /// entry gets few jobs of some queues, and a single refused one tells little.
  std::uint64_t floor_prior_tasks = 4;
  /// Share of `wait_margin - 1` that remains when the demand of all entries is
  /// known, in thousandths. Half of it is for tasks of other entries, the rest
  /// for run times that are longer than expected.
  std::uint32_t known_demand_margin_permille = 500;
  /// No run starts at a target later than this after its gate has first
  /// acknowledged that it is draining; `drain_ms` of the node file.
  core::Duration drain_bound{std::chrono::milliseconds(2000)};
  /// Time from the announced departure of a target until another one has joined
  /// in its place. Used only to predict room.
  core::Duration rejoin_time{std::chrono::seconds(4)};
  /// Gates reserve room that runs will release for the most urgent request that
  /// does not fit now.
  bool reserve_room = true;
  /// Room is reserved at most this long before it is expected to be free. With
  /// a longer reach, gates hold room for requests that other gates serve first.
  core::Duration reservation_reach{std::chrono::milliseconds(50)};
  /// A reservation lapses this long after the time at which its room was first
  /// expected: run times are off by 40 %, and the room that has become free
  /// meanwhile is not used.
  core::Duration reservation_margin{std::chrono::milliseconds(50)};
  /// Places tasks by their expected finish, with the learned speeds of the
  /// targets; else by free room and label only.
  bool place_by_finish = true;
  /// Factor on the run time of a task away from its data, in thousandths. From
  /// the node file.
  std::uint32_t spread_permille = 1500;
  /// Targets whose speed differs from the mean by less than this, in
  /// thousandths, count as of mean speed. Learned speeds are off by some 3 %.
  std::uint32_t speed_band_permille = 100;
  /// A task is expected in time at a target if its run time there plus this
  /// share of it, in thousandths, ends before its job's objective.
  std::uint32_t finish_margin_permille = 100;
  /// How often an entry computes the mean speed of the targets.
  core::Duration speed_mean_interval{std::chrono::milliseconds(200)};
  /// A gate stores the learned speed with its target once it differs from the
  /// stored one by this share, in thousandths, and not more often than this.
  /// After a restart a speed that is off by a fifth still serves.
  std::uint32_t speed_store_permille = 200;
  core::Duration speed_store_pause{std::chrono::seconds(5)};
  /// For this time after its start an entry refuses accepted jobs that the room
  /// known now cannot serve. It may have accepted them before it knew any gate.
  /// Covers the time in which gates and targets come back after a loss of all
  /// power.
  core::Duration recovery_time{std::chrono::seconds(3)};
};

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_POLICY_H_
