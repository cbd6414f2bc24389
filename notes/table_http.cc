#include "table_http.h"

#include <charconv>
#include <map>
#include <string_view>

#include "tarragon/http/status.h"

namespace tarragon::notes {
namespace {

constexpr std::string_view kHexDigits = "0123456789ABCDEF";
constexpr unsigned kHexBase = 16;

std::string EncodePathSegment(const std::string& name) {
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

std::optional<std::uint64_t> FindVersion(const http::Response& response) {
  const std::map<std::string, std::string>::const_iterator tag =
      response.headers.find("etag");
  if (tag == response.headers.end()) return std::nullopt;
  return ParseTag(tag->second);
}

TableReply MakeReply(TableStatus status, std::string detail) {
  TableReply reply;
  reply.status = status;
  reply.detail = std::move(detail);
  return reply;
}

std::string DescribeStatus(const http::Response& response) {
  return "the table answered with status " + std::to_string(response.status);
}

/// The reply for a write without a response. Only if nothing of the request
/// was sent is it certain that the write was not applied.
TableReply MakeUnansweredWriteReply(const http::HttpError& error) {
  const bool not_sent = error.kind == http::HttpErrorKind::kNotSent ||
                        error.kind == http::HttpErrorKind::kBadAddress ||
                        error.kind == http::HttpErrorKind::kBadRequest;
  return MakeReply(not_sent ? TableStatus::kUnavailable : TableStatus::kUnknown,
                   error.text);
}

/// The reply for a write whose response states no outcome. With a 4xx status
/// the table has not applied the write; with any other it may have.
TableReply MakeUndecidedWriteReply(const http::Response& response) {
  const bool refused = response.status >= http::kStatusBadRequest &&
                       response.status < http::kStatusServerError;
  return MakeReply(refused ? TableStatus::kUnavailable : TableStatus::kUnknown,
                   DescribeStatus(response));
}

}  // namespace

std::string FormatRowPath(const std::string& table, const std::string& key) {
  return "/v1/tables/" + EncodePathSegment(table) + "/rows/" +
         EncodePathSegment(key);
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
  const bool is_integer = read.ec == std::errc() && read.ptr == last;
  if (!is_integer || version == 0) return std::nullopt;
  return version;
}

TableReply ParseReadReply(std::uint64_t known_version,
                          const std::optional<http::Response>& response,
                          const http::HttpError& error) {
  if (!response) return MakeReply(TableStatus::kUnavailable, error.text);
  if (response->status == http::kStatusNotFound) {
    return MakeReply(TableStatus::kMissing, "no such row");
  }
  if (response->status == http::kStatusNotModified && known_version != 0) {
    TableReply reply = MakeReply(TableStatus::kUnchanged, "unchanged");
    reply.version = known_version;
    return reply;
  }
  if (response->status != http::kStatusOk) {
    return MakeReply(TableStatus::kUnavailable, DescribeStatus(*response));
  }
  const std::optional<std::uint64_t> version = FindVersion(*response);
  if (!version) {
    return MakeReply(TableStatus::kUnavailable, "the answer has no version");
  }
  return {TableStatus::kOk, response->body, *version, ""};
}

TableReply ParseWriteReply(const std::optional<http::Response>& response,
                           const http::HttpError& error) {
  if (!response) return MakeUnansweredWriteReply(error);
  if (response->status == http::kStatusPreconditionFailed) {
    return MakeReply(TableStatus::kConflict, "the row has another version");
  }
  if (response->status != http::kStatusOk)
    return MakeUndecidedWriteReply(*response);
  const std::optional<std::uint64_t> version = FindVersion(*response);
  if (!version) {
    return MakeReply(TableStatus::kUnknown, "the answer has no version");
  }
  return {TableStatus::kOk, "", *version, ""};
}

TableReply ParseDeleteReply(const std::optional<http::Response>& response,
                            const http::HttpError& error) {
  if (!response) return MakeUnansweredWriteReply(error);
  if (response->status == http::kStatusNotFound) {
    return MakeReply(TableStatus::kMissing, "no such row");
  }
  if (response->status == http::kStatusPreconditionFailed) {
    return MakeReply(TableStatus::kConflict, "the row has another version");
  }
  if (response->status != http::kStatusOk)
    return MakeUndecidedWriteReply(*response);
  return {TableStatus::kOk, "", 0, ""};
}

}  // namespace tarragon::notes
