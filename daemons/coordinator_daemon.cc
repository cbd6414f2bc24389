#include "coordinator_daemon.h"

#include <map>
#include <utility>
#include <variant>

#include "membership.h"
#include "operator_watch.h"
#include "process_runner.h"
#include "remark_log.h"
#include "site_limits.h"
#include "site_pages.h"
#include "site_settings.h"
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

/// Clients of one entry; each connection takes a few kilobytes.
constexpr std::size_t kMaxClients = 3000;
/// Longest body: a payload of 4,000 bytes and some hundred steps.
constexpr std::size_t kMaxBody = std::size_t{256} * 1024;
/// A connection whose peer is gone without a word is closed after this.
constexpr core::Duration kClientIdle = std::chrono::seconds(30);
/// The platform kills a process 6 s after it asks it to stop. What is left
/// before that is answered in time.
constexpr core::Duration kLastAnswers = std::chrono::milliseconds(4800);

const core::Log& EntryLog() {
  static const core::Log log("entry");
  return log;
}

http::ServerLimits ClientLimits() {
  http::ServerLimits limits;
  limits.max_connections = kMaxClients;
  limits.max_body_bytes = kMaxBody;
  limits.idle_timeout = kClientIdle;
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
        reload_(std::move(reload)),
        transport_(io, core::RandomIncarnation(), PeerLimits(), Events()),
        clients_(
            io, ClientLimits(),
            [this](http::Request request, http::Responder answer) {
              HandleClient(std::move(request), std::move(answer));
            },
            [this](std::uint64_t id) { ClientGone(CallId(id)); }),
        checks_(io, http::ServerLimits{},
                [this](const http::Request&, const http::Responder& answer) {
                  HandleCheck(answer);
                }),
        pages_(io, &registry_, [this]() { RefreshMetrics(); }) {
    board_.policy = SitePolicy(settings_);
  }

  bool Start(std::string* reason) {
    const std::optional<platform::NodeSettings> node =
        platform::LoadNodeSettings(reason);
    if (!node.has_value()) return false;
    node_ = *node;
    board_.domain = node_.domain;
    board_.random ^= core::RandomIncarnation().value();
    wire::WireError wire_error;
    if (!transport_.Listen(PeerBind(settings_, node_.peers), node_.peers,
                           &wire_error)) {
      *reason = wire_error.detail;
      return false;
    }
    http::HttpError http_error;
    if (!clients_.Listen(node_.clients, &http_error) ||
        !checks_.Listen(node_.readiness, &http_error)) {
      *reason = http_error.text;
      return false;
    }
    pages_.Listen(node_.peers, MetricsPort(settings_));
    store_.emplace(io_, node_.store);
    watch_.emplace(
        io_, &*store_, [this](const coordinator::OperatorState& state) {
          coordinator::OnOperatorState(&board_, clock_.Now(), state, "store");
          Flush();
        });
    membership_.emplace(io_, &*store_, MemberKind::kEntry, node_.peers,
                        [this](MemberKind kind, const core::Address& address) {
                          if (kind != MemberKind::kGate) return;
                          coordinator::OnGateFound(&board_, clock_.Now(),
                                                   address);
                          Flush();
                        });
    process_.emplace(
        io_, ProcessEvents{[this]() { Tick(); }, [this]() { Stop(); },
                           [this]() { End(); }, [this]() { Reload(); }});
    watch_->Start();
    membership_->Start();
    return true;
  }

  int exit_code() const { return exit_code_; }

  std::string ReadyLine() const {
    return node_.vm + " clients=" + node_.clients.value() +
           " peers=" + node_.peers.value();
  }

 private:
  wire::TransportEvents Events() {
    wire::TransportEvents events;
    events.message = [this](const core::NodeId& from,
                            dispatch::Message message) {
      HandleMessage(from, std::move(message));
    };
    events.peer_lost = [this](const core::NodeId& peer) {
      coordinator::OnGateDisconnected(&board_, clock_.Now(), peer);
      Flush();
    };
    events.peer_gone = [this](const core::NodeId& peer) {
      coordinator::OnGateReplaced(&board_, clock_.Now(), peer);
      Flush();
    };
    return events;
  }

  void HandleMessage(const core::NodeId& from, dispatch::Message message) {
    const core::Time now = clock_.Now();
    if (auto* report = std::get_if<coordinator::TargetReport>(&message)) {
      coordinator::OnMessage(&board_, now, from, std::move(*report));
    } else if (auto* ended = std::get_if<coordinator::RunEnded>(&message)) {
      coordinator::OnMessage(&board_, now, from, *ended);
    } else if (auto* update =
                   std::get_if<coordinator::OperatorUpdate>(&message)) {
      coordinator::OnMessage(&board_, now, from, std::move(*update));
    } else {
      EntryLog().Warn("Ignored a message that is not for entries.",
                      {{"message", dispatch::Name(message)},
                       {"from", core::ToString(from)}});
    }
    Flush();
  }

  void HandleCheck(const http::Responder& answer) {
    http::Response response;
    const bool ready = coordinator::IsReady(board_, clock_.Now());
    response.status = ready ? http::kStatusOk : http::kStatusUnavailable;
    answer(response);
  }

  void HandleClient(http::Request request, http::Responder answer) {
    const CallId call(request.id);
    const bool submission = request.method == "POST";
    calls_[call] = {std::move(answer), submission};
    Route(call, request);
    Flush();
  }

  void Route(CallId call, const http::Request& request) {
    if (board_.operator_state.version == 0) {
      return Refuse(call, Refusal::kNoConfiguration);
    }
    const Queue* queue = coordinator::FindQueue(
        board_.operator_state, platform::HostOf(request), request.path);
    if (queue == nullptr) return Refuse(call, Refusal::kNoQueue);
    const std::string id = request.path.substr(queue->path_prefix.size());
    const core::Time now = clock_.Now();
    if (request.method == "GET" && id.empty()) {
      return coordinator::OnPendingCountQuery(&board_, now, call, *queue);
    }
    if (!platform::IsJobId(id)) return Refuse(call, Refusal::kBadJob);
    const coordinator::JobId job(id);
    if (request.method == "GET") {
      return coordinator::OnQuery(&board_, now, call, job);
    }
    if (request.method == "DELETE") {
      return coordinator::OnCancel(&board_, now, call, job);
    }
    if (request.method != "POST") return Refuse(call, Refusal::kBadJob);
    Submit(call, Queue(*queue), id, request);
  }

  void Submit(CallId call, const Queue& queue, const std::string& id,
              const http::Request& request) {
    std::string fault;
    std::optional<platform::Submission> submission =
        platform::ReadSubmission(id, request.body, &fault);
    if (!submission.has_value()) {
      EntryLog().Info("Refused a body that is no job.",
                      {{"id", id}, {"fault", fault}});
      return Refuse(call, Refusal::kBadJob);
    }
    if (queue.needs_advice) submission->unsupported = "advice";
    if (!submission->unsupported.empty()) {
      EntryLog().Info("Refused a job that asks for what is not offered.",
                      {{"id", id}, {"asks_for", submission->unsupported}});
      return Refuse(call, Refusal::kUnsupported);
    }
    const core::Time now = clock_.Now();
    const std::optional<core::Duration> wait = platform::ReadDeadline(request);
    std::optional<core::Time> deadline;
    if (wait.has_value()) deadline = now + *wait;
    coordinator::OnSubmit(&board_, now, call, queue,
                          std::move(submission->request), deadline);
  }

  void Refuse(CallId call, Refusal refusal) {
    ++board_.counts.refused[refusal];
    ClientAnswer answer;
    answer.refusal = refusal;
    if (refusal == Refusal::kNoConfiguration) {
      answer.retry_after = board_.policy.retry_floor;
    }
    AnswerClient(call, answer);
  }

  void AnswerClient(CallId call, const ClientAnswer& answer) {
    const auto found = calls_.find(call);
    if (found == calls_.end()) return;
    const Call open = std::move(found->second);
    calls_.erase(found);
    open.answer(platform::ToResponse(answer, open.submission));
  }

  void ClientGone(CallId call) {
    if (calls_.erase(call) == 0) return;
    coordinator::OnCallClosed(&board_, clock_.Now(), call);
    Flush();
  }

  void Flush() {
    std::vector<coordinator::JobAction> actions;
    actions.swap(board_.actions);
    for (coordinator::JobAction& action : actions) {
      std::visit([this](auto& each) { Carry(each); }, action);
    }
    for (const coordinator::EndedJob& ended : board_.ended_jobs) {
      registry_.Observe("job_seconds",
                        {{"queue", ended.queue.value()},
                         {"state", coordinator::Name(ended.state)}},
                        ended.duration);
    }
    board_.ended_jobs.clear();
    WriteRemarks(EntryLog(), &board_.log_lines);
  }

  template <typename Message>
  void Carry(coordinator::SendTo<Message>& send) {
    transport_.Send(send.to, std::move(send.message));
  }
  void Carry(const coordinator::DisconnectGate& drop) {
    transport_.Drop(drop.node);
  }
  void Carry(const coordinator::AnswerCall& answer) {
    AnswerClient(answer.call, answer.answer);
  }

  void Tick() {
    const core::Time now = clock_.Now();
    coordinator::OnTick(&board_, now);
    Flush();
    if (now - log_flushed_ > kLogFlush) {
      log_flushed_ = now;
      core::FlushLog();
    }
    core::SendLog();
    if (board_.stopping && !ending_) CheckStop(now);
  }

  void Stop() {
    EntryLog().Info("Stopping.", {{"jobs", board_.jobs.size()},
                                  {"clients", clients_.connections()}});
    coordinator::RequestStop(&board_, clock_.Now());
    Flush();
  }

  void CheckStop(core::Time now) {
    const core::Duration since = now - board_.stop_requested;
    if (!accepting_stopped_ && since > board_.policy.stop_accepting_after) {
      accepting_stopped_ = true;
      clients_.StopAccepting();
    }
    if (since > kLastAnswers) {
      coordinator::EndAllJobs(&board_, now, "the entry stops");
      Flush();
    }
    const bool done = accepting_stopped_ && clients_.open_requests() == 0;
    if (!done && since < kStopLimit) return;
    EntryLog().Info("Stopped.", {{"open_requests", clients_.open_requests()}});
    End();
  }

  void End() {
    ending_ = true;
    transport_.Shutdown([this]() { io_.stop(); });
  }

  void Reload() {
    const std::optional<core::Settings> next = reload_();
    std::string reason;
    const std::optional<platform::NodeSettings> node =
        platform::LoadNodeSettings(&reason);
    if (!node.has_value()) {
      EntryLog().Warn("The node file cannot be read; kept what was.",
                      {{"why", reason}});
    }
    if (!next.has_value()) {
      EntryLog().Warn("The settings are wrong; kept what was.");
      return;
    }
    settings_ = *next;
    board_.policy = SitePolicy(settings_);
    ApplyLogSettings(settings_);
    EntryLog().Info("Reloaded the settings.");
  }

  void RefreshMetrics() {
    const coordinator::JobCounts& counts = board_.counts;
    MirrorCount(&registry_, "jobs_accepted_total", {}, counts.accepted);
    MirrorCount(&registry_, "clients_attached_total", {}, counts.attached);
    MirrorCount(&registry_, "starts_total", {}, counts.starts);
    MirrorCount(&registry_, "restarts_total", {}, counts.restarted_tasks);
    MirrorCount(&registry_, "wants_total", {}, counts.wants);
    MirrorCount(&registry_, "offers_returned_total", {},
                counts.returned_offers);
    for (const auto& [refusal, count] : counts.refused) {
      MirrorCount(&registry_, "jobs_refused_total",
                  {{"reason", coordinator::Name(refusal)}}, count);
    }
    for (const auto& [state, count] : counts.ended) {
      MirrorCount(&registry_, "jobs_ended_total",
                  {{"state", coordinator::Name(state)}}, count);
    }
    registry_.Set("jobs_open", {}, static_cast<double>(board_.jobs.size()));
    registry_.Set("tasks_waiting", {},
                  static_cast<double>(board_.waiting_tasks.size()));
    registry_.Set("gates", {}, static_cast<double>(board_.gates.size()));
    registry_.Set("operator_revision", {},
                  static_cast<double>(board_.operator_state.revision));
  }

  /// A client that waits.
  struct Call {
    http::Responder answer;
    bool submission = false;
  };

  boost::asio::io_context& io_;
  core::Settings settings_;
  std::function<std::optional<core::Settings>()> reload_;
  core::SystemClock clock_;
  platform::NodeSettings node_;
  JobBoard board_;
  metrics::Registry registry_;
  wire::Transport transport_;
  std::map<CallId, Call> calls_;
  http::Server clients_;
  http::Server checks_;
  SitePages pages_;
  std::optional<platform::StoreClient> store_;
  std::optional<OperatorWatch> watch_;
  std::optional<Membership> membership_;
  std::optional<ProcessRunner> process_;
  core::Time log_flushed_;
  bool accepting_stopped_ = false;
  bool ending_ = false;
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
