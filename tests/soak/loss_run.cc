#include "loss_run.h"

#include <unistd.h>

#include <algorithm>
#include <boost/json.hpp>
#include <csignal>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <random>
#include <vector>

#include "cluster.h"
#include "loss_plan.h"
#include "loss_report.h"
#include "tarragon/http/client.h"

namespace tarragon::soak {
namespace {

namespace json = boost::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using Steady = std::chrono::steady_clock;

/// When a client submits a job again after a broken connection, no answer, 502
/// or 504.
constexpr milliseconds kResendDelay{1300};
/// Jobs of long tasks get twice their run time.
constexpr milliseconds kClientDeadline{1500};
constexpr int kMaxAttempts = 3;
/// Jobs that are submitted shortly before a series, half of them to the entry
/// that is lost. Only a run with over `kResendDelay` left can be at work when
/// its job comes again.
constexpr int kLongJobs = 16;
constexpr milliseconds kLongJobsLead{200};
constexpr milliseconds kLongJobsPause{10};
constexpr int kLongRuntimeMs = 1700;
constexpr int kLongRuntimeStepMs = 12;
/// Of a task, so small that half of the targets have room for all.
constexpr int kMillicores = 125;
constexpr milliseconds kPollInterval{10};
constexpr milliseconds kSettleTime{3000};
/// A job must complete within this time after the last fault. Long enough for a
/// busy machine.
constexpr std::chrono::seconds kRecoveryTimeout{30};
constexpr FakeTarget::OrderFaults kOrderFaults{0.1, 0.1, 0.15};
constexpr FakeTarget::OrderFaults kSevereOrderFaults{0, 0.1, 0.8};

class LossRun {
 public:
  LossRun(std::uint64_t seed, const Options& options)
      : options_(options),
        load_random_(seed),
        cluster_(io_),
        client_(io_, http::ClientLimits{}),
        run_folder_(std::filesystem::temp_directory_path() /
                    ("tarragon-losses-" + std::to_string(getpid()) + "-" +
                     std::to_string(seed))),
        series_(options.plan == Plan::kOrders
                    ? MakeOrderSeries(options.gates, Length(options))
                    : DrawLossSeries(seed, options.entries, options.gates,
                                     Length(options))) {}

  bool Run();

 private:
  struct Job {
    std::string id;
    json::array steps;
    int runtime_ms = 0;
    int attempt = 0;
  };

  static milliseconds Length(const Options& options) {
    return std::chrono::seconds(options.seconds);
  }
  int DrawInt(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(load_random_);
  }
  void RunAfter(milliseconds delay, std::function<void()> step) {
    soak::RunAfter(io_, delay, std::move(step));
  }
  std::size_t GateAt(int index) const {
    return static_cast<std::size_t>(options_.entries) +
           static_cast<std::size_t>(index);
  }
  /// Adds a line with the time of day, as the processes' logs have it.
  void Note(const std::string& text);
  void Begin(std::size_t index);
  void Apply(std::size_t process, const Loss& loss);
  /// Sets the links between one process and all of the other role.
  void SetCut(std::size_t process, LossKind kind);
  void SubmitNext();
  /// Submits jobs shortly before a series that are still at work when they come
  /// again because of it.
  void ScheduleLongJobs(const LossSeries& series);
  void SubmitJob(int runtime_ms, int tasks, std::size_t entry);
  void Submit(Job job, std::size_t entry);
  void OnAnswer(const Job& job, const std::optional<http::Response>& response,
                const http::HttpError& error);
  /// An entry whose process runs; the platform knows those that do not.
  std::size_t PickEntry();
  void PollProcesses();
  bool Report();

  Options options_;
  std::mt19937_64 load_random_;
  boost::asio::io_context io_;
  InvariantChecker invariants_;
  RunLedger ledger_;
  Cluster cluster_;
  http::Client client_;
  std::filesystem::path run_folder_;
  std::vector<LossSeries> series_;
  std::vector<Steady::time_point> restart_at_;
  std::ofstream notes_;
  Steady::time_point begun_at_;
  Steady::time_point faults_ended_at_;
  std::uint64_t last_job_number_ = 0;
  int resends_ = 0;
  bool injecting_faults_ = true;
  bool completed_after_faults_ = false;
};

void LossRun::Note(const std::string& text) {
  const auto now = std::chrono::system_clock::now();
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char time[32];
  std::snprintf(
      time, sizeof time, "%02d:%02d:%02d.%03d", utc.tm_hour, utc.tm_min,
      utc.tm_sec,
      static_cast<int>(
          duration_cast<milliseconds>(now.time_since_epoch()).count() % 1000));
  notes_ << time << " soak  " << text << "\n";
}

void LossRun::SetCut(std::size_t process, LossKind kind) {
  const bool out =
      kind == LossKind::kCutOutgoing || kind >= LossKind::kCutBothWays;
  const bool in =
      kind == LossKind::kCutIncoming || kind >= LossKind::kCutBothWays;
  const auto mode = [](bool to_server, bool to_client) {
    if (to_server && to_client) return RelayMode::kHoldBothWays;
    if (to_server) return RelayMode::kHoldToServer;
    return to_client ? RelayMode::kHoldToClient : RelayMode::kPass;
  };
  // The process dials others through their relays, and others dial it through
  // its own.
  for (std::size_t i = 0; i < cluster_.peer_relays.size(); ++i) {
    if (i == process) {
      cluster_.peer_relays[i]->SetMode(mode(in, out));
    } else {
      cluster_.peer_relays[i]->SetModeForOrigin(cluster_.names[process],
                                                mode(out, in));
    }
  }
}

void LossRun::Apply(std::size_t index, const Loss& loss) {
  Process* process = cluster_.processes[index].get();
  Note(std::string(Name(loss.kind)) + " " + cluster_.names[index] + " for " +
       std::to_string(loss.duration.count()) + " ms");
  switch (loss.kind) {
    case LossKind::kNone:
      return;
    case LossKind::kKill:
      restart_at_[index] = Steady::now() + loss.duration;
      process->Signal(SIGKILL);
      return;
    case LossKind::kFreeze:
      process->Signal(SIGSTOP);
      RunAfter(loss.duration, [this, process, index]() {
        Note("continue " + cluster_.names[index]);
        process->Signal(SIGCONT);
      });
      return;
    default:
      SetCut(index, loss.kind);
      if (loss.kind == LossKind::kCutAndReset) {
        cluster_.front_relays[index]->Reset();
      }
      RunAfter(loss.duration, [this, index]() {
        Note("heal " + cluster_.names[index]);
        SetCut(index, LossKind::kNone);
      });
  }
}

void LossRun::Begin(std::size_t index) {
  const LossSeries& series = series_[index];
  Note("series " + std::to_string(index) + " " + series.name);
  for (const Loss& loss : series.entries) {
    RunAfter(loss.at, [this, loss]() {
      Apply(static_cast<std::size_t>(loss.index), loss);
    });
  }
  for (const Loss& loss : series.gates) {
    RunAfter(loss.at, [this, loss]() { Apply(GateAt(loss.index), loss); });
  }
  for (const OrderFault& fault : series.orders) {
    FakeTarget* target =
        cluster_.targets[static_cast<std::size_t>(fault.target)].get();
    RunAfter(fault.at, [this, target, fault]() {
      target->SetOrderFaults(fault.severe ? kSevereOrderFaults : kOrderFaults);
      RunAfter(fault.duration, [target]() { target->SetOrderFaults({}); });
    });
  }
}

std::size_t LossRun::PickEntry() {
  std::vector<std::size_t> up;
  for (std::size_t i = 0; i < static_cast<std::size_t>(options_.entries); ++i) {
    if (cluster_.processes[i]->pid() > 0) up.push_back(i);
  }
  const std::uint64_t drawn = load_random_();
  return up.empty() ? 0 : up[drawn % up.size()];
}

void LossRun::SubmitNext() {
  SubmitJob(DrawInt(0, 9) < 5 ? DrawInt(600, 1900) : DrawInt(20, 200),
            DrawInt(1, 4), PickEntry());
  if (!injecting_faults_ && completed_after_faults_) return;
  RunAfter(milliseconds(DrawInt(10, 40)), [this]() { SubmitNext(); });
}

void LossRun::ScheduleLongJobs(const LossSeries& series) {
  for (int i = 0; i < kLongJobs; ++i) {
    const milliseconds at = series.at - kLongJobsLead + i * kLongJobsPause;
    const int lost = series.entries.empty() ? 0 : series.entries.front().index;
    const std::size_t entry =
        static_cast<std::size_t>(i % 2 == 0 ? lost : i % options_.entries);
    RunAfter(at, [this, i, entry]() {
      SubmitJob(kLongRuntimeMs + i * kLongRuntimeStepMs, 1 + i % 4, entry);
    });
  }
}

void LossRun::SubmitJob(int runtime_ms, int tasks, std::size_t entry) {
  char id[17];
  std::snprintf(id, sizeof id, "%016llx",
                static_cast<unsigned long long>(++last_job_number_));
  Job job;
  job.id = id;
  job.runtime_ms = runtime_ms;
  job.steps = json::array{json::object{{"count", tasks},
                                       {"cpu", kMillicores},
                                       {"mem_mb", 10},
                                       {"est_runtime_ms", runtime_ms}}};
  invariants_.OnJobSubmitted(id, static_cast<std::uint32_t>(tasks));
  Submit(job, entry);
}

void LossRun::Submit(Job job, std::size_t entry) {
  ++job.attempt;
  const std::string label =
      cluster_.names[entry] + " attempt " + std::to_string(job.attempt);
  const milliseconds deadline =
      std::max(kClientDeadline, milliseconds(2 * job.runtime_ms));
  http::Request request;
  request.method = "POST";
  request.path = "/checks/" + job.id;
  request.headers["host"] = "q.example";
  request.headers["x-deadline-ms"] = std::to_string(deadline.count());
  request.body = json::serialize(
      json::object{{"spec", std::to_string(kMillicores) + " " +
                                std::to_string(job.runtime_ms) + " " + label},
                   {"best_effort", true},
                   {"steps", job.steps}});
  Note("submit " + job.id + " to " + label);
  client_.Send(core::Address(cluster_.front_relays[entry]->address()), request,
               deadline,
               [this, job](const std::optional<http::Response>& response,
                           const http::HttpError& error) {
                 OnAnswer(job, response, error);
               });
}

void LossRun::OnAnswer(const Job& job,
                       const std::optional<http::Response>& response,
                       const http::HttpError& error) {
  Note("answer to " + job.id + " attempt " + std::to_string(job.attempt) +
       ": " +
       (response.has_value() ? std::to_string(response->status) : error.text));
  const int status = response.has_value() ? response->status : 0;
  if (status == 0 || status == 502 || status == 504) {
    if (job.attempt >= kMaxAttempts) return;
    ++resends_;
    return RunAfter(kResendDelay, [this, job]() { Submit(job, PickEntry()); });
  }
  if (status == 503 || status == 429) {
    invariants_.OnJobNotRun(job.id, job.attempt);
  }
  if (status != 200) return;
  if (response->body.find("completed") == std::string::npos) return;
  invariants_.OnJobCompleted(job.id);
  if (!injecting_faults_) completed_after_faults_ = true;
}

void LossRun::PollProcesses() {
  const Steady::time_point now = Steady::now();
  for (std::size_t i = 0; i < cluster_.processes.size(); ++i) {
    if (cluster_.processes[i]->UpdateIsRunning()) continue;
    if (now < restart_at_[i]) continue;
    Note("start " + cluster_.names[i]);
    cluster_.processes[i]->Start();
  }
  const Steady::duration since_faults = now - faults_ended_at_;
  if (!injecting_faults_ && since_faults > kSettleTime &&
      (completed_after_faults_ || since_faults > kRecoveryTimeout)) {
    return io_.stop();
  }
  RunAfter(kPollInterval, [this]() { PollProcesses(); });
}

bool LossRun::Report() {
  LossReport report;
  report.series = &series_;
  report.begun_at = begun_at_;
  report.overlaps = ledger_.FindOverlaps(Steady::now());
  report.violations = {invariants_.violations().begin(),
                       invariants_.violations().end()};
  if (!completed_after_faults_) {
    report.violations.insert("No job completed in time after the last fault.");
  }
  for (const std::unique_ptr<Process>& process : cluster_.processes) {
    if (process->unexpected_exits() == 0) continue;
    report.violations.insert(
        "A " + process->program() +
        " exited unexpectedly; its log: " + process->log_file());
  }
  std::printf("jobs=%llu resends=%d completed=%llu starts=%llu overlaps=%zu\n",
              static_cast<unsigned long long>(last_job_number_), resends_,
              static_cast<unsigned long long>(invariants_.completed_jobs()),
              static_cast<unsigned long long>(invariants_.started_runs()),
              report.overlaps.size());
  Print(report);
  return report.overlaps.empty() && report.violations.empty();
}

bool LossRun::Run() {
  Cluster::Config config;
  config.entries = options_.entries;
  config.gates = options_.gates;
  config.run_folder = run_folder_;
  config.invariants = &invariants_;
  config.ledger = &ledger_;
  config.targets_list_progress = true;
  config.is_drained = [](const std::string&) { return false; };
  config.draw_seed = [this]() { return load_random_(); };
  cluster_.Start(config);
  notes_.open(run_folder_ / "soak.log");
  restart_at_.resize(cluster_.processes.size());
  begun_at_ = Steady::now();
  RunAfter(milliseconds(300), [this]() { SubmitNext(); });
  for (std::size_t i = 0; i < series_.size(); ++i) {
    ScheduleLongJobs(series_[i]);
    RunAfter(series_[i].at, [this, i]() { Begin(i); });
  }
  RunAfter(std::chrono::seconds(options_.seconds), [this]() {
    injecting_faults_ = false;
    completed_after_faults_ = false;
    faults_ended_at_ = Steady::now();
    cluster_.Repair();
  });
  PollProcesses();
  io_.run();
  const bool held = Report();
  cluster_.processes.clear();
  notes_.close();
  if (held && !options_.keep_logs) {
    std::filesystem::remove_all(run_folder_);
  } else {
    std::printf("  logs: %s\n", run_folder_.c_str());
  }
  return held;
}

}  // namespace

bool RunLosses(std::uint64_t seed, const Options& options) {
  return LossRun(seed, options).Run();
}

}  // namespace tarragon::soak
