#include "target_standin_witness.h"

#include <boost/json.hpp>
#include <charconv>
#include <iostream>
#include <string>
#include <utility>

#include "tarragon/core/clock.h"

namespace tarragon::standin {
namespace {

std::int64_t NowMs() {
  return core::Millis(core::SystemClock().Now().since_start);
}

/// A whole number of the query; zero if it is absent or no number.
std::size_t Number(const http::Request& request, const std::string& name) {
  const auto at = request.query.find(name);
  if (at == request.query.end()) return 0;
  std::size_t number = 0;
  const std::string& text = at->second;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

boost::json::object ToJson(const WitnessedTask& task) {
  return {{"key", task.key},          {"task", task.task},
          {"attempt", task.attempt},  {"service", task.service},
          {"at_ms", task.started_ms}, {"ended_ms", task.ended_ms},
          {"ended", task.ended},      {"ok", task.ok}};
}

/// In one write, so that a kill leaves no part of a line.
void LogStart(const WitnessedTask& task) {
  std::cerr << "start " + task.key + ' ' + task.task + ' ' +
                   std::to_string(task.started_ms) + '\n';
}

}  // namespace

std::size_t Witness::RecordStart(WitnessedTask task) {
  task.started_ms = NowMs();
  if (log_starts_) LogStart(task);
  tasks_.push_back(std::move(task));
  AnswerReady();
  return tasks_.size() - 1;
}

void Witness::RecordEnd(std::size_t number, bool ok) {
  WitnessedTask& task = tasks_[number];
  task.ended = true;
  task.ok = ok;
  task.ended_ms = NowMs();
  ++ends_;
  AnswerReady();
}

void Witness::Serve(const http::Request& request,
                    const http::Responder& respond) {
  waiters_.push_back(Waiter{Number(request, "min_starts"),
                            Number(request, "min_ends"), respond});
  AnswerReady();
}

void Witness::ReleaseAll() {
  released_ = true;
  for (const Waiter& waiter : std::exchange(waiters_, {})) {
    waiter.respond(Answer());
  }
}

void Witness::AnswerReady() {
  std::vector<Waiter> waiting;
  for (Waiter& waiter : waiters_) {
    const bool ready = released_ || (tasks_.size() >= waiter.min_starts &&
                                     ends_ >= waiter.min_ends);
    if (ready) {
      waiter.respond(Answer());
    } else {
      waiting.push_back(std::move(waiter));
    }
  }
  waiters_ = std::move(waiting);
}

http::Response Witness::Answer() const {
  boost::json::array starts;
  for (const WitnessedTask& task : tasks_) starts.push_back(ToJson(task));
  http::Response response;
  response.body = boost::json::serialize(boost::json::object{
      {"starts", std::move(starts)}, {"running", tasks_.size() - ends_}});
  return response;
}

}  // namespace tarragon::standin
