#include "table_gateway.h"

#include <string>
#include <utility>

#include "tarragon/core/log.h"
#include "tarragon/notes/world_codec.h"

namespace tarragon::daemons {
namespace {

using dispatch::TableCall;
using dispatch::TableOperation;
using dispatch::TableReply;
using dispatch::TableRow;
using dispatch::TableStatus;

constexpr char kStateTable[] = "tarragon";
constexpr char kKeyTable[] = "tarragon-keys";

const core::Log& TableLog() {
  static const core::Log log("table");
  return log;
}

std::string TableNameOf(const TableCall& call) {
  return call.row == TableRow::kKey ? kKeyTable : kStateTable;
}

std::string RowKeyOf(const TableCall& call) {
  switch (call.row) {
    case TableRow::kWorld:
      return "world";
    case TableRow::kEntries:
      return "entries";
    case TableRow::kKey:
      return call.key;
  }
  return {};
}

std::string EncodeValue(const TableCall& call) {
  switch (call.row) {
    case TableRow::kWorld:
      return notes::EncodeWorld(call.world);
    case TableRow::kEntries:
      return notes::EncodeEntries(call.entries);
    case TableRow::kKey:
      return call.text;
  }
  return {};
}

TableStatus ConvertStatus(notes::TableStatus status) {
  switch (status) {
    case notes::TableStatus::kOk:
      return TableStatus::kOk;
    case notes::TableStatus::kUnchanged:
      return TableStatus::kUnchanged;
    case notes::TableStatus::kMissing:
      return TableStatus::kMissing;
    case notes::TableStatus::kConflict:
      return TableStatus::kConflict;
    case notes::TableStatus::kUnavailable:
      return TableStatus::kUnavailable;
    case notes::TableStatus::kUnknown:
      return TableStatus::kUnknown;
  }
  return TableStatus::kUnknown;
}

/// Decodes `value` into `reply`. Returns false and logs the reason if it is
/// invalid.
bool DecodeValue(TableRow row, const std::string& value, TableReply* reply) {
  notes::TableError error;
  if (row == TableRow::kWorld) {
    std::optional<dispatch::World> world = notes::DecodeWorld(value, &error);
    if (world.has_value())
      reply->world = std::move(*world);
    else
      TableLog().Error("Cannot decode the table's row of the world.",
                       {{"why", error.detail}});
    return world.has_value();
  }
  if (row == TableRow::kEntries) {
    std::optional<dispatch::EntryList> entries =
        notes::DecodeEntries(value, &error);
    if (entries.has_value())
      reply->entries = std::move(*entries);
    else
      TableLog().Error("Cannot decode the table's row of the entries.",
                       {{"why", error.detail}});
    return entries.has_value();
  }
  reply->text = value;
  return true;
}

}  // namespace

void CallTable(notes::Table* table, TableCall call,
               std::function<void(TableReply)> done) {
  const bool is_read = call.operation == TableOperation::kRead;
  const auto on_reply = [number = call.number, row = call.row, is_read,
                         done = std::move(done)](notes::TableReply answer) {
    TableReply reply;
    reply.number = number;
    reply.status = ConvertStatus(answer.status);
    reply.version = answer.version;
    const bool has_value = is_read && reply.status == TableStatus::kOk;
    if (has_value && !DecodeValue(row, answer.value, &reply)) {
      reply.status = TableStatus::kUnavailable;
    }
    done(std::move(reply));
  };
  const std::string name = TableNameOf(call);
  const std::string key = RowKeyOf(call);
  switch (call.operation) {
    case TableOperation::kRead:
      table->Read(name, key, call.version, on_reply);
      return;
    case TableOperation::kInsert:
      table->Insert(name, key, EncodeValue(call), on_reply);
      return;
    case TableOperation::kReplace:
      table->Replace(name, key, EncodeValue(call), call.version, on_reply);
      return;
  }
}

}  // namespace tarragon::daemons
