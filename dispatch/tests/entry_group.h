#ifndef TARRAGON_DISPATCH_TESTS_ENTRY_GROUP_H_
#define TARRAGON_DISPATCH_TESTS_ENTRY_GROUP_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "tarragon/dispatch/entry.h"

namespace tarragon::dispatch {

/// Simulates entries and their table in steps of 20 ms. Messages and table
/// calls take effect immediately and in order; replies of a slow table take one
/// step. Tests can isolate entries, make the table unavailable and drop
/// replies.
class EntryGroup {
 public:
  struct Member {
    EntryBoard board;
    bool alive = true;
    /// Whether the other entries, or the table, are unreachable.
    bool isolated = false;
    bool table_unreachable = false;
    /// The next write takes effect, but its reply is lost.
    bool lose_next_write = false;
    std::vector<NoteAnswer> note_answers;
    std::vector<JobAnswer> job_answers;
    std::vector<SendMessage> sent_to_agents;
    /// Replies of a slow table that are delivered in the next step.
    std::vector<TableReply> delayed_replies;
  };

  explicit EntryGroup(int entries) {
    for (int i = 0; i < entries; ++i) Add();
  }

  /// Adds an entry with its own address and returns its index.
  std::size_t Add() {
    const std::uint64_t number = members_.size() + 1;
    const core::NodeId node{
        core::Address("10.0.9." + std::to_string(number) + ":7100"),
        core::Incarnation(number)};
    members_.push_back(std::make_unique<Member>());
    InitEntry(&members_.back()->board, now_, node, core::DomainId("d"), number);
    return members_.size() - 1;
  }

  Member& At(std::size_t index) { return *members_[index]; }
  EntryBoard& BoardOf(std::size_t index) { return members_[index]->board; }
  std::size_t size() const { return members_.size(); }
  core::Time now() const { return now_; }

  void Run(core::Duration duration) {
    const core::Time until = now_ + duration;
    while (now_ < until) {
      now_ = now_ + std::chrono::milliseconds(20);
      for (const std::unique_ptr<Member>& member : members_) {
        if (!member->alive) continue;
        for (TableReply& reply : std::exchange(member->delayed_replies, {})) {
          OnTableReply(&member->board, now_, std::move(reply));
        }
        OnTick(&member->board, now_);
        ExecuteActions(member.get());
      }
    }
  }

  void Submit(std::size_t entry, const std::string& key) {
    JobSpec spec;
    spec.service = core::ServiceId("fit");
    spec.time_left = std::chrono::seconds(5);
    spec.tasks.resize(1);
    OnClientSubmit(&BoardOf(entry), now_, spec, key, spec.time_left);
    ExecuteActions(&At(entry));
  }

  void SubmitNote(std::size_t entry, ReleaseNote note) {
    OnOperatorNote(&BoardOf(entry), now_, std::move(note));
    ExecuteActions(&At(entry));
  }

  /// Sends a heartbeat to the entry and returns the permit that answers it.
  Permit RequestPermit(std::size_t entry) {
    const core::NodeId agent{core::Address("10.0.0.1:7100"),
                             core::Incarnation(500)};
    Heartbeat heartbeat;
    heartbeat.sequence = 1;
    heartbeat.status.node = agent;
    OnMessage(&BoardOf(entry), now_, agent, heartbeat);
    Permit permit;
    for (EntryAction& action : BoardOf(entry).actions) {
      auto* send = std::get_if<SendMessage>(&action);
      if (send == nullptr || send->to != agent) continue;
      permit = std::get<Permit>(send->message);
    }
    ExecuteActions(&At(entry));
    return permit;
  }

  bool GrantsPermits(std::size_t entry) {
    return RequestPermit(entry).lifetime.count() > 0;
  }

  bool table_out = false;
  bool slow_table = false;
  std::uint64_t writes = 0;

 private:
  struct Row {
    std::uint64_t version = 0;
    TableCall call;
  };

  void ExecuteActions(Member* member) {
    while (!member->board.actions.empty()) {
      std::vector<EntryAction> actions;
      actions.swap(member->board.actions);
      for (EntryAction& action : actions) Execute(member, &action);
    }
  }

  void Execute(Member* member, EntryAction* action) {
    if (auto* send = std::get_if<SendMessage>(action)) {
      Deliver(member, std::move(*send));
    } else if (auto* call = std::get_if<TableCall>(action)) {
      Answer(member, *call);
    } else if (auto* note = std::get_if<AnswerNote>(action)) {
      member->note_answers.push_back(note->answer);
    } else if (auto* job = std::get_if<AnswerClient>(action)) {
      member->job_answers.push_back(job->answer);
    }
  }

  void Deliver(Member* from, SendMessage send) {
    for (const std::unique_ptr<Member>& member : members_) {
      if (member->board.self != send.to) continue;
      if (!member->alive || member->isolated || from->isolated) return;
      OnMessage(&member->board, now_, from->board.self,
                std::move(send.message));
      ExecuteActions(member.get());
      return;
    }
    from->sent_to_agents.push_back(std::move(send));
  }

  static std::string RowName(const TableCall& call) {
    if (call.row == TableRow::kWorld) return "world";
    if (call.row == TableRow::kEntries) return "entries";
    return "key/" + call.key;
  }

  void Answer(Member* member, const TableCall& call) {
    TableReply reply;
    reply.number = call.number;
    if (table_out || member->table_unreachable) {
      reply.status = TableStatus::kUnavailable;
    } else if (call.operation == TableOperation::kRead) {
      Read(call, &reply);
    } else {
      Write(call, &reply);
      if (std::exchange(member->lose_next_write, false)) {
        reply = TableReply{};
        reply.number = call.number;
        reply.status = TableStatus::kUnknown;
      }
    }
    if (slow_table) {
      member->delayed_replies.push_back(std::move(reply));
      return;
    }
    OnTableReply(&member->board, now_, std::move(reply));
  }

  void Read(const TableCall& call, TableReply* reply) {
    const auto cell = rows_.find(RowName(call));
    if (cell == rows_.end()) {
      reply->status = TableStatus::kMissing;
      return;
    }
    reply->version = cell->second.version;
    reply->status = reply->version == call.version ? TableStatus::kUnchanged
                                                   : TableStatus::kOk;
    if (reply->status == TableStatus::kUnchanged) return;
    reply->world = cell->second.call.world;
    reply->entries = cell->second.call.entries;
    reply->text = cell->second.call.text;
  }

  void Write(const TableCall& call, TableReply* reply) {
    Row& cell = rows_[RowName(call)];
    const std::uint64_t expected =
        call.operation == TableOperation::kInsert ? 0 : call.version;
    if (cell.version != expected) {
      reply->status = TableStatus::kConflict;
      return;
    }
    ++writes;
    ++cell.version;
    cell.call = call;
    reply->status = TableStatus::kOk;
    reply->version = cell.version;
  }

  core::Time now_{std::chrono::seconds(1000)};
  std::vector<std::unique_ptr<Member>> members_;
  std::map<std::string, Row> rows_;
};

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_TESTS_ENTRY_GROUP_H_
