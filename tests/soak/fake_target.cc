#include "fake_target.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <memory>
#include <utility>

namespace tarragon::soak {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using Steady = std::chrono::steady_clock;

constexpr std::int64_t kCapacityMillicores = 8000;
constexpr std::int64_t kMaxLeaseMs = 1000;
constexpr std::int64_t kFirstClockMs = 1000;
constexpr milliseconds kUnansweredTime{300};
constexpr int kMaxOrderDelayMs = 900;
constexpr milliseconds kTickInterval{10};
constexpr milliseconds kHeartbeatInterval{400};
constexpr milliseconds kRestartDuration{700};
constexpr milliseconds kHeartbeatTimeout{800};

}  // namespace

FakeTarget::FakeTarget(boost::asio::io_context& io, Config config,
                       InvariantChecker* invariants, IsDrained is_drained)
    : io_(io),
      config_(std::move(config)),
      invariants_(invariants),
      is_drained_(std::move(is_drained)),
      random_(config_.seed),
      server_(
          io, http::ServerLimits{},
          [this](const http::Request& request, const http::Responder& answer) {
            Handle(request, answer);
          }),
      client_(io, http::ClientLimits{}),
      timer_(io),
      clock_origin_(Steady::now()),
      order_fault_random_(config_.seed) {
  http::HttpError reason;
  const std::string address =
      server_.Listen(core::Address("127.0.0.1:0"), &reason)->value();
  const int port = std::stoi(address.substr(address.find(':') + 1));
  relay_ = std::make_unique<Relay>(
      io,
      boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                                     static_cast<std::uint16_t>(port)));
  incarnation_ = 1'000'000;
  Tick();
}

bool FakeTarget::DrawWithProbability(double share) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

std::int64_t FakeTarget::ClockMs() const {
  return kFirstClockMs +
         std::chrono::duration_cast<milliseconds>(Steady::now() - clock_origin_)
             .count();
}

http::Response FakeTarget::MakeResponse(int status,
                                        const std::string& reason) const {
  http::Response response;
  response.status = status;
  json::object body{{"clock_ms", ClockMs()}};
  if (!reason.empty()) body["reason"] = reason;
  response.body = json::serialize(body);
  return response;
}

void FakeTarget::SendHeartbeat() {
  last_heartbeat_at_ = Steady::now();
  http::Request request;
  request.method = "POST";
  request.path = "/v1/instances/" + config_.name + "/heartbeat";
  request.body = json::serialize(json::object{
      {"service", "s"},
      {"address", relay_->address()},
      {"zone", config_.domain},
      {"state", "ready"},
      {"capacity",
       {{"cpu", kCapacityMillicores}, {"mem_mb", 1000}, {"gpu", 0}}},
      {"labels", json::array()},
      {"clock_ms", ClockMs()},
      {"born", incarnation_},
      {"sequence", ++heartbeat_sequence_}});
  client_.Send(
      core::Address(config_.gate), request, kHeartbeatTimeout,
      [](const std::optional<http::Response>&, const http::HttpError&) {});
}

void FakeTarget::Tick() {
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Tick();
  });
  const Steady::time_point now = Steady::now();
  if (now < down_until_) return;
  if (now - last_heartbeat_at_ >= kHeartbeatInterval) SendHeartbeat();
  ExpireRuns();
}

void FakeTarget::ExpireRuns() {
  const Steady::time_point now = Steady::now();
  const Steady::time_point lapses_at =
      clock_origin_ + milliseconds(lease_until_ms_ + 1 - kFirstClockMs);
  std::vector<std::pair<std::string, Steady::time_point>> ended;
  for (const auto& [task, run] : runs_) {
    const Steady::time_point at = std::min(run.ends_at, lapses_at);
    if (now >= at) ended.emplace_back(task, at);
  }
  for (const auto& [task, at] : ended) {
    EndRun(task, at < runs_[task].ends_at ? "lapsed" : "done", at);
  }
}

void FakeTarget::EndRun(const std::string& task, const std::string& outcome,
                        Steady::time_point at) {
  const auto found = runs_.find(task);
  if (found == runs_.end()) return;
  finished_runs_.push_back(
      {++last_finished_sequence_, task, found->second.run_number, outcome});
  last_ended_run_by_task_[task] =
      std::max(last_ended_run_by_task_[task], found->second.run_number);
  runs_.erase(found);
  if (config_.ledger != nullptr) {
    config_.ledger->OnRunEnded(config_.name, task, outcome, at);
  }
  invariants_->OnRunEnded(config_.name, task, outcome == "done");
}

void FakeTarget::Crash() {
  ExpireRuns();
  while (!runs_.empty()) {
    const std::string task = runs_.begin()->first;
    runs_.erase(runs_.begin());
    if (config_.ledger != nullptr) {
      config_.ledger->OnRunEnded(config_.name, task, "crashed", Steady::now());
    }
    invariants_->OnRunEnded(config_.name, task, false);
  }
  last_ended_run_by_task_.clear();
  finished_runs_.clear();
  last_finished_sequence_ = 0;
  heartbeat_sequence_ = 0;
  incarnation_ += 1000;
  clock_origin_ = Steady::now() + kRestartDuration;
  lease_until_ms_ = 0;
  down_until_ = Steady::now() + kRestartDuration;
}

void FakeTarget::Handle(const http::Request& request,
                        const http::Responder& answer) {
  http::Response no_answer;
  no_answer.status = 0;
  if (Steady::now() < down_until_) return answer(no_answer);
  ExpireRuns();
  const bool is_order =
      request.path == "/v1/run-start" || request.path == "/v1/run-stop";
  if (!is_order && request.path != "/v1/hold") {
    // From another program on this machine, which takes this port for another.
    std::fprintf(stderr, "Target %s: odd request %s %s\n", config_.name.c_str(),
                 request.method.c_str(), request.path.c_str());
    return answer(MakeResponse(404, ""));
  }
  if (!is_order) {
    if (DrawWithProbability(order_loss_share_)) return answer(no_answer);
    return HandleHold(request, answer, 10);
  }
  if (HandleFaultyOrder(request, answer)) return;
  if (!DrawWithProbability(order_loss_share_)) return answer(Execute(request));
  // The order gets no answer, but half of such orders are executed later.
  if (DrawWithProbability(0.5)) {
    ExecuteAfter(
        milliseconds(std::uniform_int_distribution<int>(0, 2000)(random_)),
        request);
  }
  LeaveUnanswered(answer);
}

bool FakeTarget::HandleFaultyOrder(const http::Request& request,
                                   const http::Responder& answer) {
  const OrderFaults& faults = order_faults_;
  if (faults.broken + faults.silent + faults.late <= 0) return false;
  const double drawn =
      std::uniform_real_distribution<double>(0, 1)(order_fault_random_);
  if (drawn < faults.broken) {
    Execute(request);
    http::Response broken;
    broken.status = 0;
    answer(broken);
    return true;
  }
  if (drawn < faults.broken + faults.silent) {
    Execute(request);
  } else if (drawn < faults.broken + faults.silent + faults.late) {
    ExecuteAfter(milliseconds(std::uniform_int_distribution<int>(
                     0, kMaxOrderDelayMs)(order_fault_random_)),
                 request);
  } else {
    return false;
  }
  LeaveUnanswered(answer);
  return true;
}

http::Response FakeTarget::Execute(const http::Request& order) {
  ExpireRuns();
  return order.path == "/v1/run-start" ? HandleRunStart(order)
                                       : HandleRunStop(order);
}

void FakeTarget::ExecuteAfter(milliseconds delay, const http::Request& order) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, delay);
  timer->async_wait([this, timer, order, incarnation = incarnation_](
                        const boost::system::error_code& error) {
    if (!error && incarnation == incarnation_ && Steady::now() >= down_until_) {
      Execute(order);
    }
  });
}

void FakeTarget::LeaveUnanswered(const http::Responder& answer) {
  auto timeout =
      std::make_shared<boost::asio::steady_timer>(io_, kUnansweredTime);
  timeout->async_wait([timeout, answer](const boost::system::error_code&) {
    http::Response no_answer;
    no_answer.status = 0;
    answer(no_answer);
  });
}

http::Response FakeTarget::HandleRunStart(const http::Request& request) {
  const json::value body = json::parse(request.body);
  const std::string task(body.at("task").as_string());
  const std::uint32_t number =
      static_cast<std::uint32_t>(body.at("run").as_int64());
  const std::int64_t until = body.at("until_ms").as_int64();
  const auto known = runs_.find(task);
  if (known != runs_.end() && known->second.run_number == number) {
    return MakeResponse(200, "");
  }
  const auto last_ended = last_ended_run_by_task_.find(task);
  if (last_ended != last_ended_run_by_task_.end() &&
      number <= last_ended->second)
    return MakeResponse(409, "old");
  if (until < ClockMs()) return MakeResponse(409, "late");
  // The payload is "MILLICORES MILLISECONDS": the cost and the run time.
  const std::string spec(body.at("spec").as_string());
  const std::size_t space = spec.find(' ');
  Run run;
  run.run_number = number;
  run.millicores = std::stoll(spec.substr(0, space));
  run.started_at = Steady::now();
  run.ends_at =
      run.started_at + milliseconds(static_cast<int>(
                           std::stoi(spec.substr(space)) * runtime_factor_));
  lease_until_ms_ =
      std::max(lease_until_ms_, std::min(until, ClockMs() + kMaxLeaseMs));
  if (config_.before_start) config_.before_start();
  runs_[task] = run;
  if (config_.ledger != nullptr) {
    const std::size_t label = spec.find(' ', space + 1);
    config_.ledger->OnRunStarted(
        config_.name, task, number,
        label == std::string::npos ? "" : spec.substr(label + 1),
        Steady::now());
  }
  std::int64_t free = kCapacityMillicores;
  for (const auto& [name, each] : runs_) free -= each.millicores;
  invariants_->OnRunStarted(config_.name, task, free,
                            is_drained_(config_.domain));
  return MakeResponse(200, "");
}

int FakeTarget::ComputePercent(const Run& run) const {
  if (!config_.lists_progress) return 100;
  const Steady::duration length = run.ends_at - run.started_at;
  const Steady::duration done = Steady::now() - run.started_at;
  return static_cast<int>(100 * done / std::max(length, Steady::duration(1)));
}

http::Response FakeTarget::HandleRunStop(const http::Request& request) {
  const json::value body = json::parse(request.body);
  const std::string task(body.at("task").as_string());
  const std::uint32_t number =
      static_cast<std::uint32_t>(body.at("run").as_int64());
  const auto known = runs_.find(task);
  if (known != runs_.end() && known->second.run_number <= number) {
    EndRun(task, "stopped", Steady::now());
  }
  last_ended_run_by_task_[task] =
      std::max(last_ended_run_by_task_[task], number);
  return MakeResponse(200, "");
}

void FakeTarget::HandleHold(const http::Request& request,
                            const http::Responder& answer, int polls_left) {
  ExpireRuns();
  const json::value body = json::parse(request.body);
  const json::object& order = body.as_object();
  const std::int64_t last = order.at("last_seen").as_int64();
  if (const json::value* until = order.if_contains("until_ms")) {
    lease_until_ms_ = std::max(
        lease_until_ms_, std::min(until->as_int64(), ClockMs() + kMaxLeaseMs));
  }
  std::erase_if(finished_runs_, [last](const FinishedRun& end) {
    return end.sequence <= last;
  });
  if (finished_runs_.empty() && polls_left > 0 && order.contains("wait_ms")) {
    auto timer =
        std::make_shared<boost::asio::steady_timer>(io_, kTickInterval);
    timer->async_wait(
        [this, timer, request, answer, polls_left,
         incarnation = incarnation_](const boost::system::error_code& error) {
          if (!error && incarnation == incarnation_)
            HandleHold(request, answer, polls_left - 1);
        });
    return;
  }
  json::array running;
  for (const auto& [task, run] : runs_) {
    running.push_back(
        json::array{task, run.run_number, "", ComputePercent(run)});
  }
  json::array finished;
  for (const FinishedRun& end : finished_runs_) {
    finished.push_back(
        json::array{end.sequence, end.task, end.run, end.outcome, ""});
  }
  http::Response response;
  response.body = json::serialize(json::object{{"clock_ms", ClockMs()},
                                               {"born", incarnation_},
                                               {"running", running},
                                               {"finished", finished}});
  answer(response);
}

}  // namespace tarragon::soak
