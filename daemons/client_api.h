#ifndef TARRAGON_DAEMONS_CLIENT_API_H_
#define TARRAGON_DAEMONS_CLIENT_API_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "tarragon/core/clock.h"
#include "tarragon/dispatch/entry_board.h"
#include "tarragon/http/server.h"

namespace tarragon::daemons {

/// The clients' interface of an entry: turns HTTP requests into events and
/// answers of the decisions into responses.
class ClientApi {
 public:
  /// `flush` carries out the actions that an event left on the board.
  ClientApi(dispatch::EntryBoard* board, const core::Clock* clock,
            std::function<void()> flush);

  /// Handles one request.
  void HandleRequest(const http::Request& request,
                     const http::Responder& respond);

  /// Answers the client that waits for `answer`.
  void SendAnswer(const dispatch::AnswerClient& answer);

 private:
  struct PendingResponse {
    http::Responder respond;
    core::ServiceId service;
  };

  void IssueHandle(const http::Request& request,
                   const http::Responder& respond);
  void SubmitJob(const http::Request& request, const http::Responder& respond);
  void ForwardRequest(dispatch::RequestKind kind, const std::string& key,
                      core::Duration wait, const http::Responder& respond);

  dispatch::EntryBoard* board_;
  const core::Clock* clock_;
  std::function<void()> execute_actions_;
  std::map<std::uint64_t, PendingResponse> pending_responses_;
};

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_CLIENT_API_H_
