#ifndef TARRAGON_DAEMONS_OPERATOR_API_H_
#define TARRAGON_DAEMONS_OPERATOR_API_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "tarragon/core/clock.h"
#include "tarragon/dispatch/entry_board.h"
#include "tarragon/http/server.h"

namespace tarragon::daemons {

/// The operators' interface of an entry.
class OperatorApi {
 public:
  /// `flush` carries out the actions that an event left on the board;
  /// `metrics` makes the metrics page.
  OperatorApi(dispatch::EntryBoard* board, const core::Clock* clock,
              std::string token, std::function<void()> flush,
              std::function<std::string()> metrics);

  void HandleRequest(const http::Request& request,
                     const http::Responder& respond);
  void SendAnswer(const dispatch::AnswerNote& answer);
  void SendAnswer(const dispatch::AnswerExplain& answer);

 private:
  struct PendingResponse {
    http::Responder respond;
    /// Id of the note or key of the job.
    std::string subject;
  };

  /// Answers the pages that need no token. False when it is none of them.
  bool HandleUnauthenticated(const http::Request& request,
                             const http::Responder& respond);
  bool IsAuthorized(const http::Request& request) const;
  /// Carries out a call with the token, whose path and method are right.
  void DispatchRequest(const http::Request& request,
                       const http::Responder& respond);
  void ApplyNote(const http::Request& request, const http::Responder& respond);
  void ExplainJob(const std::string& key, const http::Responder& respond);
  void RemoveEntry(const std::string& node, const http::Responder& respond);

  dispatch::EntryBoard* board_;
  const core::Clock* clock_;
  std::string token_;
  std::function<void()> execute_actions_;
  std::function<std::string()> render_metrics_;
  std::map<std::uint64_t, PendingResponse> pending_responses_;
};

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_OPERATOR_API_H_
