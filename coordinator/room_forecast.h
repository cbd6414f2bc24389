#ifndef TARRAGON_COORDINATOR_ROOM_FORECAST_H_
#define TARRAGON_COORDINATOR_ROOM_FORECAST_H_

#include <optional>
#include <vector>

#include "tarragon/coordinator/job_board.h"

/// Forecast of the room of usable targets over the next seconds, from announced
/// departures. Used to tell refused clients when to retry.

namespace tarragon::coordinator {

/// Room of the usable targets from some time on.
struct RoomStep {
  /// From now.
  core::Duration after{0};
  double millicores = 0;
};

/// Updates when the target of the gate leaves, after a report.
void UpdateLeaveTime(core::Time now, GateLink* gate);

/// Forecasts the room of the targets that run `service`: the targets that are
/// usable now, then those that join after an announced departure. Targets in
/// drained failure domains or lost without an announcement are not expected.
std::vector<RoomStep> ForecastRoom(const JobBoard& board, core::Time now,
                                   const core::ServiceId& service);

/// Finds when the room has sufficed for `work`, in millicore-seconds, besides
/// the work that arrives at a mean rate of `arriving` millicores. Empty if that
/// is not within the next seconds.
std::optional<core::Duration> FindSufficientRoom(
    const std::vector<RoomStep>& steps, double work, double arriving);

/// Computes the wait of a client that is refused now: `wait`, or the forecast
/// if targets have left. `share` is this entry's part of the room.
core::Duration ForecastWait(const JobBoard& board, core::Time now,
                            const core::ServiceId& service, core::Duration wait,
                            double work, double share);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_ROOM_FORECAST_H_
