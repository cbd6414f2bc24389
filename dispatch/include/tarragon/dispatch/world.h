#ifndef TARRAGON_DISPATCH_WORLD_H_
#define TARRAGON_DISPATCH_WORLD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"

namespace tarragon::dispatch {

/// What a release note says of one service.
struct Service {
  /// Idempotent services may be asked again by the client with a new key; the
  /// dispatcher itself starts no task twice, whatever this says.
  bool idempotent = false;
  /// Longest run time that one task may take; the target is told to stop it
  /// then.
  core::Duration max_run{std::chrono::seconds(30)};
  /// Cores and memory that one task may ask for at most.
  std::uint32_t max_cores = 16;
  std::uint32_t max_memory_mb = 32768;

  bool operator==(const Service&) const = default;
};

/// What a release note says of one failure domain.
struct Domain {
  core::RegionId region;
  /// False while the operators have it out of service: no task starts there.
  bool in_service = true;

  bool operator==(const Domain&) const = default;
};

/// What a release note says of one tenant.
struct TenantLimit {
  /// Tasks that may run at once, over all targets. Zero means no limit.
  std::uint32_t max_running = 0;
  /// Tasks that may wait at once, over all homes. Zero means no limit.
  std::uint32_t max_queued = 0;
  /// Share of the slots when tenants compete; relative to the others.
  std::uint32_t weight = 1;

  bool operator==(const TenantLimit&) const = default;
};

/// The sum of all accepted release notes.
struct World {
  core::NoteVersion version;
  /// Ids of the latest notes, oldest first, by which a resubmitted note is
  /// known. Empty at agents.
  std::vector<core::NoteId> recent_notes;
  std::map<core::ServiceId, Service> services;
  std::map<core::DomainId, Domain> domains;
  std::map<core::TenantId, TenantLimit> tenants;

  bool operator==(const World&) const = default;
};

/// One process that clients reach: listed in the platform's table, so that all
/// entries count the same quorum.
struct EntryMember {
  core::NodeId node;
  core::DomainId domain;

  bool operator==(const EntryMember&) const = default;
};

/// The registered entries. `version` rises with every change of the list.
struct EntryList {
  std::uint64_t version = 0;
  std::vector<EntryMember> members;
  /// While a change is not confirmed: the members before it. Quorums are then
  /// needed in both lists.
  std::vector<EntryMember> previous;

  bool operator==(const EntryList&) const = default;
};

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_WORLD_H_
