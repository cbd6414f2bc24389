#include "tarragon/bench/driver.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "requests.h"

namespace tarragon::bench {
namespace {

constexpr std::size_t kMaxAnswerBytes = std::size_t{16} * 1024 * 1024;
/// Beyond the client's deadline: for the way of the final answer.
constexpr std::chrono::seconds kAnswerMargin{2};
/// Pause before a lost call is sent again; doubles with each loss.
constexpr std::chrono::milliseconds kFirstPause{10};
constexpr std::chrono::milliseconds kLongestPause{500};
constexpr std::chrono::milliseconds kHandlePause{50};
constexpr std::chrono::seconds kHandleTimeout{2};
constexpr std::uint64_t kRunIdMask = 0xffffffff;

http::ClientLimits Limits(const DriverOptions& options) {
  http::ClientLimits limits;
  limits.max_response_bytes = kMaxAnswerBytes;
  limits.max_idle_per_host = options.max_outstanding;
  return limits;
}

std::string RunId() {
  char text[16];
  std::snprintf(text, sizeof(text), "%08llx",
                static_cast<unsigned long long>(
                    core::RandomIncarnation().value() & kRunIdMask));
  return text;
}

}  // namespace

Driver::Driver(boost::asio::io_context& io, const core::Clock& clock,
               const RunPlan& plan, DriverOptions options)
    : io_(io),
      clock_(clock),
      plan_(plan),
      options_(std::move(options)),
      client_(io, Limits(options_)),
      arrival_timer_(io),
      run_id_(RunId()),
      states_(plan.jobs.size()),
      alive_(std::make_shared<bool>(true)) {
  result_.records.resize(plan.jobs.size());
}

Driver::~Driver() = default;

void Driver::Start(std::function<void()> done) {
  done_ = std::move(done);
  start_ = clock_.Now();
  for (const ServiceMix& service : plan_.preset.services) {
    FetchHandle(service.service);
  }
  ScheduleNext();
  // A plan without jobs is done at once.
  After(core::Duration(0), [this] { CheckDone(); });
}

core::Duration Driver::TimeLeft(Job job) const {
  return plan_.jobs[job].at + plan_.preset.deadline - Elapsed();
}

core::Duration Driver::CallTimeout(Job job) const {
  const core::Duration longest = TimeLeft(job) + kAnswerMargin;
  if (options_.attempt_timeout <= core::Duration::zero()) return longest;
  return std::min(longest, options_.attempt_timeout);
}

const core::Address& Driver::ClientOf(Job job) const {
  return options_.clients[states_[job].client % options_.clients.size()];
}

void Driver::After(core::Duration pause, std::function<void()> step) {
  const std::shared_ptr<boost::asio::steady_timer> timer =
      std::make_shared<boost::asio::steady_timer>(io_, pause);
  timer->async_wait(
      [timer, step = std::move(step),
       alive = std::weak_ptr<bool>(alive_)](boost::system::error_code error) {
        if (!error && !alive.expired()) step();
      });
}

void Driver::ScheduleNext() {
  if (next_ >= plan_.jobs.size()) return;
  arrival_timer_.expires_after(
      std::max(core::Duration(0), plan_.jobs[next_].at - Elapsed()));
  arrival_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) LaunchDue();
  });
}

void Driver::LaunchDue() {
  while (next_ < plan_.jobs.size() && plan_.jobs[next_].at <= Elapsed()) {
    Launch(next_++);
  }
  ScheduleNext();
}

void Driver::Launch(Job job) {
  ++progress_.outstanding;
  if (progress_.outstanding > options_.max_outstanding) {
    return Finish(job, JobEnd::kNotSubmitted, "bench_limit");
  }
  states_[job].client = next_client_++;
  Submit(job);
}

/// Mints a key and submits, or waits for a handle.
void Driver::Submit(Job job) {
  const core::ServiceId& service = plan_.jobs[job].service;
  const std::optional<std::string> handle =
      handles_.Find(service, clock_.Now());
  if (!handle) {
    waiting_[service].push_back(job);
    return FetchHandle(service);
  }
  JobState& state = states_[job];
  state.handle = *handle;
  state.key = *handle + "." + run_id_ + "-" + std::to_string(job) + "-" +
              std::to_string(state.keys_minted++);
  SendSubmission(job);
}

void Driver::SendSubmission(Job job) {
  JobState& state = states_[job];
  if (!state.submitted) {
    state.submitted = true;
    ++progress_.submitted;
    result_.records[job].sent_late = Elapsed() - plan_.jobs[job].at;
  }
  state.sent = clock_.Now();
  Send(job,
       SubmissionRequest(plan_.jobs[job], state.key, plan_.preset.deadline));
}

void Driver::SendQuery(Job job) {
  Send(job, QueryRequest(states_[job].key, TimeLeft(job)));
}

void Driver::Send(Job job, const http::Request& request) {
  client_.Send(
      ClientOf(job), request, CallTimeout(job),
      [this, job](std::optional<http::Response> response,
                  http::HttpError error) { OnReply(job, response, error); });
}

void Driver::OnReply(Job job, const std::optional<http::Response>& response,
                     const http::HttpError& error) {
  if (!response) return OnLost(job, error);
  const ClientAnswer answer = ReadClientAnswer(*response);
  const core::ServiceId& service = plan_.jobs[job].service;
  if (HandleIsSpent(answer.reason)) {
    handles_.Drop(service, states_[job].handle);
  }
  if (!answer.handle.empty()) {
    handles_.Refresh(service, answer.handle, clock_.Now());
  }
  if (answer.end == JobEnd::kNotRun) {
    result_.refusal_times.push_back(clock_.Now() - states_[job].sent);
  }
  OnAnswer(job, answer);
}

void Driver::OnAnswer(Job job, const ClientAnswer& answer) {
  if (answer.end == JobEnd::kNotRun) ++result_.records[job].refusals;
  switch (Decide(answer, http::HttpErrorKind::kNone, TimeLeft(job),
                 options_.retry_refused)) {
    case NextStep::kAskAgain:
      return SendQuery(job);
    case NextStep::kComeBack:
      return ComeBack(job, answer);
    case NextStep::kResubmit:
    case NextStep::kEnd:
      break;
  }
  if (answer.kind == ClientAnswer::Kind::kRunning) {
    return Finish(job, JobEnd::kNoAnswer, "running");
  }
  if (answer.end == JobEnd::kComplete) CheckResults(job, answer);
  Finish(job, answer.end, answer.reason);
}

void Driver::OnLost(Job job, const http::HttpError& error) {
  JobRecord& record = result_.records[job];
  ++record.lost_answers;
  const NextStep step =
      Decide(std::nullopt, error.kind, TimeLeft(job), options_.retry_refused);
  if (step != NextStep::kResubmit) {
    return Finish(job, JobEnd::kNoAnswer, "lost");
  }
  JobState& state = states_[job];
  ++state.client;
  state.pause = state.pause == core::Duration(0)
                    ? core::Duration(kFirstPause)
                    : std::min<core::Duration>(state.pause * 2, kLongestPause);
  ++record.resubmissions;
  After(state.pause, [this, job] { SendSubmission(job); });
}

void Driver::ComeBack(Job job, const ClientAnswer& answer) {
  After(answer.retry_after, [this, job, reason = answer.reason] {
    if (states_[job].key.empty() || NeedsNewKey(reason)) return Submit(job);
    SendSubmission(job);
  });
}

void Driver::CheckResults(Job job, const ClientAnswer& answer) {
  const std::string& key = states_[job].key;
  JobRecord& record = result_.records[job];
  record.partial = answer.results.size() != plan_.jobs[job].runs.size();
  record.crossed = answer.key != key;
  for (std::size_t i = 0; i < answer.results.size(); ++i) {
    if (answer.results[i] != TaskResult(key, i)) record.crossed = true;
  }
}

void Driver::Finish(Job job, JobEnd end, const std::string& reason) {
  JobRecord& record = result_.records[job];
  record.end = end;
  record.reason = reason;
  record.ended_at = Elapsed();
  --progress_.outstanding;
  if (end == JobEnd::kComplete) {
    ++progress_.completed;
  } else if (end == JobEnd::kNotRun) {
    ++progress_.refused;
  } else {
    ++progress_.others;
  }
  states_[job] = JobState();
  CheckDone();
}

void Driver::CheckDone() {
  const bool done = next_ >= plan_.jobs.size() && progress_.outstanding == 0;
  if (done && done_) std::exchange(done_, nullptr)();
}

void Driver::FetchHandle(const core::ServiceId& service) {
  if (!fetching_.insert(service).second) return;
  const core::Address& client =
      options_.clients[next_client_++ % options_.clients.size()];
  client_.Send(
      client, HandleRequest(service), kHandleTimeout,
      [this, service](std::optional<http::Response> response, http::HttpError) {
        fetching_.erase(service);
        OnHandle(service, response);
      });
}

void Driver::OnHandle(const core::ServiceId& service,
                      const std::optional<http::Response>& response) {
  const std::optional<FreshHandle> fresh =
      response ? ReadHandle(*response) : std::nullopt;
  if (fresh) {
    handles_.Keep(service, fresh->handle, fresh->valid, clock_.Now());
    return ResumeWaiting(service);
  }
  if (response) {
    const ClientAnswer answer = ReadClientAnswer(*response);
    const std::vector<Job> refused =
        std::exchange(waiting_[service], std::vector<Job>());
    for (const Job job : refused) OnAnswer(job, answer);
    return;
  }
  DropLateWaiting(service);
  if (waiting_[service].empty()) return;
  After(kHandlePause, [this, service] { FetchHandle(service); });
}

void Driver::ResumeWaiting(const core::ServiceId& service) {
  const std::vector<Job> jobs =
      std::exchange(waiting_[service], std::vector<Job>());
  for (const Job job : jobs) Submit(job);
}

void Driver::DropLateWaiting(const core::ServiceId& service) {
  const std::vector<Job> jobs =
      std::exchange(waiting_[service], std::vector<Job>());
  for (const Job job : jobs) {
    if (TimeLeft(job) > core::Duration(0)) {
      waiting_[service].push_back(job);
    } else {
      Finish(job, JobEnd::kNotSubmitted, "no_handle");
    }
  }
}

}  // namespace tarragon::bench
