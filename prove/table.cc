#include "table.h"

#include <utility>

#include "setup.h"
#include "tarragon/dispatch/entry.h"

namespace tarragon::prove {
namespace {

using dispatch::TableCall;
using dispatch::TableOperation;
using dispatch::TableReply;
using dispatch::TableRow;
using dispatch::TableStatus;

constexpr core::Duration kTimeout = std::chrono::seconds(2);
constexpr core::Duration kLeast = std::chrono::microseconds(300);
constexpr core::Duration kMost = std::chrono::milliseconds(4);
constexpr core::Duration kSlowLeast = std::chrono::milliseconds(50);
constexpr core::Duration kSlowMost = std::chrono::milliseconds(2500);
constexpr std::uint64_t kLossPermille = 300;

std::string CellOf(const TableCall& call) {
  switch (call.row) {
    case TableRow::kWorld:
      return "world";
    case TableRow::kEntries:
      return "entries";
    case TableRow::kKey:
      return "key/" + call.key;
  }
  return {};
}

TableReply Read(const TableCall& call, const Table& table) {
  TableReply reply;
  const auto cell = table.cells.find(CellOf(call));
  if (cell == table.cells.end()) {
    reply.status = TableStatus::kMissing;
    return reply;
  }
  reply.version = cell->second.version;
  if (call.version == reply.version) {
    reply.status = TableStatus::kUnchanged;
    return reply;
  }
  reply.status = TableStatus::kOk;
  reply.world = cell->second.world;
  reply.entries = cell->second.entries;
  reply.text = cell->second.text;
  return reply;
}

TableReply Write(Setup* setup, const TableCall& call) {
  TableReply reply;
  const std::string name = CellOf(call);
  const auto found = setup->table.cells.find(name);
  const bool absent = found == setup->table.cells.end();
  const bool matches = call.operation == TableOperation::kInsert
                           ? absent
                           : !absent && found->second.version == call.version;
  if (!matches) {
    reply.status = TableStatus::kConflict;
    Count(setup, "table.conflict");
    return reply;
  }
  TableCell& cell = setup->table.cells[name];
  ++cell.version;
  cell.world = call.world;
  cell.entries = call.entries;
  cell.text = call.text;
  reply.status = TableStatus::kOk;
  reply.version = cell.version;
  if (call.row == TableRow::kWorld) WitnessWorldWrite(setup, call.world);
  if (call.row == TableRow::kEntries) {
    Count(setup, call.entries.previous.empty() ? "entries.settled"
                                               : "entries.changing");
    std::string members;
    for (const dispatch::EntryMember& member : call.entries.members) {
      members += core::ToString(member.node) + " ";
    }
    members += "| ";
    for (const dispatch::EntryMember& member : call.entries.previous) {
      members += core::ToString(member.node) + " ";
    }
    Note(setup, kNoJob, "entries row", -1, -1,
         static_cast<std::int64_t>(call.entries.version), 0, members);
  }
  return reply;
}

TableReply Apply(Setup* setup, const TableCall& call) {
  TableReply reply = call.operation == TableOperation::kRead
                         ? Read(call, setup->table)
                         : Write(setup, call);
  reply.number = call.number;
  return reply;
}

void ReplyLater(Setup* setup, const ProcessLife& caller, core::Duration delay,
                TableReply reply) {
  setup->scheduler.After(delay, [setup, caller, reply = std::move(reply)]() {
    Deliver(setup, caller, (1ULL << 50) + reply.number,
            [setup, caller, reply]() {
              Process* process = &setup->processes[caller.process];
              dispatch::OnTableReply(&process->entry, Now(*setup), reply);
            });
  });
}

/// The caller hears nothing and gives up.
void TimeOut(Setup* setup, const ProcessLife& caller, const TableCall& call) {
  TableReply reply;
  reply.number = call.number;
  reply.status = call.operation == TableOperation::kRead
                     ? TableStatus::kUnavailable
                     : TableStatus::kUnknown;
  ReplyLater(setup, caller, kTimeout, std::move(reply));
}

void ApplyLater(Setup* setup, const TableCall& call, core::Duration delay) {
  setup->scheduler.After(delay, [setup, call]() { Apply(setup, call); });
}

void CallWhileOut(Setup* setup, const ProcessLife& caller,
                  const TableCall& call) {
  Count(setup, "table.call_while_out");
  if (setup->random.Chance(500)) {
    TimeOut(setup, caller, call);
    return;
  }
  TableReply reply;
  reply.number = call.number;
  reply.status = TableStatus::kUnavailable;
  ReplyLater(setup, caller, kMost, std::move(reply));
}

/// The call takes effect, now or late, and the reply is lost.
void LoseReply(Setup* setup, const ProcessLife& caller, const TableCall& call) {
  const bool write = call.operation != TableOperation::kRead;
  if (write) {
    Count(setup, "table.lost_write_reply");
    const bool late = setup->random.Chance(300);
    ApplyLater(setup, call,
               late ? kTimeout + setup->random.Between(kLeast, kSlowMost)
                    : setup->random.Between(kLeast, kMost));
  }
  TimeOut(setup, caller, call);
}

}  // namespace

void CallTable(Setup* setup, const ProcessLife& caller, TableCall call) {
  const bool cut = setup->table.cut.count(caller.process) > 0;
  if (cut || setup->table.mode == TableMode::kOut) {
    CallWhileOut(setup, caller, call);
    return;
  }
  const bool lossy = setup->table.mode == TableMode::kLossy;
  if (lossy && setup->random.Chance(kLossPermille)) {
    LoseReply(setup, caller, call);
    return;
  }
  const bool slow = setup->table.mode == TableMode::kSlow;
  const core::Duration there =
      slow ? setup->random.Between(kSlowLeast, kSlowMost)
           : setup->random.Between(kLeast, kMost);
  const core::Duration back = slow
                                  ? setup->random.Between(kSlowLeast, kSlowMost)
                                  : setup->random.Between(kLeast, kMost);
  if (there + back > kTimeout) {
    ApplyLater(setup, call, there);
    TimeOut(setup, caller, call);
    return;
  }
  setup->scheduler.After(there,
                         [setup, caller, call = std::move(call), back]() {
                           ReplyLater(setup, caller, back, Apply(setup, call));
                         });
}

void SetTableMode(Setup* setup, TableMode mode) {
  if (setup->table.mode == mode) return;
  setup->table.mode = mode;
  setup->table.calm_since = Now(*setup);
  Note(setup, kNoJob, "table mode", -1, -1, static_cast<std::int64_t>(mode));
  Count(setup, mode == TableMode::kOut     ? "fault.table_out"
               : mode == TableMode::kSlow  ? "fault.table_slow"
               : mode == TableMode::kLossy ? "fault.table_lossy"
                                           : "fault.table_fine");
}

}  // namespace tarragon::prove
