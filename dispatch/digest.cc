#include "tarragon/dispatch/digest.h"

#include <xxhash.h>

#include <memory>

namespace tarragon::dispatch {
namespace {

/// Hashes a sequence of values. Each text is preceded by its length.
class Hasher {
 public:
  Hasher() : state_(XXH3_createState(), XXH3_freeState) {
    XXH3_64bits_reset(state_.get());
  }
  void Add(std::uint64_t value) {
    XXH3_64bits_update(state_.get(), &value, sizeof(value));
  }
  void Add(const std::string& text) {
    Add(text.size());
    XXH3_64bits_update(state_.get(), text.data(), text.size());
  }
  std::uint64_t Result() const { return XXH3_64bits_digest(state_.get()); }

 private:
  std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state_;
};

}  // namespace

std::uint64_t Digest(const std::string& text) {
  return XXH3_64bits(text.data(), text.size());
}

std::uint64_t Digest(const std::vector<std::string>& results) {
  Hasher hasher;
  hasher.Add(results.size());
  for (const std::string& result : results) hasher.Add(result);
  return hasher.Result();
}

std::uint64_t Digest(const JobSpec& spec) {
  Hasher hasher;
  hasher.Add(spec.service.value());
  hasher.Add(spec.tenant.value());
  hasher.Add(spec.tasks.size());
  for (const TaskSpec& task : spec.tasks) {
    hasher.Add(task.payload);
    hasher.Add(task.cores);
    hasher.Add(task.memory_mb);
  }
  return hasher.Result();
}

}  // namespace tarragon::dispatch
