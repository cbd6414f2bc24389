#include "runner.h"

#include <algorithm>
#include <boost/json.hpp>
#include <memory>
#include <utility>

namespace tarragon::review {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr std::int64_t kMaxHoldMs = 1000;
constexpr std::int64_t kMaxWaitMs = 2000;
constexpr milliseconds kStopTime{40};
constexpr milliseconds kBeatInterval{1500};
constexpr milliseconds kStep{5};
constexpr std::size_t kMaxEnds = 500;
constexpr std::int64_t kFirstClockMs = 5000;

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Runner::Runner(boost::asio::io_context& io, Record* record, std::string id,
               const std::string& ip, std::string control, std::string zone)
    : io_(io),
      record_(record),
      id_(std::move(id)),
      control_(std::move(control)),
      zone_(std::move(zone)),
      server_(
          io, http::ServerLimits{},
          [this](const http::Request& request, const http::Responder& answer) {
            Handle(request, answer);
          }),
      client_(io, http::ClientLimits{}),
      timer_(io),
      origin_(Steady::now()),
      last_beat_(Steady::now() - kBeatInterval) {
  born_ = UnixMs();
  http::HttpError reason;
  address_ = server_.Listen(core::Address(ip + ":0"), &reason)->value();
  Tick();
}

void Runner::SetUnhealthy(bool unhealthy) {
  unhealthy_ = unhealthy;
  record_->Say("runner " + id_ +
               (unhealthy ? " is unhealthy: answers 503 to all calls"
                          : " is healthy again") +
               "; at work: " + std::to_string(runs_.size()));
}

std::int64_t Runner::ClockMs() const {
  return kFirstClockMs +
         std::chrono::duration_cast<milliseconds>(Steady::now() - origin_)
             .count();
}

void Runner::Tick() {
  timer_.expires_after(kStep);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Tick();
  });
  Advance();
  if (Steady::now() - last_beat_ >= kBeatInterval) Beat();
}

http::Request Runner::MakeBeat(bool foreign) const {
  json::object body{{"service", "svc"},      {"address", address_},
                    {"zone", zone_},         {"state", "ready"},
                    {"clock_ms", ClockMs()}, {"born", born_}};
  if (foreign) {
    body["capacity"] = json::object{{"cpu", 16000}};
    body["sequence"] = UnixMs();
  } else {
    body["capacity"] =
        json::object{{"cpu", 16000}, {"mem_mb", 65536}, {"gpu", 0}};
    body["sequence"] = sequence_;
    body["version"] = "v1";
    body["slots"] = 8;
    body["cold_remaining_ms"] = 0;
    body["labels"] = json::array{"a", "r1-1"};
  }
  http::Request request;
  request.method = "POST";
  request.path = "/v1/instances/" + id_ + "/heartbeat";
  request.headers["content-type"] = "application/json";
  request.body = json::serialize(body);
  return request;
}

void Runner::Beat() {
  last_beat_ = Steady::now();
  ++sequence_;
  client_.Send(
      core::Address(control_), MakeBeat(false), std::chrono::seconds(1),
      [this, number = sequence_](const std::optional<http::Response>& response,
                                 const http::HttpError&) {
        record_->Line("heartbeat " + std::to_string(number) + " of " + id_ +
                      " answered " +
                      std::to_string(response ? response->status : 0));
      });
}

void Runner::SendForeignBeat() {
  const http::Request request = MakeBeat(true);
  record_->Line("heartbeat of another writer about " + id_ + ": " +
                request.body);
  client_.Send(core::Address(control_), request, std::chrono::seconds(1),
               [this](const std::optional<http::Response>& response,
                      const http::HttpError&) {
                 record_->Say("heartbeat of another writer about " + id_ +
                              " answered " +
                              std::to_string(response ? response->status : 0));
               });
}

void Runner::Advance() {
  const Steady::time_point now = Steady::now();
  std::vector<std::pair<std::string, std::string>> over;
  for (const auto& [task, run] : runs_) {
    if (ClockMs() > lease_) {
      over.emplace_back(task, "lapsed");
    } else if (now >= run.ends) {
      over.emplace_back(task, run.stopping ? "stopped" : "done");
    }
  }
  for (const auto& [task, how] : over) EndRun(task, how);
}

void Runner::EndRun(const std::string& task, const std::string& how) {
  const auto found = runs_.find(task);
  const std::int64_t run = found->second.number;
  runs_.erase(found);
  ends_.push_back({++last_end_, task, run, how});
  tombstones_[task] = std::max(tombstones_[task], run);
  record_->Line("run " + task + " " + std::to_string(run) + " at " + id_ +
                " ended " + how);
}

http::Response Runner::Reply(int status, const std::string& reason) const {
  http::Response response;
  response.status = status;
  json::object body{{"clock_ms", ClockMs()}, {"born", born_}};
  if (!reason.empty()) body["reason"] = reason;
  response.body = json::serialize(body);
  return response;
}

void Runner::Handle(const http::Request& request,
                    const http::Responder& answer) {
  ++calls_;
  Advance();
  if (unhealthy_) {
    record_->Line("call " + request.path + " at " + id_ + " answered 503");
    return answer(Reply(503, ""));
  }
  const auto expected = request.headers.find("x-expect-instance");
  if (expected != request.headers.end() && expected->second != id_) {
    return answer(Reply(421, ""));
  }
  const json::value body = json::parse(request.body);
  const json::value* fence = body.as_object().if_contains("fence");
  const std::int64_t token = fence == nullptr ? 0 : fence->as_int64();
  if (token < fence_) return answer(Reply(409, "fence"));
  fence_ = token;
  if (request.path == "/v1/run-start") return answer(Start(request));
  if (request.path == "/v1/run-stop") return answer(Stop(request));
  if (request.path != "/v1/hold") return answer(Reply(404, ""));
  if (const json::value* until = body.as_object().if_contains("until_ms")) {
    Grant(until->as_int64());
  }
  const std::int64_t seen = body.at("last_seen").as_int64();
  std::erase_if(ends_, [seen](const End& end) { return end.number <= seen; });
  const json::value* wait = body.as_object().if_contains("wait_ms");
  const milliseconds pause(
      wait == nullptr ? 0 : std::min(wait->as_int64(), kMaxWaitMs));
  Hold(request, answer, Steady::now() + pause);
}

void Runner::Grant(std::int64_t until_ms) {
  lease_ = std::max(lease_, std::min(until_ms, ClockMs() + kMaxHoldMs));
}

http::Response Runner::Start(const http::Request& request) {
  const json::value body = json::parse(request.body);
  const std::string task(body.at("task").as_string());
  const std::int64_t number = body.at("run").as_int64();
  const std::int64_t until = body.at("until_ms").as_int64();
  const auto known = runs_.find(task);
  if (known != runs_.end() && known->second.number == number) {
    Grant(until);
    return Reply(200, "");
  }
  const auto tombstone = tombstones_.find(task);
  if (tombstone != tombstones_.end() && number <= tombstone->second) {
    Grant(until);
    return Reply(409, "old");
  }
  if (until <= ClockMs()) return Reply(409, "late");
  Grant(until);
  const std::string spec(body.at("spec").as_string());
  const Steady::time_point now = Steady::now();
  runs_[task] = {number, now, now + milliseconds(std::stoi(spec)), false};
  ++starts_;
  record_->Line("run " + task + " " + std::to_string(number) + " at " + id_ +
                " starts");
  return Reply(200, "");
}

http::Response Runner::Stop(const http::Request& request) {
  const json::value body = json::parse(request.body);
  const std::string task(body.at("task").as_string());
  const std::int64_t number = body.at("run").as_int64();
  tombstones_[task] = std::max(tombstones_[task], number);
  const auto known = runs_.find(task);
  if (known != runs_.end() && known->second.number <= number) {
    known->second.stopping = true;
    known->second.ends =
        std::min(known->second.ends, Steady::now() + kStopTime);
  }
  return Reply(200, "");
}

void Runner::Hold(const http::Request& request, const http::Responder& answer,
                  Steady::time_point until) {
  Advance();
  if (ends_.empty() && Steady::now() < until) {
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, kStep);
    timer->async_wait([this, timer, request, answer,
                       until](const boost::system::error_code& error) {
      if (!error) Hold(request, answer, until);
    });
    return;
  }
  json::array running;
  for (const auto& [task, run] : runs_) {
    const double whole =
        std::chrono::duration<double>(run.ends - run.began).count();
    const double ran =
        std::chrono::duration<double>(Steady::now() - run.began).count();
    const int percent =
        whole <= 0 ? 99
                   : std::clamp(static_cast<int>(100 * ran / whole), 0, 99);
    running.push_back(json::array{task, run.number, "", percent, 1600});
  }
  json::array finished;
  for (const End& end : ends_) {
    if (finished.size() == kMaxEnds) break;
    finished.push_back(json::array{end.number, end.task, end.run, end.how, ""});
  }
  http::Response response;
  response.body = json::serialize(json::object{{"clock_ms", ClockMs()},
                                               {"born", born_},
                                               {"running", running},
                                               {"finished", finished}});
  answer(response);
}

}  // namespace tarragon::review
