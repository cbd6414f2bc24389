#ifndef TARRAGON_CTL_TABLE_H_
#define TARRAGON_CTL_TABLE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::ctl {

/// A table for people. Rows may be shorter than the header.
struct Table {
  std::vector<std::string> header;
  std::vector<std::vector<std::string>> rows;
};

/// The table as text: columns padded to the longest cell and two spaces apart,
/// numbers to the right, an empty cell as "-".
std::string FormatTable(const Table& table);

/// A JSON object as text for people: plain members as "name: value", then one
/// table for each member, at any depth, that is an object of objects or an
/// array of objects. Nested names are written "outer.inner". Nothing if
/// `json_text` is no JSON object.
std::optional<std::string> FormatJsonForPeople(std::string_view json_text);

}  // namespace tarragon::ctl

#endif  // TARRAGON_CTL_TABLE_H_
