#include "tarragon/coordinator/job.h"

namespace tarragon::coordinator {

std::string ToString(const RunRef& run) {
  return run.task.job.value() + "/" + std::to_string(run.task.step) + "." +
         std::to_string(run.task.index) + "#" + std::to_string(run.number);
}

const char* Name(RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kLapsed:
      return "lapsed";
    case RunEnd::kRefused:
      return "refused";
  }
  return "invalid";
}

const char* Name(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNone:
      return "none";
    case RefusalReason::kStale:
      return "stale";
    case RefusalReason::kNoTarget:
      return "no_target";
    case RefusalReason::kDomainOut:
      return "domain_out";
    case RefusalReason::kWrongTarget:
      return "wrong_target";
    case RefusalReason::kNoRoom:
      return "no_room";
    case RefusalReason::kDuplicate:
      return "duplicate";
    case RefusalReason::kSealed:
      return "sealed";
    case RefusalReason::kTargetRefused:
      return "target_refused";
    case RefusalReason::kOldRun:
      return "old_run";
    case RefusalReason::kOtherSuspect:
      return "other_suspect";
  }
  return "invalid";
}

}  // namespace tarragon::coordinator
