#include <array>
#include <string_view>

#include "tarragon/dispatch/job.h"
#include "tarragon/dispatch/message.h"

namespace tarragon::dispatch {

std::string_view Name(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return "none";
    case Reason::kUnknownService:
      return "unknown_service";
    case Reason::kTooLarge:
      return "too_large";
    case Reason::kNoTarget:
      return "no_target";
    case Reason::kTenantLimit:
      return "tenant_limit";
    case Reason::kOverload:
      return "overload";
    case Reason::kDeadline:
      return "deadline";
    case Reason::kCancelled:
      return "cancelled";
    case Reason::kSealed:
      return "sealed";
    case Reason::kDomainOut:
      return "domain_out";
    case Reason::kLeaving:
      return "leaving";
    case Reason::kStaleView:
      return "stale_view";
    case Reason::kNoSlot:
      return "no_slot";
    case Reason::kTargetGone:
      return "target_gone";
    case Reason::kTaskFailed:
      return "task_failed";
    case Reason::kHomeGone:
      return "home_gone";
    case Reason::kExecutorGone:
      return "executor_gone";
    case Reason::kHandleExpired:
      return "handle_expired";
    case Reason::kKeyReused:
      return "key_reused";
    case Reason::kTruncated:
      return "truncated";
    case Reason::kPlatformOut:
      return "platform_out";
    case Reason::kAnswerDropped:
      return "answer_dropped";
  }
  return "invalid";
}

std::string_view Name(Outcome outcome) {
  switch (outcome) {
    case Outcome::kRunning:
      return "running";
    case Outcome::kComplete:
      return "complete";
    case Outcome::kFailed:
      return "failed";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "invalid";
}

const char* Name(const Message& message) {
  static constexpr std::array<const char*, std::variant_size_v<Message>>
      kNames = {"heartbeat",     "permit",       "submit",
                "query",         "cancel",       "answer",
                "explain",       "explanation",  "assign",
                "refused",       "started",      "finished",
                "finished_ack",  "seal",         "want",
                "pull",          "pull_empty",   "pull_task",
                "load_hint",     "entry_ping",   "entry_pong",
                "leaving",       "handover",     "handover_ack",
                "inherited",     "entry_notice", "operator_update",
                "target_report", "start_run",    "ask_run",
                "run_ended",     "target_hint",  "room_wanted",
                "run_progress"};
  return kNames[message.index()];
}

}  // namespace tarragon::dispatch
