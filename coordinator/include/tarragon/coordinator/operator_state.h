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
  /// A request belongs to the queue that matches its host and has the longest
  /// matching path prefix.
  std::string host;
  std::string path_prefix;
  /// Service of the targets that run its tasks.
  core::ServiceId service;
  /// Zero is the highest priority.
  std::uint32_t priority = 0;
  /// Failed runs of one task after which its job fails; at least one.
  std::uint32_t max_attempts = 1;
  /// The objective of a job is this share of the expected time of its longest
  /// chain of tasks, in thousandths, plus `latency_target`.
  std::uint32_t stretch_permille = 1000;
  core::Duration latency_target{0};
  /// Zero for none.
  core::Duration timeout{0};
  /// Its tasks may run only where an external service allows it. This system
  /// does not query that service.
  bool needs_advice = false;

  bool operator==(const Queue&) const = default;
};

/// What the operators have set, in two parts that are passed on separately: the
/// configuration, which may be large, and the failure domains out of service.
struct OperatorState {
  /// Value of the store's revision counter when `drained` was read; zero for
  /// none. A copy of `drained` with a higher revision is newer.
  std::uint64_t revision = 0;
  /// Version of the configuration; zero for none. The operators only increase
  /// it.
  std::uint64_t version = 0;
  std::vector<Queue> queues;
  /// Failure domains in which nothing may start.
  std::vector<core::DomainId> drained;

  bool operator==(const OperatorState&) const = default;
};

/// Digest of the failure domains out of service. Copies with the same digest
/// need no update, although the store increments the revision for changes of
/// unrelated rows as well.
std::uint64_t DomainsDigest(const std::vector<core::DomainId>& drained);

/// The parts of an operator state that have changed.
struct OperatorChange {
  bool configuration = false;
  bool domains = false;
};

/// Takes over each part of `incoming` that is newer. With `domains_only` its
/// configuration is absent.
OperatorChange MergeOperatorState(OperatorState incoming, bool domains_only,
                                  OperatorState* own);

/// The queue to which a request belongs; null if there is none.
const Queue* FindQueue(const OperatorState& state, std::string_view host,
                       std::string_view path);

/// True if nothing may start in `domain`.
bool IsDrained(const OperatorState& state, const core::DomainId& domain);

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_OPERATOR_STATE_H_
