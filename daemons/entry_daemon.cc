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

/// Connections of operators and of what reads the metrics.
constexpr std::size_t kMaxOperatorConnections = 64;

const core::Log& EntryLog() {
  static const core::Log log("entry");
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

core::SettingSpec Ranged(core::SettingSpec spec, const char* minimum,
                         const char* maximum) {
  spec.minimum = minimum;
  spec.maximum = maximum;
  return spec;
}

}  // namespace

std::vector<core::SettingSpec> EntrySpecs() {
  using core::SettingType;
  core::SettingSpec token =
      Spec("operators", "token", SettingType::kText, "", true,
           "Token that operators' calls carry; env:NAME reads a variable.");
  token.secret = true;
  std::vector<core::SettingSpec> specs = {
      Spec("entry", "listen", SettingType::kAddress, "127.0.0.1:7000", false,
           "Where the other processes of the system reach this one."),
      Spec("entry", "advertise", SettingType::kAddress, "", false,
           "The address told to the others; default: the one listened on."),
      Spec("entry", "domain", SettingType::kText, "", true,
           "Failure domain of this process."),
      Spec("clients", "listen", SettingType::kAddress, "127.0.0.1:8080", false,
           "Where clients reach this process."),
      Ranged(Spec("clients", "max_connections", SettingType::kInteger, "4000",
                  false, "Open connections of clients."),
             "1", "100000"),
      Ranged(Spec("clients", "max_body", SettingType::kBytes, "1MiB", false,
                  "Largest body of a request."),
             "1KiB", "16MiB"),
      Ranged(Spec("clients", "header_timeout", SettingType::kDuration, "10s",
                  false, "Time for the header and the body of a request."),
             "100ms", "10min"),
      Ranged(Spec("clients", "idle_timeout", SettingType::kDuration, "60s",
                  false, "How long an unused connection stays open."),
             "100ms", "1h"),
      Spec("operators", "listen", SettingType::kAddress, "127.0.0.1:8081",
           false, "Where operators reach this process."),
      token,
      Spec("platform", "table", SettingType::kAddress, "", true,
           "Address of the platform's table."),
      Ranged(Spec("platform", "timeout", SettingType::kDuration, "2s", false,
                  "Longest wait for an answer of the table."),
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
        transport_(io, core::RandomIncarnation(), MessageLimits(), Events()),
        table_(io, TableSettings()),
        clients_(&board_, &clock_, [this]() { Flush(); }),
        operators_(
            &board_, &clock_, settings_.Text("operators", "token"),
            [this]() { Flush(); },
            [this]() { return metrics_.Page(board_, transport_.counters()); }),
        client_server_(io, ClientLimits(),
                       [this](const http::Request& request,
                              const http::Responder& respond) {
                         clients_.Handle(request, respond);
                       }),
        operator_server_(io, OperatorLimits(),
                         [this](const http::Request& request,
                                const http::Responder& respond) {
                           operators_.Handle(request, respond);
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
    const std::optional<core::Address> operators = operator_server_.Listen(
        settings_.Address("operators", "listen"), &error);
    if (!clients.has_value() || !operators.has_value()) {
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
    events.stop = [this]() { Stop(); };
    events.abort = [this]() { Abort(); };
    events.reload = [this]() {
      ReloadPolicy(settings_, reload_(), EntryLog(), &board_.policy);
    };
    process_ = std::make_unique<ProcessRunner>(io_, std::move(events));
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
        EntryLog().Info("Lost a connection.", {{"peer", core::ToString(peer)}});
      }
      dispatch::OnPeerLost(&board_, clock_.Now(), peer);
      Flush();
    };
    events.peer_gone = [this](const core::NodeId& peer) {
      lost_peers_.Reached(peer);
      EntryLog().Warn("A process is gone.", {{"peer", core::ToString(peer)}});
      dispatch::OnPeerGone(&board_, clock_.Now(), peer);
      Flush();
    };
    return events;
  }

  void Tick() {
    dispatch::OnTick(&board_, clock_.Now());
    Flush();
    for (const Notice& notice : watch_.Look(board_, clock_.Now())) Tell(notice);
    if (ending_ || !dispatch::IsStopFinished(board_, clock_.Now())) return;
    const bool limit_reached =
        clock_.Now() - board_.stop_requested_at >= board_.policy.drain_limit;
    const bool work_left =
        !OpenWork(board_).empty() || client_server_.open_requests() > 0;
    if (work_left && !limit_reached) return;
    if (work_left) {
      Abort();
      return;
    }
    EntryLog().Info("Stopped.");
    End();
  }

  void Tell(const Notice& notice) {
    const core::Field domain{"domain", board_.domain};
    if (notice.warn) {
      EntryLog().Warn(notice.sentence, {domain});
    } else {
      EntryLog().Info(notice.sentence, {domain});
    }
  }

  void Stop() {
    EntryLog().Info("Stopping.", {{"requests", board_.requests.size()}});
    client_server_.StopAccepting();
    dispatch::RequestStop(&board_, clock_.Now());
    Flush();
  }

  /// Ends although work may be left, and says which.
  void Abort() {
    const std::vector<std::string> work = OpenWork(board_);
    EntryLog().Error("Ended with work cut.",
                     {{"count", work.size()},
                      {"work", Listed(work)},
                      {"connections", client_server_.open_requests()}});
    exit_code_ = core::kExitFailure;
    End();
  }

  void End() {
    ending_ = true;
    transport_.Shutdown([this]() { io_.stop(); });
  }

  /// Carries out what the decisions ask for.
  void Flush() {
    std::vector<dispatch::EntryAction> actions;
    actions.swap(board_.actions);
    for (dispatch::EntryAction& action : actions) {
      if (auto* send = std::get_if<dispatch::SendMessage>(&action)) {
        transport_.Send(send->to, send->message);
      } else if (auto* call = std::get_if<dispatch::TableCall>(&action)) {
        Call(std::move(*call));
      } else if (auto* client = std::get_if<dispatch::AnswerClient>(&action)) {
        clients_.Answer(*client);
      } else if (auto* note = std::get_if<dispatch::AnswerNote>(&action)) {
        operators_.Answer(*note);
      } else if (auto* lines = std::get_if<dispatch::AnswerExplain>(&action)) {
        operators_.Answer(*lines);
      }
    }
  }

  void Call(dispatch::TableCall call) {
    CallTable(&table_, std::move(call), [this](dispatch::TableReply reply) {
      const std::optional<Notice> notice = watch_.TableReplied(reply.status);
      if (notice.has_value()) Tell(*notice);
      dispatch::OnTableReply(&board_, clock_.Now(), std::move(reply));
      Flush();
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
  ClientApi clients_;
  OperatorApi operators_;
  http::Server client_server_;
  http::Server operator_server_;
  std::unique_ptr<ProcessRunner> process_;
  core::Address clients_address_;
  core::Address operators_address_;
  EntryWatch watch_;
  LostPeers lost_peers_;
  bool ending_ = false;
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
