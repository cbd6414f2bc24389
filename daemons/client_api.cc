#include "client_api.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <optional>
#include <utility>

#include "job_json.h"
#include "tarragon/dispatch/entry.h"
#include "tarragon/http/status.h"

namespace tarragon::daemons {
namespace {

namespace json = boost::json;

constexpr char kHomePath[] = "/v1/home";
constexpr char kJobsPath[] = "/v1/jobs";
constexpr char kJobPathPrefix[] = "/v1/jobs/";
constexpr std::int64_t kMaxWaitMs = 600'000;
constexpr core::Duration kCancelTimeout = std::chrono::seconds(10);
constexpr core::Duration kNoAgentRetryAfter = std::chrono::seconds(1);

std::string FindHeader(const http::Request& request, const char* name) {
  const auto found = request.headers.find(name);
  return found == request.headers.end() ? std::string() : found->second;
}

/// Parses the query parameter `wait_ms`, zero if it is missing. Returns nothing
/// unless it is an integer from 0 to kMaxWaitMs.
std::optional<core::Duration> ParseWait(const http::Request& request) {
  const auto found = request.query.find("wait_ms");
  if (found == request.query.end()) return core::Duration(0);
  std::int64_t wait_ms = 0;
  const char* last = found->second.data() + found->second.size();
  const std::from_chars_result read =
      std::from_chars(found->second.data(), last, wait_ms);
  if (read.ec != std::errc() || read.ptr != last) return std::nullopt;
  if (wait_ms < 0 || wait_ms > kMaxWaitMs) return std::nullopt;
  return std::chrono::milliseconds(wait_ms);
}

/// Shortest wait for a query: time for a round trip to the home.
constexpr core::Duration kMinQueryWait = std::chrono::milliseconds(250);

core::Duration ClampQueryWait(core::Duration wait) {
  return std::max(wait, kMinQueryWait);
}

}  // namespace

ClientApi::ClientApi(dispatch::EntryBoard* board, const core::Clock* clock,
                     std::function<void()> execute_actions)
    : board_(board),
      clock_(clock),
      execute_actions_(std::move(execute_actions)) {}

void ClientApi::HandleRequest(const http::Request& request,
                              const http::Responder& respond) {
  if (request.path == kHomePath) {
    if (request.method == "GET") {
      IssueHandle(request, respond);
    } else {
      respond(MakeMethodNotAllowedResponse("GET"));
    }
    return;
  }
  if (request.path == kJobsPath) {
    if (request.method == "POST") {
      SubmitJob(request, respond);
    } else {
      respond(MakeMethodNotAllowedResponse("POST"));
    }
    return;
  }
  if (request.path.rfind(kJobPathPrefix, 0) != 0) {
    respond(MakeErrorResponse(http::kStatusNotFound, "not_found",
                              "The path does not exist."));
    return;
  }
  const std::string key = request.path.substr(sizeof(kJobPathPrefix) - 1);
  const std::optional<core::Duration> wait = ParseWait(request);
  if (!IsValidKey(key) || !wait.has_value()) {
    respond(MakeErrorResponse(
        http::kStatusBadRequest, "bad_request",
        std::string("The key must be 1 to 200 visible characters and wait_ms "
                    "an integer from 0 to ") +
            std::to_string(kMaxWaitMs) + "."));
    return;
  }
  if (request.method == "GET") {
    ForwardRequest(dispatch::RequestKind::kQuery, key, ClampQueryWait(*wait),
                   respond);
  } else if (request.method == "DELETE") {
    ForwardRequest(dispatch::RequestKind::kCancel, key, kCancelTimeout,
                   respond);
  } else {
    respond(MakeMethodNotAllowedResponse("GET, DELETE"));
  }
}

void ClientApi::IssueHandle(const http::Request& request,
                            const http::Responder& respond) {
  const auto service = request.query.find("service");
  const core::ServiceId id(service == request.query.end() ? std::string()
                                                          : service->second);
  const std::optional<std::string> handle = dispatch::MintHandle(board_, id);
  if (!handle.has_value()) {
    dispatch::JobAnswer answer;
    answer.outcome = dispatch::Outcome::kNotRun;
    answer.reason = dispatch::Reason::kNoTarget;
    answer.detail = "No agent is known.";
    answer.retry_after = kNoAgentRetryAfter;
    respond(MakeAnswerResponse(answer, ""));
    return;
  }
  const core::Duration valid =
      board_->policy.handle_epoch * (board_->policy.handle_epochs - 1);
  http::Response response;
  response.body = json::serialize(
      json::object{{"handle", *handle}, {"valid_ms", core::Millis(valid)}});
  respond(response);
}

void ClientApi::SubmitJob(const http::Request& request,
                          const http::Responder& respond) {
  const std::string key = FindHeader(request, "idempotency-key");
  if (!IsValidKey(key)) {
    respond(MakeErrorResponse(http::kStatusBadRequest, "bad_request",
                              "Idempotency-Key must be 1 to 200 visible "
                              "characters."));
    return;
  }
  RequestError error;
  std::optional<Submission> submission = ParseSubmission(request.body, &error);
  if (!submission.has_value()) {
    respond(MakeErrorResponse(http::kStatusBadRequest, "bad_request",
                              error.detail));
    return;
  }
  const core::ServiceId service = submission->spec.service;
  const std::uint64_t number = dispatch::OnClientSubmit(
      board_, clock_->Now(), std::move(submission->spec), key,
      submission->wait);
  pending_responses_.emplace(number, PendingResponse{respond, service});
  execute_actions_();
}

void ClientApi::ForwardRequest(dispatch::RequestKind kind,
                               const std::string& key, core::Duration wait,
                               const http::Responder& respond) {
  const std::uint64_t number =
      dispatch::OnClientRequest(board_, clock_->Now(), kind, key, wait);
  pending_responses_.emplace(number,
                             PendingResponse{respond, core::ServiceId()});
  execute_actions_();
}

void ClientApi::SendAnswer(const dispatch::AnswerClient& answer) {
  const auto found = pending_responses_.find(answer.request);
  if (found == pending_responses_.end()) return;
  const PendingResponse pending = std::move(found->second);
  pending_responses_.erase(found);
  const std::optional<std::string> handle =
      dispatch::MintHandle(board_, pending.service);
  pending.respond(MakeAnswerResponse(answer.answer, handle.value_or("")));
}

}  // namespace tarragon::daemons
