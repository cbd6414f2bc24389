#include "platform_standin_table.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <utility>

#include "tarragon/http/status.h"

namespace tarragon::standins {
namespace {

namespace json = boost::json;

/// Tells the server to close the connection without an answer.
constexpr int kCloseUnanswered = 0;
constexpr std::string_view kPrefix = "/v1/tables/";
constexpr std::string_view kRows = "/rows";

http::Response Status(int status) {
  http::Response response;
  response.status = status;
  return response;
}

http::Response Json(const json::object& object) {
  http::Response response;
  response.body = json::serialize(object);
  return response;
}

std::string Tag(std::uint64_t version) {
  return '"' + std::to_string(version) + '"';
}

std::string Header(const http::Request& request, const std::string& name) {
  const std::map<std::string, std::string>::const_iterator found =
      request.headers.find(name);
  return found == request.headers.end() ? "" : found->second;
}

std::optional<FaultMode> ReadMode(const std::string& name) {
  static const std::map<std::string, FaultMode> modes = {
      {"none", FaultMode::kNone},     {"down", FaultMode::kDown},
      {"slow", FaultMode::kSlow},     {"late", FaultMode::kLate},
      {"refuse", FaultMode::kRefuse}, {"lose_reply", FaultMode::kLoseReply}};
  const std::map<std::string, FaultMode>::const_iterator found =
      modes.find(name);
  if (found == modes.end()) return std::nullopt;
  return found->second;
}

std::string Text(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_string()) return "";
  return std::string(value->get_string());
}

std::optional<std::uint64_t> Number(const json::object& object,
                                    const char* name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_int64() || value->get_int64() < 0) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(value->get_int64());
}

/// The table and key of "/v1/tables/T/rows/K" or "/v1/tables/T/rows".
struct RowName {
  std::string table;
  std::optional<std::string> key;
};

std::optional<RowName> ReadPath(const std::string& path) {
  if (!path.starts_with(kPrefix)) return std::nullopt;
  const std::string rest = path.substr(kPrefix.size());
  const std::size_t slash = rest.find('/');
  if (slash == 0 || slash == std::string::npos) return std::nullopt;
  const std::string tail = rest.substr(slash);
  if (tail == kRows) return RowName{rest.substr(0, slash), std::nullopt};
  if (!tail.starts_with(std::string(kRows) + '/')) return std::nullopt;
  const std::string key = tail.substr(kRows.size() + 1);
  if (key.empty() || key.find('/') != std::string::npos) return std::nullopt;
  return RowName{rest.substr(0, slash), key};
}

}  // namespace

std::optional<Fault> ParseFault(const std::string& body) {
  boost::system::error_code failure;
  const json::value value = json::parse(body, failure);
  if (failure || !value.is_object()) return std::nullopt;
  const json::object& object = value.get_object();
  const std::optional<FaultMode> mode = ReadMode(Text(object, "mode"));
  if (!mode) return std::nullopt;
  Fault fault;
  fault.mode = *mode;
  fault.delay_ms = Number(object, "delay_ms").value_or(0);
  fault.count = Number(object, "count");
  fault.only = Text(object, "only");
  fault.caller = Text(object, "caller");
  return fault;
}

void PlatformStandin::Handle(const http::Request& request,
                             const http::Responder& respond) {
  if (request.path == "/fault" && request.method == "POST") {
    return respond(ReadFault(request));
  }
  if (request.path == "/stats" && request.method == "GET") {
    return respond(StatsPage());
  }
  const std::optional<RowName> name = ReadPath(request.path);
  if (!name) return respond(Status(http::kStatusNotFound));
  if (!name->key) return respond(List(name->table));
  HandleRow(name->table, *name->key, request, respond);
}

void PlatformStandin::HandleRow(const std::string& table,
                                const std::string& key,
                                const http::Request& request,
                                const http::Responder& respond) {
  const Fault fault = TakeFault(request);
  switch (fault.mode) {
    case FaultMode::kNone:
      return respond(Apply(table, key, request));
    case FaultMode::kDown:
      return respond(Status(kCloseUnanswered));
    case FaultMode::kRefuse:
      return respond(Status(http::kStatusUnavailable));
    case FaultMode::kLoseReply:
      Apply(table, key, request);
      return respond(Status(kCloseUnanswered));
    case FaultMode::kSlow:
      return After(fault.delay_ms,
                   [respond, response = Apply(table, key, request)]() {
                     respond(response);
                   });
    case FaultMode::kLate:
      return After(fault.delay_ms, [this, table, key, request, respond]() {
        respond(Apply(table, key, request));
      });
  }
}

Fault PlatformStandin::TakeFault(const http::Request& request) {
  const bool strikes = fault_.mode != FaultMode::kNone &&
                       (fault_.only.empty() || fault_.only == request.method) &&
                       request.peer.find(fault_.caller) != std::string::npos &&
                       fault_.count != std::uint64_t{0};
  if (!strikes) return {};
  if (fault_.count) --*fault_.count;
  ++stats_.faults;
  return fault_;
}

http::Response PlatformStandin::Apply(const std::string& table,
                                      const std::string& key,
                                      const http::Request& request) {
  Rows& rows = tables_[table];
  const Rows::const_iterator found = rows.find(key);
  if (request.method == "GET") {
    return Get(found == rows.end() ? nullptr : &found->second, request);
  }
  if (request.method == "PUT") return Put(&rows, key, request);
  if (request.method == "DELETE") return Delete(&rows, key, request);
  return Status(http::kStatusMethodNotAllowed);
}

http::Response PlatformStandin::Get(const Row* row,
                                    const http::Request& request) {
  ++stats_.reads;
  if (row == nullptr) return Status(http::kStatusNotFound);
  const std::string tag = Tag(row->version);
  http::Response response;
  response.headers["ETag"] = tag;
  if (Header(request, "if-none-match") == tag) {
    response.status = http::kStatusNotModified;
    return response;
  }
  response.content_type = "application/octet-stream";
  response.body = row->value;
  return response;
}

http::Response PlatformStandin::Put(Rows* rows, const std::string& key,
                                    const http::Request& request) {
  const Rows::const_iterator found = rows->find(key);
  const std::string match = Header(request, "if-match");
  const bool insert = Header(request, "if-none-match") == "*";
  if (insert == !match.empty()) return Status(http::kStatusBadRequest);
  const bool holds =
      insert ? found == rows->end()
             : found != rows->end() && match == Tag(found->second.version);
  if (!holds) {
    ++stats_.conflicts;
    return Status(http::kStatusPreconditionFailed);
  }
  ++stats_.writes;
  ++last_version_;
  (*rows)[key] = {request.body, last_version_};
  http::Response response = Status(http::kStatusOk);
  response.headers["ETag"] = Tag(last_version_);
  return response;
}

http::Response PlatformStandin::Delete(Rows* rows, const std::string& key,
                                       const http::Request& request) {
  const Rows::const_iterator found = rows->find(key);
  const std::string match = Header(request, "if-match");
  if (match.empty()) return Status(http::kStatusBadRequest);
  if (found == rows->end()) return Status(http::kStatusNotFound);
  if (match != Tag(found->second.version)) {
    ++stats_.conflicts;
    return Status(http::kStatusPreconditionFailed);
  }
  ++stats_.writes;
  rows->erase(found);
  return Status(http::kStatusOk);
}

http::Response PlatformStandin::List(const std::string& table) const {
  json::object rows;
  const std::map<std::string, Rows>::const_iterator found = tables_.find(table);
  if (found == tables_.end()) return Json({{"rows", rows}});
  for (const auto& [key, row] : found->second) {
    rows[key] = json::object{{"version", row.version}, {"value", row.value}};
  }
  return Json({{"rows", rows}});
}

http::Response PlatformStandin::ReadFault(const http::Request& request) {
  const std::optional<Fault> fault = ParseFault(request.body);
  if (!fault) return Status(http::kStatusBadRequest);
  fault_ = *fault;
  return Status(http::kStatusOk);
}

http::Response PlatformStandin::StatsPage() const {
  return Json({{"reads", stats_.reads},
               {"writes", stats_.writes},
               {"conflicts", stats_.conflicts},
               {"faults", stats_.faults}});
}

void PlatformStandin::After(std::uint64_t delay_ms,
                            std::function<void()> then) {
  const std::shared_ptr<boost::asio::steady_timer> timer =
      std::make_shared<boost::asio::steady_timer>(
          io_, std::chrono::milliseconds(delay_ms));
  timer->async_wait(
      [timer, then = std::move(then)](boost::system::error_code failure) {
        if (!failure) then();
      });
}

}  // namespace tarragon::standins
