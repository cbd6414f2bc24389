#ifndef TARRAGON_PROVE_TABLE_H_
#define TARRAGON_PROVE_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "process.h"
#include "tarragon/dispatch/entry_board.h"

/// The platform's table: linearizable, sometimes slow or out, and sometimes its
/// replies are lost.

namespace tarragon::prove {

enum class TableMode : std::uint8_t { kFine, kSlow, kLossy, kOut };

struct TableCell {
  std::uint64_t version = 0;
  dispatch::World world;
  dispatch::EntryList entries;
  std::string text;
};

struct Table {
  TableMode mode = TableMode::kFine;
  /// Entries that cannot reach the table, with the number of faults.
  std::map<int, int> cut;
  std::map<std::string, TableCell> cells;
  /// Since when the mode is fine and no entry was newly reconnected.
  core::Time calm_since;
};

void CallTable(Setup* setup, const ProcessLife& caller,
               dispatch::TableCall call);
/// Sets the mode; counts the moment of an outage.
void SetTableMode(Setup* setup, TableMode mode);

}  // namespace tarragon::prove

#endif  // TARRAGON_PROVE_TABLE_H_
