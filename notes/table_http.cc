#include "table_http.h"

#include <charconv>
#include <map>
#include <string_view>

#include "tarragon/http/status.h"

namespace tarragon::notes {
namespace {

constexpr std::string_view kHexDigits = "0123456789ABCDEF";
constexpr unsigned kHexBase = 16;

std::string Segment(const std::string& name) {
  std::string segment;
  for (const char c : name) {
    const bool special = c == '/' || c == '~' || (c == '.' && segment.empty());
    if (!special) {
      segment += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    segment += '~';
    segment += kHexDigits[byte / kHexBase];
    segment += kHexDigits[byte % kHexBase];
  }
  return segment;
}

std::optional<std::uint64_t> Version(const http::Response& response) {
  const std::map<std::string, std::string>::const_iterator tag =
      response.headers.find("etag");
  if (tag == response.headers.end()) return std::nullopt;
  return ParseTag(tag->second);
}

TableReply Without(TableStatus status, std::string detail) {
  TableReply reply;
  reply.status = status;
  reply.detail = std::move(detail);
  return reply;
}

std::string StatusText(const http::Response& response) {
  return "the table answered with status " + std::to_string(response.status);
}

/// A write that got no answer. Only a request of which nothing was sent is
/// known to have had no effect.
TableReply Unanswered(const http::HttpError& error) {
  const bool not_sent = error.kind == http::HttpErrorKind::kNotSent ||
                        error.kind == http::HttpErrorKind::kBadAddress ||
                        error.kind == http::HttpErrorKind::kBadRequest;
  return Without(not_sent ? TableStatus::kUnavailable : TableStatus::kUnknown,
                 error.text);
}

/// A write that got an answer which states no outcome. The table refuses with
/// 4xx what it has not applied; any other status proves nothing.
TableReply Undecided(const http::Response& response) {
  const bool refused = response.status >= http::kStatusBadRequest &&
                       response.status < http::kStatusServerError;
  return Without(refused ? TableStatus::kUnavailable : TableStatus::kUnknown,
                 StatusText(response));
}

}  // namespace

std::string RowPath(const std::string& table, const std::string& key) {
  return "/v1/tables/" + Segment(table) + "/rows/" + Segment(key);
}

std::string FormatTag(std::uint64_t version) {
  return '"' + std::to_string(version) + '"';
}

std::optional<std::uint64_t> ParseTag(const std::string& text) {
  if (text.size() < 3 || text.front() != '"' || text.back() != '"') {
    return std::nullopt;
  }
  std::uint64_t version = 0;
  const char* last = text.data() + text.size() - 1;
  const std::from_chars_result read =
      std::from_chars(text.data() + 1, last, version);
  const bool whole = read.ec == std::errc() && read.ptr == last;
  if (!whole || version == 0) return std::nullopt;
  return version;
}

TableReply ReadReply(std::uint64_t known_version,
                     const std::optional<http::Response>& response,
                     const http::HttpError& error) {
  if (!response) return Without(TableStatus::kUnavailable, error.text);
  if (response->status == http::kStatusNotFound) {
    return Without(TableStatus::kMissing, "no such row");
  }
  if (response->status == http::kStatusNotModified && known_version != 0) {
    TableReply reply = Without(TableStatus::kUnchanged, "unchanged");
    reply.version = known_version;
    return reply;
  }
  if (response->status != http::kStatusOk) {
    return Without(TableStatus::kUnavailable, StatusText(*response));
  }
  const std::optional<std::uint64_t> version = Version(*response);
  if (!version) {
    return Without(TableStatus::kUnavailable, "the answer has no version");
  }
  return {TableStatus::kOk, response->body, *version, ""};
}

TableReply WriteReply(const std::optional<http::Response>& response,
                      const http::HttpError& error) {
  if (!response) return Unanswered(error);
  if (response->status == http::kStatusPreconditionFailed) {
    return Without(TableStatus::kConflict, "the row has another version");
  }
  if (response->status != http::kStatusOk) return Undecided(*response);
  const std::optional<std::uint64_t> version = Version(*response);
  if (!version) {
    return Without(TableStatus::kUnknown, "the answer has no version");
  }
  return {TableStatus::kOk, "", *version, ""};
}

TableReply DeleteReply(const std::optional<http::Response>& response,
                       const http::HttpError& error) {
  if (!response) return Unanswered(error);
  if (response->status == http::kStatusNotFound) {
    return Without(TableStatus::kMissing, "no such row");
  }
  if (response->status == http::kStatusPreconditionFailed) {
    return Without(TableStatus::kConflict, "the row has another version");
  }
  if (response->status != http::kStatusOk) return Undecided(*response);
  return {TableStatus::kOk, "", 0, ""};
}

}  // namespace tarragon::notes
