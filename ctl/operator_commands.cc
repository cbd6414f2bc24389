#include "operator_commands.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <utility>

#include "answer_body.h"
#include "log_story.h"
#include "tarragon/ctl/exit_code.h"
#include "tarragon/ctl/table.h"
#include "tarragon/http/status.h"

namespace tarragon::ctl {
namespace {

/// Pause before a note whose answer was lost goes out again.
constexpr std::chrono::milliseconds kRetryPause{500};
constexpr char kStandardInput[] = "-";

http::Request OperatorRequest(const Options& options, std::string method,
                              std::string path) {
  http::Request request;
  request.method = std::move(method);
  request.path = std::move(path);
  request.headers["authorization"] = "Bearer " + options.token;
  return request;
}

std::optional<std::string> ReadNote(const std::string& name) {
  if (name == kStandardInput) {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream file(name, std::ios::binary);
  if (!file) return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

int ReportNoAnswer(const http::HttpError& error, const Output& output) {
  output.err << "No answer: " << error.text << "\n";
  return kExitUnavailable;
}

/// Says why a call other than a note did not succeed.
int ReportRefusal(const http::Response& response, const Output& output) {
  const boost::json::object body = ParseObject(response.body);
  std::string detail = TextOf(body, "detail");
  if (detail.empty()) detail = TextOf(body, "reason");
  output.err << "Refused with status " << response.status
             << (detail.empty() ? "." : ": " + detail) << "\n";
  if (response.status == 401) output.err << "The token is wrong.\n";
  if (response.status == 400) return kExitInvalid;
  if (response.status == 409 || response.status == 412) return kExitConflict;
  return response.status == 503 ? kExitUnavailable : kExitFailure;
}

std::string VersionText(const boost::json::object& body) {
  const std::string version = TextOf(body, "version");
  return version.empty() ? "" : " at version " + version;
}

void PrintNoteErrors(const boost::json::object& body, const Output& output) {
  output.err << "The note has errors:\n";
  const std::vector<std::string> errors = TextsOf(body, "errors");
  for (const std::string& error : errors) output.err << "  " << error << "\n";
  if (errors.empty()) output.err << "  " << TextOf(body, "detail") << "\n";
}

/// Prints what the answer to a note means.
void PrintNoteAnswer(const http::Response& response, const Output& output) {
  const boost::json::object body = ParseObject(response.body);
  const std::string name = "Note " + TextOf(body, "note");
  const std::string detail = TextOf(body, "detail");
  switch (response.status) {
    case 200:
      output.out << name << " is accepted" << VersionText(body) << ".\n";
      return;
    case 202:
      output.out << name << " is in the table" << VersionText(body)
                 << ", but not yet confirmed by enough entries. Send the same "
                    "note again to ask.\n";
      if (!detail.empty()) output.out << detail << "\n";
      return;
    case 409:
      output.err << name << " has another base than the present version"
                 << VersionText(body) << ". Look with: note show.\n";
      if (!detail.empty()) output.err << detail << "\n";
      return;
    case 503:
      output.err << "The platform's table does not answer. The note may or may "
                    "not be in it. Send the same note again.\n";
      if (!detail.empty()) output.err << detail << "\n";
      return;
    case 400:
      return PrintNoteErrors(body, output);
    default:
      ReportRefusal(response, output);
  }
}

}  // namespace

int NoteExitCode(int status) {
  switch (status) {
    case 200:
      return kExitOk;
    case 202:
      return kExitPending;
    case 400:
      return kExitInvalid;
    case 409:
      return kExitConflict;
    case 503:
      return kExitUnavailable;
    default:
      return kExitFailure;
  }
}

int ApplyNote(const Options& options, const Peer& peer, const Output& output) {
  const std::optional<std::string> text = ReadNote(options.argument);
  if (!text) {
    output.err << "The file " << options.argument << " cannot be read.\n";
    return kExitUsage;
  }
  http::Request request = OperatorRequest(options, "POST", "/v1/notes");
  request.headers["content-type"] = "text/plain";
  request.body = *text;
  http::HttpError error;
  for (std::uint32_t sent = 0; sent <= options.retries; ++sent) {
    if (sent > 0) {
      output.err << "No answer: " << error.text
                 << " Sending the same note again.\n";
      peer.sleep(kRetryPause);
    }
    const std::optional<http::Response> response =
        peer.call(options.entry, request, options.timeout, &error);
    if (!response) continue;
    if (options.json) output.out << WithLineEnd(response->body);
    if (!options.json) PrintNoteAnswer(*response, output);
    return NoteExitCode(response->status);
  }
  ReportNoAnswer(error, output);
  output.err << "The note may or may not be accepted. Send the same note "
                "again.\n";
  return kExitUnavailable;
}

int ShowObject(const Options& options, const std::string& path,
               const Peer& peer, const Output& output) {
  http::HttpError error;
  const std::optional<http::Response> response =
      peer.call(options.entry, OperatorRequest(options, "GET", path),
                options.timeout, &error);
  if (!response) return ReportNoAnswer(error, output);
  if (response->status != 200) return ReportRefusal(*response, output);
  const std::optional<std::string> text = FormatJsonForPeople(response->body);
  output.out << (options.json || !text ? WithLineEnd(response->body) : *text);
  return kExitOk;
}

int ExplainFromLogs(const Options& options, std::istream& logs,
                    const Output& output) {
  const LogStory story = ReadLogStory(logs, options.argument);
  for (const std::string& line : story.lines) output.out << line << "\n";
  output.out << story.conclusion << "\n";
  return story.lines.empty() ? kExitFailure : kExitOk;
}

int Explain(const Options& options, const Peer& peer, const Output& output) {
  if (options.from_logs) return ExplainFromLogs(options, std::cin, output);
  http::HttpError error;
  const std::optional<http::Response> response = peer.call(
      options.entry,
      OperatorRequest(options, "GET", "/v1/explain/" + options.argument),
      options.timeout, &error);
  if (!response) return ReportNoAnswer(error, output);
  if (response->status == http::kStatusNotFound) {
    if (options.json) output.out << WithLineEnd(response->body);
    output.err << TextOf(ParseObject(response->body), "detail") << "\n";
    return kExitJobNotRun;
  }
  if (response->status != 200) return ReportRefusal(*response, output);
  if (options.json) {
    output.out << WithLineEnd(response->body);
    return kExitOk;
  }
  const std::vector<std::string> lines =
      TextsOf(ParseObject(response->body), "lines");
  for (const std::string& line : lines) output.out << line << "\n";
  if (lines.empty()) output.out << "Nothing is kept for this key.\n";
  return kExitOk;
}

int RemoveEntry(const Options& options, const Peer& peer,
                const Output& output) {
  http::HttpError error;
  const std::optional<http::Response> response = peer.call(
      options.entry,
      OperatorRequest(options, "DELETE", "/v1/entries/" + options.argument),
      options.timeout, &error);
  if (!response) return ReportNoAnswer(error, output);
  const bool done = response->status / 100 == 2;
  if (!done) return ReportRefusal(*response, output);
  if (options.json) {
    output.out << WithLineEnd(response->body);
  } else if (response->status == 202) {
    output.out << "The removal is not yet confirmed. Ask again.\n";
  } else {
    output.out << "The entry " << options.argument << " is removed.\n";
  }
  return response->status == 202 ? kExitPending : kExitOk;
}

}  // namespace tarragon::ctl
