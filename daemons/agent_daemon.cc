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

/// Connections to the pages of one agent.
constexpr std::size_t kMaxPageConnections = 64;

const core::Log& AgentLog() {
  static const core::Log log("agent");
  return log;
}

core::SettingSpec Spec(const char* section, const char* key,
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

http::Response TextResponse(int status, const std::string& text) {
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
      Spec("agent", "listen", SettingType::kAddress, "127.0.0.1:7100", false,
           "Where the other processes of the system reach this one."),
      Spec("agent", "advertise", SettingType::kAddress, "", false,
           "The address told to the others; default: the one listened on."),
      Spec("agent", "entries", SettingType::kAddressList, "", true,
           "Entries to which the first heartbeats go."),
      Spec("agent", "domain", SettingType::kText, "", true,
           "Failure domain of this process and its target."),
      Spec("agent", "target_listen", SettingType::kAddress, "127.0.0.1:7101",
           false, "Where the target announces itself."),
      Spec("agent", "pages_listen", SettingType::kAddress, "127.0.0.1:7102",
           false, "Where /metrics, /healthz and /readyz are."),
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
        transport_(io, core::RandomIncarnation(), MessageLimits(), Events()),
        target_server_(io, PageLimits(), TargetHandler()),
        pages_server_(io, PageLimits(), PagesHandler()),
        runner_(io, TargetEnded()) {}

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
    const std::optional<core::Address> pages = pages_server_.Listen(
        settings_.Address("agent", "pages_listen"), &error);
    if (!target.has_value() || !pages.has_value()) {
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
    events.stop = [this]() { Stop(); };
    events.abort = [this]() { Abort(); };
    events.reload = [this]() {
      ReloadPolicy(settings_, reload_(), AgentLog(), &board_.policy);
    };
    process_ = std::make_unique<ProcessRunner>(io_, std::move(events));
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

  wire::TransportEvents Events() {
    wire::TransportEvents events;
    events.message = [this](const core::NodeId& from,
                            dispatch::Message message) {
      lost_peers_.Reached(from);
      dispatch::OnMessage(&board_, clock_.Now(), from, std::move(message));
      Flush();
    };
    events.peer_lost = [this](const core::NodeId& peer) {
      if (lost_peers_.Lost(peer)) {
        AgentLog().Info("Lost a connection.", {{"peer", core::ToString(peer)}});
      }
      dispatch::OnPeerLost(&board_, clock_.Now(), peer);
      Flush();
    };
    events.peer_gone = [this](const core::NodeId& peer) {
      lost_peers_.Reached(peer);
      AgentLog().Warn("A process is gone.", {{"peer", core::ToString(peer)}});
      dispatch::OnPeerGone(&board_, clock_.Now(), peer);
      Flush();
    };
    return events;
  }

  http::Handler TargetHandler() {
    return
        [this](const http::Request& request, const http::Responder& respond) {
          if (request.method != "POST" || request.path != "/v1/announce") {
            respond(ErrorResponse(http::kStatusNotFound, "not_found",
                                  "No such path."));
            return;
          }
          RequestError error;
          const std::optional<dispatch::Target> target =
              ParseAnnouncement(request.body, &error);
          if (!target.has_value()) {
            respond(ErrorResponse(http::kStatusBadRequest, "bad_request",
                                  error.detail));
            return;
          }
          Announce(*target);
          respond(http::Response{});
        };
  }

  void Announce(dispatch::Target target) {
    // What this process runs there is counted here; the rest is foreign.
    target.foreign_running = target.foreign_running > board_.running_tasks
                                 ? target.foreign_running - board_.running_tasks
                                 : 0;
    if (!board_.target.present) {
      AgentLog().Info("A target announced itself.",
                      {{"address", target.address}, {"slots", target.slots}});
    }
    dispatch::OnTargetAnnounce(&board_, clock_.Now(), target);
    Flush();
  }

  http::Handler PagesHandler() {
    return
        [this](const http::Request& request, const http::Responder& respond) {
          if (request.path == "/metrics") {
            respond(TextResponse(
                http::kStatusOk,
                metrics_.Page(board_, transport_.counters(), clock_.Now())));
          } else if (request.path == "/healthz") {
            respond(TextResponse(http::kStatusOk, "ok\n"));
          } else if (request.path == "/readyz") {
            const std::optional<std::string> reason =
                NotReady(board_, clock_.Now());
            respond(reason.has_value()
                        ? TextResponse(http::kStatusUnavailable, *reason + "\n")
                        : TextResponse(http::kStatusOk, "ok\n"));
          } else {
            respond(ErrorResponse(http::kStatusNotFound, "not_found",
                                  "No such path."));
          }
        };
  }

  TargetRunner::Ended TargetEnded() {
    return [this](const dispatch::TaskRef& ref, dispatch::TaskEnd end,
                  std::string result) {
      dispatch::OnTaskEnd(&board_, clock_.Now(), ref, end, std::move(result));
      Flush();
    };
  }

  void Tick() {
    dispatch::OnTick(&board_, clock_.Now());
    Flush();
    for (const Notice& notice : watch_.Look(board_, clock_.Now())) Tell(notice);
    if (ending_ || !dispatch::IsStopFinished(board_, clock_.Now())) return;
    // Work is left only when the limit of the stop has been reached.
    if (!OpenWork(board_).empty()) {
      Abort();
      return;
    }
    AgentLog().Info("Stopped.", {{"heir", HeirName()}});
    End();
  }

  /// The agent that answers for this one's keys from now on.
  std::string HeirName() const {
    const auto own = board_.outgoing_handovers.find(board_.self);
    const bool taken = own != board_.outgoing_handovers.end() &&
                       own->second.finished && own->second.heir.has_value();
    return taken ? core::ToString(*own->second.heir) : "none";
  }

  void Tell(const Notice& notice) {
    const core::Field domain{"domain", board_.domain};
    if (notice.warn) {
      AgentLog().Warn(notice.sentence, {domain});
    } else {
      AgentLog().Info(notice.sentence, {domain});
    }
  }

  void Stop() {
    AgentLog().Info("Stopping.", {{"jobs", board_.active_jobs.size()},
                                  {"running", board_.running_tasks}});
    dispatch::RequestStop(&board_, clock_.Now());
    Flush();
  }

  /// Ends although work may be left, and says which.
  void Abort() {
    const std::vector<std::string> work = OpenWork(board_);
    AgentLog().Error("Ended with work cut.",
                     {{"count", work.size()}, {"work", Listed(work)}});
    exit_code_ = core::kExitFailure;
    End();
  }

  void End() {
    ending_ = true;
    transport_.Shutdown([this]() { io_.stop(); });
  }

  /// Carries out what the decisions ask for.
  void Flush() {
    std::vector<dispatch::AgentAction> actions;
    actions.swap(board_.actions);
    for (dispatch::AgentAction& action : actions) {
      if (auto* send = std::get_if<dispatch::SendMessage>(&action)) {
        transport_.Send(send->to, send->message);
      } else if (auto* run = std::get_if<dispatch::RunTask>(&action)) {
        runner_.Run(board_.target.address, *run, MaxRun(run->service));
      } else if (auto* stop = std::get_if<dispatch::StopTask>(&action)) {
        runner_.Stop(board_.target.address, stop->ref);
      }
    }
    metrics_.Take(&board_);
  }

  core::Duration MaxRun(const core::ServiceId& service) const {
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
  TargetRunner runner_;
  std::unique_ptr<ProcessRunner> process_;
  core::Address target_address_;
  core::Address pages_address_;
  AgentWatch watch_;
  LostPeers lost_peers_;
  bool ending_ = false;
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
