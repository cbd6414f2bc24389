#include "tarragon/wire/transport.h"

#include <utility>

#include "transport_state.h"

namespace tarragon::wire {

Transport::Transport(boost::asio::io_context& io, core::Incarnation self,
                     TransportLimits limits, TransportEvents events,
                     std::shared_ptr<core::MemoryQuota> quota)
    : state_(std::make_shared<TransportState>(
          io, self, limits, std::move(events), std::move(quota))) {}

Transport::~Transport() { state_->Close(); }

std::optional<core::NodeId> Transport::Listen(
    const core::Address& bind, const std::optional<core::Address>& advertise,
    WireError* reason) {
  return state_->Listen(bind, advertise, reason);
}

const core::NodeId& Transport::self() const { return state_->self(); }

void Transport::Send(const core::NodeId& to, const dispatch::Message& message) {
  state_->Send(to, message);
}

void Transport::Drop(const core::NodeId& peer) { state_->Drop(peer); }

TransportCounters Transport::counters() const { return state_->counters(); }

void Transport::Shutdown(std::function<void()> done) {
  state_->Shutdown(std::move(done));
}

void Transport::Close() { state_->Close(); }

}  // namespace tarragon::wire
