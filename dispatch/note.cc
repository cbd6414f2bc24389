#include "tarragon/dispatch/note.h"

#include <algorithm>
#include <utility>

namespace tarragon::dispatch {
namespace {

using Errors = std::vector<std::string>;

/// The names of the three kinds in error texts.
constexpr std::string_view kServiceKind = "service";
constexpr std::string_view kDomainKind = "domain";
constexpr std::string_view kTenantKind = "tenant";

bool IsNameCharacter(char c) {
  return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
         (c >= '0' && c <= '9') || c == '_' || c == '.' || c == '-';
}

std::string NameRequirement() {
  return "must have 1 to " + std::to_string(kMaxNameLength) +
         " characters of A-Z a-z 0-9 _ . -";
}

template <typename Id>
std::string ItemLabel(std::string_view kind, const Id& id) {
  return std::string(kind) + " " + id.value();
}

void CheckRange(const std::string& subject, std::string_view key,
                std::uint64_t value, std::uint64_t lowest,
                std::uint64_t highest, Errors* errors) {
  if (value >= lowest && value <= highest) return;
  errors->push_back(subject + ": " + std::string(key) + " is " +
                    std::to_string(value) + ", allowed are " +
                    std::to_string(lowest) + " to " + std::to_string(highest));
}

void CheckItem(const std::string& subject, const Service& service,
               Errors* errors) {
  const bool whole =
      service.max_run % std::chrono::milliseconds(1) == core::Duration::zero();
  if (!whole || service.max_run < kMinRunLimit ||
      service.max_run > kMaxRunLimit) {
    errors->push_back(subject + ": max_run_ms is " +
                      std::to_string(core::Millis(service.max_run)) +
                      ", allowed are whole numbers from " +
                      std::to_string(core::Millis(kMinRunLimit)) + " to " +
                      std::to_string(core::Millis(kMaxRunLimit)));
  }
  CheckRange(subject, "max_cores", service.max_cores, 1, kMaxCoresLimit,
             errors);
  CheckRange(subject, "max_memory_mb", service.max_memory_mb, 0,
             kMaxMemoryMbLimit, errors);
}

void CheckItem(const std::string& subject, const Domain& domain,
               Errors* errors) {
  if (IsValidName(domain.region.value())) return;
  errors->push_back(subject + ": region " + NameRequirement());
}

void CheckItem(const std::string& subject, const TenantLimit& tenant,
               Errors* errors) {
  CheckRange(subject, "max_running", tenant.max_running, 0, kMaxTasksLimit,
             errors);
  CheckRange(subject, "max_queued", tenant.max_queued, 0, kMaxTasksLimit,
             errors);
  CheckRange(subject, "weight", tenant.weight, 1, kMaxWeight, errors);
}

template <typename T>
void AssignIfSet(const std::optional<T>& from, T* to) {
  if (from) *to = *from;
}

/// Reports every value that is out of range among the items of one kind.
template <typename Id, typename Item>
void CheckItems(std::string_view kind, const std::map<Id, Item>& items,
                Errors* errors) {
  for (const auto& [id, item] : items) {
    const std::string subject = ItemLabel(kind, id);
    if (!IsValidName(id.value())) {
      errors->push_back(subject + ": the name " + NameRequirement());
    }
    CheckItem(subject, item, errors);
  }
  if (items.size() <= kMaxItemsPerKind) return;
  errors->push_back(std::string(kind) + ": " + std::to_string(items.size()) +
                    " would be in force, allowed are " +
                    std::to_string(kMaxItemsPerKind));
}

/// The changes of a note to the items of one kind.
template <typename Id, typename Item, typename ItemChange>
struct KindChanges {
  std::string_view kind;
  const std::map<Id, Item>& added;
  const std::map<Id, ItemChange>& changed;
  const std::set<Id>& withdrawn;

  bool IsEmpty() const {
    return added.empty() && changed.empty() && withdrawn.empty();
  }
};

/// Reports items that the note names in more than one section.
template <typename Id, typename Item, typename ItemChange>
void CheckNoDuplicates(const KindChanges<Id, Item, ItemChange>& note,
                       Errors* errors) {
  for (const auto& [id, item] : note.added) {
    if (!note.changed.contains(id) && !note.withdrawn.contains(id)) continue;
    errors->push_back(ItemLabel(note.kind, id) + ": named twice in one note");
  }
  for (const auto& [id, change] : note.changed) {
    if (note.added.contains(id) || !note.withdrawn.contains(id)) continue;
    errors->push_back(ItemLabel(note.kind, id) + ": named twice in one note");
  }
}

template <typename Id, typename Item, typename ItemChange>
void AddItems(const KindChanges<Id, Item, ItemChange>& note,
              const std::map<Id, Item>& present, std::map<Id, Item>* next,
              Errors* errors) {
  for (const auto& [id, item] : note.added) {
    if (present.contains(id)) {
      errors->push_back(ItemLabel(note.kind, id) +
                        ": cannot be added, it exists");
    }
    next->insert_or_assign(id, item);
  }
}

template <typename Id, typename Item, typename ItemChange>
void ChangeItems(const KindChanges<Id, Item, ItemChange>& note,
                 const std::map<Id, Item>& present, std::map<Id, Item>* next,
                 Errors* errors) {
  for (const auto& [id, change] : note.changed) {
    const std::string subject = ItemLabel(note.kind, id);
    if (change == ItemChange()) {
      errors->push_back(subject + ": the change states nothing");
    }
    const auto found = present.find(id);
    if (found == present.end()) {
      errors->push_back(subject + ": cannot be changed, it does not exist");
      continue;
    }
    next->insert_or_assign(id, ApplyChange(found->second, change));
  }
}

template <typename Id, typename Item, typename ItemChange>
void WithdrawItems(const KindChanges<Id, Item, ItemChange>& note,
                   const std::map<Id, Item>& present, std::map<Id, Item>* next,
                   Errors* errors) {
  for (const Id& id : note.withdrawn) {
    if (!present.contains(id)) {
      errors->push_back(ItemLabel(note.kind, id) +
                        ": cannot be withdrawn, it does not exist");
    }
    next->erase(id);
  }
}

template <typename Id, typename Item, typename ItemChange>
void ApplyKind(const KindChanges<Id, Item, ItemChange>& note,
               const std::map<Id, Item>& present, std::map<Id, Item>* next,
               Errors* errors) {
  CheckNoDuplicates(note, errors);
  AddItems(note, present, next, errors);
  ChangeItems(note, present, next, errors);
  WithdrawItems(note, present, next, errors);
}

void AppendNoteId(const core::NoteId& id, World* world) {
  std::vector<core::NoteId>& notes = world->recent_notes;
  notes.push_back(id);
  if (notes.size() <= kMaxRecentNotes) return;
  notes.erase(notes.begin(),
              notes.end() - static_cast<std::ptrdiff_t>(kMaxRecentNotes));
}

std::optional<World> Fail(NoteError::Code code, Errors texts,
                          NoteError* reason) {
  if (reason != nullptr) *reason = {code, std::move(texts)};
  return std::nullopt;
}

}  // namespace

bool IsValidName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

Service ApplyChange(Service service, const ServiceChange& change) {
  AssignIfSet(change.idempotent, &service.idempotent);
  AssignIfSet(change.max_run, &service.max_run);
  AssignIfSet(change.max_cores, &service.max_cores);
  AssignIfSet(change.max_memory_mb, &service.max_memory_mb);
  return service;
}

Domain ApplyChange(Domain domain, const DomainChange& change) {
  AssignIfSet(change.region, &domain.region);
  AssignIfSet(change.in_service, &domain.in_service);
  return domain;
}

TenantLimit ApplyChange(TenantLimit tenant, const TenantChange& change) {
  AssignIfSet(change.max_running, &tenant.max_running);
  AssignIfSet(change.max_queued, &tenant.max_queued);
  AssignIfSet(change.weight, &tenant.weight);
  return tenant;
}

std::vector<std::string> ValidateWorld(const World& world) {
  Errors errors;
  CheckItems(kServiceKind, world.services, &errors);
  CheckItems(kDomainKind, world.domains, &errors);
  CheckItems(kTenantKind, world.tenants, &errors);
  return errors;
}

bool ContainsNote(const World& world, const core::NoteId& id) {
  const std::vector<core::NoteId>& notes = world.recent_notes;
  return std::find(notes.begin(), notes.end(), id) != notes.end();
}

std::optional<World> ApplyNote(const World& present, const ReleaseNote& note,
                               NoteError* reason) {
  if (note.base != present.version) {
    return Fail(
        NoteError::Code::kConflict,
        {"the note's base is version " + std::to_string(note.base.value()) +
         ", the present one is " + std::to_string(present.version.value())},
        reason);
  }
  const KindChanges<core::ServiceId, Service, ServiceChange> services{
      kServiceKind, note.added_services, note.changed_services,
      note.withdrawn_services};
  const KindChanges<core::DomainId, Domain, DomainChange> domains{
      kDomainKind, note.added_domains, note.changed_domains,
      note.withdrawn_domains};
  const KindChanges<core::TenantId, TenantLimit, TenantChange> tenants{
      kTenantKind, note.added_tenants, note.changed_tenants,
      note.withdrawn_tenants};

  Errors errors;
  if (!IsValidName(note.id.value())) {
    errors.push_back("note: the id " + NameRequirement());
  }
  if (ContainsNote(present, note.id)) {
    errors.push_back("note: the id " + note.id.value() +
                     " belongs to a note accepted before");
  }
  if (services.IsEmpty() && domains.IsEmpty() && tenants.IsEmpty()) {
    errors.emplace_back("note: states nothing to add, change or withdraw");
  }
  World next = present;
  ApplyKind(services, present.services, &next.services, &errors);
  ApplyKind(domains, present.domains, &next.domains, &errors);
  ApplyKind(tenants, present.tenants, &next.tenants, &errors);
  for (std::string& text : ValidateWorld(next))
    errors.push_back(std::move(text));
  if (!errors.empty()) {
    return Fail(NoteError::Code::kInvalid, std::move(errors), reason);
  }
  next.version = core::NoteVersion(present.version.value() + 1);
  AppendNoteId(note.id, &next);
  return next;
}

}  // namespace tarragon::dispatch
