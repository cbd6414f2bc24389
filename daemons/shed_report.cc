#include "shed_report.h"

#include "metrics_page_server.h"

namespace tarragon::daemons {
namespace {

constexpr core::Duration kLogInterval = std::chrono::seconds(1);

}  // namespace

void AddCounts(const http::ServerCounters& counters, ShedCounts* counts) {
  counts->for_memory += counters.closed_for_memory;
  counts->for_place += counters.closed_for_place;
  counts->refused += counters.refused;
}

void AddCounts(const wire::TransportCounters& counters, ShedCounts* counts) {
  counts->for_memory += counters.closed_for_memory;
  counts->for_place += counters.closed_for_place;
  counts->refused += counters.refused_connections;
}

void UpdateShedMetrics(metrics::Registry* registry, const ShedCounts& counts,
                       const core::MemoryQuota& quota) {
  constexpr char kName[] = "connections_shed_total";
  SetCounterTotal(registry, kName, {{"reason", "memory"}}, counts.for_memory);
  SetCounterTotal(registry, kName, {{"reason", "place"}}, counts.for_place);
  SetCounterTotal(registry, kName, {{"reason", "refused"}}, counts.refused);
  registry->Set("connection_bytes", {},
                static_cast<double>(quota.held_bytes()));
  registry->Set("connection_bytes_max", {},
                static_cast<double>(quota.max_bytes()));
}

bool ShedLog::IsDue(core::Time now) const {
  return now - reported_at_ >= kLogInterval;
}

void ShedLog::Report(const core::Log& log, core::Time now,
                     const ShedCounts& counts, const core::MemoryQuota& quota) {
  reported_at_ = now;
  if (counts == reported_) return;
  log.Warn("Shed connections for the limits of the VM.",
           {{"for_memory", counts.for_memory - reported_.for_memory},
            {"for_place", counts.for_place - reported_.for_place},
            {"refused", counts.refused - reported_.refused},
            {"held_bytes", quota.held_bytes()},
            {"max_bytes", quota.max_bytes()}});
  reported_ = counts;
}

}  // namespace tarragon::daemons
