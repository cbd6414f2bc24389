#include "tarragon/coordinator/operator_state.h"

#include <algorithm>
#include <utility>

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

std::uint64_t DomainsDigest(const std::vector<core::DomainId>& drained) {
  Digest digest;
  digest.Add(drained.size());
  for (const core::DomainId& domain : drained) digest.Add(domain.value());
  return digest.value();
}

OperatorChange MergeOperatorState(OperatorState incoming, bool domains_only,
                                  OperatorState* own) {
  OperatorChange change;
  if (!domains_only && incoming.version > own->version) {
    change.configuration = true;
    own->version = incoming.version;
    own->queues = std::move(incoming.queues);
  }
  if (incoming.revision > own->revision) {
    change.domains = incoming.drained != own->drained;
    own->revision = incoming.revision;
    own->drained = std::move(incoming.drained);
  }
  return change;
}

}  // namespace tarragon::coordinator
