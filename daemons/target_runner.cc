#include "target_runner.h"

#include <algorithm>
#include <utility>

#include "tarragon/core/log.h"
#include "tarragon/http/status.h"

namespace tarragon::daemons {
namespace {

using dispatch::TaskEnd;

/// Idle connections kept to the target, which allows about 60 connections.
constexpr std::size_t kMaxIdleConnections = 32;
constexpr core::Duration kStopTimeout = std::chrono::seconds(2);
constexpr char kKeyHeader[] = "tarragon-key";
constexpr char kTaskHeader[] = "tarragon-task";
constexpr char kNotStartedHeader[] = "tarragon-not-started";

const core::Log& TargetLog() {
  static const core::Log log("target");
  return log;
}

http::ClientLimits MakeClientLimits() {
  http::ClientLimits limits;
  limits.max_idle_per_host = kMaxIdleConnections;
  limits.max_response_bytes = dispatch::kMaxResultBytes;
  return limits;
}

std::string FindHeader(const http::Response& response, const char* name) {
  const auto found = response.headers.find(name);
  return found == response.headers.end() ? std::string() : found->second;
}

/// True if the response carries the key and number of the requested task.
bool IsAnswerTo(const http::Response& response, const dispatch::TaskRef& ref) {
  return FindHeader(response, kKeyHeader) == ref.key.value() &&
         FindHeader(response, kTaskHeader) == std::to_string(ref.task.value());
}

TaskEnd ClassifyEnd(const std::optional<http::Response>& response,
                    const http::HttpError& error,
                    const dispatch::TaskRef& ref) {
  if (!response.has_value()) {
    const bool not_sent = error.kind == http::HttpErrorKind::kNotSent ||
                          error.kind == http::HttpErrorKind::kBadAddress ||
                          error.kind == http::HttpErrorKind::kBadRequest;
    if (not_sent) return TaskEnd::kNotStarted;
    // The task has run, but its result is too large to be delivered.
    const bool too_large = error.kind == http::HttpErrorKind::kTooLarge;
    return too_large ? TaskEnd::kFailed : TaskEnd::kUnknown;
  }
  const bool refused = response->status == http::kStatusUnavailable &&
                       FindHeader(*response, kNotStartedHeader) == "1";
  if (refused) return TaskEnd::kNotStarted;
  if (response->status != http::kStatusOk) return TaskEnd::kFailed;
  return IsAnswerTo(*response, ref) ? TaskEnd::kOk : TaskEnd::kUnknown;
}

}  // namespace

TargetRunner::TargetRunner(boost::asio::io_context& io, EndCallback on_end)
    : client_(io, MakeClientLimits()), on_end_(std::move(on_end)) {}

void TargetRunner::StartTask(const core::Address& address,
                             const dispatch::RunTask& task,
                             core::Duration max_run) {
  http::Request request;
  request.method = "POST";
  request.path = "/v1/tasks";
  request.headers[kKeyHeader] = task.ref.key.value();
  request.headers[kTaskHeader] = std::to_string(task.ref.task.value());
  request.headers["tarragon-attempt"] =
      std::to_string(task.ref.attempt.value());
  request.headers["tarragon-service"] = task.service.value();
  request.headers["tarragon-time-left-ms"] =
      std::to_string(core::Millis(task.time_left));
  request.body = task.payload;
  client_.Send(address, request, max_run,
               [this, address, ref = task.ref](
                   const std::optional<http::Response>& response,
                   const http::HttpError& error) {
                 OnResponse(address, ref, response, error);
               });
}

void TargetRunner::OnResponse(const core::Address& address,
                              const dispatch::TaskRef& ref,
                              const std::optional<http::Response>& response,
                              const http::HttpError& error) {
  const TaskEnd end = ClassifyEnd(response, error, ref);
  if (end == TaskEnd::kUnknown) {
    TargetLog().Warn("The target gave no complete answer to a task.",
                     {{"key", ref.key}, {"why", error.text}});
    StopTask(address, ref);
  }
  on_end_(ref, end, end == TaskEnd::kOk ? response->body : std::string());
}

void TargetRunner::StopTask(const core::Address& address,
                            const dispatch::TaskRef& ref) {
  http::Request request;
  request.method = "DELETE";
  request.path =
      "/v1/tasks/" + ref.key.value() + "/" + std::to_string(ref.task.value());
  client_.Send(
      address, request, kStopTimeout,
      [](const std::optional<http::Response>&, const http::HttpError&) {});
}

}  // namespace tarragon::daemons
