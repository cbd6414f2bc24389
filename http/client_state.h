#ifndef TARRAGON_HTTP_CLIENT_STATE_H_
#define TARRAGON_HTTP_CLIENT_STATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "net.h"
#include "tarragon/http/client.h"
#include "watchdog.h"

namespace tarragon::http {

class Connection;

/// What a client and its connections share.
struct ClientState {
  asio::io_context* io = nullptr;
  ClientLimits limits;
  bool closed = false;
  /// The client is destroyed: nothing is called any more.
  bool dropped = false;
  /// Connections that carry a request, by the number of the request.
  std::unordered_map<std::uint64_t, std::shared_ptr<Connection>> busy;
  /// Connections without a request; the latest used is last.
  std::map<core::Address, std::vector<std::shared_ptr<Connection>>> idle;
};

/// Keeps `connection` for the next request to its address. False if enough are
/// kept already.
bool AddIdle(ClientState* state, const std::shared_ptr<Connection>& connection);

/// Forgets an idle connection.
void RemoveIdle(ClientState* state, const Connection& connection);

/// The latest used idle connection to `address` that can still be used, or
/// null. Broken ones are closed.
std::shared_ptr<Connection> TakeIdle(ClientState* state,
                                     const core::Address& address);

/// Closes the idle connections to `address` whose last answer came before
/// `moment`.
void CloseIdleSince(ClientState* state, const core::Address& address,
                    Watchdog::Moment moment);

/// Calls `done` with an error from the io_context, unless the client is
/// destroyed by then.
void PostFailure(const std::shared_ptr<ClientState>& state, HttpErrorKind kind,
                 std::string text, Client::Done done);

}  // namespace tarragon::http

#endif  // TARRAGON_HTTP_CLIENT_STATE_H_
