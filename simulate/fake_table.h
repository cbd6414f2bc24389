#ifndef TARRAGON_SIMULATE_FAKE_TABLE_H_
#define TARRAGON_SIMULATE_FAKE_TABLE_H_

#include <cstdint>

#include "tarragon/dispatch/entry_board.h"

namespace tarragon::simulate {

/// The platform's table without faults: the two rows that an entry needs.
class FakeTable {
 public:
  /// Starts with `world` in the table.
  explicit FakeTable(dispatch::World world);

  /// Carries out one call at once.
  dispatch::TableReply Call(const dispatch::TableCall& call);

 private:
  dispatch::World world_;
  std::uint64_t world_version_ = 1;
  dispatch::EntryList entries_;
  std::uint64_t entries_version_ = 0;
};

}  // namespace tarragon::simulate

#endif  // TARRAGON_SIMULATE_FAKE_TABLE_H_
