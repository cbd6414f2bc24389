#include "target_standin_tasks.h"

#include <unistd.h>

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <utility>
#include <vector>

namespace tarragon::standin {
namespace {

constexpr char kKeyHeader[] = "tarragon-key";
constexpr char kTaskHeader[] = "tarragon-task";
constexpr int kExitOnStart = 9;
/// How much shorter than stated a truncated answer is.
constexpr std::size_t kTruncatedBytes = 16;

std::string Header(const http::Request& request, const std::string& name) {
  const auto at = request.headers.find(name);
  return at == request.headers.end() ? std::string() : at->second;
}

http::Response Answer(const http::Request& request, int status,
                      std::string body) {
  http::Response response;
  response.status = status;
  response.content_type = "text/plain";
  response.headers["Tarragon-Key"] = Header(request, kKeyHeader);
  response.headers["Tarragon-Task"] = Header(request, kTaskHeader);
  response.body = std::move(body);
  return response;
}

http::Response NotStarted(const http::Request& request) {
  http::Response response = Answer(request, 503, "not started");
  response.headers["Tarragon-Not-Started"] = "1";
  return response;
}

http::Response Plain(int status) {
  http::Response response;
  response.status = status;
  response.body = "{}";
  return response;
}

/// What a payload asks for.
struct Work {
  double work_ms = 0;
  std::string result = "ok";
  bool fail = false;
};

Work ParseWork(const std::string& payload) {
  Work work;
  boost::json::error_code error;
  const boost::json::value json = boost::json::parse(payload, error);
  if (error || !json.is_object()) {
    work.result = "ok:" + payload;
    return work;
  }
  const boost::json::object& object = json.get_object();
  if (const boost::json::value* ms = object.if_contains("work_ms")) {
    work.work_ms = std::max(0.0, ms->to_number<double>(error));
  }
  const boost::json::value* result = object.if_contains("result");
  if (result != nullptr && result->is_string()) {
    const boost::json::string& text = result->get_string();
    work.result.assign(text.data(), text.size());
  }
  if (const boost::json::value* fail = object.if_contains("fail")) {
    work.fail = fail->is_bool() && fail->get_bool();
  }
  return work;
}

}  // namespace

TargetTasks::TargetTasks(boost::asio::io_context& io, std::uint32_t slots,
                         Witness* witness)
    : io_(io), slots_(slots), witness_(witness) {}

void TargetTasks::Start(const http::Request& request,
                        const http::Responder& respond) {
  const std::string key = Header(request, kKeyHeader);
  const std::string index = Header(request, kTaskHeader);
  if (key.empty() || index.empty()) return respond(Plain(400));
  if (leaving_ || tasks_.size() >= slots_) return respond(NotStarted(request));
  const Fault fault = TakeFault(&fault_);
  if (fault.mode == FaultMode::kRefuse) return respond(NotStarted(request));
  WitnessedTask witnessed;
  witnessed.key = key;
  witnessed.task = index;
  witnessed.attempt = Header(request, "tarragon-attempt");
  witnessed.service = Header(request, "tarragon-service");
  const std::uint64_t number = ++last_number_;
  Task& task = tasks_[number];
  task.witnessed = witness_->RecordStart(std::move(witnessed));
  if (fault.mode == FaultMode::kDieOnStart) _exit(kExitOnStart);
  Work work = ParseWork(request.body);
  task.request = request;
  task.respond = respond;
  task.result = std::move(work.result);
  task.fail = work.fail;
  task.fault = fault.mode;
  if (fault.mode == FaultMode::kFail) return End(number, false);
  if (fault.mode == FaultMode::kHang) return;
  if (fault.mode == FaultMode::kDropConnection) {
    std::exchange(task.respond, [](const http::Response&) {})(Plain(0));
  }
  if (fault.mode == FaultMode::kLinger) work.work_ms *= fault.factor;
  Run(number, work.work_ms);
}

void TargetTasks::Run(std::uint64_t number, double work_ms) {
  if (work_ms <= 0) return OnDue(number);
  Task& task = tasks_[number];
  task.timer = std::make_unique<boost::asio::steady_timer>(
      io_, std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::duration<double, std::milli>(work_ms)));
  task.timer->async_wait([this, number](boost::system::error_code error) {
    if (!error) OnDue(number);
  });
}

void TargetTasks::OnDue(std::uint64_t number) {
  const auto at = tasks_.find(number);
  if (at == tasks_.end()) return;
  at->second.due = true;
  if (!hold_) End(number, !at->second.fail);
}

void TargetTasks::End(std::uint64_t number, bool ok) {
  Task task = std::move(tasks_.extract(number).mapped());
  witness_->RecordEnd(task.witnessed, ok);
  http::Response response =
      Answer(task.request, ok ? 200 : 500, ok ? task.result : "failed");
  if (task.fault == FaultMode::kTruncate) {
    response.headers["Content-Length"] =
        std::to_string(response.body.size() + kTruncatedBytes);
  }
  task.respond(std::move(response));
  CheckEnded();
}

void TargetTasks::Stop(const http::Request& request,
                       const http::Responder& respond) {
  // The key itself may hold slashes; the index of the task does not.
  const std::string prefix = "/v1/tasks/";
  const std::string rest = request.path.substr(prefix.size());
  const std::size_t slash = rest.rfind('/');
  if (slash == std::string::npos) return respond(Plain(404));
  std::vector<std::uint64_t> stopped;
  for (const auto& [number, task] : tasks_) {
    if (Header(task.request, kKeyHeader) == rest.substr(0, slash) &&
        Header(task.request, kTaskHeader) == rest.substr(slash + 1)) {
      stopped.push_back(number);
    }
  }
  for (const std::uint64_t number : stopped) End(number, false);
  respond(Plain(stopped.empty() ? 404 : 200));
}

void TargetTasks::SetFault(const http::Request& request,
                           const http::Responder& respond) {
  const std::optional<Fault> fault = ParseFault(request.body);
  if (!fault) return respond(Plain(400));
  fault_ = *fault;
  respond(Plain(200));
}

void TargetTasks::SetHold(const http::Request& request,
                          const http::Responder& respond) {
  boost::json::error_code error;
  const boost::json::value json = boost::json::parse(request.body, error);
  const boost::json::value* on = !error && json.is_object()
                                     ? json.get_object().if_contains("on")
                                     : nullptr;
  hold_ = request.path == "/hold" &&
          (on == nullptr || !on->is_bool() || on->get_bool());
  respond(Plain(200));
  if (hold_) return;
  std::vector<std::uint64_t> due;
  for (const auto& [number, task] : tasks_) {
    if (task.due) due.push_back(number);
  }
  for (const std::uint64_t number : due) OnDue(number);
}

void TargetTasks::Leave(std::function<void()> on_ended) {
  leaving_ = true;
  on_ended_ = std::move(on_ended);
  CheckEnded();
}

void TargetTasks::DropHanging() {
  for (const auto& [number, task] : tasks_) task.respond(Plain(0));
}

void TargetTasks::CheckEnded() {
  if (!leaving_ || !on_ended_) return;
  for (const auto& [number, task] : tasks_) {
    if (task.fault != FaultMode::kHang) return;
  }
  std::exchange(on_ended_, nullptr)();
}

}  // namespace tarragon::standin
