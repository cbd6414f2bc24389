#include "requests.h"

#include <algorithm>
#include <boost/json.hpp>

namespace tarragon::bench {
namespace {

namespace json = boost::json;

/// The work of one task, and the result that proves whose task it was.
std::string TaskPayload(const std::string& key, std::size_t task,
                        core::Duration run) {
  return json::serialize(json::object{{"work_ms", core::Millis(run)},
                                      {"result", TaskResult(key, task)}});
}

}  // namespace

http::Request HandleRequest(const core::ServiceId& service) {
  http::Request request;
  request.path = "/v1/home";
  request.query["service"] = service.value();
  return request;
}

std::optional<FreshHandle> ReadHandle(const http::Response& response) {
  json::error_code error;
  const json::value parsed = json::parse(response.body, error);
  if (response.status != 200 || error || !parsed.is_object()) {
    return std::nullopt;
  }
  const json::value* handle = parsed.get_object().if_contains("handle");
  const json::value* valid = parsed.get_object().if_contains("valid_ms");
  if (handle == nullptr || !handle->is_string()) return std::nullopt;
  if (valid == nullptr || !valid->is_int64()) return std::nullopt;
  return FreshHandle{std::string(handle->get_string()),
                     std::chrono::milliseconds(valid->get_int64())};
}

http::Request SubmissionRequest(const PlannedJob& job, const std::string& key,
                                core::Duration deadline) {
  json::array tasks;
  for (std::size_t i = 0; i < job.runs.size(); ++i) {
    tasks.push_back(
        json::object{{"payload", TaskPayload(key, i, job.runs[i])}});
  }
  http::Request request;
  request.method = "POST";
  request.path = "/v1/jobs";
  request.headers["idempotency-key"] = key;
  request.headers["content-type"] = "application/json";
  request.body =
      json::serialize(json::object{{"service", job.service.value()},
                                   {"tenant", job.tenant.value()},
                                   {"deadline_ms", core::Millis(deadline)},
                                   {"wait_ms", core::Millis(deadline)},
                                   {"tasks", std::move(tasks)}});
  return request;
}

http::Request QueryRequest(const std::string& key, core::Duration wait) {
  http::Request request;
  request.path = "/v1/jobs/" + key;
  request.query["wait_ms"] =
      std::to_string(std::max<std::int64_t>(1, core::Millis(wait)));
  return request;
}

std::string TaskResult(const std::string& key, std::size_t task) {
  return key + "/" + std::to_string(task);
}

}  // namespace tarragon::bench
