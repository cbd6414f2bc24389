#ifndef TARRAGON_SIMULATE_FAKE_TABLE_H_
#define TARRAGON_SIMULATE_FAKE_TABLE_H_

#include <cstdint>

#include "tarragon/dispatch/entry_board.h"

namespace tarragon::simulate {

/// An in-memory stand-in for the platform's table that never fails. It holds
/// the two rows that an entry reads and writes: the world and the entry list.
class FakeTable {
 public:
  /// Creates the table with `world` stored at version 1.
  explicit FakeTable(dispatch::World world);

  /// Executes a read, insert or versioned update and returns the reply.
  dispatch::TableReply Call(const dispatch::TableCall& call);

 private:
  dispatch::World world_;
  std::uint64_t world_version_ = 1;
  dispatch::EntryList entries_;
  std::uint64_t entries_version_ = 0;
};

}  // namespace tarragon::simulate

#endif  // TARRAGON_SIMULATE_FAKE_TABLE_H_
