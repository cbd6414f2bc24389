#include "tarragon/daemons/entry_daemon.h"

#include <random>
#include <utility>

#include "client_api.h"
#include "condition_watch.h"
#include "entry_metrics.h"
#include "message_limits.h"
#include "open_work.h"
#include "operator_api.h"
#include "policy_reload.h"
#include "process_runner.h"
#include "table_gateway.h"
#include "tarragon/core/exit_code.h"
#include "tarragon/core/log.h"
#include "tarragon/daemons/policy_settings.h"
#include "tarragon/dispatch/entry.h"
#include "tarragon/http/server.h"
#include "tarragon/notes/http_table.h"
#include "tarragon/wire/transport.h"

namespace tarragon::daemons {
namespace {

/// Connections of operators and of metrics scrapers.
constexpr std::size_t kMaxOperatorConnections = 64;

const core::Log& EntryLog() {
  static const core::Log log("entry");
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

core::SettingSpec WithRange(core::SettingSpec spec, const char* minimum,
                            const char* maximum) {
  spec.minimum = minimum;
  spec.maximum = maximum;
  return spec;
}

}  // namespace

std::vector<core::SettingSpec> EntrySpecs() {
  using core::SettingType;
  core::SettingSpec token = MakeSpec(
      "operators", "token", SettingType::kText, "", true,
      "Bearer token of operators' requests; env:NAME reads a variable.");
  token.secret = true;
  std::vector<core::SettingSpec> specs = {
      MakeSpec("entry", "listen", SettingType::kAddress, "127.0.0.1:7000",
               false,
               "Address that the other processes of the system connect to."),
      MakeSpec("entry", "advertise", SettingType::kAddress, "", false,
               "Address announced to other processes; default: the one "
               "listened on."),
      MakeSpec("entry", "domain", SettingType::kText, "", true,
               "Failure domain of this process."),
      MakeSpec("clients", "listen", SettingType::kAddress, "127.0.0.1:8080",
               false, "Address of the HTTP interface of clients."),
      WithRange(
          MakeSpec("clients", "max_connections", SettingType::kInteger, "4000",
                   false, "Largest number of client connections."),
          "1", "100000"),
      WithRange(MakeSpec("clients", "max_body", SettingType::kBytes, "1MiB",
                         false, "Largest body of a request."),
                "1KiB", "16MiB"),
      WithRange(MakeSpec("clients", "header_timeout", SettingType::kDuration,
                         "10s", false,
                         "Time limit for reading the header, then the body, of "
                         "a request."),
                "100ms", "10min"),
      WithRange(
          MakeSpec("clients", "idle_timeout", SettingType::kDuration, "60s",
                   false, "How long an unused connection stays open."),
          "100ms", "1h"),
      MakeSpec("operators", "listen", SettingType::kAddress, "127.0.0.1:8081",
               false, "Address of the HTTP interface of operators."),
      token,
      MakeSpec("platform", "table", SettingType::kAddress, "", true,
               "Address of the platform's table."),
      WithRange(MakeSpec("platform", "timeout", SettingType::kDuration, "2s",
                         false, "Longest wait for a reply of the table."),
                "100ms", "1min"),
  };
  const std::vector<core::SettingSpec> policy = PolicySpecs();
  specs.insert(specs.end(), policy.begin(), policy.end());
  return specs;
}

class EntryDaemon::Impl {
 public:
  Impl(boost::asio::io_context& io, core::Settings settings,
       std::function<std::optional<core::Settings>()> reload)
      : io_(io),
        settings_(std::move(settings)),
        reload_(std::move(reload)),
        transport_(io, core::RandomIncarnation(), MakeMessageLimits(),
                   MakeTransportEvents()),
        table_(io, TableSettings()),
        client_api_(&board_, &clock_, [this]() { ExecuteActions(); }),
        operator_api_(
            &board_, &clock_, settings_.Text("operators", "token"),
            [this]() { ExecuteActions(); },
            [this]() {
              return metrics_.RenderPage(board_, transport_.counters());
            }),
        client_server_(io, ClientLimits(),
                       [this](const http::Request& request,
                              const http::Responder& respond) {
                         client_api_.HandleRequest(request, respond);
                       }),
        operator_server_(io, OperatorLimits(),
                         [this](const http::Request& request,
                                const http::Responder& respond) {
                           operator_api_.HandleRequest(request, respond);
                         }) {}

  int exit_code() const { return exit_code_; }

  bool Start(std::string* reason) {
    wire::WireError wire_error;
    std::optional<core::Address> advertise;
    if (settings_.Has("entry", "advertise")) {
      advertise = settings_.Address("entry", "advertise");
    }
    const std::optional<core::NodeId> self = transport_.Listen(
        settings_.Address("entry", "listen"), advertise, &wire_error);
    if (!self.has_value()) {
      *reason = wire_error.detail;
      return false;
    }
    http::HttpError error;
    const std::optional<core::Address> clients =
        client_server_.Listen(settings_.Address("clients", "listen"), &error);
    if (!clients.has_value()) {
      *reason = error.text;
      return false;
    }
    const std::optional<core::Address> operators = operator_server_.Listen(
        settings_.Address("operators", "listen"), &error);
    if (!operators.has_value()) {
      *reason = error.text;
      return false;
    }
    clients_address_ = *clients;
    operators_address_ = *operators;
    board_.policy = ReadPolicy(settings_);
    dispatch::InitEntry(&board_, clock_.Now(), *self,
                        core::DomainId(settings_.Text("entry", "domain")),
                        std::random_device()());
    ProcessEvents events;
    events.tick = [this]() { Tick(); };
    events.stop = [this]() { BeginStop(); };
    events.abort = [this]() { AbortOpenWork(); };
    events.reload = [this]() {
      ReloadPolicy(settings_, reload_(), EntryLog(), &board_.policy);
    };
    process_runner_ = std::make_unique<ProcessRunner>(io_, std::move(events));
    EntryLog().Info("Started.", {{"node", core::ToString(*self)},
                                 {"domain", board_.domain}});
    return true;
  }

  std::string ReadyLine() const {
    return "ready node=" + core::ToString(transport_.self()) +
           " clients=" + clients_address_.value() +
           " operators=" + operators_address_.value();
  }

 private:
  http::ServerLimits ClientLimits() const {
    http::ServerLimits limits;
    limits.max_connections = static_cast<std::size_t>(
        settings_.Integer("clients", "max_connections"));
    limits.max_body_bytes = settings_.Bytes("clients", "max_body");
    limits.header_timeout = settings_.Duration("clients", "header_timeout");
    limits.body_timeout = limits.header_timeout;
    limits.idle_timeout = settings_.Duration("clients", "idle_timeout");
    return limits;
  }

  static http::ServerLimits OperatorLimits() {
    http::ServerLimits limits;
    limits.max_connections = kMaxOperatorConnections;
    return limits;
  }

  notes::HttpTableSettings TableSettings() const {
    notes::HttpTableSettings table;
    table.address = settings_.Address("platform", "table");
    table.timeout = settings_.Duration("platform", "timeout");
    return table;
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
        EntryLog().Info("Lost the connection to a peer.",
                        {{"peer", core::ToString(peer)}});
      }
      dispatch::OnPeerLost(&board_, clock_.Now(), peer);
      ExecuteActions();
    };
    events.peer_gone = [this](const core::NodeId& peer) {
      lost_peers_.MarkReached(peer);
      EntryLog().Warn("A peer process has ended.",
                      {{"peer", core::ToString(peer)}});
      dispatch::OnPeerGone(&board_, clock_.Now(), peer);
      ExecuteActions();
    };
    return events;
  }

  void Tick() {
    dispatch::OnTick(&board_, clock_.Now());
    ExecuteActions();
    for (const ConditionChange& change :
         condition_watch_.FindChanges(board_, clock_.Now()))
      LogChange(change);
    if (shutting_down_ || !dispatch::IsStopFinished(board_, clock_.Now()))
      return;
    const bool limit_reached =
        clock_.Now() - board_.stop_requested_at >= board_.policy.drain_limit;
    const bool work_left =
        !ListOpenWork(board_).empty() || client_server_.open_requests() > 0;
    if (work_left && !limit_reached) return;
    if (work_left) {
      AbortOpenWork();
      return;
    }
    EntryLog().Info("Stopped.");
    ShutDown();
  }

  void LogChange(const ConditionChange& change) {
    const core::Field domain{"domain", board_.domain};
    if (change.is_warning) {
      EntryLog().Warn(change.log_text, {domain});
    } else {
      EntryLog().Info(change.log_text, {domain});
    }
  }

  void BeginStop() {
    EntryLog().Info("Stopping.", {{"requests", board_.requests.size()}});
    client_server_.StopAccepting();
    dispatch::RequestStop(&board_, clock_.Now());
    ExecuteActions();
  }

  /// Ends the process although work may be open, and logs the open work.
  void AbortOpenWork() {
    const std::vector<std::string> work = ListOpenWork(board_);
    EntryLog().Error("Aborted open work.",
                     {{"count", work.size()},
                      {"work", JoinWithCommas(work)},
                      {"connections", client_server_.open_requests()}});
    exit_code_ = core::kExitFailure;
    ShutDown();
  }

  void ShutDown() {
    shutting_down_ = true;
    transport_.Shutdown([this]() { io_.stop(); });
  }

  /// Executes the actions that the dispatch logic has put on the board.
  void ExecuteActions() {
    std::vector<dispatch::EntryAction> actions;
    actions.swap(board_.actions);
    for (dispatch::EntryAction& action : actions) {
      if (auto* send = std::get_if<dispatch::SendMessage>(&action)) {
        transport_.Send(send->to, send->message);
      } else if (auto* call = std::get_if<dispatch::TableCall>(&action)) {
        StartTableCall(std::move(*call));
      } else if (auto* client = std::get_if<dispatch::AnswerClient>(&action)) {
        client_api_.SendAnswer(*client);
      } else if (auto* note = std::get_if<dispatch::AnswerNote>(&action)) {
        operator_api_.SendAnswer(*note);
      } else if (auto* lines = std::get_if<dispatch::AnswerExplain>(&action)) {
        operator_api_.SendAnswer(*lines);
      }
    }
  }

  void StartTableCall(dispatch::TableCall call) {
    CallTable(&table_, std::move(call), [this](dispatch::TableReply reply) {
      const std::optional<ConditionChange> change =
          condition_watch_.OnTableReply(reply.status);
      if (change.has_value()) LogChange(*change);
      dispatch::OnTableReply(&board_, clock_.Now(), std::move(reply));
      ExecuteActions();
    });
  }

  boost::asio::io_context& io_;
  core::Settings settings_;
  std::function<std::optional<core::Settings>()> reload_;
  core::SystemClock clock_;
  dispatch::EntryBoard board_;
  EntryMetrics metrics_;
  wire::Transport transport_;
  notes::HttpTable table_;
  ClientApi client_api_;
  OperatorApi operator_api_;
  http::Server client_server_;
  http::Server operator_server_;
  std::unique_ptr<ProcessRunner> process_runner_;
  core::Address clients_address_;
  core::Address operators_address_;
  EntryConditionWatch condition_watch_;
  LostPeerTracker lost_peers_;
  bool shutting_down_ = false;
  int exit_code_ = core::kExitOk;
};

EntryDaemon::EntryDaemon(boost::asio::io_context& io, core::Settings settings,
                         std::function<std::optional<core::Settings>()> reload)
    : impl_(
          std::make_unique<Impl>(io, std::move(settings), std::move(reload))) {}

EntryDaemon::~EntryDaemon() = default;

bool EntryDaemon::Start(std::string* reason) { return impl_->Start(reason); }

int EntryDaemon::exit_code() const { return impl_->exit_code(); }

std::string EntryDaemon::ReadyLine() const { return impl_->ReadyLine(); }

}  // namespace tarragon::daemons
