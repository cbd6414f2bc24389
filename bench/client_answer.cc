#include "tarragon/bench/client_answer.h"

#include <array>
#include <boost/json.hpp>

namespace tarragon::bench {
namespace {

namespace json = boost::json;

struct EndName {
  JobEnd end;
  const char* name;
};

constexpr std::array<EndName, 7> kEndNames = {{
    {JobEnd::kComplete, "complete"},
    {JobEnd::kFailed, "failed"},
    {JobEnd::kNotRun, "not_run"},
    {JobEnd::kUnknown, "unknown"},
    {JobEnd::kNoAnswer, "no_answer"},
    {JobEnd::kNotSubmitted, "not_submitted"},
    {JobEnd::kBadAnswer, "bad_answer"},
}};

std::string Text(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_string()) return "";
  return std::string(value->get_string());
}

core::Duration RetryAfter(const json::object& object) {
  const json::value* value = object.if_contains("retry_after_ms");
  if (value == nullptr || !value->is_int64()) return core::Duration(0);
  return std::chrono::milliseconds(value->get_int64());
}

std::vector<std::string> Results(const json::object& object) {
  std::vector<std::string> results;
  const json::value* value = object.if_contains("results");
  if (value == nullptr || !value->is_array()) return results;
  for (const json::value& item : value->get_array()) {
    results.emplace_back(item.is_string() ? item.get_string() : "");
  }
  return results;
}

bool IsOutcomeOfService(JobEnd end) {
  return end == JobEnd::kComplete || end == JobEnd::kFailed ||
         end == JobEnd::kNotRun || end == JobEnd::kUnknown;
}

}  // namespace

const char* Name(JobEnd end) {
  for (const EndName& each : kEndNames) {
    if (each.end == end) return each.name;
  }
  return "bad_answer";
}

std::optional<JobEnd> ParseJobEnd(const std::string& name) {
  for (const EndName& each : kEndNames) {
    if (name == each.name) return each.end;
  }
  return std::nullopt;
}

ClientAnswer ReadClientAnswer(const http::Response& response) {
  ClientAnswer answer;
  answer.reason = "status_" + std::to_string(response.status);
  json::error_code error;
  const json::value parsed = json::parse(response.body, error);
  if (error || !parsed.is_object()) return answer;
  const json::object& body = parsed.get_object();
  answer.key = Text(body, "key");
  answer.handle = Text(body, "handle");
  const std::string outcome = Text(body, "outcome");
  if (outcome == "running") {
    answer.kind = ClientAnswer::Kind::kRunning;
    return answer;
  }
  const std::optional<JobEnd> end = ParseJobEnd(outcome);
  if (!end || !IsOutcomeOfService(*end)) return answer;
  answer.kind = ClientAnswer::Kind::kFinal;
  answer.end = *end;
  answer.reason = Text(body, "reason");
  answer.retry_after = RetryAfter(body);
  answer.results = Results(body);
  return answer;
}

NextStep Decide(const std::optional<ClientAnswer>& answer,
                http::HttpErrorKind error, core::Duration time_left,
                bool retry_refused) {
  const bool in_time = time_left > core::Duration::zero();
  if (!answer) {
    const bool lost = error == http::HttpErrorKind::kNotSent ||
                      error == http::HttpErrorKind::kNoAnswer;
    return lost && in_time ? NextStep::kResubmit : NextStep::kEnd;
  }
  if (answer->kind == ClientAnswer::Kind::kRunning) {
    return in_time ? NextStep::kAskAgain : NextStep::kEnd;
  }
  const bool may_come_back = answer->kind == ClientAnswer::Kind::kFinal &&
                             answer->end == JobEnd::kNotRun && retry_refused &&
                             answer->retry_after > core::Duration::zero() &&
                             answer->retry_after < time_left;
  return may_come_back ? NextStep::kComeBack : NextStep::kEnd;
}

bool NeedsNewKey(const std::string& reason) {
  return reason == "sealed" || reason == "cancelled" || HandleIsSpent(reason);
}

bool HandleIsSpent(const std::string& reason) {
  return reason == "handle_expired" || reason == "home_gone" ||
         reason == "leaving";
}

}  // namespace tarragon::bench
