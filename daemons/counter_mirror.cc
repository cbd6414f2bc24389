#include "counter_mirror.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace tarragon::daemons {
namespace {

using metrics::MetricKind;

constexpr MetricHelp kHelp[] = {
    {"messages_out_total", MetricKind::kCounter,
     "Messages sent to other processes, by name."},
    {"message_bytes_out_total", MetricKind::kCounter,
     "Bytes of the messages sent, by name."},
    {"messages_in_total", MetricKind::kCounter,
     "Messages received from other processes, by name."},
    {"message_bytes_in_total", MetricKind::kCounter,
     "Bytes of the messages received, by name."},
    {"socket_bytes_out_total", MetricKind::kCounter,
     "Bytes written to the sockets between processes."},
    {"socket_bytes_in_total", MetricKind::kCounter,
     "Bytes read from the sockets between processes."},
    {"refused_frames_total", MetricKind::kCounter,
     "Frames that were too large or not a valid message."},
    {"protocol_violations_total", MetricKind::kCounter,
     "Connections closed because the peer broke the protocol."},
    {"dropped_messages_total", MetricKind::kCounter,
     "Messages dropped without a connection or with a full send queue."},
    {"connections", MetricKind::kGauge, "Open connections between processes."},
    {"process_cpu_seconds", MetricKind::kGauge,
     "Processor time of this process."},
    {"process_resident_bytes", MetricKind::kGauge,
     "Resident memory of this process."},
};

}  // namespace

CounterMirror::CounterMirror(metrics::Registry* registry)
    : registry_(registry) {
  for (const MetricHelp& item : kHelp) {
    registry_->Describe(item.name, item.kind, item.help);
  }
}

void CounterMirror::MirrorCounter(const std::string& name,
                                  const metrics::Labels& labels,
                                  std::uint64_t total) {
  std::uint64_t& last_total = last_totals_[{name, labels}];
  if (total < last_total) return;
  registry_->Count(name, labels, total - last_total);
  last_total = total;
}

void CounterMirror::MirrorCounters(
    const std::string& name, const std::string& label,
    const std::map<std::string, std::uint64_t>& totals) {
  for (const auto& [value, total] : totals) {
    MirrorCounter(name, metrics::Labels{{label, value}}, total);
  }
}

void CounterMirror::MirrorTransport(const wire::TransportCounters& counters) {
  for (const auto& [name, counter] : counters.sent) {
    const metrics::Labels labels{{"name", name}};
    MirrorCounter("messages_out_total", labels, counter.messages);
    MirrorCounter("message_bytes_out_total", labels, counter.bytes);
  }
  for (const auto& [name, counter] : counters.received) {
    const metrics::Labels labels{{"name", name}};
    MirrorCounter("messages_in_total", labels, counter.messages);
    MirrorCounter("message_bytes_in_total", labels, counter.bytes);
  }
  MirrorCounter("socket_bytes_out_total", {}, counters.bytes_sent);
  MirrorCounter("socket_bytes_in_total", {}, counters.bytes_received);
  MirrorCounter("refused_frames_total", {}, counters.refused_frames);
  MirrorCounter("protocol_violations_total", {}, counters.violations);
  MirrorCounter("dropped_messages_total", {}, counters.dropped_messages);
  registry_->Set("connections", {}, static_cast<double>(counters.connections));
}

void CounterMirror::MirrorProcess() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const double seconds =
      static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
      static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) /
          1e6;
  registry_->Set("process_cpu_seconds", {}, seconds);
  std::ifstream statm("/proc/self/statm");
  std::uint64_t total_pages = 0;
  std::uint64_t resident_pages = 0;
  if (statm >> total_pages >> resident_pages) {
    const double page_bytes = static_cast<double>(sysconf(_SC_PAGESIZE));
    registry_->Set("process_resident_bytes", {},
                   page_bytes * static_cast<double>(resident_pages));
  }
}

}  // namespace tarragon::daemons
