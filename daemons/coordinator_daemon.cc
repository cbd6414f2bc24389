#include "coordinator_daemon.h"

#include <cmath>
#include <map>
#include <utility>
#include <variant>

#include "decision_log.h"
#include "machine_limits.h"
#include "membership.h"
#include "metrics_page_server.h"
#include "node_settings_reload.h"
#include "operator_watch.h"
#include "platform_daemon_limits.h"
#include "platform_daemon_settings.h"
#include "process_runner.h"
#include "shed_report.h"
#include "tarragon/coordinator/entry.h"
#include "tarragon/core/exit_code.h"
#include "tarragon/core/log.h"
#include "tarragon/http/server.h"
#include "tarragon/http/status.h"
#include "tarragon/platform/job_messages.h"
#include "tarragon/platform/node_settings.h"
#include "tarragon/wire/transport.h"

namespace tarragon::daemons {
namespace {

using coordinator::CallId;
using coordinator::ClientAnswer;
using coordinator::JobBoard;
using coordinator::Queue;
using coordinator::Refusal;

/// Enough for a payload of 4,000 bytes and some hundred steps.
constexpr std::size_t kMaxBodyBytes = std::size_t{256} * 1024;
/// No request to the other addresses of an entry has a body.
constexpr std::size_t kMaxOtherBodyBytes = std::size_t{16} * 1024;
/// Closes connections whose peer disappeared without closing them.
constexpr core::Duration kClientIdleTimeout = std::chrono::seconds(30);
/// Time after the stop signal at which all jobs that are still open are ended,
/// so that their clients get an answer before the platform kills the process,
/// 6 s after the signal.
constexpr core::Duration kEndJobsAfterStop = std::chrono::milliseconds(4800);
/// Bytes of a request's path in a log line.
constexpr std::size_t kMaxLoggedPath = 120;

const core::Log& EntryLog() {
  static const core::Log log("entry");
  return log;
}

http::ServerLimits MakeClientServerLimits(const MachineLimits& machine) {
  http::ServerLimits limits =
      MakeServerLimits(machine, machine.client_connections, kMaxBodyBytes);
  limits.idle_timeout = kClientIdleTimeout;
  limits.half_close_is_gone = true;
  return limits;
}

}  // namespace

class CoordinatorDaemon::Impl {
 public:
  Impl(boost::asio::io_context& io, core::Settings settings,
       std::function<std::optional<core::Settings>()> reload)
      : io_(io),
        settings_(std::move(settings)),
        load_settings_(std::move(reload)) {
    board_.policy = ReadCoordinationPolicy(settings_);
  }

  bool Start(std::string* reason) {
    const std::optional<platform::NodeSettings> node =
        platform::LoadNodeSettings(reason);
    if (!node.has_value()) return false;
    node_ = *node;
    board_.domain = node_.domain;
    ApplySpreadFactor();
    board_.started_at = clock_.Now();
    board_.random ^= core::RandomIncarnation().value();
    MakeServers();
    wire::WireError wire_error;
    if (!transport_->Listen(
            ReadPeerListenAddress(settings_, node_.peer_address),
            node_.peer_address, &wire_error)) {
      *reason = wire_error.detail;
      return false;
    }
    http::HttpError http_error;
    if (!client_server_->Listen(node_.client_address, &http_error) ||
        !readiness_server_->Listen(node_.readiness_address, &http_error)) {
      *reason = http_error.text;
      return false;
    }
    metrics_page_->Listen(node_.peer_address, ReadMetricsPort(settings_));
    store_.emplace(io_, node_.store_address);
    store_->SetWatchTimes(platform::MakeWatchTimes(node_.recovery_grace));
    operator_watch_.emplace(io_, &clock_, &*store_,
                            [this](const coordinator::OperatorState& state) {
                              coordinator::OnOperatorState(
                                  &board_, clock_.Now(), state, "store");
                              ExecuteActions();
                            });
    membership_.emplace(io_, &*store_, MemberKind::kEntry, node_.peer_address,
                        [this](MemberKind kind, const core::Address& address) {
                          if (kind != MemberKind::kGate) return;
                          coordinator::OnGateFound(&board_, clock_.Now(),
                                                   address);
                          ExecuteActions();
                        });
    process_runner_.emplace(
        io_, ProcessEvents{[this]() { Tick(); }, [this]() { RequestStop(); },
                           [this]() { Shutdown(); },
                           [this]() { ReloadSettings(); }});
    operator_watch_->Start();
    membership_->Start();
    return true;
  }

  int exit_code() const { return exit_code_; }

  std::string ReadyLine() const {
    return node_.vm_name + " clients=" + node_.client_address.value() +
           " peers=" + node_.peer_address.value();
  }

 private:
  /// Makes all that listens, within what the VM has.
  void MakeServers() {
    const MachineLimits machine = ComputeMachineLimits(node_, settings_);
    max_job_bytes_ = machine.job_bytes;
    board_.policy.max_job_bytes = max_job_bytes_;
    const http::ServerLimits other_limits = MakeServerLimits(
        machine, machine.other_connections, kMaxOtherBodyBytes);
    connection_memory_ =
        std::make_shared<core::MemoryQuota>(machine.connection_bytes);
    transport_.emplace(io_, core::RandomIncarnation(), MakePeerLimits(machine),
                       MakeTransportEvents(), connection_memory_);
    client_server_.emplace(
        io_, MakeClientServerLimits(machine),
        [this](http::Request request, http::Responder answer) {
          HandleClientRequest(std::move(request), std::move(answer));
        },
        [this](std::uint64_t id) { HandleClientDisconnect(CallId(id)); },
        connection_memory_);
    readiness_server_.emplace(
        io_, other_limits,
        [this](const http::Request&, const http::Responder& answer) {
          HandleReadinessCheck(answer);
        },
        http::GoneHandler(), connection_memory_);
    metrics_page_.emplace(
        io_, other_limits, &registry_, [this]() { UpdateMetrics(); },
        connection_memory_);
  }

  ShedCounts CountShedConnections() const {
    ShedCounts counts;
    AddCounts(client_server_->counters(), &counts);
    AddCounts(readiness_server_->counters(), &counts);
    AddCounts(metrics_page_->counters(), &counts);
    AddCounts(transport_->counters(), &counts);
    return counts;
  }

  wire::TransportEvents MakeTransportEvents() {
    wire::TransportEvents events;
    events.message = [this](const core::NodeId& from,
                            dispatch::Message message) {
      HandleMessage(from, std::move(message));
    };
    events.peer_lost = [this](const core::NodeId& peer) {
      coordinator::OnGateDisconnected(&board_, clock_.Now(), peer);
      ExecuteActions();
    };
    events.peer_gone = [this](const core::NodeId& peer) {
      coordinator::OnGateReplaced(&board_, clock_.Now(), peer);
      ExecuteActions();
    };
    return events;
  }

  void HandleMessage(const core::NodeId& from, dispatch::Message message) {
    const core::Time now = clock_.Now();
    if (auto* report = std::get_if<coordinator::TargetReport>(&message)) {
      coordinator::OnMessage(&board_, now, from, std::move(*report));
    } else if (auto* ended = std::get_if<coordinator::RunEnded>(&message)) {
      coordinator::OnMessage(&board_, now, from, *ended);
    } else if (auto* progress =
                   std::get_if<coordinator::RunProgress>(&message)) {
      coordinator::OnMessage(&board_, now, from, *progress);
    } else if (auto* update =
                   std::get_if<coordinator::OperatorUpdate>(&message)) {
      coordinator::OnMessage(&board_, now, from, std::move(*update));
    } else {
      EntryLog().Warn("Ignored a message of a type that entries do not handle.",
                      {{"message", dispatch::Name(message)},
                       {"from", core::ToString(from)}});
    }
    ExecuteActions();
  }

  void HandleReadinessCheck(const http::Responder& answer) {
    http::Response response;
    const bool ready = coordinator::IsReady(board_, clock_.Now());
    response.status = ready ? http::kStatusOk : http::kStatusUnavailable;
    answer(response);
  }

  void HandleClientRequest(http::Request request, http::Responder answer) {
    const CallId call(request.id);
    const bool is_submission = request.method == "POST";
    open_calls_[call] = {std::move(answer), is_submission};
    RouteRequest(call, request);
    ExecuteActions();
  }

  void RouteRequest(CallId call, const http::Request& request) {
    if (board_.operator_state.version == 0) {
      return RefuseCall(call, Refusal::kNoConfiguration);
    }
    const Queue* queue = coordinator::FindQueue(
        board_.operator_state, platform::HostWithoutPort(request),
        request.path);
    if (queue == nullptr) return RefuseUnknownQueue(call, request);
    const std::string id = request.path.substr(queue->path_prefix.size());
    const core::Time now = clock_.Now();
    if (request.method == "GET" && id.empty()) {
      return coordinator::OnPendingCountQuery(&board_, now, call, *queue);
    }
    if (!platform::IsJobId(id)) return RefuseCall(call, Refusal::kBadJob);
    const coordinator::JobId job(id);
    if (request.method == "GET") {
      return coordinator::OnQuery(&board_, now, call, job);
    }
    if (request.method == "DELETE") {
      return coordinator::OnCancel(&board_, now, call, job);
    }
    if (request.method != "POST") return RefuseCall(call, Refusal::kBadJob);
    SubmitJob(call, Queue(*queue), id, request);
  }

  /// Logs what decides it, as it depends on how new the configuration is.
  void RefuseUnknownQueue(CallId call, const http::Request& request) {
    EntryLog().Info("Refused a request that belongs to no queue.",
                    {{"method", request.method},
                     {"host", platform::HostWithoutPort(request)},
                     {"path", request.path.substr(0, kMaxLoggedPath)},
                     {"version", board_.operator_state.version},
                     {"answer_age", operator_watch_->answer_age()}});
    RefuseCall(call, Refusal::kNoQueue);
  }

  void SubmitJob(CallId call, const Queue& queue, const std::string& id,
                 const http::Request& request) {
    std::string error;
    std::optional<platform::Submission> submission =
        platform::ParseSubmission(id, request.body, &error);
    if (!submission.has_value()) {
      EntryLog().Info("Refused a submission with an invalid body.",
                      {{"id", id}, {"fault", error}});
      return RefuseCall(call, Refusal::kBadJob);
    }
    if (queue.needs_advice) submission->unsupported_feature = "advice";
    if (!submission->unsupported_feature.empty()) {
      EntryLog().Info(
          "Refused a job that asks for what is not offered.",
          {{"id", id}, {"asks_for", submission->unsupported_feature}});
      return RefuseCall(call, Refusal::kUnsupported);
    }
    const core::Time now = clock_.Now();
    const std::optional<core::Duration> wait =
        platform::ParseDeadlineHeader(request);
    std::optional<core::Time> deadline;
    if (wait.has_value()) deadline = now + *wait;
    coordinator::OnSubmit(&board_, now, call, queue,
                          std::move(submission->request), deadline);
  }

  void RefuseCall(CallId call, Refusal refusal) {
    ++board_.counts.refused[refusal];
    ClientAnswer answer;
    answer.refusal = refusal;
    if (refusal == Refusal::kNoConfiguration) {
      answer.retry_after = board_.policy.retry_floor;
    }
    AnswerClient(call, answer);
  }

  void AnswerClient(CallId call, const ClientAnswer& answer) {
    const auto found = open_calls_.find(call);
    if (found == open_calls_.end()) return;
    const OpenCall open = std::move(found->second);
    open_calls_.erase(found);
    open.answer(platform::MakeClientResponse(answer, open.submission));
  }

  void HandleClientDisconnect(CallId call) {
    if (open_calls_.erase(call) == 0) return;
    coordinator::OnCallClosed(&board_, clock_.Now(), call);
    ExecuteActions();
  }

  void ExecuteActions() {
    std::vector<coordinator::JobAction> actions;
    actions.swap(board_.actions);
    for (coordinator::JobAction& action : actions) {
      std::visit([this](auto& each) { Execute(each); }, action);
    }
    for (const coordinator::EndedJob& ended : board_.ended_jobs) {
      registry_.Observe("job_seconds",
                        {{"queue", ended.queue.value()},
                         {"state", coordinator::Name(ended.state)}},
                        ended.duration);
    }
    board_.ended_jobs.clear();
    LogDecisions(EntryLog(), &board_.log_lines);
  }

  template <typename Message>
  void Execute(coordinator::SendTo<Message>& send) {
    transport_->Send(send.to, std::move(send.message));
  }
  void Execute(const coordinator::DisconnectGate& drop) {
    transport_->Drop(drop.node);
  }
  void Execute(const coordinator::AnswerCall& answer) {
    AnswerClient(answer.call, answer.answer);
  }

  void Tick() {
    const core::Time now = clock_.Now();
    coordinator::OnTick(&board_, now);
    ExecuteActions();
    if (now - last_log_flush_ > kLogFlushInterval) {
      last_log_flush_ = now;
      core::FlushLog();
    }
    if (shed_log_.IsDue(now)) {
      shed_log_.Report(EntryLog(), now, CountShedConnections(),
                       *connection_memory_);
    }
    core::SendLog();
    if (board_.stopping && !shutting_down_) AdvanceStop(now);
  }

  void RequestStop() {
    EntryLog().Info("Received a stop signal; stopping.",
                    {{"jobs", board_.jobs.size()},
                     {"clients", client_server_->connections()}});
    coordinator::RequestStop(&board_, clock_.Now());
    ExecuteActions();
  }

  void AdvanceStop(core::Time now) {
    const core::Duration since = now - board_.stop_requested;
    if (!stopped_accepting_ && since > board_.policy.stop_accepting_after) {
      stopped_accepting_ = true;
      client_server_->StopAccepting();
    }
    if (since > kEndJobsAfterStop) {
      coordinator::EndAllJobs(&board_, now, "the entry stops");
      ExecuteActions();
    }
    const bool done =
        stopped_accepting_ && client_server_->open_requests() == 0;
    if (!done && since < kMaxStopDuration) return;
    EntryLog().Info("Stopped.",
                    {{"open_requests", client_server_->open_requests()}});
    Shutdown();
  }

  void Shutdown() {
    shutting_down_ = true;
    transport_->Shutdown([this]() { io_.stop(); });
  }

  void ApplySpreadFactor() {
    board_.policy.spread_permille =
        static_cast<std::uint32_t>(std::lround(node_.spread_factor * 1000));
  }

  void ReloadSettings() {
    std::string reason;
    const std::optional<platform::NodeSettings> node =
        platform::LoadNodeSettings(&reason);
    if (node.has_value()) {
      ReloadNodeSettings(*node, EntryLog(), &node_);
      board_.domain = node_.domain;
      ApplySpreadFactor();
      store_->SetAddress(node_.store_address);
      store_->SetWatchTimes(platform::MakeWatchTimes(node->recovery_grace));
    } else {
      EntryLog().Warn(
          "Cannot load the node file; kept the previous node settings.",
          {{"why", reason}});
    }
    const std::optional<core::Settings> next = load_settings_();
    if (!next.has_value()) {
      EntryLog().Warn("The settings are invalid; kept the previous ones.");
      return;
    }
    settings_ = *next;
    board_.policy = ReadCoordinationPolicy(settings_);
    board_.policy.max_job_bytes = max_job_bytes_;
    ApplySpreadFactor();
    ApplyLogSettings(settings_);
    EntryLog().Info("Reloaded the settings.");
  }

  void UpdateMetrics() {
    const coordinator::JobCounts& counts = board_.counts;
    SetCounterTotal(&registry_, "jobs_accepted_total", {}, counts.accepted);
    SetCounterTotal(&registry_, "clients_attached_total", {}, counts.attached);
    SetCounterTotal(&registry_, "starts_total", {}, counts.starts);
    SetCounterTotal(&registry_, "restarts_total", {}, counts.restarted_tasks);
    SetCounterTotal(&registry_, "stalls_total", {}, counts.stalls);
    SetCounterTotal(&registry_, "wants_total", {}, counts.wants);
    SetCounterTotal(&registry_, "offers_returned_total", {},
                    counts.returned_offers);
    SetCounterTotal(&registry_, "room_shortages_total", {}, counts.shortages);
    SetCounterTotal(&registry_, "priorities_raised_total", {},
                    counts.raised_priorities);
    SetCounterTotal(&registry_, "jobs_accepted_for_free_room_total", {},
                    counts.accepted_for_free_room);
    registry_.Set("room_short", {}, board_.precedence.room_short ? 1.0 : 0.0);
    SetCounterTotal(&registry_, "placed_by_finish_total", {},
                    counts.placed_by_finish);
    SetCounterTotal(&registry_, "placed_late_total", {}, counts.placed_late);
    SetCounterTotal(&registry_, "runs_stalled_total", {}, counts.stalled_runs);
    SetCounterTotal(&registry_, "runs_standing_total", {},
                    counts.standing_runs);
    SetCounterTotal(&registry_, "objectives_extended_total", {},
                    counts.extended_objectives);
    for (const auto& [refusal, count] : counts.refused) {
      SetCounterTotal(&registry_, "jobs_refused_total",
                      {{"reason", coordinator::Name(refusal)}}, count);
    }
    for (const auto& [state, count] : counts.ended) {
      SetCounterTotal(&registry_, "jobs_ended_total",
                      {{"state", coordinator::Name(state)}}, count);
    }
    SetCounterTotal(&registry_, "jobs_refused_for_memory_total", {},
                    counts.refused_for_memory);
    registry_.Set("job_bytes", {}, static_cast<double>(board_.job_bytes));
    registry_.Set("jobs_open", {}, static_cast<double>(board_.jobs.size()));
    registry_.Set("tasks_waiting", {},
                  static_cast<double>(board_.waiting_tasks.size()));
    registry_.Set("gates", {}, static_cast<double>(board_.gates.size()));
    registry_.Set("operator_revision", {},
                  static_cast<double>(board_.operator_state.revision));
    registry_.Set("config_version", {},
                  static_cast<double>(board_.operator_state.version));
    registry_.Set("operator_answer_age_ms", {},
                  static_cast<double>(operator_watch_->answer_age().count()));
    SetCounterTotal(&registry_, "operator_reads_failed_total", {},
                    operator_watch_->failed_reads());
    UpdateShedMetrics(&registry_, CountShedConnections(), *connection_memory_);
  }

  /// A client request that has not been answered yet.
  struct OpenCall {
    http::Responder answer;
    bool submission = false;
  };

  boost::asio::io_context& io_;
  core::Settings settings_;
  std::function<std::optional<core::Settings>()> load_settings_;
  core::SystemClock clock_;
  platform::NodeSettings node_;
  JobBoard board_;
  metrics::Registry registry_;
  std::shared_ptr<core::MemoryQuota> connection_memory_;
  std::size_t max_job_bytes_ = 0;
  std::optional<wire::Transport> transport_;
  std::map<CallId, OpenCall> open_calls_;
  std::optional<http::Server> client_server_;
  std::optional<http::Server> readiness_server_;
  std::optional<MetricsPageServer> metrics_page_;
  ShedLog shed_log_;
  std::optional<platform::StoreClient> store_;
  std::optional<OperatorWatch> operator_watch_;
  std::optional<Membership> membership_;
  std::optional<ProcessRunner> process_runner_;
  core::Time last_log_flush_;
  bool stopped_accepting_ = false;
  bool shutting_down_ = false;
  int exit_code_ = core::kExitOk;
};

CoordinatorDaemon::CoordinatorDaemon(
    boost::asio::io_context& io, core::Settings settings,
    std::function<std::optional<core::Settings>()> reload)
    : impl_(
          std::make_unique<Impl>(io, std::move(settings), std::move(reload))) {}

CoordinatorDaemon::~CoordinatorDaemon() = default;

bool CoordinatorDaemon::Start(std::string* reason) {
  return impl_->Start(reason);
}

int CoordinatorDaemon::exit_code() const { return impl_->exit_code(); }

std::string CoordinatorDaemon::ReadyLine() const { return impl_->ReadyLine(); }

}  // namespace tarragon::daemons
