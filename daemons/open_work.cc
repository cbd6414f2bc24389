#include "open_work.h"

namespace tarragon::daemons {
namespace {

bool IsUnfinished(dispatch::ExecutionState state) {
  return state == dispatch::ExecutionState::kWaiting ||
         state == dispatch::ExecutionState::kRunning ||
         state == dispatch::ExecutionState::kFinished;
}

}  // namespace

std::vector<std::string> ListOpenWork(const dispatch::AgentBoard& board) {
  std::vector<std::string> work;
  for (const core::JobKey& key : board.active_jobs) {
    work.push_back("job " + key.value());
  }
  for (const auto& [task, execution] : board.executions) {
    if (!IsUnfinished(execution.state)) continue;
    work.push_back("task " + std::to_string(task.task.value()) + " of " +
                   task.key.value());
  }
  return work;
}

std::vector<std::string> ListOpenWork(const dispatch::EntryBoard& board) {
  std::vector<std::string> work;
  for (const auto& [number, request] : board.requests) {
    work.push_back("request " + request.spec.key.value());
  }
  for (const auto& [number, note] : board.open_notes) {
    work.push_back("note " + note.note.id.value());
  }
  return work;
}

std::string JoinWithCommas(const std::vector<std::string>& items) {
  std::string text;
  for (const std::string& item : items) {
    if (!text.empty()) text += ", ";
    text += item;
  }
  return text;
}

}  // namespace tarragon::daemons
