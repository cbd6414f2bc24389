#ifndef TARRAGON_COORDINATOR_ROOM_RELEASES_H_
#define TARRAGON_COORDINATOR_ROOM_RELEASES_H_

#include <vector>

#include "tarragon/coordinator/gate_board.h"

/// Forecast of when the runs at a target release their room.

namespace tarragon::coordinator {

/// Estimates when the run ends. kNever if unknown.
core::Time EstimateRunEnd(const GateRun& run, core::Time now);

/// Room that one run is expected to release.
struct ExpectedRelease {
  core::Time at;
  Room room;
};

/// Finds the releases whose time is known, the earliest first. A run that an
/// offer allows counts as started.
std::vector<ExpectedRelease> FindReleases(const GateBoard& board,
                                          core::Time now);

/// Finds the first time at which `need` fits, given the room that is free now.
/// kNever if unknown.
core::Time FindTimeOfRoom(const std::vector<ExpectedRelease>& releases,
                          core::Time now, const Room& free, const Room& need);

/// Sums up the room released until `at`.
Room SumReleases(const std::vector<ExpectedRelease>& releases, core::Time at);

/// Makes the rows of a report: the earliest releases, without the first
/// `claimed` millicores, which are reserved for another entry.
std::vector<RoomRelease> MakeReleaseRows(
    const std::vector<ExpectedRelease>& releases, core::Time now,
    std::int64_t claimed);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_ROOM_RELEASES_H_
