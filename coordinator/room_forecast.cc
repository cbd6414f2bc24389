#include "room_forecast.h"

#include <algorithm>

#include "placing.h"

namespace tarragon::coordinator {
namespace {

/// Departures and returns are announced seconds ahead, not more.
constexpr double kHorizonSeconds = 10;

double ToSeconds(core::Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

/// Mean work that arrives at the other entries, in millicores, as the gate that
/// was heard last has told.
double SumArriving(const JobBoard& board) {
  const GateLink* latest = nullptr;
  for (const auto& [address, gate] : board.gates) {
    if (!gate.report.has_value()) continue;
    if (latest == nullptr || gate.last_heard_at > latest->last_heard_at) {
      latest = &gate;
    }
  }
  double sum = 0;
  if (latest == nullptr) return sum;
  for (const PriorityDemand& row : latest->report->others_demand) {
    sum += static_cast<double>(row.arriving_millicores);
  }
  return sum;
}

}  // namespace

void UpdateLeaveTime(core::Time now, GateLink* gate) {
  if (gate->report->leaves_in.count() > 0) {
    gate->leaves_at = now + gate->report->leaves_in;
  } else if (gate->report->usable) {
    gate->leaves_at.reset();
  }
}

std::vector<RoomStep> ForecastRoom(const JobBoard& board, core::Time now,
                                   const core::ServiceId& service) {
  std::vector<RoomStep> steps = {{core::Duration(0), 0}};
  for (const auto& [address, gate] : board.gates) {
    if (!gate.report.has_value() || gate.report->service != service) continue;
    const double room = static_cast<double>(gate.report->capacity.millicores);
    if (IsUsable(board, now, gate)) {
      steps.front().millicores += room;
      continue;
    }
    if (!gate.leaves_at.has_value()) continue;
    if (IsDrained(board.operator_state, gate.report->domain)) continue;
    const core::Duration back =
        *gate.leaves_at + board.policy.rejoin_time - now;
    if (back.count() > 0) steps.push_back({back, room});
  }
  std::sort(
      steps.begin(), steps.end(),
      [](const RoomStep& a, const RoomStep& b) { return a.after < b.after; });
  for (std::size_t i = 1; i < steps.size(); ++i) {
    steps[i].millicores += steps[i - 1].millicores;
  }
  return steps;
}

std::optional<core::Duration> FindSufficientRoom(
    const std::vector<RoomStep>& steps, double work, double arriving) {
  for (std::size_t i = 0; i < steps.size(); ++i) {
    const double from = ToSeconds(steps[i].after);
    const double until =
        i + 1 < steps.size() ? ToSeconds(steps[i + 1].after) : kHorizonSeconds;
    const double rate = steps[i].millicores - arriving;
    if (rate <= 0) continue;
    const double at = from + std::max(work, 0.0) / rate;
    if (at <= until) {
      return core::Duration(static_cast<std::int64_t>(at * 1e6));
    }
    work -= rate * (until - from);
  }
  return std::nullopt;
}

core::Duration ForecastWait(const JobBoard& board, core::Time now,
                            const core::ServiceId& service, core::Duration wait,
                            double work, double share) {
  const std::vector<RoomStep> steps = ForecastRoom(board, now, service);
  if (steps.size() == 1 || share <= 0) return wait;
  return FindSufficientRoom(steps, work / share, SumArriving(board))
      .value_or(wait);
}

}  // namespace tarragon::coordinator
