#include "describe.h"

#include <sstream>

#include "setup.h"

namespace tarragon::prove {
namespace {

void DescribePolicy(const dispatch::Policy& policy, std::ostringstream* text) {
  *text << "policy: late_binding=" << policy.late_binding
        << " random_placement="
        << (policy.placement == dispatch::PlacementStrategy::kRandom)
        << " epochs=" << policy.handle_epochs
        << " sample=" << policy.member_sample
        << " fanout=" << policy.heartbeat_fanout
        << " retry_burst=" << policy.retry_burst
        << " home_queue=" << policy.max_home_queue
        << " entry_requests=" << policy.max_entry_requests << "\n";
}

void DescribeAgent(const Setup& setup, const Process& process,
                   std::ostringstream* text) {
  const dispatch::AgentBoard& board = process.agent;
  const FakeTarget& target = setup.targets.all[process.index];
  *text << " slots=" << board.target.slots
        << " present=" << board.target.present
        << " running=" << board.running_tasks
        << " at_target=" << target.runs.size()
        << " foreign=" << board.target.foreign_running
        << " pulls=" << board.open_pulls.size()
        << " wants=" << board.remote_wants.size()
        << " ejected=" << board.health.ejected
        << " failures=" << static_cast<int>(board.health.decayed_failures)
        << "/" << static_cast<int>(board.health.decayed_ends)
        << " permit_ms=" << core::Millis(board.permit_until - Now(setup))
        << " active=" << board.active_jobs.size()
        << " tokens=" << static_cast<int>(board.retry_tokens)
        << " peers=" << board.peers.size();
  for (const auto& [service, queue] : board.service_queues) {
    *text << " " << service.value() << ":queued=" << queue.size
          << ",told=" << queue.notified_executors.size();
  }
  for (const auto& [tenant, running] : board.running_tasks_by_tenant) {
    *text << " " << tenant.value() << ":running=" << running;
  }
}

void DescribeEntry(const Setup& setup, const Process& process,
                   std::ostringstream* text) {
  const dispatch::EntryBoard& board = process.entry;
  *text << " requests=" << board.requests.size()
        << " calls=" << board.open_table_calls.size()
        << " members=" << board.members.size()
        << " entries_version=" << board.entries.version
        << " listed=" << board.entries.members.size() << "+"
        << board.entries.previous.size();
  if (board.confirmed_at.has_value()) {
    *text << " confirmed_ms_ago="
          << core::Millis(Now(setup) - *board.confirmed_at);
  }
}

}  // namespace

std::string DescribeSetup(const Setup& setup) {
  std::ostringstream text;
  DescribePolicy(setup.policy, &text);
  if (setup.entry_churn) text << "faults strike entries most of all\n";
  for (const Process& process : setup.processes) {
    text << "p" << process.index << (process.is_agent ? " agent " : " entry ")
         << process.domain.value() << " " << core::ToString(process.node)
         << (process.alive ? "" : " dead") << (process.frozen ? " frozen" : "")
         << (process.stopping ? " stopping" : "")
         << " version=" << WorldOf(process).version.value();
    if (process.is_agent) {
      DescribeAgent(setup, process, &text);
    } else {
      DescribeEntry(setup, process, &text);
    }
    text << "\n";
  }
  return text.str();
}

}  // namespace tarragon::prove
