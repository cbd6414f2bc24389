#include "operator_api.h"

#include <optional>
#include <utility>
#include <vector>

#include "job_json.h"
#include "state_json.h"
#include "tarragon/core/log.h"
#include "tarragon/dispatch/entry.h"
#include "tarragon/http/status.h"
#include "tarragon/notes/note_parser.h"

namespace tarragon::daemons {
namespace {

constexpr char kNotesPath[] = "/v1/notes";
constexpr char kNotePath[] = "/v1/note";
constexpr char kStatePath[] = "/v1/state";
constexpr char kExplainPathPrefix[] = "/v1/explain/";
constexpr char kEntryPathPrefix[] = "/v1/entries/";
constexpr core::Duration kExplainTimeout = std::chrono::seconds(5);

const core::Log& OperatorLog() {
  static const core::Log log("operators");
  return log;
}

/// Returns `path` without `prefix`, or nothing if it does not start with it.
std::optional<std::string> StripPrefix(const std::string& path,
                                       const std::string& prefix) {
  if (path.rfind(prefix, 0) != 0) return std::nullopt;
  return path.substr(prefix.size());
}

/// The method allowed for a path that needs the token; empty if there is no
/// such path.
std::string FindAllowedMethod(const std::string& path) {
  if (path == kNotesPath) return "POST";
  if (path == kNotePath || path == kStatePath) return "GET";
  if (StripPrefix(path, kExplainPathPrefix).has_value()) return "GET";
  return StripPrefix(path, kEntryPathPrefix).has_value() ? "DELETE" : "";
}

/// Compares in constant time, so that the response time does not reveal how
/// much of a guessed token is right.
bool AreSecretsEqual(const std::string& a, const std::string& b) {
  if (a.size() != b.size()) return false;
  unsigned difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    difference |=
        static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
  }
  return difference == 0;
}

http::Response MakeTextResponse(int status, const std::string& text) {
  http::Response response;
  response.status = status;
  response.content_type = "text/plain; version=0.0.4";
  response.body = text;
  return response;
}

http::Response MakeJsonResponse(std::string body) {
  http::Response response;
  response.body = std::move(body);
  return response;
}

}  // namespace

OperatorApi::OperatorApi(dispatch::EntryBoard* board, const core::Clock* clock,
                         std::string token,
                         std::function<void()> execute_actions,
                         std::function<std::string()> render_metrics)
    : board_(board),
      clock_(clock),
      token_(std::move(token)),
      execute_actions_(std::move(execute_actions)),
      render_metrics_(std::move(render_metrics)) {}

bool OperatorApi::HandleUnauthenticated(const http::Request& request,
                                        const http::Responder& respond) {
  const bool needs_no_token = request.path == "/metrics" ||
                              request.path == "/healthz" ||
                              request.path == "/readyz";
  if (!needs_no_token) return false;
  if (request.method != "GET" && request.method != "HEAD") {
    respond(MakeMethodNotAllowedResponse("GET, HEAD"));
    return true;
  }
  if (request.path == "/metrics") {
    respond(MakeTextResponse(http::kStatusOk, render_metrics_()));
    return true;
  }
  if (request.path == "/healthz") {
    respond(MakeTextResponse(http::kStatusOk, "ok\n"));
    return true;
  }
  const std::optional<std::string> reason =
      dispatch::NotReadyReason(*board_, clock_->Now());
  respond(reason.has_value()
              ? MakeTextResponse(http::kStatusUnavailable, *reason + "\n")
              : MakeTextResponse(http::kStatusOk, "ok\n"));
  return true;
}

bool OperatorApi::IsAuthorized(const http::Request& request) const {
  const auto header = request.headers.find("authorization");
  if (header == request.headers.end()) return false;
  return AreSecretsEqual(header->second, "Bearer " + token_);
}

void OperatorApi::HandleRequest(const http::Request& request,
                                const http::Responder& respond) {
  if (HandleUnauthenticated(request, respond)) return;
  if (!IsAuthorized(request)) {
    OperatorLog().Warn("Rejected a request without a valid token.",
                       {{"peer", request.peer}});
    respond(MakeErrorResponse(http::kStatusUnauthorized, "unauthorized",
                              "A valid bearer token is required."));
    return;
  }
  const std::string allowed = FindAllowedMethod(request.path);
  if (allowed.empty()) {
    respond(MakeErrorResponse(http::kStatusNotFound, "not_found",
                              "The path does not exist."));
  } else if (request.method != allowed) {
    respond(MakeMethodNotAllowedResponse(allowed));
  } else {
    DispatchRequest(request, respond);
  }
}

void OperatorApi::DispatchRequest(const http::Request& request,
                                  const http::Responder& respond) {
  const std::optional<std::string> key =
      StripPrefix(request.path, kExplainPathPrefix);
  const std::optional<std::string> entry =
      StripPrefix(request.path, kEntryPathPrefix);
  if (key.has_value()) {
    ExplainJob(*key, respond);
  } else if (entry.has_value()) {
    RemoveEntry(*entry, respond);
  } else if (request.path == kNotesPath) {
    ApplyNote(request, respond);
  } else if (request.path == kNotePath) {
    respond(MakeJsonResponse(FormatWorld(board_->world)));
  } else {
    respond(MakeJsonResponse(FormatState(*board_, clock_->Now())));
  }
}

void OperatorApi::ApplyNote(const http::Request& request,
                            const http::Responder& respond) {
  std::vector<std::string> errors;
  std::optional<dispatch::ReleaseNote> note =
      notes::ParseNote(request.body, &errors);
  if (!note.has_value()) {
    dispatch::NoteAnswer answer;
    answer.state = dispatch::NoteState::kInvalid;
    answer.version = board_->world.version;
    answer.details = std::move(errors);
    respond(MakeNoteResponse(answer, ""));
    return;
  }
  const std::string id = note->id.value();
  OperatorLog().Info("Received a release note.", {{"note", id}});
  const std::uint64_t number =
      dispatch::OnOperatorNote(board_, clock_->Now(), std::move(*note));
  pending_responses_.emplace(number, PendingResponse{respond, id});
  execute_actions_();
}

void OperatorApi::ExplainJob(const std::string& key,
                             const http::Responder& respond) {
  if (!IsValidKey(key)) {
    respond(MakeErrorResponse(http::kStatusBadRequest, "bad_request",
                              "The key must be 1 to 200 visible characters."));
    return;
  }
  const std::uint64_t number = dispatch::OnClientRequest(
      board_, clock_->Now(), dispatch::RequestKind::kExplain, key,
      kExplainTimeout);
  pending_responses_.emplace(number, PendingResponse{respond, key});
  execute_actions_();
}

void OperatorApi::RemoveEntry(const std::string& node,
                              const http::Responder& respond) {
  core::NodeId dead;
  const bool removed =
      core::ParseNodeId(node, &dead) &&
      dispatch::OnOperatorRemoveEntry(board_, clock_->Now(), dead);
  execute_actions_();
  if (!removed) {
    respond(MakeErrorResponse(http::kStatusNotFound, "not_found",
                              "No such entry is registered."));
    return;
  }
  OperatorLog().Warn("Removed an entry on an operator's request.",
                     {{"node", node}});
  respond(MakeJsonResponse(R"({"state":"removed"})"));
}

void OperatorApi::SendAnswer(const dispatch::AnswerNote& answer) {
  const auto found = pending_responses_.find(answer.request);
  if (found == pending_responses_.end()) return;
  const PendingResponse pending = std::move(found->second);
  pending_responses_.erase(found);
  OperatorLog().Info("Answered a release note.",
                     {{"note", pending.subject},
                      {"state", NoteStateName(answer.answer.state)},
                      {"version", answer.answer.version.value()}});
  pending.respond(MakeNoteResponse(answer.answer, pending.subject));
}

void OperatorApi::SendAnswer(const dispatch::AnswerExplain& answer) {
  const auto found = pending_responses_.find(answer.request);
  if (found == pending_responses_.end()) return;
  const PendingResponse pending = std::move(found->second);
  pending_responses_.erase(found);
  pending.respond(MakeExplainResponse(pending.subject, answer));
}

}  // namespace tarragon::daemons
