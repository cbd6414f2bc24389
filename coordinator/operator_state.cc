#include "tarragon/coordinator/operator_state.h"

#include <algorithm>

namespace tarragon::coordinator {

const Queue* FindQueue(const OperatorState& state, std::string_view host,
                       std::string_view path) {
  const Queue* best = nullptr;
  for (const Queue& queue : state.queues) {
    if (queue.host != host || !path.starts_with(queue.path_prefix)) continue;
    if (best != nullptr &&
        queue.path_prefix.size() <= best->path_prefix.size()) {
      continue;
    }
    best = &queue;
  }
  return best;
}

bool IsDrained(const OperatorState& state, const core::DomainId& domain) {
  return std::find(state.drained.begin(), state.drained.end(), domain) !=
         state.drained.end();
}

namespace {

/// FNV-1a hash, which is the same in all processes.
class Digest {
 public:
  void Add(std::string_view text) {
    Add(text.size());
    for (const char each : text) AddByte(static_cast<unsigned char>(each));
  }
  void Add(std::uint64_t number) {
    for (int shift = 0; shift < 64; shift += 8)
      AddByte((number >> shift) & 0xff);
  }
  std::uint64_t value() const { return value_; }

 private:
  void AddByte(std::uint64_t byte) {
    value_ ^= byte;
    value_ *= 0x100000001b3ULL;
  }

  std::uint64_t value_ = 0xcbf29ce484222325ULL;
};

}  // namespace

std::uint64_t ContentDigest(const OperatorState& state) {
  Digest digest;
  digest.Add(state.version);
  digest.Add(state.queues.size());
  for (const Queue& queue : state.queues) {
    const auto& [name, host, path_prefix, service, priority, max_attempts,
                 stretch_permille, latency_target, timeout, needs_advice] =
        queue;
    digest.Add(name.value());
    digest.Add(host);
    digest.Add(path_prefix);
    digest.Add(service.value());
    digest.Add(std::uint64_t{priority});
    digest.Add(std::uint64_t{max_attempts});
    digest.Add(std::uint64_t{stretch_permille});
    digest.Add(static_cast<std::uint64_t>(latency_target.count()));
    digest.Add(static_cast<std::uint64_t>(timeout.count()));
    digest.Add(std::uint64_t{needs_advice});
  }
  digest.Add(state.drained.size());
  for (const core::DomainId& domain : state.drained) {
    digest.Add(domain.value());
  }
  return digest.value();
}

}  // namespace tarragon::coordinator
