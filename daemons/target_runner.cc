#include "target_runner.h"

#include <algorithm>
#include <utility>

#include "tarragon/core/log.h"
#include "tarragon/http/status.h"

namespace tarragon::daemons {
namespace {

using dispatch::TaskEnd;

/// Idle connections to the target; it allows about 60.
constexpr std::size_t kIdleConnections = 32;
constexpr core::Duration kStopTimeout = std::chrono::seconds(2);
constexpr char kKeyHeader[] = "tarragon-key";
constexpr char kTaskHeader[] = "tarragon-task";
constexpr char kNotStartedHeader[] = "tarragon-not-started";

const core::Log& TargetLog() {
  static const core::Log log("target");
  return log;
}

http::ClientLimits Limits() {
  http::ClientLimits limits;
  limits.max_idle_per_host = kIdleConnections;
  limits.max_response_bytes = dispatch::kMaxResultBytes;
  return limits;
}

std::string Header(const http::Response& response, const char* name) {
  const auto found = response.headers.find(name);
  return found == response.headers.end() ? std::string() : found->second;
}

/// The answer names the very task that was asked for.
bool IsAnswerTo(const http::Response& response, const dispatch::TaskRef& ref) {
  return Header(response, kKeyHeader) == ref.key.value() &&
         Header(response, kTaskHeader) == std::to_string(ref.task.value());
}

TaskEnd EndOf(const std::optional<http::Response>& response,
              const http::HttpError& error, const dispatch::TaskRef& ref) {
  if (!response.has_value()) {
    const bool not_sent = error.kind == http::HttpErrorKind::kNotSent ||
                          error.kind == http::HttpErrorKind::kBadAddress ||
                          error.kind == http::HttpErrorKind::kBadRequest;
    if (not_sent) return TaskEnd::kNotStarted;
    // It has run, but its result can never be delivered.
    const bool too_large = error.kind == http::HttpErrorKind::kTooLarge;
    return too_large ? TaskEnd::kFailed : TaskEnd::kUnknown;
  }
  const bool refused = response->status == http::kStatusUnavailable &&
                       Header(*response, kNotStartedHeader) == "1";
  if (refused) return TaskEnd::kNotStarted;
  if (response->status != http::kStatusOk) return TaskEnd::kFailed;
  return IsAnswerTo(*response, ref) ? TaskEnd::kOk : TaskEnd::kUnknown;
}

}  // namespace

TargetRunner::TargetRunner(boost::asio::io_context& io, Ended ended)
    : client_(io, Limits()), ended_(std::move(ended)) {}

void TargetRunner::Run(const core::Address& address,
                       const dispatch::RunTask& task, core::Duration max_run) {
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
                 Answered(address, ref, response, error);
               });
}

void TargetRunner::Answered(const core::Address& address,
                            const dispatch::TaskRef& ref,
                            const std::optional<http::Response>& response,
                            const http::HttpError& error) {
  const TaskEnd end = EndOf(response, error, ref);
  if (end == TaskEnd::kUnknown) {
    TargetLog().Warn("A task gave no whole answer.",
                     {{"key", ref.key}, {"why", error.text}});
    Stop(address, ref);
  }
  ended_(ref, end, end == TaskEnd::kOk ? response->body : std::string());
}

void TargetRunner::Stop(const core::Address& address,
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
