#include "fake_store.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <memory>
#include <set>
#include <utility>

namespace tarragon::soak {
namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds kFeedPollInterval{20};
constexpr int kMaxFeedPolls = 50;
/// Maximum number of rows in one answer.
constexpr std::size_t kMaxPageRows = 500;

std::string ToBase64(const std::string& bytes) {
  namespace it = boost::archive::iterators;
  using Encoder = it::base64_from_binary<
      it::transform_width<std::string::const_iterator, 6, 8>>;
  std::string text(Encoder(bytes.begin()), Encoder(bytes.end()));
  while (text.size() % 4 != 0) text += '=';
  return text;
}

http::Response MakeStatusResponse(int status) {
  http::Response response;
  response.status = status;
  response.body = "{}";
  return response;
}

std::string QueryParameter(const http::Request& request, const char* name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? "" : found->second;
}

}  // namespace

FakeStore::FakeStore(boost::asio::io_context& io)
    : io_(io),
      server_(
          io, http::ServerLimits{},
          [this](const http::Request& request, const http::Responder& answer) {
            Handle(request, answer);
          }) {
  http::HttpError reason;
  address_ = server_.Listen(core::Address("127.0.0.1:0"), &reason)->value();
}

void FakeStore::DiscardHistory() {
  changes_.clear();
  discarded_until_revision_ = revision_;
}

void FakeStore::Put(const std::string& table, const std::string& key,
                    const std::string& value) {
  tables_[table][key] = ToBase64(value);
  changes_.push_back({++revision_, table, key});
}

void FakeStore::Remove(const std::string& table, const std::string& key) {
  tables_[table].erase(key);
  changes_.push_back({++revision_, table, key});
}

void FakeStore::SetStale(bool stale) {
  stale_pages_.clear();
  if (!stale) return;
  for (const auto& [table, rows] : tables_) {
    stale_pages_[table] = SerializeRows(table, 0, "", kMaxPageRows);
  }
}

std::size_t FakeStore::CountRows(const std::string& table) const {
  const auto found = tables_.find(table);
  return found == tables_.end() ? 0 : found->second.size();
}

http::Responder FakeStore::WithInjectedFault(const http::Responder& answer) {
  if (dropping_answers_) {
    // Destroying the responder would close the connection.
    unanswered_.push_back(answer);
    return [](const http::Response&) {};
  }
  if (delay_.count() == 0) return answer;
  return [this, answer, delay = delay_](const http::Response& response) {
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, delay);
    timer->async_wait(
        [timer, answer, response](const boost::system::error_code& error) {
          if (!error) answer(response);
        });
  };
}

void FakeStore::Handle(const http::Request& request,
                       const http::Responder& done) {
  if (refusing_) {
    ++refusals_;
    return done(MakeStatusResponse(503));
  }
  const http::Responder answer = WithInjectedFault(done);
  if (request.path == "/v1/rows-tx") return HandleTransaction(request, answer);
  if (request.path == "/v1/rows-get") return HandleGet(request, answer);
  if (request.path == "/v1/rows-feed")
    return HandleFeed(request, answer, kMaxFeedPolls);
  answer(MakeStatusResponse(404));
}

void FakeStore::HandleTransaction(const http::Request& request,
                                  const http::Responder& answer) {
  const json::value body = json::parse(request.body);
  for (const json::value& row : body.at("set_keys").as_array()) {
    const std::string table(row.at("table").as_string());
    const std::string key(row.at("key").as_string());
    tables_[table][key] = std::string(row.at("value").as_string());
    ++writes_;
    changes_.push_back({++revision_, table, key});
  }
  answer(MakeStatusResponse(200));
}

std::string FakeStore::SerializeRows(const std::string& table,
                                     std::uint64_t after,
                                     const std::string& from,
                                     std::size_t limit) const {
  std::set<std::string> keys;
  if (after == 0) {
    const auto found = tables_.find(table);
    if (found != tables_.end()) {
      for (const auto& [key, value] : found->second) keys.insert(key);
    }
  }
  for (const Change& change : changes_) {
    if (after > 0 && change.revision > after && change.table == table) {
      keys.insert(change.key);
    }
  }
  json::array rows;
  bool more = false;
  for (const std::string& key : keys) {
    if (key < from) continue;
    more = rows.size() == limit;
    if (more) break;
    json::object row{{"table", table}, {"part", ""}, {"key", key}};
    const auto& known = tables_.at(table);
    const auto found = known.find(key);
    if (found == known.end()) {
      row["deleted"] = true;
    } else {
      row["value"] = found->second;
    }
    rows.push_back(row);
  }
  if (after > 0 && rows.empty()) return {};
  return json::serialize(
      json::object{{"rows", rows}, {"has_more", more}, {"ver", revision_}});
}

void FakeStore::HandleGet(const http::Request& request,
                          const http::Responder& answer) {
  ++reads_;
  const std::string limit = QueryParameter(request, "limit");
  http::Response response;
  const auto stale = stale_pages_.find(QueryParameter(request, "table"));
  if (stale != stale_pages_.end()) {
    response.body = stale->second;
    return answer(response);
  }
  response.body = SerializeRows(
      QueryParameter(request, "table"), 0, QueryParameter(request, "from"),
      limit.empty() ? kMaxPageRows
                    : static_cast<std::size_t>(std::stoul(limit)));
  answer(response);
}

void FakeStore::HandleFeed(const http::Request& request,
                           const http::Responder& answer, int polls_left) {
  const std::uint64_t after = std::stoull(QueryParameter(request, "after"));
  if (after < discarded_until_revision_) return answer(MakeStatusResponse(410));
  http::Response response;
  response.body =
      SerializeRows(QueryParameter(request, "table"), after, "", kMaxPageRows);
  if (response.body.empty() && polls_left == 0) {
    response.body = json::serialize(
        json::object{{"rows", json::array()}, {"ver", revision_}});
  }
  if (!response.body.empty()) return answer(response);
  auto timer =
      std::make_shared<boost::asio::steady_timer>(io_, kFeedPollInterval);
  timer->async_wait([this, timer, request, answer,
                     polls_left](const boost::system::error_code& error) {
    if (!error) HandleFeed(request, answer, polls_left - 1);
  });
}

}  // namespace tarragon::soak
