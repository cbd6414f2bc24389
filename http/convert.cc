#include "convert.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

#include "url.h"

namespace tarragon::http {
namespace {

constexpr unsigned kHttp11 = 11;
constexpr int kMinFinalStatus = 200;
constexpr int kMaxStatus = 999;
constexpr char kDelete = 0x7f;
/// Characters of a token besides letters and digits.
constexpr std::string_view kTokenMarks = "!#$%&'*+-.^_`|~";

using Headers = std::map<std::string, std::string>;

std::string_view View(beast::string_view text) {
  return {text.data(), text.size()};
}

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  }
  return lower;
}

bool IsTokenChar(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
         (c >= 'A' && c <= 'Z') ||
         kTokenMarks.find(c) != std::string_view::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenChar);
}

/// A line end in a value would let it add header fields of its own.
bool IsFieldValue(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return (byte >= ' ' || c == '\t') && c != kDelete;
  });
}

/// Fields that follow from the message itself.
bool IsFraming(std::string_view lower_name) {
  return lower_name == "content-length" || lower_name == "transfer-encoding" ||
         lower_name == "connection";
}

Headers ToHeaders(const beast_http::fields& fields) {
  Headers headers;
  for (const beast_http::fields::value_type& field : fields) {
    const std::string_view value = View(field.value());
    const auto [at, added] =
        headers.try_emplace(LowerCase(View(field.name_string())), value);
    if (!added) at->second.append(", ").append(value);
  }
  return headers;
}

bool HasNoBody(int status) { return status == 204 || status == 304; }

/// The length that the handler itself stated, if any.
std::optional<std::string> StatedLength(const Headers& headers) {
  for (const auto& [name, value] : headers) {
    if (LowerCase(name) == "content-length") return value;
  }
  return std::nullopt;
}

}  // namespace

std::optional<Request> ToRequest(BeastRequest&& message,
                                 const std::string& peer) {
  std::optional<Target> target = ParseTarget(View(message.target()));
  if (!target) return std::nullopt;
  Request request;
  request.method = std::string(View(message.method_string()));
  request.path = std::move(target->path);
  request.query = std::move(target->query);
  request.headers = ToHeaders(message);
  request.body = std::move(message.body());
  request.peer = peer;
  return request;
}

std::optional<BeastRequest> ToBeast(const Request& request,
                                    const core::Address& host) {
  if (!IsToken(request.method) || request.path.empty()) return std::nullopt;
  if (request.path.front() != '/' && request.path != "*") return std::nullopt;
  BeastRequest message;
  message.version(kHttp11);
  message.method_string(request.method);
  message.target(FormatTarget(request.path, request.query));
  message.set(beast_http::field::host, host.value());
  for (const auto& [name, value] : request.headers) {
    if (!IsToken(name) || !IsFieldValue(value)) return std::nullopt;
    if (!IsFraming(LowerCase(name))) message.set(name, value);
  }
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

Response ToResponse(BeastResponse&& message) {
  Response response;
  response.status = static_cast<int>(message.result_int());
  response.headers = ToHeaders(message);
  response.content_type =
      std::string(View(message[beast_http::field::content_type]));
  response.body = std::move(message.body());
  return response;
}

BeastResponse ToBeast(Response&& response, unsigned version, bool keep_alive) {
  const bool valid =
      response.status >= kMinFinalStatus && response.status <= kMaxStatus;
  BeastResponse message;
  message.version(version);
  message.result(valid ? static_cast<unsigned>(response.status) : 500U);
  for (const auto& [name, value] : response.headers) {
    if (!IsToken(name) || !IsFieldValue(value)) continue;
    if (!IsFraming(LowerCase(name))) message.set(name, value);
  }
  message.keep_alive(keep_alive);
  if (HasNoBody(response.status)) return message;
  if (!response.content_type.empty() && IsFieldValue(response.content_type)) {
    message.set(beast_http::field::content_type, response.content_type);
  }
  const std::optional<std::string> length = StatedLength(response.headers);
  message.body() = std::move(response.body);
  message.set(beast_http::field::content_length,
              length.value_or(std::to_string(message.body().size())));
  return message;
}

bool LengthMatches(const BeastResponse& message) {
  const auto field = message.find(beast_http::field::content_length);
  if (field == message.end()) return true;
  return View(field->value()) == std::to_string(message.body().size());
}

}  // namespace tarragon::http
