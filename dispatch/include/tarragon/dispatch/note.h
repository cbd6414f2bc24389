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
/// Ids of accepted notes that the world keeps; a note that is older than these
/// is no longer known when it is sent again.
inline constexpr std::size_t kMaxRecentNotes = 256;
/// Most services, domains or tenants in force, each kind counted on its own.
inline constexpr std::size_t kMaxItemsPerKind = 4096;

/// Ranges of the limits that a note may set; the lowest are zero or one.
inline constexpr core::Duration kMinRunLimit{std::chrono::milliseconds(1)};
inline constexpr core::Duration kMaxRunLimit{std::chrono::minutes(10)};
inline constexpr std::uint32_t kMaxCoresLimit = 4096;
inline constexpr std::uint32_t kMaxMemoryMbLimit = 16 * 1024 * 1024;
inline constexpr std::uint32_t kMaxTasksLimit = 10'000'000;
inline constexpr std::uint32_t kMaxWeight = 1000;

/// What a note changes of one service; what is absent stays as it is.
struct ServiceChange {
  std::optional<bool> idempotent;
  std::optional<core::Duration> max_run;
  std::optional<std::uint32_t> max_cores;
  std::optional<std::uint32_t> max_memory_mb;

  bool operator==(const ServiceChange&) const = default;
};

/// What a note changes of one failure domain.
struct DomainChange {
  std::optional<core::RegionId> region;
  std::optional<bool> in_service;

  bool operator==(const DomainChange&) const = default;
};

/// What a note changes of one tenant.
struct TenantChange {
  std::optional<std::uint32_t> max_running;
  std::optional<std::uint32_t> max_queued;
  std::optional<std::uint32_t> weight;

  bool operator==(const TenantChange&) const = default;
};

/// One release note: what is added, changed and withdrawn.
struct ReleaseNote {
  /// Makes the submission of the note idempotent.
  core::NoteId id;
  /// The version of the world that the operator had in view.
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
    /// The base is not the present version; another note came first.
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

/// The item with the fields that `change` states.
Service ApplyChange(Service service, const ServiceChange& change);
Domain ApplyChange(Domain domain, const DomainChange& change);
TenantLimit ApplyChange(TenantLimit tenant, const TenantChange& change);

/// Every name, limit and count of `world` that is out of its range, one
/// sentence each. Empty for every world that ApplyNote returns.
std::vector<std::string> ValidateWorld(const World& world);

/// True when the note was accepted already, so that sending it again changes
/// nothing. Only the latest `kMaxRecentNotes` ids are known.
bool ContainsNote(const World& world, const core::NoteId& id);

/// The world after `note`, one version on; the note is applied whole or not at
/// all. Empty, with every error in `reason`, when it cannot be applied.
/// `reason` may be null.
std::optional<World> ApplyNote(const World& present, const ReleaseNote& note,
                               NoteError* reason);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_NOTE_H_
