#include <algorithm>
#include <utility>

#include "entry_parts.h"
#include "tarragon/dispatch/digest.h"
#include "tarragon/dispatch/entry.h"
#include "tarragon/dispatch/handle.h"

namespace tarragon::dispatch {
namespace {

constexpr core::Duration kNoHomeRetryAfter = std::chrono::seconds(1);
constexpr core::Duration kTableOutageRetryAfter = std::chrono::seconds(2);
constexpr core::Duration kOverloadRetryAfter = std::chrono::milliseconds(500);
/// Time after the deadline during which the home's answer is still accepted.
constexpr core::Duration kDeadlineGrace = std::chrono::milliseconds(500);
/// Number of resends to a disconnected home within the home timeout.
constexpr int kResendsPerHomeTimeout = 4;
/// Maximum wait of a query, a cancellation or an explain request.
constexpr core::Duration kMaxQueryWait = std::chrono::minutes(10);

void FinishRequest(EntryBoard* board, std::uint64_t number, JobAnswer answer) {
  const auto found = board->requests.find(number);
  if (found == board->requests.end()) return;
  if (!found->second.plain_key.empty()) {
    answer.key = core::JobKey(found->second.plain_key);
  }
  ++board->counters.answers[std::string(Name(answer.outcome))];
  if (found->second.kind == RequestKind::kExplain) {
    // Of the answers that an entry gives itself, only that of a plain key
    // without a row is "not run" without a reason.
    const bool unknown =
        answer.outcome == Outcome::kNotRun && answer.reason == Reason::kNone;
    board->actions.emplace_back(
        AnswerExplain{number,
                      unknown ? KeyHistory::kUnknownKey : KeyHistory::kKnown,
                      {answer.detail}});
  } else {
    board->actions.emplace_back(AnswerClient{number, std::move(answer)});
  }
  board->requests.erase(found);
}

void FinishWithOutcome(EntryBoard* board, std::uint64_t number, Outcome outcome,
                       Reason reason, const std::string& detail,
                       core::Duration retry_after) {
  const auto found = board->requests.find(number);
  if (found == board->requests.end()) return;
  JobAnswer answer;
  answer.key = found->second.spec.key;
  answer.outcome = outcome;
  answer.reason = reason;
  answer.detail = detail;
  answer.retry_after = retry_after;
  FinishRequest(board, number, std::move(answer));
}

/// Ends a request whose home is unreachable. The outcome is unknown even if
/// this entry never sent the job, because another entry may have sent it.
void FinishAsHomeGone(EntryBoard* board, std::uint64_t number) {
  FinishWithOutcome(board, number, Outcome::kUnknown, Reason::kHomeGone,
                    "The process that answers for the key is gone.",
                    core::Duration(0));
}

/// Ends a request with a plain key for which the table did not answer. Without
/// the key's row, an earlier submission of the key may have run.
void FinishAsTableOutage(EntryBoard* board, std::uint64_t number) {
  const bool missing = board->requests.at(number).key_row_missing;
  FinishWithOutcome(board, number,
                    missing ? Outcome::kNotRun : Outcome::kUnknown,
                    Reason::kPlatformOut,
                    "The platform's table does not answer; use a key with a "
                    "handle, or retry later.",
                    kTableOutageRetryAfter);
}

/// The request number that the home sees, which contains the round.
std::uint64_t RequestNumberWithRound(std::uint64_t number,
                                     std::uint64_t round) {
  return number + (round << kRequestNumberBits);
}

std::uint64_t LocalRequestNumber(std::uint64_t wire_number) {
  return RequestNumberWithoutRound(wire_number);
}

void SendToHome(EntryBoard* board, core::Time now, std::uint64_t number) {
  EntryRequest& request = board->requests.at(number);
  const core::NodeId route = DestinationOf(*board, request);
  if (route != request.destination) request.disconnected_since.reset();
  request.destination = route;
  // Resends until the home confirms the request: the first copy may have been
  // lost with the connection, and the home confirms only a repeated request.
  request.resend_at =
      request.disconnected_since.has_value()
          ? now + board->policy.home_timeout / kResendsPerHomeTimeout
          : core::kNever;
  request.sent = true;
  const std::uint64_t wire = RequestNumberWithRound(number, request.round);
  switch (request.kind) {
    case RequestKind::kSubmit: {
      Submit submit{wire, request.spec, request.body_digest};
      submit.spec.time_left = request.deadline - now;
      Post(board, request.destination, std::move(submit));
      return;
    }
    case RequestKind::kQuery:
      Post(board, request.destination, Query{wire, request.spec.key});
      return;
    case RequestKind::kCancel:
      Post(board, request.destination, Cancel{wire, request.spec.key});
      return;
    case RequestKind::kExplain:
      Post(board, request.destination, Explain{wire, request.spec.key});
      return;
  }
}

void ReadKeyRow(EntryBoard* board, core::Time now, std::uint64_t number) {
  TableCall call;
  call.operation = TableOperation::kRead;
  call.row = TableRow::kKey;
  call.key = board->requests.at(number).plain_key;
  CallTable(board, now, TablePurpose::kBindKey, number, std::move(call));
}

/// Binds a plain key to a newly chosen home.
void InsertKeyRow(EntryBoard* board, core::Time now, std::uint64_t number) {
  EntryRequest& request = board->requests.at(number);
  const std::optional<std::string> handle =
      MintHandle(board, request.spec.service);
  if (!handle.has_value()) {
    FinishWithOutcome(board, number, Outcome::kNotRun, Reason::kNoTarget,
                      "No agent is known.", kNoHomeRetryAfter);
    return;
  }
  request.inserted_key_row = true;
  TableCall call;
  call.operation = TableOperation::kInsert;
  call.row = TableRow::kKey;
  call.key = request.plain_key;
  call.text = *handle + ".k" + std::to_string(Digest(request.plain_key));
  CallTable(board, now, TablePurpose::kBindKey, number, std::move(call));
}

/// Determines the home from the key and sends the request to it.
void StartRequest(EntryBoard* board, core::Time now, std::uint64_t number,
                  const std::string& key_text) {
  EntryRequest& request = board->requests.at(number);
  const std::optional<Handle> handle = ParseHandle(core::JobKey(key_text));
  if (!handle.has_value()) {
    request.plain_key = key_text;
    ReadKeyRow(board, now, number);
    return;
  }
  request.spec.key = core::JobKey(key_text);
  request.key_home = handle->home;
  SendToHome(board, now, number);
}

std::uint64_t AddRequest(EntryBoard* board, core::Time now,
                         EntryRequest request, const std::string& key_text) {
  const std::uint64_t number = board->next_request++;
  request.spec.key = core::JobKey(key_text);
  const bool full = board->requests.size() >= board->policy.max_entry_requests;
  board->requests.emplace(number, std::move(request));
  if (full) {
    // The home gets no request: an earlier submission of the key may have run.
    FinishWithOutcome(board, number, Outcome::kUnknown, Reason::kOverload,
                      "The entry has too many open requests; retry later.",
                      kOverloadRetryAfter);
    return number;
  }
  StartRequest(board, now, number, key_text);
  return number;
}

/// True when the home refused the job because it does not have the note yet
/// that adds the service.
bool IsHomeNoteOutdated(const EntryBoard& board, const EntryRequest& request,
                        const JobAnswer& answer) {
  return request.kind == RequestKind::kSubmit &&
         answer.outcome == Outcome::kNotRun &&
         answer.reason == Reason::kUnknownService &&
         board.world.services.count(request.spec.service) > 0;
}

/// Stops resending: the home has confirmed that it has the request.
void ClearDisconnection(EntryRequest* request) {
  if (!request->disconnected_since.has_value()) return;
  request->disconnected_since.reset();
  request->resend_at = core::kNever;
}

bool HasValidDigest(const Answer& answer) {
  return Digest(answer.answer.results) == answer.results_digest ||
         answer.answer.outcome != Outcome::kComplete;
}

}  // namespace

std::uint64_t OnClientSubmit(EntryBoard* board, core::Time now, JobSpec spec,
                             const std::string& key_text, core::Duration wait) {
  EntryRequest request;
  request.kind = RequestKind::kSubmit;
  request.body_digest = Digest(spec);
  request.deadline = now + spec.time_left;
  request.wait_until = now + wait;
  request.spec = std::move(spec);
  return AddRequest(board, now, std::move(request), key_text);
}

std::uint64_t OnClientRequest(EntryBoard* board, core::Time now,
                              RequestKind kind, const std::string& key_text,
                              core::Duration wait) {
  EntryRequest request;
  request.kind = kind;
  request.deadline = now + kMaxQueryWait;
  request.wait_until = now + wait;
  return AddRequest(board, now, std::move(request), key_text);
}

void OnClientDisconnected(EntryBoard* board, std::uint64_t request) {
  board->requests.erase(request);
}

void HandleAnswer(EntryBoard* board, core::Time now, const core::NodeId& from,
                  Answer answer) {
  const std::uint64_t number = LocalRequestNumber(answer.request);
  const auto found = board->requests.find(number);
  if (found == board->requests.end()) return;
  EntryRequest& request = found->second;
  // Answers must match the home and the key, not only the number.
  if (request.destination != from || request.spec.key != answer.answer.key)
    return;
  // A refusal or confirmation of an earlier round does not apply to the
  // current one.
  const bool present =
      answer.request == RequestNumberWithRound(number, request.round);
  if (answer.answer.outcome == Outcome::kNotRun && !present) return;
  if (answer.answer.outcome == Outcome::kRunning) {
    if (present) ClearDisconnection(&request);
    return;
  }
  const bool has_all_results =
      answer.answer.outcome != Outcome::kComplete ||
      request.kind != RequestKind::kSubmit ||
      answer.answer.results.size() == request.spec.tasks.size();
  if (!has_all_results || !HasValidDigest(answer)) {
    FinishWithOutcome(board, number, Outcome::kUnknown, Reason::kTruncated,
                      "The answer was incomplete; query the job by its key.",
                      core::Duration(0));
    return;
  }
  if (IsHomeNoteOutdated(*board, request, answer.answer) &&
      now + board->policy.resubmit_interval < request.deadline) {
    request.resend_at = now + board->policy.resubmit_interval;
    request.disconnected_since.reset();
    ++request.round;
    return;
  }
  FinishRequest(board, number, std::move(answer.answer));
}

void HandleExplanation(EntryBoard* board, const core::NodeId& from,
                       Explanation explanation) {
  const std::uint64_t number = LocalRequestNumber(explanation.request);
  const auto found = board->requests.find(number);
  if (found == board->requests.end() || found->second.destination != from)
    return;
  board->actions.emplace_back(
      AnswerExplain{number, explanation.history, std::move(explanation.lines)});
  board->requests.erase(found);
}

void HandleKeyReply(EntryBoard* board, core::Time now, std::uint64_t number,
                    const TableReply& reply) {
  const auto found = board->requests.find(number);
  if (found == board->requests.end()) return;
  EntryRequest& request = found->second;
  if (reply.status == TableStatus::kOk && !reply.text.empty()) {
    const std::optional<Handle> handle = ParseHandle(core::JobKey(reply.text));
    if (!handle.has_value()) {
      FinishAsHomeGone(board, number);
      return;
    }
    request.spec.key = core::JobKey(reply.text);
    request.key_home = handle->home;
    SendToHome(board, now, number);
    return;
  }
  const bool wrote = request.inserted_key_row;
  if (reply.status == TableStatus::kMissing) request.key_row_missing = true;
  if (reply.status == TableStatus::kMissing &&
      request.kind == RequestKind::kSubmit) {
    InsertKeyRow(board, now, number);
    return;
  }
  if (reply.status == TableStatus::kMissing) {
    FinishWithOutcome(board, number, Outcome::kNotRun, Reason::kNone,
                      kUnknownKeyDetail, core::Duration(0));
    return;
  }
  // After a conflict or a lost reply, the row shows which write succeeded.
  if (wrote && reply.status != TableStatus::kUnavailable) {
    request.inserted_key_row = false;
    request.key_row_missing = false;
    ReadKeyRow(board, now, number);
    return;
  }
  FinishAsTableOutage(board, number);
}

void TickRequests(EntryBoard* board, core::Time now) {
  std::vector<std::uint64_t> waited, lost, resend;
  for (const auto& [number, request] : board->requests) {
    const bool silent =
        request.disconnected_since.has_value() &&
        now - *request.disconnected_since >= board->policy.home_timeout;
    if (silent || now >= request.deadline + kDeadlineGrace) {
      lost.push_back(number);
    } else if (now >= request.wait_until && now < request.deadline) {
      waited.push_back(number);
    } else if (now >= request.resend_at) {
      resend.push_back(number);
    }
  }
  for (const std::uint64_t number : waited) {
    FinishWithOutcome(board, number, Outcome::kRunning, Reason::kNone,
                      "Ask again by key.", core::Duration(0));
  }
  for (const std::uint64_t number : lost) {
    if (board->requests.at(number).sent) {
      FinishAsHomeGone(board, number);
      continue;
    }
    FinishAsTableOutage(board, number);
  }
  for (const std::uint64_t number : resend) {
    ++board->counters.resubmissions;
    SendToHome(board, now, number);
  }
}

void ScheduleResendsTo(EntryBoard* board, core::Time now,
                       const core::NodeId& peer) {
  for (auto& [number, request] : board->requests) {
    if (request.destination != peer || !request.sent) continue;
    if (!request.disconnected_since.has_value())
      request.disconnected_since = now;
    request.resend_at = now + board->policy.resubmit_interval;
  }
}

void EndOrRerouteRequestsTo(EntryBoard* board, core::Time now,
                            const core::NodeId& peer) {
  std::vector<std::uint64_t> gone;
  for (auto& [number, request] : board->requests) {
    if (request.destination != peer || !request.sent) continue;
    const bool has_heir = DestinationOf(*board, request) != peer;
    if (!has_heir && !MayHaveHeir(*board, now, peer)) {
      gone.push_back(number);
      continue;
    }
    if (!request.disconnected_since.has_value())
      request.disconnected_since = now;
    request.resend_at = has_heir ? now : now + board->policy.resubmit_interval;
  }
  for (const std::uint64_t number : gone) FinishAsHomeGone(board, number);
}

}  // namespace tarragon::dispatch
