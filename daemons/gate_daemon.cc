#include "gate_daemon.h"

#include <utility>
#include <variant>

#include "membership.h"
#include "process_runner.h"
#include "remark_log.h"
#include "site_limits.h"
#include "site_pages.h"
#include "site_settings.h"
#include "target_memory.h"
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

/// The target beside the gate is the only caller.
constexpr std::size_t kMaxConnections = 16;

const core::Log& GateLog() {
  static const core::Log log("gate");
  return log;
}

http::ServerLimits TargetLimits() {
  http::ServerLimits limits;
  limits.max_connections = kMaxConnections;
  return limits;
}

}  // namespace

class GateDaemon::Impl {
 public:
  Impl(boost::asio::io_context& io, core::Settings settings,
       std::function<std::optional<core::Settings>()> reload)
      : io_(io),
        settings_(std::move(settings)),
        reload_(std::move(reload)),
        transport_(io, core::RandomIncarnation(), PeerLimits(), Events()),
        target_(io),
        server_(io, TargetLimits(),
                [this](const http::Request& request,
                       const http::Responder& answer) {
                  HandleTarget(request, answer);
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
    wire::WireError wire_error;
    if (!transport_.Listen(PeerBind(settings_, node_.peers), node_.peers,
                           &wire_error)) {
      *reason = wire_error.detail;
      return false;
    }
    http::HttpError http_error;
    if (!server_.Listen(node_.targets, &http_error)) {
      *reason = http_error.text;
      return false;
    }
    pages_.Listen(node_.peers, MetricsPort(settings_));
    store_.emplace(io_, node_.store);
    membership_.emplace(io_, &*store_, MemberKind::kGate, node_.peers,
                        [this](MemberKind kind, const core::Address& address) {
                          if (kind != MemberKind::kEntry) return;
                          coordinator::OnEntryFound(&board_, clock_.Now(),
                                                    address);
                          Flush();
                        });
    process_.emplace(
        io_, ProcessEvents{[this]() { Tick(); }, [this]() { Stop(); },
                           [this]() { End(); }, [this]() { Reload(); }});
    memory_.emplace(io_, &*store_, node_.peers,
                    [this](const coordinator::TargetReport& last) {
                      coordinator::OnPreviousTargetFound(&board_, clock_.Now(),
                                                         last, "store");
                      Flush();
                    });
    memory_->Recall();
    membership_->Start();
    return true;
  }

  int exit_code() const { return exit_code_; }

  std::string ReadyLine() const {
    return node_.vm + " targets=" + node_.targets.value() +
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
      coordinator::OnEntryDisconnected(&board_, clock_.Now(), peer);
      Flush();
    };
    events.peer_gone = [this](const core::NodeId& peer) {
      coordinator::OnEntryReplaced(&board_, clock_.Now(), peer);
      Flush();
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
      GateLog().Warn("Ignored a message that is not for gates.",
                     {{"message", dispatch::Name(message)},
                      {"from", core::ToString(from)}});
    }
    Flush();
  }

  void HandleTarget(const http::Request& request,
                    const http::Responder& answer) {
    http::Response response;
    response.body = "{}";
    const std::optional<platform::TargetCall> call =
        platform::ReadTargetCall(request.method, request.path);
    if (!call.has_value()) {
      response.status = http::kStatusNotFound;
      return answer(response);
    }
    const core::Time now = clock_.Now();
    if (call->leave) {
      coordinator::OnTargetLeft(&board_, now, call->target);
    } else {
      std::string fault;
      const std::optional<coordinator::Announcement> said =
          platform::ReadAnnouncement(call->target, request.body, &fault);
      if (said.has_value()) {
        coordinator::OnAnnouncement(&board_, now, *said);
      } else {
        GateLog().Warn("An announcement cannot be read.",
                       {{"target", call->target}, {"fault", fault}});
        response.status = http::kStatusBadRequest;
      }
    }
    answer(response);
    Flush();
  }

  void Flush() {
    std::vector<coordinator::GateAction> actions;
    actions.swap(board_.actions);
    for (coordinator::GateAction& action : actions) {
      std::visit([this](auto& each) { Carry(each); }, action);
    }
    WriteRemarks(GateLog(), &board_.log_lines);
  }

  template <typename Message>
  void Carry(coordinator::SendTo<Message>& send) {
    transport_.Send(send.to, std::move(send.message));
  }

  void Carry(const coordinator::StoreTarget& keep) {
    memory_->Keep(keep.target);
  }

  void Carry(const coordinator::OrderStart& order) {
    target_.Start(
        order, board_.policy.order_timeout,
        [this, run = order.run](coordinator::OrderAnswer answer,
                                std::optional<coordinator::TargetClock> clock) {
          coordinator::OnStartAnswer(&board_, clock_.Now(), run, answer, clock);
          Flush();
        });
  }

  void Carry(const coordinator::OrderStop& order) {
    target_.Stop(order, board_.policy.order_timeout,
                 [this, run = order.run](
                     coordinator::OrderAnswer answer,
                     std::optional<coordinator::TargetClock> /*clock*/) {
                   coordinator::OnStopAnswer(&board_, clock_.Now(), run,
                                             answer);
                   Flush();
                 });
  }

  void Carry(const coordinator::OrderPoll& order) {
    target_.Poll(order, board_.policy.hold_margin,
                 [this, number = order.number](
                     const std::optional<coordinator::PollReply>& poll) {
                   coordinator::OnPollAnswer(&board_, clock_.Now(), number,
                                             poll);
                   Flush();
                 });
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
    if (!board_.stopping || ending_) return;
    const bool done = coordinator::CountOpenRuns(board_) == 0;
    if (!done && now - stop_requested_ < kStopLimit) return;
    GateLog().Info("Stopped.", {{"runs", coordinator::CountOpenRuns(board_)}});
    End();
  }

  void Stop() {
    GateLog().Info("Stopping.", {{"runs", coordinator::CountOpenRuns(board_)}});
    stop_requested_ = clock_.Now();
    coordinator::RequestStop(&board_, stop_requested_);
    Flush();
  }

  void End() {
    ending_ = true;
    transport_.Shutdown([this]() { io_.stop(); });
  }

  void Reload() {
    const std::optional<core::Settings> next = reload_();
    if (!next.has_value()) {
      GateLog().Warn("The settings are wrong; kept what was.");
      return;
    }
    settings_ = *next;
    board_.policy = SitePolicy(settings_);
    ApplyLogSettings(settings_);
    GateLog().Info("Reloaded the settings.");
  }

  void RefreshMetrics() {
    const coordinator::GateCounts& counts = board_.counts;
    MirrorCount(&registry_, "starts_total", {}, counts.starts);
    MirrorCount(&registry_, "unclear_starts_total", {}, counts.unclear_starts);
    MirrorCount(&registry_, "lost_polls_total", {}, counts.lost_polls);
    MirrorCount(&registry_, "entries_silenced_total", {},
                counts.timed_out_entries);
    MirrorCount(&registry_, "offers_total", {}, counts.offers);
    MirrorCount(&registry_, "offers_lapsed_total", {}, counts.lapsed_offers);
    for (const auto& [reason, count] : counts.refusals) {
      MirrorCount(&registry_, "starts_refused_total",
                  {{"reason", coordinator::Name(reason)}}, count);
    }
    for (const auto& [end, count] : counts.ends) {
      MirrorCount(&registry_, "runs_ended_total",
                  {{"end", coordinator::Name(end)}}, count);
    }
    registry_.Set("runs_open", {}, static_cast<double>(board_.runs.size()));
    registry_.Set("entries", {}, static_cast<double>(board_.homes.size()));
  }

  boost::asio::io_context& io_;
  core::Settings settings_;
  std::function<std::optional<core::Settings>()> reload_;
  core::SystemClock clock_;
  platform::NodeSettings node_;
  GateBoard board_;
  metrics::Registry registry_;
  wire::Transport transport_;
  platform::TargetClient target_;
  http::Server server_;
  SitePages pages_;
  std::optional<platform::StoreClient> store_;
  std::optional<Membership> membership_;
  std::optional<TargetMemory> memory_;
  std::optional<ProcessRunner> process_;
  core::Time stop_requested_;
  core::Time log_flushed_;
  bool ending_ = false;
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
