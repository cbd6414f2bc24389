#include "gate_daemon.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "decision_log.h"
#include "machine_limits.h"
#include "membership.h"
#include "metrics_page_server.h"
#include "node_settings_reload.h"
#include "platform_daemon_limits.h"
#include "platform_daemon_settings.h"
#include "process_runner.h"
#include "shed_report.h"
#include "target_report_store.h"
#include "tarragon/coordinator/gate.h"
#include "tarragon/core/exit_code.h"
#include "tarragon/core/log.h"
#include "tarragon/http/server.h"
#include "tarragon/http/status.h"
#include "tarragon/platform/node_settings.h"
#include "tarragon/platform/target_client.h"
#include "tarragon/platform/target_messages.h"
#include "tarragon/wire/transport.h"

namespace tarragon::daemons {
namespace {

using coordinator::GateBoard;

constexpr std::size_t kMaxAnnouncementBytes = std::size_t{256} * 1024;
/// No request for the metrics page has a body.
constexpr std::size_t kMaxMetricsBodyBytes = std::size_t{16} * 1024;

const core::Log& GateLog() {
  static const core::Log log("gate");
  return log;
}

http::ServerLimits MakeTargetServerLimits(const MachineLimits& machine) {
  return MakeServerLimits(machine, machine.target_connections,
                          kMaxAnnouncementBytes);
}

}  // namespace

class GateDaemon::Impl {
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
    board_.policy.drain_bound = node_.drain_bound;
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
    if (!target_server_->Listen(node_.announcement_address, &http_error)) {
      *reason = http_error.text;
      return false;
    }
    metrics_page_->Listen(node_.peer_address, ReadMetricsPort(settings_));
    store_.emplace(io_, node_.store_address);
    membership_.emplace(io_, &*store_, MemberKind::kGate, node_.peer_address,
                        [this](MemberKind kind, const core::Address& address) {
                          if (kind != MemberKind::kEntry) return;
                          coordinator::OnEntryFound(&board_, clock_.Now(),
                                                    address);
                          ExecuteActions();
                        });
    process_runner_.emplace(
        io_, ProcessEvents{[this]() { Tick(); }, [this]() { RequestStop(); },
                           [this]() { Shutdown(); },
                           [this]() { ReloadSettings(); }});
    report_store_.emplace(io_, &*store_, node_.peer_address,
                          [this](const coordinator::TargetReport& last) {
                            coordinator::OnPreviousTargetFound(
                                &board_, clock_.Now(), last, "store");
                            ExecuteActions();
                          });
    report_store_->Load();
    membership_->Start();
    return true;
  }

  int exit_code() const { return exit_code_; }

  std::string ReadyLine() const {
    return node_.vm_name + " targets=" + node_.announcement_address.value() +
           " peers=" + node_.peer_address.value();
  }

 private:
  /// Makes all that listens, within what the VM has.
  void MakeServers() {
    const MachineLimits machine = ComputeMachineLimits(node_, settings_);
    connection_memory_ =
        std::make_shared<core::MemoryQuota>(machine.connection_bytes);
    transport_.emplace(io_, core::RandomIncarnation(), MakePeerLimits(machine),
                       MakeTransportEvents(), connection_memory_);
    target_client_.emplace(io_, machine.open_orders);
    target_server_.emplace(
        io_, MakeTargetServerLimits(machine),
        [this](const http::Request& request, const http::Responder& answer) {
          HandleTargetRequest(request, answer);
        },
        http::GoneHandler(), connection_memory_);
    metrics_page_.emplace(
        io_,
        MakeServerLimits(machine, machine.other_connections,
                         kMaxMetricsBodyBytes),
        &registry_, [this]() { UpdateMetrics(); }, connection_memory_);
  }

  ShedCounts CountShedConnections() const {
    ShedCounts counts;
    AddCounts(target_server_->counters(), &counts);
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
      coordinator::OnEntryDisconnected(&board_, clock_.Now(), peer);
      ExecuteActions();
    };
    events.peer_gone = [this](const core::NodeId& peer) {
      coordinator::OnEntryReplaced(&board_, clock_.Now(), peer);
      ExecuteActions();
    };
    return events;
  }

  void HandleMessage(const core::NodeId& from, dispatch::Message message) {
    const core::Time now = clock_.Now();
    if (auto* start = std::get_if<coordinator::StartRun>(&message)) {
      coordinator::OnMessage(&board_, now, from, std::move(*start));
    } else if (auto* ask = std::get_if<coordinator::AskRun>(&message)) {
      coordinator::OnMessage(&board_, now, from, *ask);
    } else if (auto* hint = std::get_if<coordinator::TargetHint>(&message)) {
      coordinator::OnMessage(&board_, now, from, std::move(*hint));
    } else if (auto* wanted = std::get_if<coordinator::RoomWanted>(&message)) {
      coordinator::OnMessage(&board_, now, from, *wanted);
    } else if (auto* notice = std::get_if<coordinator::EntryNotice>(&message)) {
      coordinator::OnMessage(&board_, now, from, *notice);
    } else if (auto* update =
                   std::get_if<coordinator::OperatorUpdate>(&message)) {
      coordinator::OnMessage(&board_, now, from, std::move(*update));
    } else {
      GateLog().Warn("Ignored a message of a type that gates do not handle.",
                     {{"message", dispatch::Name(message)},
                      {"from", core::ToString(from)}});
    }
    ExecuteActions();
  }

  void HandleTargetRequest(const http::Request& request,
                           const http::Responder& answer) {
    http::Response response;
    response.body = "{}";
    const std::optional<platform::TargetRequest> target_request =
        platform::ParseTargetRequest(request.method, request.path);
    if (!target_request.has_value()) {
      response.status = http::kStatusNotFound;
      return answer(response);
    }
    const core::Time now = clock_.Now();
    if (target_request->is_deregistration) {
      coordinator::OnTargetLeft(&board_, now, target_request->target);
    } else {
      std::string error;
      const std::optional<coordinator::Announcement> announcement =
          platform::ParseAnnouncement(target_request->target, request.body,
                                      &error);
      if (announcement.has_value()) {
        coordinator::OnAnnouncement(&board_, now, *announcement);
      } else {
        GateLog().Warn("Refused an invalid announcement of a target.",
                       {{"target", target_request->target}, {"fault", error}});
        response.status = http::kStatusBadRequest;
      }
    }
    answer(response);
    ExecuteActions();
  }

  void ExecuteActions() {
    std::vector<coordinator::GateAction> actions;
    actions.swap(board_.actions);
    for (coordinator::GateAction& action : actions) {
      std::visit([this](auto& each) { Execute(each); }, action);
    }
    LogDecisions(GateLog(), &board_.log_lines);
  }

  template <typename Message>
  void Execute(coordinator::SendTo<Message>& send) {
    transport_->Send(send.to, std::move(send.message));
  }

  void Execute(const coordinator::StoreTarget& keep) {
    report_store_->Save(keep.target);
  }

  void Execute(const coordinator::OrderStart& order) {
    target_client_->StartRun(
        order, board_.policy.order_timeout,
        [this, run = order.run](coordinator::OrderAnswer answer,
                                std::optional<coordinator::TargetClock> clock) {
          coordinator::OnStartAnswer(&board_, clock_.Now(), run, answer, clock);
          ExecuteActions();
        });
  }

  void Execute(const coordinator::OrderStop& order) {
    target_client_->StopRun(
        order, board_.policy.order_timeout,
        [this, run = order.run](
            coordinator::OrderAnswer answer,
            std::optional<coordinator::TargetClock> /*clock*/) {
          coordinator::OnStopAnswer(&board_, clock_.Now(), run, answer);
          ExecuteActions();
        });
  }

  void Execute(const coordinator::OrderPoll& order) {
    target_client_->PollRuns(
        order, board_.policy.hold_margin,
        [this, number = order.number](
            const std::optional<coordinator::PollReply>& poll,
            coordinator::PollFailure failure) {
          coordinator::OnPollAnswer(&board_, clock_.Now(), number, poll,
                                    failure);
          ExecuteActions();
        });
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
      shed_log_.Report(GateLog(), now, CountShedConnections(),
                       *connection_memory_);
    }
    core::SendLog();
    if (!board_.stopping || shutting_down_) return;
    const bool done = coordinator::CountOpenRuns(board_) == 0;
    if (!done && now - stop_requested_ < kMaxStopDuration) return;
    GateLog().Info("Stopped.", {{"runs", coordinator::CountOpenRuns(board_)}});
    Shutdown();
  }

  void RequestStop() {
    GateLog().Info("Received a stop signal; stopping.",
                   {{"runs", coordinator::CountOpenRuns(board_)}});
    stop_requested_ = clock_.Now();
    coordinator::RequestStop(&board_, stop_requested_);
    ExecuteActions();
  }

  void Shutdown() {
    shutting_down_ = true;
    transport_->Shutdown([this]() { io_.stop(); });
  }

  void ReloadSettings() {
    std::string reason;
    const std::optional<platform::NodeSettings> node =
        platform::LoadNodeSettings(&reason);
    if (node.has_value()) {
      ReloadNodeSettings(*node, GateLog(), &node_);
      coordinator::ChangeDomain(&board_, clock_.Now(), node_.domain);
      store_->SetAddress(node_.store_address);
      ExecuteActions();
    } else {
      GateLog().Warn(
          "Cannot load the node file; kept the previous node settings.",
          {{"why", reason}});
    }
    const std::optional<core::Settings> next = load_settings_();
    if (!next.has_value()) {
      GateLog().Warn("The settings are invalid; kept the previous ones.");
      return;
    }
    settings_ = *next;
    board_.policy = ReadCoordinationPolicy(settings_);
    board_.policy.drain_bound = node_.drain_bound;
    ApplyLogSettings(settings_);
    GateLog().Info("Reloaded the settings.");
  }

  void UpdateMetrics() {
    const coordinator::GateCounts& counts = board_.counts;
    SetCounterTotal(&registry_, "starts_total", {}, counts.starts);
    SetCounterTotal(&registry_, "unclear_starts_total", {},
                    counts.unclear_starts);
    SetCounterTotal(&registry_, "lost_polls_total", {}, counts.lost_polls);
    SetCounterTotal(&registry_, "runs_listed_after_end_total", {},
                    counts.runs_listed_after_end);
    SetCounterTotal(&registry_, "target_crashes_total", {},
                    counts.target_crashes);
    SetCounterTotal(&registry_, "announcements_ignored_total", {},
                    counts.ignored_candidates);
    SetCounterTotal(&registry_, "entries_silenced_total", {},
                    counts.timed_out_entries);
    SetCounterTotal(&registry_, "offers_total", {}, counts.offers);
    SetCounterTotal(&registry_, "offers_lapsed_total", {},
                    counts.lapsed_offers);
    SetCounterTotal(&registry_, "departures_total", {}, counts.departures);
    SetCounterTotal(&registry_, "starts_before_departure_total", {},
                    counts.starts_before_departure);
    SetCounterTotal(&registry_, "reservations_total", {}, counts.reservations);
    SetCounterTotal(&registry_, "reservations_kept_total", {},
                    counts.kept_reservations);
    SetCounterTotal(&registry_, "reservations_lapsed_total", {},
                    counts.lapsed_reservations);
    SetCounterTotal(&registry_, "backfills_total", {}, counts.backfills);
    SetCounterTotal(&registry_, "reserved_refusals_total", {},
                    counts.reserved_refusals);
    SetCounterTotal(&registry_, "speeds_stored_total", {},
                    counts.stored_speeds);
    if (board_.target.has_value()) {
      registry_.Set("target_speed_permille", {},
                    coordinator::SpeedPermille(board_.target->speed));
    }
    SetCounterTotal(&registry_, "progress_messages_total", {},
                    counts.progress_messages);
    SetCounterTotal(&registry_, "runs_standing_total", {},
                    counts.standing_runs);
    for (const auto& [reason, count] : counts.refusals) {
      SetCounterTotal(&registry_, "starts_refused_total",
                      {{"reason", coordinator::Name(reason)}}, count);
    }
    for (const auto& [end, count] : counts.ends) {
      SetCounterTotal(&registry_, "runs_ended_total",
                      {{"end", coordinator::Name(end)}}, count);
    }
    SetCounterTotal(&registry_, "orders_unsent_total", {},
                    target_client_->unsent_orders());
    registry_.Set("runs_open", {}, static_cast<double>(board_.runs.size()));
    registry_.Set("entries", {}, static_cast<double>(board_.homes.size()));
    UpdateShedMetrics(&registry_, CountShedConnections(), *connection_memory_);
  }

  boost::asio::io_context& io_;
  core::Settings settings_;
  std::function<std::optional<core::Settings>()> load_settings_;
  core::SystemClock clock_;
  platform::NodeSettings node_;
  GateBoard board_;
  metrics::Registry registry_;
  std::shared_ptr<core::MemoryQuota> connection_memory_;
  std::optional<wire::Transport> transport_;
  std::optional<platform::TargetClient> target_client_;
  std::optional<http::Server> target_server_;
  std::optional<MetricsPageServer> metrics_page_;
  ShedLog shed_log_;
  std::optional<platform::StoreClient> store_;
  std::optional<Membership> membership_;
  std::optional<TargetReportStore> report_store_;
  std::optional<ProcessRunner> process_runner_;
  core::Time stop_requested_;
  core::Time last_log_flush_;
  bool shutting_down_ = false;
  int exit_code_ = core::kExitOk;
};

GateDaemon::GateDaemon(boost::asio::io_context& io, core::Settings settings,
                       std::function<std::optional<core::Settings>()> reload)
    : impl_(
          std::make_unique<Impl>(io, std::move(settings), std::move(reload))) {}

GateDaemon::~GateDaemon() = default;

bool GateDaemon::Start(std::string* reason) { return impl_->Start(reason); }

int GateDaemon::exit_code() const { return impl_->exit_code(); }

std::string GateDaemon::ReadyLine() const { return impl_->ReadyLine(); }

}  // namespace tarragon::daemons
