#include "transport_state.h"

// How a transport counts its messages.

namespace tarragon::wire {

void TransportState::Count(const dispatch::Message& message, std::size_t bytes,
                           NamedCounters* counters) {
  NamedCounter& named = (*counters)[message.index()];
  named.name = dispatch::Name(message);
  ++named.counter.messages;
  named.counter.bytes += bytes;
}

std::map<std::string, MessageCounter> TransportState::ByName(
    const NamedCounters& counters) {
  std::map<std::string, MessageCounter> by_name;
  for (const NamedCounter& named : counters) {
    if (named.name != nullptr) by_name[named.name] = named.counter;
  }
  return by_name;
}

TransportCounters TransportState::counters() const {
  TransportCounters counters = shared_.counters;
  counters.sent = ByName(sent_);
  counters.received = ByName(received_);
  counters.connections = connections_.size();
  return counters;
}

}  // namespace tarragon::wire
