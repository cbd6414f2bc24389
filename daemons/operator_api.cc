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

constexpr char kNotes[] = "/v1/notes";
constexpr char kNote[] = "/v1/note";
constexpr char kState[] = "/v1/state";
constexpr char kExplainPrefix[] = "/v1/explain/";
constexpr char kEntryPrefix[] = "/v1/entries/";
constexpr core::Duration kExplainWait = std::chrono::seconds(5);

const core::Log& OperatorLog() {
  static const core::Log log("operators");
  return log;
}

/// The rest of `path` after `prefix`; nothing when it does not start so.
std::optional<std::string> After(const std::string& path,
                                 const std::string& prefix) {
  if (path.rfind(prefix, 0) != 0) return std::nullopt;
  return path.substr(prefix.size());
}

/// The method of a call that needs the token; empty when there is no such path.
std::string AllowedMethod(const std::string& path) {
  if (path == kNotes) return "POST";
  if (path == kNote || path == kState) return "GET";
  if (After(path, kExplainPrefix).has_value()) return "GET";
  return After(path, kEntryPrefix).has_value() ? "DELETE" : "";
}

/// Compares in a time that does not depend on where the texts differ.
bool SameSecret(const std::string& a, const std::string& b) {
  if (a.size() != b.size()) return false;
  unsigned difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    difference |=
        static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
  }
  return difference == 0;
}

http::Response TextResponse(int status, const std::string& text) {
  http::Response response;
  response.status = status;
  response.content_type = "text/plain; version=0.0.4";
  response.body = text;
  return response;
}

http::Response JsonResponse(std::string body) {
  http::Response response;
  response.body = std::move(body);
  return response;
}

}  // namespace

OperatorApi::OperatorApi(dispatch::EntryBoard* board, const core::Clock* clock,
                         std::string token, std::function<void()> flush,
                         std::function<std::string()> metrics)
    : board_(board),
      clock_(clock),
      token_(std::move(token)),
      flush_(std::move(flush)),
      metrics_(std::move(metrics)) {}

bool OperatorApi::HandleOpen(const http::Request& request,
                             const http::Responder& respond) {
  const bool open = request.path == "/metrics" || request.path == "/healthz" ||
                    request.path == "/readyz";
  if (!open) return false;
  if (request.method != "GET" && request.method != "HEAD") {
    respond(MethodResponse("GET, HEAD"));
    return true;
  }
  if (request.path == "/metrics") {
    respond(TextResponse(http::kStatusOk, metrics_()));
    return true;
  }
  if (request.path == "/healthz") {
    respond(TextResponse(http::kStatusOk, "ok\n"));
    return true;
  }
  const std::optional<std::string> reason =
      dispatch::NotReadyReason(*board_, clock_->Now());
  respond(reason.has_value()
              ? TextResponse(http::kStatusUnavailable, *reason + "\n")
              : TextResponse(http::kStatusOk, "ok\n"));
  return true;
}

bool OperatorApi::Authorized(const http::Request& request) const {
  const auto header = request.headers.find("authorization");
  if (header == request.headers.end()) return false;
  return SameSecret(header->second, "Bearer " + token_);
}

void OperatorApi::Handle(const http::Request& request,
                         const http::Responder& respond) {
  if (HandleOpen(request, respond)) return;
  if (!Authorized(request)) {
    OperatorLog().Warn("Refused a call without the token.",
                       {{"peer", request.peer}});
    respond(ErrorResponse(http::kStatusUnauthorized, "unauthorized",
                          "A valid bearer token is needed."));
    return;
  }
  const std::string allowed = AllowedMethod(request.path);
  if (allowed.empty()) {
    respond(ErrorResponse(http::kStatusNotFound, "not_found", "No such call."));
  } else if (request.method != allowed) {
    respond(MethodResponse(allowed));
  } else {
    Dispatch(request, respond);
  }
}

void OperatorApi::Dispatch(const http::Request& request,
                           const http::Responder& respond) {
  const std::optional<std::string> key = After(request.path, kExplainPrefix);
  const std::optional<std::string> entry = After(request.path, kEntryPrefix);
  if (key.has_value()) {
    Explain(*key, respond);
  } else if (entry.has_value()) {
    RemoveEntry(*entry, respond);
  } else if (request.path == kNotes) {
    ApplyNote(request, respond);
  } else if (request.path == kNote) {
    respond(JsonResponse(WorldJson(board_->world)));
  } else {
    respond(JsonResponse(StateJson(*board_, clock_->Now())));
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
    respond(NoteResponse(answer, ""));
    return;
  }
  const std::string id = note->id.value();
  OperatorLog().Info("Received a release note.", {{"note", id}});
  const std::uint64_t number =
      dispatch::OnOperatorNote(board_, clock_->Now(), std::move(*note));
  waiting_.emplace(number, Waiting{respond, id});
  flush_();
}

void OperatorApi::Explain(const std::string& key,
                          const http::Responder& respond) {
  if (!IsKeyText(key)) {
    respond(ErrorResponse(http::kStatusNotFound, "not_found", "No such key."));
    return;
  }
  const std::uint64_t number = dispatch::OnClientRequest(
      board_, clock_->Now(), dispatch::RequestKind::kExplain, key,
      kExplainWait);
  waiting_.emplace(number, Waiting{respond, key});
  flush_();
}

void OperatorApi::RemoveEntry(const std::string& node,
                              const http::Responder& respond) {
  core::NodeId dead;
  const bool removed =
      core::ParseNodeId(node, &dead) &&
      dispatch::OnOperatorRemoveEntry(board_, clock_->Now(), dead);
  flush_();
  if (!removed) {
    respond(ErrorResponse(http::kStatusNotFound, "not_found",
                          "No such entry is registered."));
    return;
  }
  OperatorLog().Warn("Removed an entry by order.", {{"node", node}});
  respond(JsonResponse(R"({"state":"removed"})"));
}

void OperatorApi::Answer(const dispatch::AnswerNote& answer) {
  const auto found = waiting_.find(answer.request);
  if (found == waiting_.end()) return;
  const Waiting waiting = std::move(found->second);
  waiting_.erase(found);
  OperatorLog().Info("Answered a release note.",
                     {{"note", waiting.subject},
                      {"state", StateName(answer.answer.state)},
                      {"version", answer.answer.version.value()}});
  waiting.respond(NoteResponse(answer.answer, waiting.subject));
}

void OperatorApi::Answer(const dispatch::AnswerExplain& answer) {
  const auto found = waiting_.find(answer.request);
  if (found == waiting_.end()) return;
  const Waiting waiting = std::move(found->second);
  waiting_.erase(found);
  waiting.respond(ExplainResponse(waiting.subject, answer.lines));
}

}  // namespace tarragon::daemons
