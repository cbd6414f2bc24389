#include "runner.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <memory>
#include <utility>

namespace tarragon::review {
namespace {

namespace json = boost::json;

constexpr std::int64_t kMaxHoldMs = 1000;
constexpr std::int64_t kMaxWaitMs = 2000;
constexpr std::size_t kMaxListedEnds = 500;
constexpr milliseconds kTick{3};
constexpr milliseconds kHeartbeatInterval{1500};
constexpr milliseconds kHeartbeatTimeout{1000};
constexpr std::int64_t kFirstClock = 100000;

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Runner::Runner(boost::asio::io_context& io, RunnerConfig config,
               Recorder* recorder)
    : io_(io),
      config_(std::move(config)),
      recorder_(recorder),
      server_(
          io, http::ServerLimits{},
          [this](const http::Request& request, const http::Responder& answer) {
            Handle(request, answer);
          }),
      client_(io, http::ClientLimits{}),
      timer_(io),
      origin_(Steady::now()),
      next_heartbeat_(origin_) {
  born_ = UnixMs();
  http::HttpError reason;
  address_ = server_.Listen(core::Address(config_.ip + ":0"), &reason)->value();
  Tick();
}

std::int64_t Runner::ClockMs() const {
  return kFirstClock +
         std::chrono::duration_cast<milliseconds>(Steady::now() - origin_)
             .count();
}

Moment Runner::MomentOfClock(std::int64_t clock) const {
  return origin_ + milliseconds(clock - kFirstClock);
}

http::Response Runner::Reply(int status, const std::string& reason) const {
  http::Response response;
  response.status = status;
  json::object body{{"clock_ms", ClockMs()}};
  if (!reason.empty()) body["reason"] = reason;
  response.body = json::serialize(body);
  return response;
}

bool Runner::IsDown() const { return left_ || Steady::now() < up_at_; }

void Runner::EndAllRuns(const std::string& how) {
  while (!runs_.empty()) EndRun(runs_.begin()->first, Steady::now(), how);
}

void Runner::Crash(milliseconds down, milliseconds first_heartbeat) {
  recorder_->Note("runner " + config_.id + ": crashes");
  EndAllRuns("crashed");
  last_ended_.clear();
  ends_.clear();
  last_sequence_ = 0;
  heartbeats_ = 0;
  lease_until_ = 0;
  fence_ = 0;
  up_at_ = Steady::now() + down;
  origin_ = up_at_;
  next_heartbeat_ = up_at_ + first_heartbeat;
  born_ = UnixMs() + down.count();
}

void Runner::Drain(milliseconds remaining) {
  leaves_at_ = Steady::now() + remaining;
  SendHeartbeat();
}

void Runner::Leave() {
  recorder_->Note("runner " + config_.id + ": leaves");
  http::Request request;
  request.method = "POST";
  request.path = "/v1/instances/" + config_.id + "/deregister";
  request.body = "{}";
  client_.Send(
      core::Address(config_.control), request, kHeartbeatTimeout,
      [](const std::optional<http::Response>&, const http::HttpError&) {});
  EndAllRuns("left");
  left_ = true;
}

void Runner::SendHeartbeat() {
  next_heartbeat_ = Steady::now() + kHeartbeatInterval;
  http::Request request;
  request.method = "POST";
  request.path = "/v1/instances/" + config_.id + "/heartbeat";
  request.headers["content-type"] = "application/json";
  json::array labels;
  for (const std::string& label : config_.labels) {
    labels.push_back(json::string(label));
  }
  json::object body{{"service", config_.service},
                    {"address", address_},
                    {"zone", config_.zone},
                    {"version", "v1"},
                    {"slots", 8},
                    {"state", leaves_at_.has_value() ? "draining" : "ready"},
                    {"cold_remaining_ms", 0},
                    {"capacity",
                     {{"cpu", config_.cpu},
                      {"mem_mb", config_.mem_mb},
                      {"gpu", config_.gpu}}},
                    {"labels", labels},
                    {"clock_ms", ClockMs()},
                    {"born", born_},
                    {"sequence", ++heartbeats_}};
  if (leaves_at_.has_value()) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(*leaves_at_ - Steady::now());
    body["remaining_ms"] = std::max<std::int64_t>(left.count(), 0);
  }
  request.body = json::serialize(body);
  const bool draining = leaves_at_.has_value();
  client_.Send(core::Address(config_.control), request, kHeartbeatTimeout,
               [this, draining](const std::optional<http::Response>& response,
                                const http::HttpError&) {
                 const bool acknowledged =
                     response.has_value() && response->status / 100 == 2;
                 if (!draining || !acknowledged) return;
                 if (drain_acknowledged_at_.has_value()) return;
                 drain_acknowledged_at_ = Steady::now();
                 recorder_->Note("runner " + config_.id +
                                 ": its draining was acknowledged");
               });
}

void Runner::Tick() {
  timer_.expires_after(kTick);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Tick();
  });
  const Moment now = Steady::now();
  if (IsDown()) return;
  if (now >= next_heartbeat_) SendHeartbeat();
  const Moment lease_end = MomentOfClock(lease_until_);
  std::vector<std::string> tasks;
  for (const auto& [task, run] : runs_) tasks.push_back(task);
  for (const std::string& task : tasks) {
    const Moment done_at = runs_.at(task).ends_at;
    if (done_at <= now && done_at <= lease_end) {
      EndRun(task, done_at, "done");
    } else if (lease_end < now) {
      // The run ended when its lease did, even if this tick is late.
      EndRun(task, lease_end, "lapsed");
    }
  }
}

void Runner::EndRun(const std::string& task, Moment at,
                    const std::string& how) {
  const auto found = runs_.find(task);
  if (found == runs_.end()) return;
  const Run run = found->second;
  runs_.erase(found);
  ends_.push_back({++last_sequence_, task, run.number, how});
  std::int64_t& last = last_ended_[task];
  last = std::max(last, run.number);
  recorder_->EndRun(run.record, at, how);
}

void Runner::Extend(std::int64_t until) {
  lease_until_ =
      std::max(lease_until_, std::min(until, ClockMs() + kMaxHoldMs));
}

void Runner::Handle(const http::Request& request,
                    const http::Responder& answer) {
  if (IsDown()) {
    // A process that is gone answers nothing.
    http::Response none;
    none.status = 0;
    return answer(none);
  }
  const auto expected = request.headers.find("x-expect-instance");
  if (expected != request.headers.end() && expected->second != config_.id) {
    return answer(Reply(421, ""));
  }
  if (request.path == "/v1/run-start") return answer(Start(request));
  if (request.path == "/v1/run-stop") return answer(Stop(request));
  if (request.path == "/v1/hold") {
    return Hold(request, answer, Steady::now());
  }
  answer(Reply(404, ""));
}

http::Response Runner::Start(const http::Request& request) {
  const json::value body = json::parse(request.body);
  const std::string task(body.at("task").as_string());
  const std::int64_t number = body.at("run").as_int64();
  const std::int64_t until = body.at("until_ms").as_int64();
  const std::int64_t fence = body.at("fence").as_int64();
  if (fence < fence_) return Reply(409, "fence");
  fence_ = fence;
  const auto known = runs_.find(task);
  if (known != runs_.end() && known->second.number == number) {
    Extend(until);
    return Reply(200, "");
  }
  const auto last = last_ended_.find(task);
  const bool old = (last != last_ended_.end() && number <= last->second) ||
                   known != runs_.end();
  if (old) {
    Extend(until);
    return Reply(409, "old");
  }
  if (until <= ClockMs()) return Reply(409, "late");
  Extend(until);
  const std::string spec(body.at("spec").as_string());
  Run run;
  run.number = number;
  run.started_at = Steady::now();
  run.ends_at = run.started_at + milliseconds(std::stoi(spec));
  run.record = recorder_->BeginRun(task, number, config_.id);
  runs_[task] = run;
  return Reply(200, "");
}

http::Response Runner::Stop(const http::Request& request) {
  const json::value body = json::parse(request.body);
  const std::string task(body.at("task").as_string());
  const std::int64_t number = body.at("run").as_int64();
  const std::int64_t fence = body.at("fence").as_int64();
  if (fence < fence_) return Reply(409, "fence");
  fence_ = fence;
  const auto known = runs_.find(task);
  if (known != runs_.end() && known->second.number <= number) {
    EndRun(task, Steady::now(), "stopped");
  }
  std::int64_t& last = last_ended_[task];
  last = std::max(last, number);
  return Reply(200, "");
}

void Runner::Hold(const http::Request& request, const http::Responder& answer,
                  Moment answer_at) {
  const json::value parsed = json::parse(request.body);
  const json::object& body = parsed.as_object();
  const std::int64_t fence = body.at("fence").as_int64();
  if (fence < fence_) return answer(Reply(409, "fence"));
  fence_ = fence;
  const std::int64_t seen = body.at("last_seen").as_int64();
  std::erase_if(ends_, [seen](const End& end) { return end.sequence <= seen; });
  if (const json::value* until = body.if_contains("until_ms")) {
    Extend(until->as_int64());
  }
  std::int64_t wait = 0;
  if (const json::value* wanted = body.if_contains("wait_ms")) {
    wait = std::min(wanted->as_int64(), kMaxWaitMs);
  }
  const Moment end_of_wait = answer_at + milliseconds(wait);
  const auto reply = [this](const http::Responder& to) {
    json::array running;
    for (const auto& [task, run] : runs_) {
      const double whole =
          std::chrono::duration<double>(run.ends_at - run.started_at).count();
      const double worked =
          std::chrono::duration<double>(Steady::now() - run.started_at).count();
      const int percent =
          whole <= 0 ? 100
                     : static_cast<int>(std::min(1.0, worked / whole) * 100);
      running.push_back(json::array{task, run.number, "", percent, 1600});
    }
    json::array finished;
    for (const End& end : ends_) {
      if (finished.size() == kMaxListedEnds) break;
      finished.push_back(
          json::array{end.sequence, end.task, end.run, end.how, ""});
    }
    http::Response response;
    response.body = json::serialize(json::object{{"clock_ms", ClockMs()},
                                                 {"born", born_},
                                                 {"running", running},
                                                 {"finished", finished}});
    to(response);
  };
  // Waits for an end, in steps of a tick.
  const auto step = std::make_shared<std::function<void()>>();
  *step = [this, step, reply, answer, end_of_wait]() {
    if (!ends_.empty() || Steady::now() >= end_of_wait) {
      reply(answer);
      *step = nullptr;
      return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, kTick);
    timer->async_wait([timer, step](const boost::system::error_code& error) {
      if (error || !*step) return;
      const std::function<void()> next = *step;
      next();
    });
  };
  const std::function<void()> first = *step;
  first();
}

}  // namespace tarragon::review
