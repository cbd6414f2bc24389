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

/// The HTTP interface of an entry for operators: release notes, state and job
/// histories with a bearer token, metrics and health pages without.
class OperatorApi {
 public:
  /// `execute_actions` executes the actions that an event has put on the
  /// board; `render_metrics` returns the metrics page.
  OperatorApi(dispatch::EntryBoard* board, const core::Clock* clock,
              std::string token, std::function<void()> execute_actions,
              std::function<std::string()> render_metrics);

  /// Calls `respond` once, now or when the dispatch logic answers.
  void HandleRequest(const http::Request& request,
                     const http::Responder& respond);
  /// Responds to the request that `answer` belongs to.
  void SendAnswer(const dispatch::AnswerNote& answer);
  void SendAnswer(const dispatch::AnswerExplain& answer);

 private:
  /// An operator's request that is not answered yet.
  struct PendingResponse {
    http::Responder respond;
    /// Id of the note or key of the job.
    std::string subject;
  };

  /// Serves the pages that need no token. Returns false for other paths.
  bool HandleUnauthenticated(const http::Request& request,
                             const http::Responder& respond);
  bool IsAuthorized(const http::Request& request) const;
  /// Executes a request whose token, path and method have been checked.
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
  /// By the number of the request at the board.
  std::map<std::uint64_t, PendingResponse> pending_responses_;
};

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_OPERATOR_API_H_
