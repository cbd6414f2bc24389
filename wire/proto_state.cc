#include "proto_state.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "tarragon/wire/codec.h"

// The structured bindings name every field of a struct, so that a field which
// is added there does not compile here until it is encoded.

namespace tarragon::wire {
namespace {

constexpr std::uint32_t kLastReason =
    static_cast<std::uint32_t>(dispatch::Reason::kAnswerDropped);
constexpr std::uint32_t kLastOutcome =
    static_cast<std::uint32_t>(dispatch::Outcome::kUnknown);

bool RefuseTwice(const std::string& name, WireError* reason) {
  return Fail(WireErrorCode::kMalformed, "The name is there twice: " + name,
              reason);
}

void ToProto(const core::ServiceId& id, const dispatch::Service& service,
             Service* out) {
  const auto& [idempotent, max_run, max_cores, max_memory_mb] = service;
  out->set_name(id.value());
  out->set_idempotent(idempotent);
  out->set_max_run_us(ToMicros(max_run));
  out->set_max_cores(max_cores);
  out->set_max_memory_mb(max_memory_mb);
}

void ToProto(const core::DomainId& id, const dispatch::Domain& domain,
             Domain* out) {
  const auto& [region, in_service] = domain;
  out->set_name(id.value());
  out->set_region(region.value());
  out->set_in_service(in_service);
}

void ToProto(const core::TenantId& id, const dispatch::TenantLimit& limit,
             TenantLimit* out) {
  const auto& [max_running, max_queued, weight] = limit;
  out->set_name(id.value());
  out->set_max_running(max_running);
  out->set_max_queued(max_queued);
  out->set_weight(weight);
}

bool ReadServices(World* in, dispatch::World* out, WireError* reason) {
  for (Service& service : *in->mutable_services()) {
    dispatch::Service read;
    read.idempotent = service.idempotent();
    read.max_cores = service.max_cores();
    read.max_memory_mb = service.max_memory_mb();
    if (!FromMicros(service.max_run_us(), &read.max_run, reason)) return false;
    const core::ServiceId id(service.name());
    if (!out->services.emplace(id, read).second) {
      return RefuseTwice(id.value(), reason);
    }
  }
  return true;
}

bool ReadDomains(World* in, dispatch::World* out, WireError* reason) {
  for (Domain& domain : *in->mutable_domains()) {
    dispatch::Domain read;
    read.region = TakeId<core::RegionId>(domain.mutable_region());
    read.in_service = domain.in_service();
    const core::DomainId id(domain.name());
    if (!out->domains.emplace(id, std::move(read)).second) {
      return RefuseTwice(id.value(), reason);
    }
  }
  return true;
}

bool ReadTenants(World* in, dispatch::World* out, WireError* reason) {
  for (const TenantLimit& tenant : in->tenants()) {
    dispatch::TenantLimit read;
    read.max_running = tenant.max_running();
    read.max_queued = tenant.max_queued();
    read.weight = tenant.weight();
    const core::TenantId id(tenant.name());
    if (!out->tenants.emplace(id, read).second) {
      return RefuseTwice(id.value(), reason);
    }
  }
  return true;
}

void ToProto(const dispatch::EntryMember& member, EntryMember* out) {
  const auto& [node, domain] = member;
  wire::ToProto(node, out->mutable_node());
  out->set_domain(domain.value());
}

bool ReadMembers(google::protobuf::RepeatedPtrField<EntryMember>* in,
                 std::vector<dispatch::EntryMember>* out, WireError* reason) {
  out->reserve(static_cast<std::size_t>(in->size()));
  for (EntryMember& member : *in) {
    if (!Require(member.has_node(), "node", reason)) return false;
    dispatch::EntryMember& read = out->emplace_back();
    FromProto(member.mutable_node(), &read.node);
    read.domain = TakeId<core::DomainId>(member.mutable_domain());
  }
  return true;
}

}  // namespace

std::int64_t ToMicros(core::Duration duration) {
  return std::clamp(duration, -kMaxEncodedDuration, kMaxEncodedDuration)
      .count();
}

bool FromMicros(std::int64_t micros, core::Duration* out, WireError* reason) {
  const core::Duration read(micros);
  if (read < -kMaxEncodedDuration || read > kMaxEncodedDuration) {
    return Fail(WireErrorCode::kOutOfRange, "A duration is out of range.",
                reason);
  }
  *out = read;
  return true;
}

bool FromNumber(std::uint32_t value, dispatch::Reason* out, WireError* reason) {
  if (value > kLastReason) {
    return Fail(WireErrorCode::kUnknownValue, "The reason is not known.",
                reason);
  }
  *out = static_cast<dispatch::Reason>(value);
  return true;
}

bool FromNumber(std::uint32_t value, dispatch::Outcome* out,
                WireError* reason) {
  if (value > kLastOutcome) {
    return Fail(WireErrorCode::kUnknownValue, "The outcome is not known.",
                reason);
  }
  *out = static_cast<dispatch::Outcome>(value);
  return true;
}

bool Require(bool present, const char* part, WireError* reason) {
  if (present) return true;
  return Fail(WireErrorCode::kMalformed,
              std::string("A required part is absent: ") + part, reason);
}

void ToProto(const core::NodeId& node, NodeId* out) {
  const auto& [address, incarnation] = node;
  out->set_address(address.value());
  out->set_incarnation(incarnation.value());
}

void FromProto(NodeId* in, core::NodeId* out) {
  out->address = TakeId<core::Address>(in->mutable_address());
  out->incarnation = core::Incarnation(in->incarnation());
}

void ToProto(const dispatch::TaskRef& ref, TaskRef* out) {
  const auto& [key, task, attempt] = ref;
  out->set_key(key.value());
  out->set_task(task.value());
  out->set_attempt(attempt.value());
}

void FromProto(TaskRef* in, dispatch::TaskRef* out) {
  out->key = TakeId<core::JobKey>(in->mutable_key());
  out->task = core::TaskIndex(in->task());
  out->attempt = core::Attempt(in->attempt());
}

void ToProto(const dispatch::Load& load, Load* out) {
  const auto& [free_slots, slots, sequence, assigns_seen] = load;
  out->set_free_slots(free_slots);
  out->set_slots(slots);
  out->set_sequence(sequence);
  out->set_assigns_seen(assigns_seen);
}

void FromProto(const Load& in, dispatch::Load* out) {
  out->free_slots = in.free_slots();
  out->slots = in.slots();
  out->sequence = in.sequence();
  out->assigns_seen = in.assigns_seen();
}

void ToProto(const dispatch::AgentStatus& status, AgentStatus* out) {
  const auto& [node, domain, services, load, cores, memory_mb, leaving,
               failure_permille, handle_epoch, mean_run, late_permille] =
      status;
  ToProto(node, out->mutable_node());
  out->set_domain(domain.value());
  for (const core::ServiceId& service : services) {
    out->add_services(service.value());
  }
  ToProto(load, out->mutable_load());
  out->set_cores(cores);
  out->set_memory_mb(memory_mb);
  out->set_leaving(leaving);
  out->set_failure_permille(failure_permille);
  out->set_handle_epoch(handle_epoch);
  out->set_mean_run_us(ToMicros(mean_run));
  out->set_late_permille(late_permille);
}

bool FromProto(AgentStatus* in, dispatch::AgentStatus* out, WireError* reason) {
  if (!Require(in->has_node(), "node", reason)) return false;
  FromProto(in->mutable_node(), &out->node);
  out->domain = TakeId<core::DomainId>(in->mutable_domain());
  out->services.reserve(static_cast<std::size_t>(in->services_size()));
  for (std::string& service : *in->mutable_services()) {
    out->services.emplace_back(std::move(service));
  }
  FromProto(in->load(), &out->load);
  out->cores = in->cores();
  out->memory_mb = in->memory_mb();
  out->leaving = in->leaving();
  out->failure_permille = in->failure_permille();
  out->handle_epoch = in->handle_epoch();
  out->late_permille = in->late_permille();
  return FromMicros(in->mean_run_us(), &out->mean_run, reason);
}

void ToProto(const dispatch::World& world, World* out) {
  const auto& [version, recent_notes, services, domains, tenants] = world;
  out->set_version(version.value());
  for (const core::NoteId& note : recent_notes) {
    out->add_recent_notes(note.value());
  }
  for (const auto& [id, service] : services) {
    ToProto(id, service, out->add_services());
  }
  for (const auto& [id, domain] : domains) {
    ToProto(id, domain, out->add_domains());
  }
  for (const auto& [id, limit] : tenants) {
    ToProto(id, limit, out->add_tenants());
  }
}

bool FromProto(World* in, dispatch::World* out, WireError* reason) {
  out->version = core::NoteVersion(in->version());
  out->recent_notes.reserve(static_cast<std::size_t>(in->recent_notes_size()));
  for (std::string& note : *in->mutable_recent_notes()) {
    out->recent_notes.emplace_back(std::move(note));
  }
  return ReadServices(in, out, reason) && ReadDomains(in, out, reason) &&
         ReadTenants(in, out, reason);
}

void ToProto(const dispatch::EntryList& list, EntryList* out) {
  const auto& [version, members, previous] = list;
  out->set_version(version);
  for (const dispatch::EntryMember& member : members) {
    ToProto(member, out->add_members());
  }
  for (const dispatch::EntryMember& member : previous) {
    ToProto(member, out->add_previous());
  }
}

bool FromProto(EntryList* in, dispatch::EntryList* out, WireError* reason) {
  out->version = in->version();
  return ReadMembers(in->mutable_members(), &out->members, reason) &&
         ReadMembers(in->mutable_previous(), &out->previous, reason);
}

}  // namespace tarragon::wire
