#include "entry_internal.h"

// Guards an entry that was paused, or was too busy to look at its connections.
// A client whose connection has ended resubmits its job elsewhere after 1.3 s;
// an entry that has not read the end of the connection must not start the job
// then.

namespace tarragon::coordinator {

void RecordTick(JobBoard* board, core::Time now) {
  const core::Time last = board->last_tick_at.value_or(now);
  board->last_tick_at = now;
  if (now - last <= board->policy.stall_limit) {
    // By this tick the entry has read what had arrived when it resumed, unless
    // it was paused again.
    if (now >= board->caught_up_at) board->stalled = false;
    return;
  }
  ++board->counts.stalls;
  board->stalled = true;
  board->caught_up_at = now + board->policy.stall_recovery;
  AddLogLine(board, "Stalled; starting nothing before having caught up.", "",
             {{"stalled", FormatMillis(now - last)},
              {"waiting", std::to_string(board->waiting_tasks.size())}});
}

bool IsCaughtUp(const JobBoard& board, core::Time now) {
  if (!board.last_tick_at.has_value()) return true;
  return !board.stalled &&
         now - *board.last_tick_at <= board.policy.stall_limit;
}

}  // namespace tarragon::coordinator
