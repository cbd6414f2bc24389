#include <string>

#include "gate_internal.h"

// What the log tells of runs, so that two runs of one task can be explained.

namespace tarragon::coordinator {
namespace {

std::string FormatAge(core::Time now, core::Time then) {
  return std::to_string(core::Millis(now - then)) + "ms";
}

}  // namespace

const char* Name(StopReason reason) {
  switch (reason) {
    case StopReason::kNone:
      return "none";
    case StopReason::kByEntry:
      return "by_entry";
    case StopReason::kEntrySilent:
      return "entry_silent";
    case StopReason::kEntryReplaced:
      return "entry_replaced";
    case StopReason::kUnclaimed:
      return "unclaimed";
    case StopReason::kUnansweredStart:
      return "unanswered_start";
    case StopReason::kUnknownRun:
      return "unknown_run";
    case StopReason::kListedAfterEnd:
      return "listed_after_end";
  }
  return "invalid";
}

void SetStopReason(core::Time now, StopReason reason, GateRun* run) {
  if (run->stop_reason != StopReason::kNone) return;
  run->stop_reason = reason;
  run->stop_requested_at = now;
}

std::string DescribeSilence(const GateBoard& board, core::Time now,
                            const core::NodeId& home) {
  const auto found = board.homes.find(home.address);
  if (found == board.homes.end() || found->second.node != home) {
    return "unknown";
  }
  return FormatAge(now, found->second.confirmed_report_at);
}

void LogRunEnd(GateBoard* board, core::Time now, const RunRef& ref,
               const GateRun& run, const RunEnded& ended) {
  LogFields fields = {
      {"end", Name(ended.end)},
      {"reason", Name(ended.reason)},
      {"run_time", std::to_string(core::Millis(ended.run_time)) + "ms"},
      {"target_crashed", ended.target_crashed ? "true" : "false"},
      {"entry", core::ToString(run.home)},
      {"entry_silent", DescribeSilence(*board, now, run.home)},
      {run.found ? "found" : "ordered", FormatAge(now, run.ordered_at)}};
  if (run.stop_reason != StopReason::kNone) {
    fields.emplace_back("stop", Name(run.stop_reason));
    fields.emplace_back("stop_age", FormatAge(now, run.stop_requested_at));
  }
  AddLogLine(board, "A run ended.", ToString(ref), std::move(fields));
}

LogFields DescribeRivals(const GateBoard& board, core::Time now,
                         const RunRef& ref) {
  LogFields fields;
  const auto past = board.ended_runs.find(ref);
  if (past != board.ended_runs.end()) {
    fields.emplace_back("past_end", Name(past->second.ended.end));
    fields.emplace_back("past_entry", core::ToString(past->second.home));
    fields.emplace_back("past_ended", FormatAge(now, past->second.ended_at));
  }
  const auto other = board.runs.lower_bound(RunRef{ref.task, 0});
  if (other != board.runs.end() && other->first.task == ref.task) {
    const GateRun& run = other->second;
    fields.emplace_back("other_run", std::to_string(other->first.number));
    fields.emplace_back("other_entry", core::ToString(run.home));
    fields.emplace_back("other_ordered", FormatAge(now, run.ordered_at));
    fields.emplace_back("other_silent", DescribeSilence(board, now, run.home));
  }
  return fields;
}

LogFields DescribeRefusal(const GateBoard& board, core::Time now,
                          const StartRun& start, RefusalReason reason) {
  LogFields fields = {
      {"ordered", FormatAge(now, start.start_by - board.policy.start_window)}};
  if (reason != RefusalReason::kDuplicate && reason != RefusalReason::kSealed) {
    return fields;
  }
  const LogFields rivals = DescribeRivals(board, now, start.run);
  fields.insert(fields.end(), rivals.begin(), rivals.end());
  return fields;
}

}  // namespace tarragon::coordinator
