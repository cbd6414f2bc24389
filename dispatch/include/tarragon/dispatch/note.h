#ifndef TARRAGON_DISPATCH_NOTE_H_
#define TARRAGON_DISPATCH_NOTE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/world.h"

namespace tarragon::dispatch {

/// Longest name of a service, domain, region, tenant or note, in characters.
inline constexpr std::size_t kMaxNameLength = 64;
/// Ids of accepted notes that the world keeps; an older note is not recognized
/// when it is submitted again.
inline constexpr std::size_t kMaxRecentNotes = 256;
/// Maximum number of services, of domains and of tenants in force.
inline constexpr std::size_t kMaxItemsPerKind = 4096;

/// Ranges of the limits that a note may set; other minimums are zero or one.
inline constexpr core::Duration kMinRunLimit{std::chrono::milliseconds(1)};
inline constexpr core::Duration kMaxRunLimit{std::chrono::minutes(10)};
inline constexpr std::uint32_t kMaxCoresLimit = 4096;
inline constexpr std::uint32_t kMaxMemoryMbLimit = 16 * 1024 * 1024;
inline constexpr std::uint32_t kMaxTasksLimit = 10'000'000;
inline constexpr std::uint32_t kMaxWeight = 1000;

/// Changes of one service; fields that are not set stay as they are.
struct ServiceChange {
  std::optional<bool> idempotent;
  std::optional<core::Duration> max_run;
  std::optional<std::uint32_t> max_cores;
  std::optional<std::uint32_t> max_memory_mb;

  bool operator==(const ServiceChange&) const = default;
};

/// Changes of one failure domain.
struct DomainChange {
  std::optional<core::RegionId> region;
  std::optional<bool> in_service;

  bool operator==(const DomainChange&) const = default;
};

/// Changes of one tenant.
struct TenantChange {
  std::optional<std::uint32_t> max_running;
  std::optional<std::uint32_t> max_queued;
  std::optional<std::uint32_t> weight;

  bool operator==(const TenantChange&) const = default;
};

/// A release note: the items that an operator adds, changes and withdraws.
struct ReleaseNote {
  /// Makes the submission of the note idempotent.
  core::NoteId id;
  /// The version of the world on which the note is based.
  core::NoteVersion base;

  std::map<core::ServiceId, Service> added_services;
  std::map<core::ServiceId, ServiceChange> changed_services;
  std::set<core::ServiceId> withdrawn_services;

  std::map<core::DomainId, Domain> added_domains;
  std::map<core::DomainId, DomainChange> changed_domains;
  std::set<core::DomainId> withdrawn_domains;

  std::map<core::TenantId, TenantLimit> added_tenants;
  std::map<core::TenantId, TenantChange> changed_tenants;
  std::set<core::TenantId> withdrawn_tenants;

  bool operator==(const ReleaseNote&) const = default;
};

/// Why a note was not applied.
struct NoteError {
  enum class Code {
    /// The base is not the current version; another note was accepted first.
    kConflict,
    /// The note contradicts itself, the world or the ranges above.
    kInvalid,
  };
  Code code = Code::kInvalid;
  /// All errors of the note, one sentence each, for the operator.
  std::vector<std::string> errors;
};

/// True for 1 to 64 characters of A-Z a-z 0-9 _ . -
bool IsValidName(std::string_view text);

/// Returns the item with the fields that `change` sets.
Service ApplyChange(Service service, const ServiceChange& change);
Domain ApplyChange(Domain domain, const DomainChange& change);
TenantLimit ApplyChange(TenantLimit tenant, const TenantChange& change);

/// Returns one sentence for each name, limit and count of `world` that is out
/// of range. Empty for every world that ApplyNote returns.
std::vector<std::string> ValidateWorld(const World& world);

/// True when the note was already accepted, so that submitting it again has no
/// effect. Only the latest `kMaxRecentNotes` ids are known.
bool ContainsNote(const World& world, const core::NoteId& id);

/// Returns the world after `note`, with the next version; the note is applied
/// completely or not at all. Empty, with every error in `reason`, if it cannot
/// be applied. `reason` may be null.
std::optional<World> ApplyNote(const World& present, const ReleaseNote& note,
                               NoteError* reason);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_NOTE_H_
