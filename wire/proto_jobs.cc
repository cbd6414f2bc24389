#include <utility>

#include "proto_messages.h"
#include "proto_state.h"

namespace tarragon::wire {
namespace {

bool CheckTaskCount(int count, WireError* reason) {
  if (count <= static_cast<int>(dispatch::kMaxTasksPerJob)) return true;
  return Fail(WireErrorCode::kTooMany, "The job has too many tasks.", reason);
}

void ToProto(const dispatch::JobSpec& spec, JobSpec* out) {
  const auto& [key, service, tenant, time_left, tasks] = spec;
  out->set_key(key.value());
  out->set_service(service.value());
  out->set_tenant(tenant.value());
  out->set_time_left_us(ToMicros(time_left));
  out->mutable_tasks()->Reserve(static_cast<int>(tasks.size()));
  for (const dispatch::TaskSpec& task : tasks) {
    wire::ToProto(task, out->add_tasks());
  }
}

bool FromProto(JobSpec* in, dispatch::JobSpec* out, WireError* reason) {
  if (!CheckTaskCount(in->tasks_size(), reason)) return false;
  out->key = TakeId<core::JobKey>(in->mutable_key());
  out->service = TakeId<core::ServiceId>(in->mutable_service());
  out->tenant = TakeId<core::TenantId>(in->mutable_tenant());
  out->tasks.reserve(static_cast<std::size_t>(in->tasks_size()));
  for (TaskSpec& task : *in->mutable_tasks()) {
    wire::FromProto(&task, &out->tasks.emplace_back());
  }
  return FromMicros(in->time_left_us(), &out->time_left, reason);
}

}  // namespace

void ToProto(const dispatch::JobAnswer& answer, JobAnswer* out) {
  const auto& [key, outcome, reason, detail, retry_after, results] = answer;
  out->set_key(key.value());
  out->set_outcome(static_cast<std::uint32_t>(outcome));
  out->set_reason(static_cast<std::uint32_t>(reason));
  out->set_detail(detail);
  out->set_retry_after_us(ToMicros(retry_after));
  out->mutable_results()->Reserve(static_cast<int>(results.size()));
  for (const std::string& result : results) out->add_results(result);
}

bool FromProto(JobAnswer* in, dispatch::JobAnswer* out, WireError* reason) {
  if (!CheckTaskCount(in->results_size(), reason)) return false;
  out->key = TakeId<core::JobKey>(in->mutable_key());
  out->detail = std::move(*in->mutable_detail());
  out->results.reserve(static_cast<std::size_t>(in->results_size()));
  for (std::string& result : *in->mutable_results()) {
    out->results.push_back(std::move(result));
  }
  return FromNumber(in->outcome(), &out->outcome, reason) &&
         FromNumber(in->reason(), &out->reason, reason) &&
         FromMicros(in->retry_after_us(), &out->retry_after, reason);
}

void ToProto(const dispatch::TaskSpec& spec, TaskSpec* out) {
  const auto& [payload, cores, memory_mb] = spec;
  out->set_payload(payload);
  out->set_cores(cores);
  out->set_memory_mb(memory_mb);
}

void FromProto(TaskSpec* in, dispatch::TaskSpec* out) {
  out->payload = std::move(*in->mutable_payload());
  out->cores = in->cores();
  out->memory_mb = in->memory_mb();
}

void ToProto(const dispatch::Submit& message, Envelope* out) {
  const auto& [request, spec, body_digest] = message;
  Submit* submit = out->mutable_submit();
  submit->set_request(request);
  ToProto(spec, submit->mutable_spec());
  submit->set_body_digest(body_digest);
}

bool FromProto(Submit* in, dispatch::Submit* out, WireError* reason) {
  if (!Require(in->has_spec(), "spec", reason)) return false;
  out->request = in->request();
  out->body_digest = in->body_digest();
  return FromProto(in->mutable_spec(), &out->spec, reason);
}

void ToProto(const dispatch::Query& message, Envelope* out) {
  const auto& [request, key] = message;
  out->mutable_query()->set_request(request);
  out->mutable_query()->set_key(key.value());
}

bool FromProto(Query* in, dispatch::Query* out, WireError* /*reason*/) {
  out->request = in->request();
  out->key = TakeId<core::JobKey>(in->mutable_key());
  return true;
}

void ToProto(const dispatch::Cancel& message, Envelope* out) {
  const auto& [request, key] = message;
  out->mutable_cancel()->set_request(request);
  out->mutable_cancel()->set_key(key.value());
}

bool FromProto(Cancel* in, dispatch::Cancel* out, WireError* /*reason*/) {
  out->request = in->request();
  out->key = TakeId<core::JobKey>(in->mutable_key());
  return true;
}

void ToProto(const dispatch::Answer& message, Envelope* out) {
  const auto& [request, job_answer, results_digest] = message;
  Answer* answer = out->mutable_answer();
  answer->set_request(request);
  ToProto(job_answer, answer->mutable_answer());
  answer->set_results_digest(results_digest);
}

bool FromProto(Answer* in, dispatch::Answer* out, WireError* reason) {
  if (!Require(in->has_answer(), "answer", reason)) return false;
  out->request = in->request();
  out->results_digest = in->results_digest();
  return FromProto(in->mutable_answer(), &out->answer, reason);
}

void ToProto(const dispatch::Explain& message, Envelope* out) {
  const auto& [request, key] = message;
  out->mutable_explain()->set_request(request);
  out->mutable_explain()->set_key(key.value());
}

bool FromProto(Explain* in, dispatch::Explain* out, WireError* /*reason*/) {
  out->request = in->request();
  out->key = TakeId<core::JobKey>(in->mutable_key());
  return true;
}

void ToProto(const dispatch::Explanation& message, Envelope* out) {
  const auto& [request, history, lines] = message;
  Explanation* explanation = out->mutable_explanation();
  explanation->set_request(request);
  explanation->set_history(static_cast<std::uint32_t>(history));
  for (const std::string& line : lines) explanation->add_lines(line);
}

bool FromProto(Explanation* in, dispatch::Explanation* out, WireError* reason) {
  out->request = in->request();
  if (in->history() > dispatch::kLastKeyHistory) {
    return Fail(WireErrorCode::kUnknownValue,
                "The history of a key is of an unknown kind.", reason);
  }
  out->history = static_cast<dispatch::KeyHistory>(in->history());
  out->lines.reserve(static_cast<std::size_t>(in->lines_size()));
  for (std::string& line : *in->mutable_lines()) {
    out->lines.push_back(std::move(line));
  }
  return true;
}

}  // namespace tarragon::wire
