#include "client_state.h"

#include <algorithm>
#include <utility>

#include "connection.h"

namespace tarragon::http {

bool AddIdle(ClientState* state,
             const std::shared_ptr<Connection>& connection) {
  if (state->closed || state->limits.max_idle_per_host == 0) return false;
  std::vector<std::shared_ptr<Connection>>& idle =
      state->idle[connection->address()];
  if (idle.size() >= state->limits.max_idle_per_host) return false;
  idle.push_back(connection);
  return true;
}

void RemoveIdle(ClientState* state, const Connection& connection) {
  const auto host = state->idle.find(connection.address());
  if (host == state->idle.end()) return;
  std::vector<std::shared_ptr<Connection>>& idle = host->second;
  const auto at =
      std::find_if(idle.begin(), idle.end(),
                   [&connection](const std::shared_ptr<Connection>& candidate) {
                     return candidate.get() == &connection;
                   });
  if (at != idle.end()) idle.erase(at);
  if (idle.empty()) state->idle.erase(host);
}

std::shared_ptr<Connection> TakeIdle(ClientState* state,
                                     const core::Address& address) {
  while (true) {
    const auto host = state->idle.find(address);
    if (host == state->idle.end()) return nullptr;
    std::shared_ptr<Connection> connection = host->second.back();
    RemoveIdle(state, *connection);
    if (connection->Reusable()) return connection;
    connection->Close();
  }
}

void CloseIdleSince(ClientState* state, const core::Address& address,
                    Watchdog::Moment moment) {
  const auto host = state->idle.find(address);
  if (host == state->idle.end()) return;
  std::vector<std::shared_ptr<Connection>>& idle = host->second;
  std::erase_if(idle, [moment](const std::shared_ptr<Connection>& connection) {
    if (connection->answered_at() >= moment) return false;
    connection->Close();
    return true;
  });
  if (idle.empty()) state->idle.erase(host);
}

void PostFailure(const std::shared_ptr<ClientState>& state, HttpErrorKind kind,
                 std::string text, Client::Done done) {
  asio::post(*state->io, [state, done = std::move(done),
                          error = HttpError{kind, std::move(text)}] {
    if (!state->dropped) done(std::nullopt, error);
  });
}

}  // namespace tarragon::http
