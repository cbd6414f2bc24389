#include "tarragon/notes/http_table.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "table_http.h"
#include "tarragon/notes/world_codec.h"

namespace tarragon::notes {
namespace {

http::ClientLimits MakeClientLimits(const HttpTableSettings& settings) {
  http::ClientLimits limits;
  limits.connect_timeout = std::min(limits.connect_timeout, settings.timeout);
  limits.max_response_bytes = kMaxValueBytes;
  limits.max_idle_per_host = settings.max_outstanding;
  return limits;
}

http::Request MakeRowRequest(const char* method, const std::string& table,
                             const std::string& key) {
  http::Request request;
  request.method = method;
  request.path = FormatRowPath(table, key);
  return request;
}

}  // namespace

HttpTable::HttpTable(boost::asio::io_context& io, HttpTableSettings settings)
    : io_(io),
      settings_(std::move(settings)),
      client_(io, MakeClientLimits(settings_)) {}

HttpTable::~HttpTable() = default;

void HttpTable::Read(const std::string& table, const std::string& key,
                     std::uint64_t known_version, Callback done) {
  http::Request request = MakeRowRequest("GET", table, key);
  if (known_version != 0) {
    request.headers["if-none-match"] = FormatTag(known_version);
  }
  Send(
      std::move(request),
      [known_version](const std::optional<http::Response>& response,
                      const http::HttpError& error) {
        return ParseReadReply(known_version, response, error);
      },
      std::move(done));
}

void HttpTable::Insert(const std::string& table, const std::string& key,
                       std::string value, Callback done) {
  http::Request request = MakeRowRequest("PUT", table, key);
  request.headers["if-none-match"] = "*";
  request.body = std::move(value);
  Send(std::move(request), ParseWriteReply, std::move(done));
}

void HttpTable::Replace(const std::string& table, const std::string& key,
                        std::string value, std::uint64_t expected_version,
                        Callback done) {
  http::Request request = MakeRowRequest("PUT", table, key);
  request.headers["if-match"] = FormatTag(expected_version);
  request.body = std::move(value);
  Send(std::move(request), ParseWriteReply, std::move(done));
}

void HttpTable::Delete(const std::string& table, const std::string& key,
                       std::uint64_t expected_version, Callback done) {
  http::Request request = MakeRowRequest("DELETE", table, key);
  request.headers["if-match"] = FormatTag(expected_version);
  Send(std::move(request), ParseDeleteReply, std::move(done));
}

std::size_t HttpTable::outstanding() const { return outstanding_; }

void HttpTable::Send(http::Request request, ReplyParser parse_reply,
                     Callback done) {
  if (outstanding_ >= settings_.max_outstanding) {
    TableReply reply;
    reply.status = TableStatus::kUnavailable;
    reply.detail = "too many outstanding calls to the table";
    PostReply(std::move(reply), std::move(done));
    return;
  }
  ++outstanding_;
  // `this` is valid in the handler, because the client drops its requests when
  // this object is destroyed. The callback may destroy this object, so no
  // member is used after the callback.
  client_.Send(
      settings_.address, request, settings_.timeout,
      [this, parse_reply = std::move(parse_reply), done = std::move(done)](
          std::optional<http::Response> response, http::HttpError error) {
        --outstanding_;
        done(parse_reply(response, error));
      });
}

void HttpTable::PostReply(TableReply reply, Callback done) {
  boost::asio::post(io_, [alive = std::weak_ptr<bool>(alive_),
                          reply = std::move(reply), done = std::move(done)]() {
    if (!alive.expired()) done(reply);
  });
}

}  // namespace tarragon::notes
