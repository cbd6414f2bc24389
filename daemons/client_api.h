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

/// The HTTP interface of an entry for clients. Passes requests to the dispatch
/// logic as events and sends its answers as HTTP responses.
class ClientApi {
 public:
  /// `execute_actions` executes the actions that an event has put on the
  /// board.
  ClientApi(dispatch::EntryBoard* board, const core::Clock* clock,
            std::function<void()> execute_actions);

  /// Calls `respond` once, now or when the dispatch logic answers.
  void HandleRequest(const http::Request& request,
                     const http::Responder& respond);

  /// Responds to the client whose request `answer` belongs to.
  void SendAnswer(const dispatch::AnswerClient& answer);

 private:
  /// A client request that is not answered yet.
  struct PendingResponse {
    http::Responder respond;
    /// Service for which the response carries a handle; may be empty.
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
  /// By the number of the request at the board.
  std::map<std::uint64_t, PendingResponse> pending_responses_;
};

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_CLIENT_API_H_
