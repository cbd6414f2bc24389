#include "entry_metrics.h"

namespace tarragon::daemons {
namespace {

using metrics::MetricKind;

constexpr MetricHelp kHelp[] = {
    {"answers_total", MetricKind::kCounter, "Answers to clients, by outcome."},
    {"invariant_checks_total", MetricKind::kCounter,
     "Invariants checked, by name."},
    {"heartbeats_total", MetricKind::kCounter,
     "Heartbeats received from agents."},
    {"table_reads_total", MetricKind::kCounter,
     "Reads of the platform's table."},
    {"table_writes_total", MetricKind::kCounter,
     "Writes to the platform's table."},
    {"resubmissions_total", MetricKind::kCounter,
     "Submissions sent again to a home after a broken connection."},
    {"permits_refused_total", MetricKind::kCounter,
     "Heartbeats answered without granting a permit."},
    {"members", MetricKind::kGauge, "Agents with a recent heartbeat."},
    {"open_requests", MetricKind::kGauge,
     "Client requests that are not answered yet."},
    {"note_version", MetricKind::kGauge, "Version of the note in force here."},
};

}  // namespace

EntryMetrics::EntryMetrics() : mirror_(&registry_) {
  for (const MetricHelp& item : kHelp) {
    registry_.Describe(item.name, item.kind, item.help);
  }
}

std::string EntryMetrics::RenderPage(const dispatch::EntryBoard& board,
                                     const wire::TransportCounters& transport) {
  const dispatch::EntryCounters& counters = board.counters;
  mirror_.MirrorCounters("answers_total", "outcome", counters.answers);
  mirror_.MirrorCounters("invariant_checks_total", "name", board.invariants);
  mirror_.MirrorCounter("heartbeats_total", {}, counters.heartbeats);
  mirror_.MirrorCounter("table_reads_total", {}, counters.table_reads);
  mirror_.MirrorCounter("table_writes_total", {}, counters.table_writes);
  mirror_.MirrorCounter("resubmissions_total", {}, counters.resubmissions);
  mirror_.MirrorCounter("permits_refused_total", {}, counters.permits_refused);
  registry_.Set("members", {}, static_cast<double>(board.members.size()));
  registry_.Set("open_requests", {},
                static_cast<double>(board.requests.size()));
  registry_.Set("note_version", {},
                static_cast<double>(board.world.version.value()));
  mirror_.MirrorTransport(transport);
  mirror_.MirrorProcess();
  return registry_.Exposition();
}

}  // namespace tarragon::daemons
