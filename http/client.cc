#include "tarragon/http/client.h"

#include <string>
#include <utility>

#include "client_state.h"
#include "connection.h"
#include "convert.h"
#include "net.h"

namespace tarragon::http {

class Client::Impl {
 public:
  Impl(asio::io_context& io, ClientLimits limits)
      : state_(std::make_shared<ClientState>()) {
    state_->io = &io;
    state_->limits = limits;
  }

  RequestId Send(const core::Address& address, const Request& request,
                 core::Duration timeout, Done done);
  void Cancel(RequestId id);
  void CancelAll();
  void CloseAll();
  void Drop();

 private:
  std::shared_ptr<ClientState> state_;
  std::uint64_t last_id_ = 0;
};

RequestId Client::Impl::Send(const core::Address& address,
                             const Request& request, core::Duration timeout,
                             Done done) {
  const RequestId id(++last_id_);
  if (state_->closed) {
    PostFailure(state_, HttpErrorKind::kNotSent, "The client is closed.",
                std::move(done));
    return id;
  }
  const std::optional<Tcp::endpoint> endpoint = ParseEndpoint(address);
  if (!endpoint || endpoint->port() == 0) {
    PostFailure(state_, HttpErrorKind::kBadAddress,
                "\"" + address.value() + "\" is not IP:port.", std::move(done));
    return id;
  }
  std::optional<BeastRequest> message = ToBeast(request, address);
  if (!message) {
    PostFailure(state_, HttpErrorKind::kBadRequest, "The request is malformed.",
                std::move(done));
    return id;
  }
  std::shared_ptr<Connection> connection = TakeIdle(state_.get(), address);
  if (!connection) {
    connection = std::make_shared<Connection>(state_, address, *endpoint);
  }
  state_->busy[id.value()] = connection;
  connection->Run(
      Exchange{id.value(), std::chrono::steady_clock::now(),
               std::make_shared<const BeastRequest>(std::move(*message)),
               MomentAfter(timeout), std::move(done)});
  return id;
}

void Client::Impl::Cancel(RequestId id) {
  const auto at = state_->busy.find(id.value());
  if (at == state_->busy.end()) return;
  const std::shared_ptr<Connection> connection = at->second;
  connection->Cancel();
}

void Client::Impl::CancelAll() {
  while (!state_->busy.empty()) {
    const std::shared_ptr<Connection> connection = state_->busy.begin()->second;
    connection->Cancel();
  }
}

void Client::Impl::CloseAll() {
  state_->closed = true;
  for (const auto& [address, connections] : std::exchange(state_->idle, {})) {
    for (const std::shared_ptr<Connection>& connection : connections) {
      connection->Close();
    }
  }
  for (const auto& [id, connection] : std::exchange(state_->busy, {})) {
    connection->Close();
  }
}

void Client::Impl::Drop() {
  state_->dropped = true;
  CloseAll();
}

Client::Client(boost::asio::io_context& io, ClientLimits limits)
    : impl_(std::make_shared<Impl>(io, limits)) {}

Client::~Client() { impl_->Drop(); }

RequestId Client::Send(const core::Address& address, const Request& request,
                       core::Duration timeout, Done done) {
  return impl_->Send(address, request, timeout, std::move(done));
}

void Client::Cancel(RequestId id) { impl_->Cancel(id); }

void Client::Close() {
  impl_->CancelAll();
  impl_->CloseAll();
}

}  // namespace tarragon::http
