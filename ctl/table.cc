#include "tarragon/ctl/table.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstddef>

namespace tarragon::ctl {
namespace {

namespace json = boost::json;

constexpr char kColumnGap[] = "  ";
constexpr char kEmptyCell[] = "-";

bool IsNumber(const std::string& text) {
  return !text.empty() &&
         text.find_first_not_of("0123456789.+-") == std::string::npos &&
         text.find_first_of("0123456789") != std::string::npos;
}

/// Characters of UTF-8 text.
std::size_t Width(const std::string& text) {
  return static_cast<std::size_t>(std::count_if(
      text.begin(), text.end(),
      [](char c) { return (static_cast<unsigned char>(c) & 0xC0U) != 0x80U; }));
}

std::string Cell(const std::vector<std::string>& row, std::size_t column) {
  if (column >= row.size() || row[column].empty()) return kEmptyCell;
  return row[column];
}

/// Whether every cell that is not empty is a number.
bool IsNumeric(const Table& table, std::size_t column) {
  bool any = false;
  for (const std::vector<std::string>& row : table.rows) {
    const std::string cell = Cell(row, column);
    if (cell == kEmptyCell) continue;
    if (!IsNumber(cell)) return false;
    any = true;
  }
  return any;
}

void AppendCell(const std::string& text, std::size_t width, bool to_right,
                std::string* line) {
  const std::string padding(width - Width(text), ' ');
  *line += to_right ? padding + text : text + padding;
}

/// Text of a value within one cell.
std::string CellText(const json::value& value) {
  if (value.is_null()) return "";
  if (value.is_string()) return std::string(value.get_string());
  if (!value.is_array()) return json::serialize(value);
  std::string text;
  for (const json::value& item : value.get_array()) {
    if (!text.empty()) text += ',';
    text += CellText(item);
  }
  return text;
}

/// Puts `text` into the column `name` of the row, which is added at need.
void SetCell(const std::string& name, std::string text, Table* table,
             std::vector<std::string>* row) {
  const auto at = std::find(table->header.begin(), table->header.end(), name);
  const std::size_t column =
      static_cast<std::size_t>(at - table->header.begin());
  if (at == table->header.end()) table->header.push_back(name);
  if (row->size() <= column) row->resize(column + 1);
  (*row)[column] = std::move(text);
}

void AddMembers(const std::string& prefix, const json::object& object,
                Table* table, std::vector<std::string>* row) {
  for (const json::key_value_pair& member : object) {
    const std::string name = prefix + std::string(member.key());
    if (member.value().is_object()) {
      AddMembers(name + ".", member.value().get_object(), table, row);
      continue;
    }
    SetCell(name, CellText(member.value()), table, row);
  }
}

bool HoldsObjects(const json::value& value) {
  if (value.is_array()) {
    const json::array& items = value.get_array();
    return !items.empty() && items[0].is_object();
  }
  if (!value.is_object() || value.get_object().empty()) return false;
  return value.get_object().begin()->value().is_object();
}

Table ToTable(const json::value& value) {
  Table table;
  if (value.is_array()) {
    for (const json::value& item : value.get_array()) {
      std::vector<std::string> row;
      if (item.is_object()) AddMembers("", item.get_object(), &table, &row);
      table.rows.push_back(std::move(row));
    }
    return table;
  }
  table.header.push_back("name");
  for (const json::key_value_pair& member : value.get_object()) {
    std::vector<std::string> row{std::string(member.key())};
    if (member.value().is_object()) {
      AddMembers("", member.value().get_object(), &table, &row);
    }
    table.rows.push_back(std::move(row));
  }
  return table;
}

void AppendPlain(const std::string& prefix, const json::object& object,
                 std::string* out) {
  for (const json::key_value_pair& member : object) {
    if (HoldsObjects(member.value())) continue;
    const std::string name = prefix + std::string(member.key());
    if (member.value().is_object()) {
      AppendPlain(name + ".", member.value().get_object(), out);
      continue;
    }
    const std::string text = CellText(member.value());
    *out += name + ": " + (text.empty() ? kEmptyCell : text) + "\n";
  }
}

/// Adds one table for each member that holds objects, at any depth.
void AppendTables(const std::string& prefix, const json::object& object,
                  std::string* out) {
  for (const json::key_value_pair& member : object) {
    const std::string name = prefix + std::string(member.key());
    if (HoldsObjects(member.value())) {
      if (!out->empty()) *out += "\n";
      *out += name + ":\n" + FormatTable(ToTable(member.value()));
    } else if (member.value().is_object()) {
      AppendTables(name + ".", member.value().get_object(), out);
    }
  }
}

}  // namespace

std::string FormatTable(const Table& table) {
  std::vector<std::size_t> widths;
  std::vector<bool> numeric;
  for (std::size_t column = 0; column < table.header.size(); ++column) {
    std::size_t width = Width(table.header[column]);
    for (const std::vector<std::string>& row : table.rows) {
      width = std::max(width, Width(Cell(row, column)));
    }
    widths.push_back(width);
    numeric.push_back(IsNumeric(table, column));
  }
  std::string out;
  const auto append_row = [&](const std::vector<std::string>& row) {
    std::string line;
    for (std::size_t column = 0; column < widths.size(); ++column) {
      if (column > 0) line += kColumnGap;
      AppendCell(Cell(row, column), widths[column], numeric[column], &line);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out += line + "\n";
  };
  append_row(table.header);
  for (const std::vector<std::string>& row : table.rows) append_row(row);
  return out;
}

std::optional<std::string> FormatJsonForPeople(std::string_view json_text) {
  json::error_code error;
  const json::value parsed = json::parse(json_text, error);
  if (error || !parsed.is_object()) return std::nullopt;
  std::string out;
  AppendPlain("", parsed.get_object(), &out);
  AppendTables("", parsed.get_object(), &out);
  return out;
}

}  // namespace tarragon::ctl
