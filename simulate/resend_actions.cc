#include <cstdio>
#include <utility>
#include <variant>

#include "resend_state.h"

// What the boards request, as the daemons carry it out.

namespace tarragon::simulate {

void ResendWorld::Flush(ProcessIndex p) {
  Process& process = processes_[p];
  if (!process.alive) return;
  if (IsEntry(p)) {
    std::vector<coordinator::JobAction> actions;
    actions.swap(process.entry->actions);
    process.entry->ended_jobs.clear();
    for (coordinator::JobAction& action : actions) {
      std::visit([this, p](auto& each) { Execute(p, each); }, action);
    }
    TraceLog(p, &process.entry->log_lines);
    return;
  }
  std::vector<coordinator::GateAction> actions;
  actions.swap(process.gate->actions);
  for (coordinator::GateAction& action : actions) {
    std::visit([this, p](auto& each) { Execute(p, each); }, action);
  }
  TraceLog(p, &process.gate->log_lines);
}

void ResendWorld::TraceLog(ProcessIndex p,
                           std::vector<coordinator::LogLine>* lines) {
  for (const coordinator::LogLine& line : *lines) {
    if (!plan_.trace) break;
    std::string text = FormatResendTime(now_) + " " + processes_[p].name + "." +
                       std::to_string(processes_[p].life) + " " + line.message +
                       " " + line.subject;
    for (const auto& [name, value] : line.fields) {
      text.append(" ").append(name).append("=").append(value);
    }
    result_.trace.push_back(std::move(text));
  }
  lines->clear();
}

namespace {

template <typename Message>
constexpr bool kIsForEntries =
    std::is_same_v<Message, coordinator::TargetReport> ||
    std::is_same_v<Message, coordinator::RunEnded> ||
    std::is_same_v<Message, coordinator::RunProgress>;
template <typename Message>
constexpr bool kIsForBoth =
    std::is_same_v<Message, coordinator::OperatorUpdate>;

}  // namespace

template <typename Message>
void ResendWorld::Execute(ProcessIndex p,
                          coordinator::SendTo<Message>& action) {
  Send(p, action.to,
       [this, message = std::move(action.message)](ProcessIndex receiver,
                                                   const core::NodeId& from) {
         const Process& process = processes_[receiver];
         const core::Time now = ClockOf(receiver);
         if constexpr (kIsForBoth<Message>) {
           if (IsEntry(receiver)) {
             coordinator::OnMessage(process.entry.get(), now, from, message);
           } else {
             coordinator::OnMessage(process.gate.get(), now, from, message);
           }
         } else if constexpr (kIsForEntries<Message>) {
           coordinator::OnMessage(process.entry.get(), now, from, message);
         } else {
           coordinator::OnMessage(process.gate.get(), now, from, message);
         }
       });
}

void ResendWorld::Execute(ProcessIndex p,
                          const coordinator::DisconnectGate& action) {
  DropPeer(p, action.node);
}

void ResendWorld::Execute(ProcessIndex p,
                          const coordinator::StoreTarget& action) {
  processes_[p].stored_target = action.target;
}

}  // namespace tarragon::simulate
