#include "fault_window.h"

#include <algorithm>

namespace tarragon::simulate {

bool IsFaultActive(const Scenario& scenario, core::Time begin, core::Time now,
                   Fault fault, std::size_t worker) {
  const bool hit = worker == 0 || fault == Fault::kAllLinger;
  return scenario.fault == fault && hit && now >= begin + scenario.fault_from &&
         now < begin + scenario.fault_to;
}

bool IsUsableUnderFault(const Scenario& scenario, std::size_t worker) {
  switch (scenario.fault) {
    case Fault::kNone:
    case Fault::kAllLinger:
      return true;
    case Fault::kDomainOut:
      return worker % scenario.domains != 0;
    default:
      return worker != 0;
  }
}

double ComputeFaultWindowUse(const Scenario& scenario, core::Time begin,
                             std::size_t workers,
                             const std::vector<RunInterval>& intervals) {
  const core::Time from = begin + scenario.fault_from;
  const core::Time to = begin + scenario.fault_to;
  double used = 0;
  for (const RunInterval& interval : intervals) {
    if (!IsUsableUnderFault(scenario, interval.worker)) continue;
    const core::Duration overlap =
        std::min(interval.to, to) - std::max(interval.from, from);
    if (overlap.count() > 0) used += static_cast<double>(overlap.count());
  }
  std::size_t remaining = 0;
  for (std::size_t i = 0; i < workers; ++i) {
    if (IsUsableUnderFault(scenario, i)) ++remaining;
  }
  const double slots =
      static_cast<double>(remaining * scenario.plan.preset.slots_per_target);
  return used / (slots * static_cast<double>((to - from).count()));
}

}  // namespace tarragon::simulate
