#include "tarragon/http/server.h"

#include <utility>
#include <vector>

#include "net.h"
#include "server_state.h"
#include "session.h"

namespace tarragon::http {
namespace {

/// Pause after an accept that failed, such as for want of descriptors.
constexpr std::chrono::milliseconds kAcceptPause{100};

std::optional<core::Address> Fail(const std::string& text, HttpError* reason) {
  reason->kind = HttpErrorKind::kListenFailed;
  reason->text = text;
  return std::nullopt;
}

}  // namespace

class Server::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io, ServerLimits limits, Handler handler,
       GoneHandler gone, std::shared_ptr<core::MemoryQuota> quota)
      : state_(std::make_shared<ServerState>()),
        acceptor_(io.get_executor()),
        pause_(io.get_executor()) {
    state_->io = &io;
    state_->limits = limits;
    state_->handler = std::move(handler);
    state_->gone = std::move(gone);
    state_->quota =
        quota ? std::move(quota)
              : std::make_shared<core::MemoryQuota>(limits.max_held_bytes);
  }

  std::optional<core::Address> Listen(const core::Address& address,
                                      HttpError* reason);
  void StopAccepting();
  void Close();
  const ServerState& state() const { return *state_; }

 private:
  void Accept();
  void OnAccepted(ErrorCode error, Socket socket);
  void AcceptBacklog();
  void Admit(Socket socket);
  std::vector<std::shared_ptr<Session>> Sessions() const {
    return {state_->sessions.begin(), state_->sessions.end()};
  }

  std::shared_ptr<ServerState> state_;
  Acceptor acceptor_;
  Timer pause_;
  bool closed_ = false;
};

std::optional<core::Address> Server::Impl::Listen(const core::Address& address,
                                                  HttpError* reason) {
  const std::optional<Tcp::endpoint> endpoint = ParseEndpoint(address);
  if (!endpoint) {
    reason->kind = HttpErrorKind::kBadAddress;
    reason->text = "\"" + address.value() + "\" is not IP:port.";
    return std::nullopt;
  }
  if (acceptor_.is_open()) return Fail("The server already listens.", reason);
  ErrorCode error;
  acceptor_.open(endpoint->protocol(), error);
  if (error) return Fail("Open: " + error.message() + ".", reason);
  acceptor_.set_option(Acceptor::reuse_address(true), error);
  if (!error && state_->limits.receive_buffer_bytes > 0) {
    // Accepted sockets inherit it. It must be set before the handshake, which
    // tells the peer how much it may send.
    ErrorCode ignored;
    acceptor_.set_option(
        asio::socket_base::receive_buffer_size(
            static_cast<int>(state_->limits.receive_buffer_bytes)),
        ignored);
  }
  if (!error) acceptor_.bind(*endpoint, error);
  if (!error) acceptor_.listen(Acceptor::max_listen_connections, error);
  const Tcp::endpoint bound =
      error ? Tcp::endpoint() : acceptor_.local_endpoint(error);
  if (error) {
    ErrorCode ignored;
    acceptor_.close(ignored);
    return Fail("Listen on " + address.value() + ": " + error.message() + ".",
                reason);
  }
  Accept();
  return ToAddress(bound);
}

void Server::Impl::Accept() {
  acceptor_.async_accept(
      [self = shared_from_this()](ErrorCode error, Socket socket) {
        self->OnAccepted(error, std::move(socket));
      });
}

void Server::Impl::OnAccepted(ErrorCode error, Socket socket) {
  if (!error && !closed_) Admit(std::move(socket));
  if (!acceptor_.is_open()) return;
  if (!error) return Accept();
  pause_.expires_after(kAcceptPause);
  pause_.async_wait([self = shared_from_this()](ErrorCode cancelled) {
    if (!cancelled && self->acceptor_.is_open()) self->Accept();
  });
}

void Server::Impl::Admit(Socket socket) {
  const ServerLimits& limits = state_->limits;
  const bool full =
      state_->sessions.size() - state_->refusing >= limits.max_connections;
  const bool refuse = full && state_->replaceable.empty();
  if (refuse) {
    ++state_->counters.refused;
    if (state_->refusing >= limits.max_refused_connections) return;
  } else if (full) {
    ++state_->counters.closed_for_place;
    state_->replaceable.front()->Shed();
  }
  const std::shared_ptr<Session> session =
      std::make_shared<Session>(state_, std::move(socket));
  state_->sessions.insert(session);
  if (refuse) return session->Refuse();
  session->Start();
}

/// Takes in the clients that have connected but were not yet accepted: closing
/// the listener would reset them.
void Server::Impl::AcceptBacklog() {
  ErrorCode error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    Socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, error);
    if (!error) Admit(std::move(socket));
  }
}

void Server::Impl::StopAccepting() {
  if (acceptor_.is_open()) AcceptBacklog();
  ErrorCode ignored;
  acceptor_.close(ignored);
  pause_.cancel();
  state_->stopping = true;
  for (const std::shared_ptr<Session>& session : Sessions()) {
    session->CloseIfIdle();
  }
}

void Server::Impl::Close() {
  closed_ = true;
  ErrorCode ignored;
  acceptor_.close(ignored);
  pause_.cancel();
  state_->stopping = true;
  for (const std::shared_ptr<Session>& session : Sessions()) session->Close();
}

Server::Server(boost::asio::io_context& io, ServerLimits limits,
               Handler handler, GoneHandler gone,
               std::shared_ptr<core::MemoryQuota> quota)
    : impl_(std::make_shared<Impl>(io, limits, std::move(handler),
                                   std::move(gone), std::move(quota))) {}

Server::~Server() { Close(); }

std::optional<core::Address> Server::Listen(const core::Address& address,
                                            HttpError* reason) {
  return impl_->Listen(address, reason);
}

void Server::StopAccepting() { impl_->StopAccepting(); }

void Server::Close() { impl_->Close(); }

std::size_t Server::connections() const {
  return impl_->state().sessions.size();
}

std::size_t Server::open_requests() const {
  return impl_->state().open_requests;
}

ServerCounters Server::counters() const { return impl_->state().counters; }

}  // namespace tarragon::http
