#include "job_json.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "json_reader.h"
#include "tarragon/http/status.h"

namespace tarragon::daemons {
namespace {

namespace json = boost::json;
using dispatch::Outcome;
using dispatch::Reason;

constexpr std::size_t kMaxJsonDepth = 8;
constexpr std::size_t kMaxPayloadBytes = std::size_t{64} * 1024;
constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxKeyLength = 200;
constexpr std::int64_t kMaxDeadlineMs = 600'000;
constexpr std::int64_t kMaxCores = 4096;
constexpr std::int64_t kMaxMemoryMb = std::int64_t{64} * 1024 * 1024;
constexpr std::int64_t kMsPerSecond = 1000;

bool ReadTask(const json::value& value, std::size_t index,
              dispatch::TaskSpec* task, RequestError* reason) {
  const std::string where = "tasks[" + std::to_string(index) + "] ";
  if (!value.is_object()) {
    reason->detail = where + "must be an object.";
    return false;
  }
  ObjectReader reader(value.get_object(), where);
  task->payload = reader.ReadText("payload", kMaxPayloadBytes, true);
  task->cores =
      static_cast<std::uint32_t>(reader.ReadInteger("cores", 0, kMaxCores, 1));
  task->memory_mb = static_cast<std::uint32_t>(
      reader.ReadInteger("memory_mb", 0, kMaxMemoryMb, 0));
  reader.RefuseUnknownMembers();
  if (reader.error().empty()) return true;
  reason->detail = reader.error();
  return false;
}

bool ReadTasks(const json::array& tasks, dispatch::JobSpec* spec,
               RequestError* reason) {
  if (tasks.empty() || tasks.size() > dispatch::kMaxTasksPerJob) {
    reason->detail = "A job must have 1 to " +
                     std::to_string(dispatch::kMaxTasksPerJob) + " tasks.";
    return false;
  }
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    dispatch::TaskSpec task;
    if (!ReadTask(tasks[i], i, &task, reason)) return false;
    spec->tasks.push_back(std::move(task));
  }
  return true;
}

int HttpStatusOfNotRun(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return 404;
    case Reason::kUnknownService:
      return 400;
    case Reason::kKeyReused:
      return 409;
    case Reason::kCancelled:
      return 410;
    case Reason::kTooLarge:
      return 413;
    case Reason::kTenantLimit:
      return 429;
    default:
      return 503;
  }
}

int HttpStatusOf(const dispatch::JobAnswer& answer) {
  switch (answer.outcome) {
    case Outcome::kRunning:
      return 202;
    case Outcome::kComplete:
      return 200;
    case Outcome::kFailed:
      if (answer.reason == Reason::kDeadline) return 504;
      return answer.reason == Reason::kCancelled ? 410 : 502;
    case Outcome::kNotRun:
      return HttpStatusOfNotRun(answer.reason);
    case Outcome::kUnknown:
      return 502;
  }
  return 500;
}

void SetRetryAfter(core::Duration pause, http::Response* response) {
  if (pause.count() <= 0) return;
  const std::int64_t seconds =
      (core::Millis(pause) + kMsPerSecond - 1) / kMsPerSecond;
  response->headers["retry-after"] =
      std::to_string(std::max<std::int64_t>(1, seconds));
}

}  // namespace

std::optional<Submission> ParseSubmission(const std::string& body,
                                          RequestError* reason) {
  json::parse_options options;
  options.max_depth = kMaxJsonDepth;
  boost::system::error_code error;
  const json::value value = json::parse(body, error, {}, options);
  if (error || !value.is_object()) {
    reason->detail = "The body is not a JSON object.";
    return std::nullopt;
  }
  ObjectReader reader(value.get_object(), "");
  Submission submission;
  dispatch::JobSpec& spec = submission.spec;
  spec.service =
      core::ServiceId(reader.ReadText("service", kMaxNameLength, false));
  spec.tenant =
      core::TenantId(reader.ReadText("tenant", kMaxNameLength, false));
  const std::int64_t deadline_ms =
      reader.ReadInteger("deadline_ms", 1, kMaxDeadlineMs, 0);
  const std::int64_t wait_ms =
      reader.ReadInteger("wait_ms", 0, kMaxDeadlineMs, deadline_ms);
  const json::array* tasks = reader.ReadArray("tasks");
  reader.RefuseUnknownMembers();
  if (!reader.error().empty()) {
    reason->detail = reader.error();
    return std::nullopt;
  }
  if (deadline_ms == 0) {
    reason->detail = "deadline_ms is missing.";
    return std::nullopt;
  }
  if (!ReadTasks(*tasks, &spec, reason)) return std::nullopt;
  spec.time_left = std::chrono::milliseconds(deadline_ms);
  // A client that waits for the whole deadline must still get the answer that
  // the deadline has passed, so the wait is longer than any deadline.
  submission.wait =
      wait_ms >= deadline_ms
          ? core::Duration(std::chrono::milliseconds(kMaxDeadlineMs * 2))
          : core::Duration(std::chrono::milliseconds(wait_ms));
  return submission;
}

bool IsValidKey(const std::string& text) {
  if (text.empty() || text.size() > kMaxKeyLength) return false;
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c < '\x7f'; });
}

http::Response MakeAnswerResponse(const dispatch::JobAnswer& answer,
                                  const std::string& handle) {
  json::object body;
  body["key"] = answer.key.value();
  body["outcome"] = std::string(dispatch::Name(answer.outcome));
  body["reason"] = std::string(dispatch::Name(answer.reason));
  body["detail"] = answer.detail;
  if (!handle.empty()) body["handle"] = handle;
  if (answer.retry_after.count() > 0) {
    body["retry_after_ms"] =
        std::max<std::int64_t>(1, core::Millis(answer.retry_after));
  }
  if (answer.outcome == Outcome::kComplete) {
    json::array results;
    for (const std::string& result : answer.results) {
      results.emplace_back(result);
    }
    body["results"] = std::move(results);
  }
  http::Response response;
  response.status = HttpStatusOf(answer);
  response.body = json::serialize(body);
  SetRetryAfter(answer.retry_after, &response);
  return response;
}

http::Response MakeErrorResponse(int status, const std::string& reason,
                                 const std::string& detail) {
  json::object body;
  body["outcome"] = "not_run";
  body["reason"] = reason;
  body["detail"] = detail;
  http::Response response;
  response.status = status;
  response.body = json::serialize(body);
  return response;
}

http::Response MakeMethodNotAllowedResponse(const std::string& allowed) {
  http::Response response = MakeErrorResponse(http::kStatusMethodNotAllowed,
                                              "method", "Use " + allowed + ".");
  response.headers["allow"] = allowed;
  return response;
}

}  // namespace tarragon::daemons
