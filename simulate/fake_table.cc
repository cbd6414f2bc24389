#include "fake_table.h"

#include <utility>

namespace tarragon::simulate {

using dispatch::TableCall;
using dispatch::TableOperation;
using dispatch::TableReply;
using dispatch::TableRow;
using dispatch::TableStatus;

FakeTable::FakeTable(dispatch::World world) : world_(std::move(world)) {}

TableReply FakeTable::Call(const TableCall& call) {
  TableReply reply;
  reply.number = call.number;
  reply.status = TableStatus::kOk;
  const bool is_world = call.row == TableRow::kWorld;
  std::uint64_t& version = is_world ? world_version_ : entries_version_;
  if (call.row == TableRow::kKey) {
    reply.status = TableStatus::kMissing;
    return reply;
  }
  if (call.operation == TableOperation::kRead) {
    if (version == 0)
      reply.status = TableStatus::kMissing;
    else if (version == call.version)
      reply.status = TableStatus::kUnchanged;
    reply.version = version;
    reply.world = world_;
    reply.entries = entries_;
    return reply;
  }
  const std::uint64_t expected =
      call.operation == TableOperation::kInsert ? 0 : call.version;
  if (version != expected) {
    reply.status = TableStatus::kConflict;
    return reply;
  }
  reply.version = ++version;
  if (is_world)
    world_ = call.world;
  else
    entries_ = call.entries;
  return reply;
}

}  // namespace tarragon::simulate
