#include "job_commands.h"

#include <algorithm>
#include <boost/json.hpp>
#include <random>
#include <string_view>
#include <utility>

#include "answer_body.h"
#include "tarragon/ctl/exit_code.h"

namespace tarragon::ctl {
namespace {

namespace json = boost::json;

/// Pause before a submission whose answer was lost goes out again.
constexpr std::chrono::milliseconds kRetryPause{100};
/// Beyond the time that the entry waits: for the answer's way back.
constexpr std::chrono::seconds kAnswerMargin{1};
/// Longest wait that is asked for in one call.
constexpr std::chrono::seconds kMaxWait{60};
constexpr std::string_view kSuffixDigits = "0123456789abcdef";
constexpr int kSuffixLength = 16;

http::Request JobRequest(std::string method, const core::JobKey& key) {
  http::Request request;
  request.method = std::move(method);
  request.path = "/v1/jobs/" + key.value();
  return request;
}

std::string RandomSuffix() {
  std::random_device source;
  std::string suffix;
  for (int i = 0; i < kSuffixLength; ++i) {
    suffix += kSuffixDigits[source() % kSuffixDigits.size()];
  }
  return suffix;
}

/// Prints one answer about a job. Returns the exit code.
int PrintAnswer(const http::Response& response, const Options& options,
                const Output& output) {
  const json::object body = ParseObject(response.body);
  const std::string outcome = TextOf(body, "outcome");
  const std::string reason = TextOf(body, "reason");
  // What was to be cancelled is cancelled.
  const bool cancelled =
      options.command == Command::kCancel && reason == "cancelled";
  const int code =
      cancelled ? kExitOk : JobExitCode(response.status, outcome, reason);
  if (options.json) {
    output.out << WithLineEnd(response.body);
    return code;
  }
  if (outcome == "complete") {
    for (const std::string& result : TextsOf(body, "results")) {
      output.out << result << "\n";
    }
    return code;
  }
  output.err << (outcome.empty() ? "status " + std::to_string(response.status)
                                 : outcome);
  if (!reason.empty() && reason != "none") output.err << ": " << reason;
  const std::string detail = TextOf(body, "detail");
  if (!detail.empty()) output.err << ": " << detail;
  output.err << "\n";
  const std::string retry = TextOf(body, "retry_after_ms");
  if (!retry.empty() && retry != "0") {
    output.err << "Come back in " << retry << " ms.\n";
  }
  return code;
}

/// One job on its way through several calls.
class Submission {
 public:
  Submission(const Options& options, const Peer& peer, const Output& output)
      : options_(options),
        peer_(peer),
        output_(output),
        deadline_(peer.now() + options.deadline) {}

  int Run();

 private:
  /// Sends until there is an answer; nothing at the deadline.
  std::optional<http::Response> CallUntilDeadline(const http::Request& request,
                                                  core::Duration longest);
  bool TakeKey(int* exit_code);
  core::Duration TimeLeft() const { return deadline_ - peer_.now(); }
  const core::Address& NextClient() {
    return options_.clients[calls_++ % options_.clients.size()];
  }

  const Options& options_;
  const Peer& peer_;
  const Output& output_;
  core::Time deadline_;
  core::JobKey key_;
  std::size_t calls_ = 0;
};

std::optional<http::Response> Submission::CallUntilDeadline(
    const http::Request& request, core::Duration longest) {
  const core::Address* client = &NextClient();
  while (TimeLeft() > core::Duration::zero()) {
    http::HttpError error;
    const core::Duration timeout =
        std::min<core::Duration>(longest, TimeLeft() + kAnswerMargin);
    std::optional<http::Response> response =
        peer_.call(*client, request, timeout, &error);
    if (response) return response;
    output_.err << "No answer from " << client->value() << ": " << error.text
                << "\n";
    peer_.sleep(kRetryPause);
    client = &NextClient();
  }
  return std::nullopt;
}

bool Submission::TakeKey(int* exit_code) {
  key_ = options_.key;
  if (!key_.value().empty()) return true;
  http::Request request;
  request.path = "/v1/home";
  request.query["service"] = options_.service.value();
  const std::optional<http::Response> response =
      CallUntilDeadline(request, options_.timeout);
  if (!response) {
    output_.err << "No handle until the deadline. The job was not submitted.\n";
    *exit_code = kExitUnavailable;
    return false;
  }
  const std::string handle = TextOf(ParseObject(response->body), "handle");
  if (response->status != 200 || handle.empty()) {
    *exit_code = PrintAnswer(*response, options_, output_);
    return false;
  }
  key_ = core::JobKey(handle + "." + RandomSuffix());
  return true;
}

int Submission::Run() {
  int exit_code = kExitFailure;
  if (!TakeKey(&exit_code)) return exit_code;
  if (!options_.json) output_.err << "key " << key_.value() << "\n";
  http::Request request;
  request.method = "POST";
  request.path = "/v1/jobs";
  request.headers["idempotency-key"] = key_.value();
  request.headers["content-type"] = "application/json";
  request.body = SubmissionBody(options_);
  std::optional<http::Response> response =
      CallUntilDeadline(request, options_.deadline + kAnswerMargin);
  while (response && response->status == 202 &&
         TimeLeft() > core::Duration::zero()) {
    http::Request query = JobRequest("GET", key_);
    const core::Duration wait = std::min<core::Duration>(TimeLeft(), kMaxWait);
    query.query["wait_ms"] = std::to_string(core::Millis(wait) + 1);
    response = CallUntilDeadline(query, wait + kAnswerMargin);
  }
  if (response) return PrintAnswer(*response, options_, output_);
  output_.err << "No answer until the deadline. The job may have run. Ask "
                 "with: answer "
              << key_.value() << "\n";
  return kExitJobUnknown;
}

/// Sends one request to each client address in turn until one answers.
int CallOnce(const Options& options, const http::Request& request,
             const Peer& peer, const Output& output) {
  http::HttpError error;
  for (const core::Address& client : options.clients) {
    const std::optional<http::Response> response =
        peer.call(client, request, options.timeout, &error);
    if (response) return PrintAnswer(*response, options, output);
    output.err << "No answer from " << client.value() << ": " << error.text
               << "\n";
  }
  return kExitUnavailable;
}

}  // namespace

int JobExitCode(int status, const std::string& outcome,
                const std::string& reason) {
  if (outcome == "complete") return kExitOk;
  if (outcome == "running") return kExitPending;
  if (outcome == "failed") return kExitJobFailed;
  if (outcome == "unknown") return kExitJobUnknown;
  if (outcome == "not_run" && reason == "key_reused") return kExitConflict;
  if (outcome == "not_run" && status == 400) return kExitInvalid;
  if (outcome == "not_run") return kExitJobNotRun;
  return kExitFailure;
}

std::string SubmissionBody(const Options& options) {
  json::array tasks;
  for (const std::string& payload : options.tasks) {
    json::object task = {{"payload", payload}};
    if (options.cores != 1) task["cores"] = options.cores;
    if (options.memory_mb != 0) task["memory_mb"] = options.memory_mb;
    tasks.push_back(std::move(task));
  }
  const std::int64_t deadline_ms =
      std::max<std::int64_t>(1, core::Millis(options.deadline));
  const json::object body = {{"service", options.service.value()},
                             {"tenant", options.tenant.value()},
                             {"deadline_ms", deadline_ms},
                             {"wait_ms", deadline_ms},
                             {"tasks", std::move(tasks)}};
  return json::serialize(body);
}

int Submit(const Options& options, const Peer& peer, const Output& output) {
  return Submission(options, peer, output).Run();
}

int ShowAnswer(const Options& options, const Peer& peer, const Output& output) {
  return CallOnce(options, JobRequest("GET", core::JobKey(options.argument)),
                  peer, output);
}

int CancelJob(const Options& options, const Peer& peer, const Output& output) {
  return CallOnce(options, JobRequest("DELETE", core::JobKey(options.argument)),
                  peer, output);
}

}  // namespace tarragon::ctl
