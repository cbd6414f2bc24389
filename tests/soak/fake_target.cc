#include "fake_target.h"

#include <algorithm>
#include <boost/json.hpp>
#include <memory>
#include <utility>

namespace tarragon::soak {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using Steady = std::chrono::steady_clock;

constexpr std::int64_t kCapacity = 8000;
constexpr std::int64_t kMaxLease = 1000;
constexpr milliseconds kTick{10};
constexpr milliseconds kAnnounce{400};
constexpr milliseconds kDown{700};
constexpr milliseconds kAnnounceTimeout{800};

}  // namespace

FakeTarget::FakeTarget(boost::asio::io_context& io, Config config,
                       Witness* witness, IsDrained is_drained)
    : io_(io),
      config_(std::move(config)),
      witness_(witness),
      is_drained_(std::move(is_drained)),
      random_(config_.seed),
      server_(
          io, http::ServerLimits{},
          [this](const http::Request& request, const http::Responder& answer) {
            Handle(request, answer);
          }),
      client_(io, http::ClientLimits{}),
      timer_(io),
      born_at_(Steady::now()) {
  http::HttpError reason;
  const std::string address =
      server_.Listen(core::Address("127.0.0.1:0"), &reason)->value();
  const int port = std::stoi(address.substr(address.find(':') + 1));
  relay_ = std::make_unique<Relay>(
      io,
      boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                                     static_cast<std::uint16_t>(port)));
  born_ = 1'000'000;
  Tick();
}

bool FakeTarget::Chance(double share) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

std::int64_t FakeTarget::Clock() const {
  return 1000 +
         std::chrono::duration_cast<milliseconds>(Steady::now() - born_at_)
             .count();
}

http::Response FakeTarget::Answer(int status, const std::string& reason) const {
  http::Response response;
  response.status = status;
  json::object body{{"clock_ms", Clock()}};
  if (!reason.empty()) body["reason"] = reason;
  response.body = json::serialize(body);
  return response;
}

void FakeTarget::Announce() {
  announced_ = Steady::now();
  http::Request request;
  request.method = "POST";
  request.path = "/v1/instances/" + config_.name + "/heartbeat";
  request.body = json::serialize(json::object{
      {"service", "s"},
      {"address", relay_->address()},
      {"zone", config_.domain},
      {"state", "ready"},
      {"capacity", {{"cpu", kCapacity}, {"mem_mb", 1000}, {"gpu", 0}}},
      {"labels", json::array()},
      {"clock_ms", Clock()},
      {"born", born_},
      {"sequence", ++sequence_}});
  client_.Send(
      core::Address(config_.gate), request, kAnnounceTimeout,
      [](const std::optional<http::Response>&, const http::HttpError&) {});
}

void FakeTarget::Tick() {
  timer_.expires_after(kTick);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Tick();
  });
  const Steady::time_point now = Steady::now();
  if (now < down_until_) return;
  if (now - announced_ >= kAnnounce) Announce();
  std::vector<std::pair<std::string, std::string>> over;
  for (const auto& [task, run] : runs_) {
    if (now >= run.ends) {
      over.emplace_back(task, "done");
    } else if (Clock() > lease_until_) {
      over.emplace_back(task, "lapsed");
    }
  }
  for (const auto& [task, how] : over) EndRun(task, how);
}

void FakeTarget::EndRun(const std::string& task, const std::string& how) {
  const auto found = runs_.find(task);
  if (found == runs_.end()) return;
  ends_.push_back({++last_end_, task, found->second.number, how});
  over_[task] = std::max(over_[task], found->second.number);
  runs_.erase(found);
  witness_->Ended(config_.name, task, how == "done");
}

void FakeTarget::Crash() {
  while (!runs_.empty()) {
    const std::string task = runs_.begin()->first;
    runs_.erase(runs_.begin());
    witness_->Ended(config_.name, task, false);
  }
  over_.clear();
  ends_.clear();
  last_end_ = 0;
  sequence_ = 0;
  born_ += 1000;
  born_at_ = Steady::now() + kDown;
  lease_until_ = 0;
  down_until_ = Steady::now() + kDown;
}

void FakeTarget::Handle(const http::Request& request,
                        const http::Responder& answer) {
  http::Response silent;
  silent.status = 0;
  if (Steady::now() < down_until_) return answer(silent);
  const bool start = request.path == "/v1/run-start";
  if (!start && request.path != "/v1/run-stop") {
    if (Chance(loss_)) return answer(silent);
    return Hold(request, answer, 10);
  }
  const auto carry = [this, start](const http::Request& order) {
    return start ? Start(order) : Stop(order);
  };
  if (!Chance(loss_)) return answer(carry(request));
  // No answer comes. Half of these orders are carried out, some of them late.
  if (Chance(0.5)) {
    auto timer = std::make_shared<boost::asio::steady_timer>(
        io_,
        milliseconds(std::uniform_int_distribution<int>(0, 2000)(random_)));
    timer->async_wait([timer, carry, request, life = born_,
                       this](const boost::system::error_code& error) {
      if (!error && life == born_ && Steady::now() >= down_until_) {
        carry(request);
      }
    });
  }
  auto hang =
      std::make_shared<boost::asio::steady_timer>(io_, milliseconds(300));
  hang->async_wait([hang, answer, silent](const boost::system::error_code&) {
    answer(silent);
  });
}

http::Response FakeTarget::Start(const http::Request& request) {
  const json::value body = json::parse(request.body);
  const std::string task(body.at("task").as_string());
  const std::uint32_t number =
      static_cast<std::uint32_t>(body.at("run").as_int64());
  const std::int64_t until = body.at("until_ms").as_int64();
  const auto known = runs_.find(task);
  if (known != runs_.end() && known->second.number == number) {
    return Answer(200, "");
  }
  const auto over = over_.find(task);
  if (over != over_.end() && number <= over->second) return Answer(409, "old");
  if (until < Clock()) return Answer(409, "late");
  // The payload says what the task costs: millicores and milliseconds.
  const std::string spec(body.at("spec").as_string());
  const std::size_t space = spec.find(' ');
  Run run;
  run.number = number;
  run.millicores = std::stoll(spec.substr(0, space));
  run.ends =
      Steady::now() +
      milliseconds(static_cast<int>(std::stoi(spec.substr(space)) * slowness_));
  lease_until_ = std::max(lease_until_, std::min(until, Clock() + kMaxLease));
  runs_[task] = run;
  std::int64_t free = kCapacity;
  for (const auto& [name, each] : runs_) free -= each.millicores;
  witness_->Started(config_.name, task, free, is_drained_(config_.domain));
  return Answer(200, "");
}

http::Response FakeTarget::Stop(const http::Request& request) {
  const json::value body = json::parse(request.body);
  const std::string task(body.at("task").as_string());
  const std::uint32_t number =
      static_cast<std::uint32_t>(body.at("run").as_int64());
  const auto known = runs_.find(task);
  if (known != runs_.end() && known->second.number <= number) {
    EndRun(task, "stopped");
  }
  over_[task] = std::max(over_[task], number);
  return Answer(200, "");
}

void FakeTarget::Hold(const http::Request& request,
                      const http::Responder& answer, int polls_left) {
  const json::value body = json::parse(request.body);
  const json::object& order = body.as_object();
  const std::int64_t last = order.at("last_seen").as_int64();
  if (const json::value* until = order.if_contains("until_ms")) {
    lease_until_ = std::max(lease_until_,
                            std::min(until->as_int64(), Clock() + kMaxLease));
  }
  std::erase_if(ends_, [last](const End& end) { return end.number <= last; });
  if (ends_.empty() && polls_left > 0 && order.contains("wait_ms")) {
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, kTick);
    timer->async_wait([this, timer, request, answer, polls_left,
                       life = born_](const boost::system::error_code& error) {
      if (!error && life == born_) Hold(request, answer, polls_left - 1);
    });
    return;
  }
  json::array running;
  for (const auto& [task, run] : runs_) {
    running.push_back(json::array{task, run.number, "", 100});
  }
  json::array finished;
  for (const End& end : ends_) {
    finished.push_back(json::array{end.number, end.task, end.run, end.how, ""});
  }
  http::Response response;
  response.body = json::serialize(json::object{{"clock_ms", Clock()},
                                               {"born", born_},
                                               {"running", running},
                                               {"finished", finished}});
  answer(response);
}

}  // namespace tarragon::soak
