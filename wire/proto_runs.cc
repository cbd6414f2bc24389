#include <algorithm>
#include <utility>

#include "proto_messages.h"
#include "proto_state.h"
#include "tarragon/wire/codec.h"

// The structured bindings name every field of a struct, so that a field which
// is added there does not compile here until it is encoded.

namespace tarragon::wire {
namespace {

/// Largest amount of room, and largest number of millicore-milliseconds, that
/// is read. Sums over all tasks and peers stay within 64 bits.
constexpr std::int64_t kMaxAmount = std::int64_t{1} << 40;
constexpr std::uint64_t kMaxWork = std::uint64_t{1} << 52;

void ToProto(const coordinator::Room& room, Room* out) {
  const auto& [millicores, memory_mb, accelerators] = room;
  out->set_millicores(millicores);
  out->set_memory_mb(memory_mb);
  out->set_accelerators(accelerators);
}

bool IsAmount(std::int64_t amount) {
  return amount >= -kMaxAmount && amount <= kMaxAmount;
}

bool ReadRoom(const Room& in, coordinator::Room* out, WireError* reason) {
  *out = {in.millicores(), in.memory_mb(), in.accelerators()};
  if (IsAmount(in.millicores()) && IsAmount(in.memory_mb()) &&
      IsAmount(in.accelerators())) {
    return true;
  }
  return Fail(WireErrorCode::kOutOfRange, "An amount of room is out of range.",
              reason);
}

void ToProto(const coordinator::RunRef& run, RunRef* out) {
  const auto& [task, number] = run;
  const auto& [job, step, index] = task;
  out->set_job(job.value());
  out->set_step(step);
  out->set_index(index);
  out->set_number(number);
}

bool ReadRun(bool present, RunRef* in, coordinator::RunRef* out,
             WireError* reason) {
  if (!Require(present, "run", reason)) return false;
  out->task.job = TakeId<coordinator::JobId>(in->mutable_job());
  out->task.step = in->step();
  out->task.index = in->index();
  out->number = in->number();
  return true;
}

void ToProto(const coordinator::Queue& queue, Queue* out) {
  const auto& [name, host, path_prefix, service, priority, max_attempts,
               stretch_permille, latency_target, timeout, needs_advice] = queue;
  out->set_name(name.value());
  out->set_host(host);
  out->set_path_prefix(path_prefix);
  out->set_service(service.value());
  out->set_priority(priority);
  out->set_max_attempts(max_attempts);
  out->set_stretch_permille(stretch_permille);
  out->set_latency_target_us(ToMicros(latency_target));
  out->set_timeout_us(ToMicros(timeout));
  out->set_needs_advice(needs_advice);
}

bool ReadQueue(Queue* in, coordinator::Queue* out, WireError* reason) {
  out->name = TakeId<coordinator::QueueId>(in->mutable_name());
  out->host = std::move(*in->mutable_host());
  out->path_prefix = std::move(*in->mutable_path_prefix());
  out->service = TakeId<core::ServiceId>(in->mutable_service());
  out->priority = in->priority();
  out->max_attempts = in->max_attempts();
  out->stretch_permille = in->stretch_permille();
  out->needs_advice = in->needs_advice();
  return FromMicros(in->latency_target_us(), &out->latency_target, reason) &&
         FromMicros(in->timeout_us(), &out->timeout, reason);
}

std::int64_t ClockMicros(core::Time time) { return time.since_start.count(); }

bool ReadClock(std::int64_t micros, core::Time* out, WireError* reason) {
  return FromMicros(micros, &out->since_start, reason);
}

void ToProto(const coordinator::PriorityDemand& demand, PriorityDemand* out) {
  const auto& [priority, waiting_work, arriving_millicores] = demand;
  out->set_priority(priority);
  out->set_waiting_work(waiting_work);
  out->set_arriving_millicores(arriving_millicores);
}

/// Cuts a demand that is too large: it only orders waiting tasks, so it is no
/// reason to lose the peer.
coordinator::PriorityDemand ReadDemand(const PriorityDemand& in) {
  return {in.priority(), std::min(in.waiting_work(), kMaxWork),
          std::min(in.arriving_millicores(), kMaxWork)};
}

void WriteReport(const coordinator::TargetReport& message,
                 TargetReport* report) {
  const auto& [clock, starts_seen, usable, runs_known, target, born, sequence,
               address, draining, service, domain, labels, capacity, free,
               entries, slowness_permille, failed_permille, operator_revision,
               domains_digest, config_version, offered, has_suspect,
               others_demand, leaves_in, speed_permille, releases] = message;
  report->set_clock_us(ClockMicros(clock));
  report->set_starts_seen(starts_seen);
  report->set_usable(usable);
  report->set_runs_known(runs_known);
  report->set_target(target.value());
  report->set_born(born.value());
  report->set_sequence(sequence);
  report->set_address(address.value());
  report->set_draining(draining);
  report->set_service(service.value());
  report->set_domain(domain.value());
  for (const coordinator::Label& label : labels) {
    report->add_labels(label.value());
  }
  ToProto(capacity, report->mutable_capacity());
  ToProto(free, report->mutable_free());
  report->set_entries(entries);
  report->set_slowness_permille(slowness_permille);
  report->set_failed_permille(failed_permille);
  report->set_operator_revision(operator_revision);
  report->set_domains_digest(domains_digest);
  report->set_config_version(config_version);
  report->set_offered(offered);
  report->set_has_suspect(has_suspect);
  for (const coordinator::PriorityDemand& each : others_demand) {
    ToProto(each, report->add_others_demand());
  }
  report->set_leaves_in_us(ToMicros(leaves_in));
  report->set_speed_permille(speed_permille);
  for (const auto& [after, millicores] : releases) {
    RoomRelease* release = report->add_releases();
    release->set_after_us(ToMicros(after));
    release->set_millicores(millicores);
  }
}

void OmitTarget(TargetReport* report) {
  report->clear_target();
  report->clear_born();
  report->clear_address();
  report->clear_service();
  report->clear_domain();
  report->clear_labels();
  report->clear_capacity();
  report->clear_entries();
  report->clear_domains_digest();
  report->clear_config_version();
  report->set_same_target(true);
}

bool ReadReport(TargetReport* in, coordinator::TargetReport* out,
                WireError* reason) {
  out->starts_seen = in->starts_seen();
  out->usable = in->usable();
  out->runs_known = in->runs_known();
  out->target = TakeId<coordinator::TargetId>(in->mutable_target());
  out->born = coordinator::TargetIncarnation(in->born());
  out->sequence = in->sequence();
  out->address = TakeId<core::Address>(in->mutable_address());
  out->draining = in->draining();
  out->service = TakeId<core::ServiceId>(in->mutable_service());
  out->domain = TakeId<core::DomainId>(in->mutable_domain());
  for (std::string& label : *in->mutable_labels()) {
    out->labels.push_back(TakeId<coordinator::Label>(&label));
  }
  out->entries = in->entries();
  out->slowness_permille = in->slowness_permille();
  out->failed_permille = in->failed_permille();
  out->operator_revision = in->operator_revision();
  out->domains_digest = in->domains_digest();
  out->config_version = in->config_version();
  out->offered = in->offered();
  out->has_suspect = in->has_suspect();
  for (const PriorityDemand& each : in->others_demand()) {
    out->others_demand.push_back(ReadDemand(each));
  }
  out->speed_permille = in->speed_permille();
  for (const RoomRelease& each : in->releases()) {
    coordinator::RoomRelease& release = out->releases.emplace_back();
    release.millicores = each.millicores();
    if (!IsAmount(release.millicores)) {
      return Fail(WireErrorCode::kOutOfRange,
                  "An amount of room is out of range.", reason);
    }
    if (!FromMicros(each.after_us(), &release.after, reason)) return false;
  }
  return ReadRoom(in->capacity(), &out->capacity, reason) &&
         ReadRoom(in->free(), &out->free, reason) &&
         FromMicros(in->leaves_in_us(), &out->leaves_in, reason) &&
         ReadClock(in->clock_us(), &out->clock, reason);
}

}  // namespace

void ToProto(const coordinator::EntryNotice& message, Envelope* out) {
  const auto& [echo, operator_revision, domains_digest, config_version, demand,
               clients_read] = message;
  EntryNotice* notice = out->mutable_entry_notice();
  notice->set_echo_us(ClockMicros(echo));
  notice->set_clients_read_us(ClockMicros(clients_read));
  notice->set_operator_revision(operator_revision);
  notice->set_domains_digest(domains_digest);
  notice->set_config_version(config_version);
  for (const coordinator::PriorityDemand& each : demand) {
    ToProto(each, notice->add_demand());
  }
}

bool FromProto(EntryNotice* in, coordinator::EntryNotice* out,
               WireError* reason) {
  out->operator_revision = in->operator_revision();
  out->domains_digest = in->domains_digest();
  out->config_version = in->config_version();
  for (const PriorityDemand& each : in->demand()) {
    out->demand.push_back(ReadDemand(each));
  }
  return ReadClock(in->echo_us(), &out->echo, reason) &&
         ReadClock(in->clients_read_us(), &out->clients_read, reason);
}

void ToProto(const coordinator::OperatorUpdate& message, Envelope* out) {
  const auto& [whole, domains_only] = message;
  const auto& [revision, version, queues, drained] = whole;
  out->mutable_operator_update()->set_domains_only(domains_only);
  OperatorState* state = out->mutable_operator_update()->mutable_state();
  state->set_revision(revision);
  state->set_version(version);
  for (const coordinator::Queue& queue : queues) {
    ToProto(queue, state->add_queues());
  }
  for (const core::DomainId& domain : drained) {
    state->add_drained(domain.value());
  }
}

bool FromProto(OperatorUpdate* in, coordinator::OperatorUpdate* out,
               WireError* reason) {
  if (!Require(in->has_state(), "state", reason)) return false;
  out->domains_only = in->domains_only();
  OperatorState* state = in->mutable_state();
  out->state.revision = state->revision();
  out->state.version = state->version();
  for (Queue& queue : *state->mutable_queues()) {
    if (!ReadQueue(&queue, &out->state.queues.emplace_back(), reason)) {
      return false;
    }
  }
  for (std::string& domain : *state->mutable_drained()) {
    out->state.drained.push_back(TakeId<core::DomainId>(&domain));
  }
  return true;
}

void ToProto(const coordinator::TargetReport& message, Envelope* out) {
  WriteReport(message, out->mutable_target_report());
}

bool FromProto(TargetReport* in, coordinator::TargetReport* out,
               WireError* reason) {
  return ReadReport(in, out, reason);
}

void WriteRepeatedTarget(const coordinator::TargetReport& message,
                         Envelope* out) {
  TargetReport* report = out->mutable_target_report();
  WriteReport(message, report);
  OmitTarget(report);
}

void CopyTarget(const coordinator::TargetReport& from,
                coordinator::TargetReport* to) {
  to->target = from.target;
  to->born = from.born;
  to->address = from.address;
  to->service = from.service;
  to->domain = from.domain;
  to->labels = from.labels;
  to->capacity = from.capacity;
  to->entries = from.entries;
  to->domains_digest = from.domains_digest;
  to->config_version = from.config_version;
}

bool DescribesSameTarget(const coordinator::TargetReport& previous,
                         const coordinator::TargetReport& next) {
  return previous.target == next.target && previous.born == next.born &&
         previous.address == next.address && previous.service == next.service &&
         previous.domain == next.domain && previous.labels == next.labels &&
         previous.capacity == next.capacity &&
         previous.entries == next.entries &&
         previous.domains_digest == next.domains_digest &&
         previous.config_version == next.config_version;
}

void ToProto(const coordinator::RoomWanted& message, Envelope* out) {
  const auto& [room, late, slack, priority, expected_run] = message;
  RoomWanted* wanted = out->mutable_room_wanted();
  ToProto(room, wanted->mutable_room());
  wanted->set_late(late);
  wanted->set_slack_us(ToMicros(slack));
  wanted->set_priority(priority);
  wanted->set_expected_run_us(ToMicros(expected_run));
}

bool FromProto(RoomWanted* in, coordinator::RoomWanted* out,
               WireError* reason) {
  out->late = in->late();
  out->priority = in->priority();
  return ReadRoom(in->room(), &out->room, reason) &&
         FromMicros(in->slack_us(), &out->slack, reason) &&
         FromMicros(in->expected_run_us(), &out->expected_run, reason);
}

void ToProto(const coordinator::TargetHint& message, Envelope* out) {
  WriteReport(message.last, out->mutable_target_hint()->mutable_last());
}

bool FromProto(TargetHint* in, coordinator::TargetHint* out,
               WireError* reason) {
  if (!Require(in->has_last(), "last", reason)) return false;
  return ReadReport(in->mutable_last(), &out->last, reason);
}

void ToProto(const coordinator::StartRun& message, Envelope* out) {
  const auto& [run, sequence, service, room, payload, required, start_by,
               expected_run, operator_revision, domains_digest, suspect,
               priority, longest_run] = message;
  StartRun* start = out->mutable_start_run();
  ToProto(run, start->mutable_run());
  start->set_sequence(sequence);
  start->set_service(service.value());
  ToProto(room, start->mutable_room());
  start->set_payload(payload);
  start->set_required(required.value());
  start->set_start_by_us(ClockMicros(start_by));
  start->set_expected_run_us(ToMicros(expected_run));
  start->set_operator_revision(operator_revision);
  start->set_domains_digest(domains_digest);
  start->set_suspect(suspect);
  start->set_priority(priority);
  start->set_longest_run_us(ToMicros(longest_run));
}

bool FromProto(StartRun* in, coordinator::StartRun* out, WireError* reason) {
  if (!ReadRun(in->has_run(), in->mutable_run(), &out->run, reason)) {
    return false;
  }
  out->sequence = in->sequence();
  out->service = TakeId<core::ServiceId>(in->mutable_service());
  out->payload = std::move(*in->mutable_payload());
  out->required = TakeId<coordinator::Label>(in->mutable_required());
  out->operator_revision = in->operator_revision();
  out->domains_digest = in->domains_digest();
  out->suspect = in->suspect();
  out->priority = in->priority();
  return ReadRoom(in->room(), &out->room, reason) &&
         ReadClock(in->start_by_us(), &out->start_by, reason) &&
         FromMicros(in->expected_run_us(), &out->expected_run, reason) &&
         FromMicros(in->longest_run_us(), &out->longest_run, reason);
}

void ToProto(const coordinator::AskRun& message, Envelope* out) {
  const auto& [run, stop, room] = message;
  AskRun* ask = out->mutable_ask_run();
  ToProto(run, ask->mutable_run());
  ask->set_stop(stop);
  ToProto(room, ask->mutable_room());
}

bool FromProto(AskRun* in, coordinator::AskRun* out, WireError* reason) {
  out->stop = in->stop();
  return ReadRoom(in->room(), &out->room, reason) &&
         ReadRun(in->has_run(), in->mutable_run(), &out->run, reason);
}

void ToProto(const coordinator::RunProgress& message, Envelope* out) {
  const auto& [run, percent, remaining, standing] = message;
  RunProgress* progress = out->mutable_run_progress();
  ToProto(run, progress->mutable_run());
  progress->set_percent(percent);
  progress->set_remaining_us(ToMicros(remaining));
  progress->set_standing(standing);
}

bool FromProto(RunProgress* in, coordinator::RunProgress* out,
               WireError* reason) {
  if (in->percent() > 100) {
    return Fail(WireErrorCode::kMalformed, "The progress exceeds 100 percent.",
                reason);
  }
  out->percent = in->percent();
  out->standing = in->standing();
  return ReadRun(in->has_run(), in->mutable_run(), &out->run, reason) &&
         FromMicros(in->remaining_us(), &out->remaining, reason);
}

void ToProto(const coordinator::RunEnded& message, Envelope* out) {
  const auto& [run, end, why, run_time, target_crashed] = message;
  RunEnded* ended = out->mutable_run_ended();
  ToProto(run, ended->mutable_run());
  ended->set_end(static_cast<std::uint32_t>(end));
  ended->set_reason(static_cast<std::uint32_t>(why));
  ended->set_run_time_us(ToMicros(run_time));
  ended->set_target_crashed(target_crashed);
}

bool FromProto(RunEnded* in, coordinator::RunEnded* out, WireError* reason) {
  if (in->end() > coordinator::kLastRunEnd ||
      in->reason() > coordinator::kLastRefusalReason) {
    return Fail(WireErrorCode::kMalformed, "The end of a run is unknown.",
                reason);
  }
  out->end = static_cast<coordinator::RunEnd>(in->end());
  out->reason = static_cast<coordinator::RefusalReason>(in->reason());
  out->target_crashed = in->target_crashed();
  return ReadRun(in->has_run(), in->mutable_run(), &out->run, reason) &&
         FromMicros(in->run_time_us(), &out->run_time, reason);
}

}  // namespace tarragon::wire
