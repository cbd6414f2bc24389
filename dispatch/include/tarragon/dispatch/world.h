#ifndef TARRAGON_DISPATCH_WORLD_H_
#define TARRAGON_DISPATCH_WORLD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"

namespace tarragon::dispatch {

/// Properties of one service, set by release notes.
struct Service {
  /// A client may submit a job of an idempotent service again with a new key;
  /// the dispatcher itself never starts a task twice, whatever the value.
  bool idempotent = false;
  /// Maximum run time of one task; the target is then told to stop the
  /// task.
  core::Duration max_run{std::chrono::seconds(30)};
  /// Maximum cores and memory that one task may request.
  std::uint32_t max_cores = 16;
  std::uint32_t max_memory_mb = 32768;

  bool operator==(const Service&) const = default;
};

/// Properties of one failure domain, set by release notes.
struct Domain {
  core::RegionId region;
  /// False while operators have taken it out of service: no task starts there.
  bool in_service = true;

  bool operator==(const Domain&) const = default;
};

/// Limits of one tenant, set by release notes.
struct TenantLimit {
  /// Tasks that may run at once, over all targets. Zero means no limit.
  std::uint32_t max_running = 0;
  /// Tasks that may wait at once, over all homes. Zero means no limit.
  std::uint32_t max_queued = 0;
  /// Share of the slots when tenants compete; relative to the others.
  std::uint32_t weight = 1;

  bool operator==(const TenantLimit&) const = default;
};

/// The configuration in force: the result of all accepted release notes.
struct World {
  core::NoteVersion version;
  /// Ids of the latest notes, oldest first, to recognize a note that is
  /// submitted again. Empty at agents.
  std::vector<core::NoteId> recent_notes;
  std::map<core::ServiceId, Service> services;
  std::map<core::DomainId, Domain> domains;
  std::map<core::TenantId, TenantLimit> tenants;

  bool operator==(const World&) const = default;
};

/// A registered entry, a process that serves clients. Listed in the platform's
/// table, so that all entries use the same list to count quorums.
struct EntryMember {
  core::NodeId node;
  core::DomainId domain;

  bool operator==(const EntryMember&) const = default;
};

/// The registered entries. `version` rises with every change of the list.
struct EntryList {
  std::uint64_t version = 0;
  std::vector<EntryMember> members;
  /// While a change is not confirmed: the members before the change. Quorums
  /// are then needed in both lists.
  std::vector<EntryMember> previous;

  bool operator==(const EntryList&) const = default;
};

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_WORLD_H_
