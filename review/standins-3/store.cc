#include "store.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <memory>

namespace tarragon::review {
namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds kFeedStep{5};
constexpr std::size_t kMaxRows = 500;

std::string ToBase64(const std::string& bytes) {
  constexpr char kAlphabet[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text +=
          i + j > bytes.size() ? '=' : kAlphabet[group >> (18 - 6 * j) & 63];
    }
  }
  return text;
}

std::string Parameter(const http::Request& request, const char* name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? "" : found->second;
}

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Steady::now().time_since_epoch())
      .count();
}

void Answer(const http::Responder& answer, int status, json::object body) {
  http::Response response;
  response.status = status;
  response.body = json::serialize(body);
  answer(response);
}

}  // namespace

Store::Store(boost::asio::io_context& io, const std::string& ip)
    : io_(io),
      server_(
          io, http::ServerLimits{},
          [this](const http::Request& request, const http::Responder& answer) {
            Handle(request, answer);
          }) {
  http::HttpError reason;
  address_ = server_.Listen(core::Address(ip + ":0"), &reason)->value();
}

void Store::Put(const std::string& table, const std::string& key,
                const std::string& value) {
  tables_[table][key] = {ToBase64(value), ++version_};
}

void Store::Handle(const http::Request& request,
                   const http::Responder& answer) {
  if (request.path == "/v1/rows-tx") return Transact(request, answer);
  if (request.path == "/v1/rows-get") return Get(request, answer);
  if (request.path == "/v1/rows-feed") {
    const std::string wait = Parameter(request, "wait_ms");
    const std::chrono::milliseconds hold(wait.empty() ? 0 : std::stoi(wait));
    return Feed(request, answer, Steady::now() + hold);
  }
  Answer(answer, 404, {});
}

void Store::Transact(const http::Request& request,
                     const http::Responder& answer) {
  const json::value body = json::parse(request.body);
  ++version_;
  for (const json::value& row : body.at("set_keys").as_array()) {
    tables_[std::string(row.at("table").as_string())]
           [std::string(row.at("key").as_string())] = {
               std::string(row.at("value").as_string()), version_};
  }
  Answer(answer, 200, {{"ver", version_}, {"now_ms", NowMs()}});
}

void Store::Get(const http::Request& request, const http::Responder& answer) {
  const std::string table = Parameter(request, "table");
  const std::string limit = Parameter(request, "limit");
  const std::size_t most =
      limit.empty() ? kMaxRows : std::min<std::size_t>(std::stoul(limit), 500);
  json::array rows;
  bool more = false;
  const std::map<std::string, Row>& known = tables_[table];
  for (auto at = known.lower_bound(Parameter(request, "from"));
       at != known.end(); ++at) {
    more = rows.size() == most;
    if (more) break;
    rows.push_back(json::object{{"table", table},
                                {"part", ""},
                                {"key", at->first},
                                {"value", at->second.value},
                                {"ver", at->second.version}});
  }
  Answer(answer, 200,
         {{"rows", rows},
          {"has_more", more},
          {"ver", version_},
          {"now_ms", NowMs()}});
}

void Store::Feed(const http::Request& request, const http::Responder& answer,
                 Steady::time_point until) {
  const std::string table = Parameter(request, "table");
  const std::uint64_t after = std::stoull(Parameter(request, "after"));
  std::vector<std::pair<std::string, Row>> changed;
  for (const auto& [key, row] : tables_[table]) {
    if (row.version > after) changed.emplace_back(key, row);
  }
  if (changed.empty() && Steady::now() < until) {
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, kFeedStep);
    timer->async_wait([this, timer, request, answer,
                       until](const boost::system::error_code& error) {
      if (!error) Feed(request, answer, until);
    });
    return;
  }
  std::sort(changed.begin(), changed.end(), [](const auto& a, const auto& b) {
    return a.second.version < b.second.version;
  });
  json::array rows;
  for (const auto& [key, row] : changed) {
    rows.push_back(json::object{{"table", table},
                                {"part", ""},
                                {"key", key},
                                {"value", row.value},
                                {"ver", row.version}});
  }
  Answer(answer, 200, {{"rows", rows}, {"ver", version_}, {"now_ms", NowMs()}});
}

}  // namespace tarragon::review
