#ifndef TARRAGON_COORDINATOR_OPERATOR_STATE_H_
#define TARRAGON_COORDINATOR_OPERATOR_STATE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "tarragon/coordinator/job.h"
#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"

namespace tarragon::coordinator {

/// A queue that clients submit jobs to, as the operators define it.
struct Queue {
  QueueId name;
  /// Requests belong to the queue by their host and the longest path prefix.
  std::string host;
  std::string path_prefix;
  /// Service of the targets that run its tasks.
  core::ServiceId service;
  /// Zero comes first.
  std::uint32_t priority = 0;
  /// Failed runs of one task after which its job fails; at least one.
  std::uint32_t max_attempts = 1;
  /// A job should take no longer than this share of its longest chain of tasks,
  /// in thousandths, and `latency_target` more.
  std::uint32_t stretch_permille = 1000;
  core::Duration latency_target{0};
  /// Zero for none.
  core::Duration timeout{0};
  /// Its tasks may run only where another service allows it, which this system
  /// does not ask.
  bool needs_advice = false;

  bool operator==(const Queue&) const = default;
};

/// What operators have decided. Copies with a higher revision are newer.
struct OperatorState {
  /// Of the store's counter at the moment that this copy shows; zero for none.
  std::uint64_t revision = 0;
  /// Version of the configuration; zero for none.
  std::uint64_t version = 0;
  std::vector<Queue> queues;
  /// Failure domains in which nothing may start.
  std::vector<core::DomainId> drained;

  bool operator==(const OperatorState&) const = default;
};

/// The same for states that differ in nothing but the revision: the store's
/// counter also counts changes of other rows.
std::uint64_t ContentDigest(const OperatorState& state);

/// The queue of a request; null if there is none.
const Queue* FindQueue(const OperatorState& state, std::string_view host,
                       std::string_view path);

/// True if nothing may start in `domain`.
bool IsDrained(const OperatorState& state, const core::DomainId& domain);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_OPERATOR_STATE_H_
