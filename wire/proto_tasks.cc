#include <utility>

#include "proto_messages.h"
#include "proto_state.h"

namespace tarragon::wire {
namespace {

void ToProto(const dispatch::Assign& assign, Assign* out) {
  const auto& [ref, service, tenant, time_left, spec, usual_run] = assign;
  wire::ToProto(ref, out->mutable_ref());
  out->set_service(service.value());
  out->set_tenant(tenant.value());
  out->set_time_left_us(ToMicros(time_left));
  wire::ToProto(spec, out->mutable_spec());
  out->set_usual_run_us(ToMicros(usual_run));
}

}  // namespace

void ToProto(const dispatch::Assign& message, Envelope* out) {
  ToProto(message, out->mutable_assign());
}

bool FromProto(Assign* in, dispatch::Assign* out, WireError* reason) {
  if (!Require(in->has_ref(), "ref", reason)) return false;
  if (!Require(in->has_spec(), "spec", reason)) return false;
  FromProto(in->mutable_ref(), &out->ref);
  out->service = TakeId<core::ServiceId>(in->mutable_service());
  out->tenant = TakeId<core::TenantId>(in->mutable_tenant());
  FromProto(in->mutable_spec(), &out->spec);
  return FromMicros(in->time_left_us(), &out->time_left, reason) &&
         FromMicros(in->usual_run_us(), &out->usual_run, reason);
}

void ToProto(const dispatch::Refused& message, Envelope* out) {
  const auto& [ref, reason, retry_after, load] = message;
  Refused* refused = out->mutable_refused();
  ToProto(ref, refused->mutable_ref());
  refused->set_reason(static_cast<std::uint32_t>(reason));
  refused->set_retry_after_us(ToMicros(retry_after));
  ToProto(load, refused->mutable_load());
}

bool FromProto(Refused* in, dispatch::Refused* out, WireError* reason) {
  if (!Require(in->has_ref(), "ref", reason)) return false;
  if (!Require(in->has_load(), "load", reason)) return false;
  FromProto(in->mutable_ref(), &out->ref);
  FromProto(in->load(), &out->load);
  return FromNumber(in->reason(), &out->reason, reason) &&
         FromMicros(in->retry_after_us(), &out->retry_after, reason);
}

void ToProto(const dispatch::Started& message, Envelope* out) {
  const auto& [ref, load] = message;
  ToProto(ref, out->mutable_started()->mutable_ref());
  ToProto(load, out->mutable_started()->mutable_load());
}

bool FromProto(Started* in, dispatch::Started* out, WireError* reason) {
  if (!Require(in->has_ref(), "ref", reason)) return false;
  if (!Require(in->has_load(), "load", reason)) return false;
  FromProto(in->mutable_ref(), &out->ref);
  FromProto(in->load(), &out->load);
  return true;
}

void ToProto(const dispatch::Finished& message, Envelope* out) {
  const auto& [ref, ok, reason, result, result_digest, run_time, load, pull,
               pull_service] = message;
  Finished* finished = out->mutable_finished();
  ToProto(ref, finished->mutable_ref());
  finished->set_ok(ok);
  finished->set_reason(static_cast<std::uint32_t>(reason));
  finished->set_result(result);
  finished->set_result_digest(result_digest);
  finished->set_run_time_us(ToMicros(run_time));
  ToProto(load, finished->mutable_load());
  finished->set_pull(pull);
  finished->set_pull_service(pull_service.value());
}

bool FromProto(Finished* in, dispatch::Finished* out, WireError* reason) {
  if (!Require(in->has_ref(), "ref", reason)) return false;
  if (!Require(in->has_load(), "load", reason)) return false;
  FromProto(in->mutable_ref(), &out->ref);
  FromProto(in->load(), &out->load);
  out->ok = in->ok();
  out->result = std::move(*in->mutable_result());
  out->result_digest = in->result_digest();
  out->pull = in->pull();
  out->pull_service = core::ServiceId(std::move(*in->mutable_pull_service()));
  return FromNumber(in->reason(), &out->reason, reason) &&
         FromMicros(in->run_time_us(), &out->run_time, reason);
}

void ToProto(const dispatch::FinishedAck& message, Envelope* out) {
  const auto& [ref, pull] = message;
  ToProto(ref, out->mutable_finished_ack()->mutable_ref());
  out->mutable_finished_ack()->set_pull(pull);
}

bool FromProto(FinishedAck* in, dispatch::FinishedAck* out, WireError* reason) {
  if (!Require(in->has_ref(), "ref", reason)) return false;
  FromProto(in->mutable_ref(), &out->ref);
  out->pull = in->pull();
  return true;
}

void ToProto(const dispatch::Seal& message, Envelope* out) {
  const auto& [ref, stop] = message;
  ToProto(ref, out->mutable_seal()->mutable_ref());
  out->mutable_seal()->set_stop(stop);
}

bool FromProto(Seal* in, dispatch::Seal* out, WireError* reason) {
  if (!Require(in->has_ref(), "ref", reason)) return false;
  FromProto(in->mutable_ref(), &out->ref);
  out->stop = in->stop();
  return true;
}

void ToProto(const dispatch::Want& message, Envelope* out) {
  const auto& [service, waiting, oldest_wait] = message;
  Want* want = out->mutable_want();
  want->set_service(service.value());
  want->set_waiting(waiting);
  want->set_oldest_wait_us(ToMicros(oldest_wait));
}

bool FromProto(Want* in, dispatch::Want* out, WireError* reason) {
  out->service = TakeId<core::ServiceId>(in->mutable_service());
  out->waiting = in->waiting();
  return FromMicros(in->oldest_wait_us(), &out->oldest_wait, reason);
}

void ToProto(const dispatch::Pull& message, Envelope* out) {
  const auto& [number, service, load] = message;
  Pull* pull = out->mutable_pull();
  pull->set_number(number);
  pull->set_service(service.value());
  ToProto(load, pull->mutable_load());
}

bool FromProto(Pull* in, dispatch::Pull* out, WireError* reason) {
  if (!Require(in->has_load(), "load", reason)) return false;
  out->number = in->number();
  out->service = TakeId<core::ServiceId>(in->mutable_service());
  FromProto(in->load(), &out->load);
  return true;
}

void ToProto(const dispatch::PullEmpty& message, Envelope* out) {
  const auto& [number, service] = message;
  out->mutable_pull_empty()->set_number(number);
  out->mutable_pull_empty()->set_service(service.value());
}

bool FromProto(PullEmpty* in, dispatch::PullEmpty* out, WireError* /*reason*/) {
  out->number = in->number();
  out->service = TakeId<core::ServiceId>(in->mutable_service());
  return true;
}

void ToProto(const dispatch::PullTask& message, Envelope* out) {
  const auto& [number, assign, waiting, oldest_wait] = message;
  PullTask* task = out->mutable_pull_task();
  task->set_number(number);
  ToProto(assign, task->mutable_assign());
  task->set_waiting(waiting);
  task->set_oldest_wait_us(ToMicros(oldest_wait));
}

bool FromProto(PullTask* in, dispatch::PullTask* out, WireError* reason) {
  if (!Require(in->has_assign(), "assign", reason)) return false;
  out->number = in->number();
  out->waiting = in->waiting();
  return FromProto(in->mutable_assign(), &out->assign, reason) &&
         FromMicros(in->oldest_wait_us(), &out->oldest_wait, reason);
}

}  // namespace tarragon::wire
