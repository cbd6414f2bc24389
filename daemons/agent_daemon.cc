#include "tarragon/daemons/agent_daemon.h"

#include <random>
#include <utility>

#include "agent_metrics.h"
#include "announcement.h"
#include "condition_watch.h"
#include "job_json.h"
#include "message_limits.h"
#include "open_work.h"
#include "policy_reload.h"
#include "process_runner.h"
#include "target_runner.h"
#include "tarragon/core/exit_code.h"
#include "tarragon/core/log.h"
#include "tarragon/daemons/policy_settings.h"
#include "tarragon/dispatch/agent.h"
#include "tarragon/http/server.h"
#include "tarragon/http/status.h"
#include "tarragon/wire/transport.h"

namespace tarragon::daemons {
namespace {

/// Limit of open connections for each HTTP server of an agent.
constexpr std::size_t kMaxPageConnections = 64;

const core::Log& AgentLog() {
  static const core::Log log("agent");
  return log;
}

core::SettingSpec MakeSpec(const char* section, const char* key,
                           core::SettingType type, const char* default_value,
                           bool required, const char* help) {
  core::SettingSpec spec;
  spec.section = section;
  spec.key = key;
  spec.type = type;
  spec.default_value = default_value;
  spec.required = required;
  spec.help = help;
  return spec;
}

http::Response MakeTextResponse(int status, const std::string& text) {
  http::Response response;
  response.status = status;
  response.content_type = "text/plain; version=0.0.4";
  response.body = text;
  return response;
}

}  // namespace

std::vector<core::SettingSpec> AgentSpecs() {
  using core::SettingType;
  std::vector<core::SettingSpec> specs = {
      MakeSpec("agent", "listen", SettingType::kAddress, "127.0.0.1:7100",
               false,
               "Address that the other processes of the system connect to."),
      MakeSpec("agent", "advertise", SettingType::kAddress, "", false,
               "Address announced to other processes; default: the one "
               "listened on."),
      MakeSpec("agent", "entries", SettingType::kAddressList, "", true,
               "Entries that get the first heartbeats."),
      MakeSpec("agent", "domain", SettingType::kText, "", true,
               "Failure domain of this process and its target."),
      MakeSpec("agent", "target_listen", SettingType::kAddress,
               "127.0.0.1:7101", false,
               "Address for the target's announcements."),
      MakeSpec("agent", "pages_listen", SettingType::kAddress, "127.0.0.1:7102",
               false, "Address of the pages /metrics, /healthz and /readyz."),
  };
  const std::vector<core::SettingSpec> policy = PolicySpecs();
  specs.insert(specs.end(), policy.begin(), policy.end());
  return specs;
}

class AgentDaemon::Impl {
 public:
  Impl(boost::asio::io_context& io, core::Settings settings,
       std::function<std::optional<core::Settings>()> reload)
      : io_(io),
        settings_(std::move(settings)),
        reload_(std::move(reload)),
        transport_(io, core::RandomIncarnation(), MakeMessageLimits(),
                   MakeTransportEvents()),
        target_server_(io, PageLimits(), MakeTargetHandler()),
        pages_server_(io, PageLimits(), MakePagesHandler()),
        target_runner_(io, MakeTaskEndCallback()) {}

  int exit_code() const { return exit_code_; }

  bool Start(std::string* reason) {
    wire::WireError wire_error;
    std::optional<core::Address> advertise;
    if (settings_.Has("agent", "advertise")) {
      advertise = settings_.Address("agent", "advertise");
    }
    const std::optional<core::NodeId> self = transport_.Listen(
        settings_.Address("agent", "listen"), advertise, &wire_error);
    if (!self.has_value()) {
      *reason = wire_error.detail;
      return false;
    }
    http::HttpError error;
    const std::optional<core::Address> target = target_server_.Listen(
        settings_.Address("agent", "target_listen"), &error);
    if (!target.has_value()) {
      *reason = error.text;
      return false;
    }
    const std::optional<core::Address> pages = pages_server_.Listen(
        settings_.Address("agent", "pages_listen"), &error);
    if (!pages.has_value()) {
      *reason = error.text;
      return false;
    }
    target_address_ = *target;
    pages_address_ = *pages;
    board_.policy = ReadPolicy(settings_);
    dispatch::InitAgent(&board_, clock_.Now(), *self,
                        core::DomainId(settings_.Text("agent", "domain")),
                        settings_.Addresses("agent", "entries"),
                        std::random_device()());
    ProcessEvents events;
    events.tick = [this]() { Tick(); };
    events.stop = [this]() { BeginStop(); };
    events.abort = [this]() { AbortOpenWork(); };
    events.reload = [this]() {
      ReloadPolicy(settings_, reload_(), AgentLog(), &board_.policy);
    };
    process_runner_ = std::make_unique<ProcessRunner>(io_, std::move(events));
    AgentLog().Info("Started.", {{"node", core::ToString(*self)},
                                 {"domain", board_.domain}});
    return true;
  }

  std::string ReadyLine() const {
    return "ready node=" + core::ToString(transport_.self()) +
           " target=" + target_address_.value() +
           " pages=" + pages_address_.value();
  }

 private:
  static http::ServerLimits PageLimits() {
    http::ServerLimits limits;
    limits.max_connections = kMaxPageConnections;
    return limits;
  }

  wire::TransportEvents MakeTransportEvents() {
    wire::TransportEvents events;
    events.message = [this](const core::NodeId& from,
                            dispatch::Message message) {
      lost_peers_.MarkReached(from);
      dispatch::OnMessage(&board_, clock_.Now(), from, std::move(message));
      ExecuteActions();
    };
    events.peer_lost = [this](const core::NodeId& peer) {
      if (lost_peers_.MarkLost(peer)) {
        AgentLog().Info("Lost the connection to a peer.",
                        {{"peer", core::ToString(peer)}});
      }
      dispatch::OnPeerLost(&board_, clock_.Now(), peer);
      ExecuteActions();
    };
    events.peer_gone = [this](const core::NodeId& peer) {
      lost_peers_.MarkReached(peer);
      AgentLog().Warn("A peer process has ended.",
                      {{"peer", core::ToString(peer)}});
      dispatch::OnPeerGone(&board_, clock_.Now(), peer);
      ExecuteActions();
    };
    return events;
  }

  http::Handler MakeTargetHandler() {
    return
        [this](const http::Request& request, const http::Responder& respond) {
          if (request.method != "POST" || request.path != "/v1/announce") {
            respond(MakeErrorResponse(http::kStatusNotFound, "not_found",
                                      "The path does not exist."));
            return;
          }
          RequestError error;
          const std::optional<dispatch::Target> target =
              ParseAnnouncement(request.body, &error);
          if (!target.has_value()) {
            respond(MakeErrorResponse(http::kStatusBadRequest, "bad_request",
                                      error.detail));
            return;
          }
          HandleAnnouncement(*target);
          respond(http::Response{});
        };
  }

  void HandleAnnouncement(dispatch::Target target) {
    // The target reports all tasks that it runs. Those that this process
    // started are in board_.running; only the others are foreign.
    target.foreign_running = target.foreign_running > board_.running_tasks
                                 ? target.foreign_running - board_.running_tasks
                                 : 0;
    if (!board_.target.present) {
      AgentLog().Info("A target announced itself.",
                      {{"address", target.address}, {"slots", target.slots}});
    }
    dispatch::OnTargetAnnounce(&board_, clock_.Now(), target);
    ExecuteActions();
  }

  http::Handler MakePagesHandler() {
    return [this](const http::Request& request,
                  const http::Responder& respond) {
      if (request.path == "/metrics") {
        respond(MakeTextResponse(
            http::kStatusOk,
            metrics_.RenderPage(board_, transport_.counters(), clock_.Now())));
      } else if (request.path == "/healthz") {
        respond(MakeTextResponse(http::kStatusOk, "ok\n"));
      } else if (request.path == "/readyz") {
        const std::optional<std::string> reason =
            FindNotReadyReason(board_, clock_.Now());
        respond(reason.has_value()
                    ? MakeTextResponse(http::kStatusUnavailable, *reason + "\n")
                    : MakeTextResponse(http::kStatusOk, "ok\n"));
      } else {
        respond(MakeErrorResponse(http::kStatusNotFound, "not_found",
                                  "The path does not exist."));
      }
    };
  }

  TargetRunner::EndCallback MakeTaskEndCallback() {
    return [this](const dispatch::TaskRef& ref, dispatch::TaskEnd end,
                  std::string result) {
      dispatch::OnTaskEnd(&board_, clock_.Now(), ref, end, std::move(result));
      ExecuteActions();
    };
  }

  void Tick() {
    dispatch::OnTick(&board_, clock_.Now());
    ExecuteActions();
    for (const ConditionChange& change :
         condition_watch_.FindChanges(board_, clock_.Now()))
      LogChange(change);
    if (shutting_down_ || !dispatch::IsStopFinished(board_, clock_.Now()))
      return;
    // Work can be open here only if drain_limit has been reached.
    if (!ListOpenWork(board_).empty()) {
      AbortOpenWork();
      return;
    }
    AgentLog().Info("Stopped.", {{"heir", HeirName()}});
    ShutDown();
  }

  /// The agent that has taken over this agent's keys, or "none".
  std::string HeirName() const {
    const auto handover = board_.outgoing_handovers.find(board_.self);
    const bool accepted = handover != board_.outgoing_handovers.end() &&
                          handover->second.finished &&
                          handover->second.heir.has_value();
    return accepted ? core::ToString(*handover->second.heir) : "none";
  }

  void LogChange(const ConditionChange& change) {
    const core::Field domain{"domain", board_.domain};
    if (change.is_warning) {
      AgentLog().Warn(change.log_text, {domain});
    } else {
      AgentLog().Info(change.log_text, {domain});
    }
  }

  void BeginStop() {
    AgentLog().Info("Stopping.", {{"jobs", board_.active_jobs.size()},
                                  {"running", board_.running_tasks}});
    dispatch::RequestStop(&board_, clock_.Now());
    ExecuteActions();
  }

  /// Ends the process although work may be open, and logs the open work.
  void AbortOpenWork() {
    const std::vector<std::string> work = ListOpenWork(board_);
    AgentLog().Error("Aborted open work.",
                     {{"count", work.size()}, {"work", JoinWithCommas(work)}});
    exit_code_ = core::kExitFailure;
    ShutDown();
  }

  void ShutDown() {
    shutting_down_ = true;
    transport_.Shutdown([this]() { io_.stop(); });
  }

  /// Executes the actions that the dispatch logic has put on the board.
  void ExecuteActions() {
    std::vector<dispatch::AgentAction> actions;
    actions.swap(board_.actions);
    for (dispatch::AgentAction& action : actions) {
      if (auto* send = std::get_if<dispatch::SendMessage>(&action)) {
        transport_.Send(send->to, send->message);
      } else if (auto* run = std::get_if<dispatch::RunTask>(&action)) {
        target_runner_.StartTask(board_.target.address, *run,
                                 MaxRunTime(run->service));
      } else if (auto* stop = std::get_if<dispatch::StopTask>(&action)) {
        target_runner_.StopTask(board_.target.address, stop->ref);
      }
    }
    metrics_.RecordSamples(&board_);
  }

  core::Duration MaxRunTime(const core::ServiceId& service) const {
    const auto found = board_.world.services.find(service);
    return found == board_.world.services.end() ? dispatch::Service{}.max_run
                                                : found->second.max_run;
  }

  boost::asio::io_context& io_;
  core::Settings settings_;
  std::function<std::optional<core::Settings>()> reload_;
  core::SystemClock clock_;
  dispatch::AgentBoard board_;
  AgentMetrics metrics_;
  wire::Transport transport_;
  http::Server target_server_;
  http::Server pages_server_;
  TargetRunner target_runner_;
  std::unique_ptr<ProcessRunner> process_runner_;
  core::Address target_address_;
  core::Address pages_address_;
  AgentConditionWatch condition_watch_;
  LostPeerTracker lost_peers_;
  bool shutting_down_ = false;
  int exit_code_ = core::kExitOk;
};

AgentDaemon::AgentDaemon(boost::asio::io_context& io, core::Settings settings,
                         std::function<std::optional<core::Settings>()> reload)
    : impl_(
          std::make_unique<Impl>(io, std::move(settings), std::move(reload))) {}

AgentDaemon::~AgentDaemon() = default;

bool AgentDaemon::Start(std::string* reason) { return impl_->Start(reason); }

int AgentDaemon::exit_code() const { return impl_->exit_code(); }

std::string AgentDaemon::ReadyLine() const { return impl_->ReadyLine(); }

}  // namespace tarragon::daemons
