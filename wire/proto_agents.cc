#include "proto_messages.h"
#include "proto_state.h"

namespace tarragon::wire {

void ToProto(const dispatch::Heartbeat& message, Envelope* out) {
  const auto& [sequence, status, note_version, members_version] = message;
  Heartbeat* heartbeat = out->mutable_heartbeat();
  heartbeat->set_sequence(sequence);
  ToProto(status, heartbeat->mutable_status());
  heartbeat->set_note_version(note_version.value());
  heartbeat->set_members_version(members_version);
}

bool FromProto(Heartbeat* in, dispatch::Heartbeat* out, WireError* reason) {
  if (!Require(in->has_status(), "status", reason)) return false;
  out->sequence = in->sequence();
  out->note_version = core::NoteVersion(in->note_version());
  out->members_version = in->members_version();
  return FromProto(in->mutable_status(), &out->status, reason);
}

void ToProto(const dispatch::Permit& message, Envelope* out) {
  const auto& [sequence, lifetime, note_version, has_world, world,
               members_version, members_full, members, members_gone, entries] =
      message;
  Permit* permit = out->mutable_permit();
  permit->set_sequence(sequence);
  permit->set_lifetime_us(ToMicros(lifetime));
  permit->set_note_version(note_version.value());
  if (has_world) ToProto(world, permit->mutable_world());
  permit->set_members_version(members_version);
  permit->set_members_full(members_full);
  permit->mutable_members()->Reserve(static_cast<int>(members.size()));
  for (const dispatch::AgentStatus& member : members) {
    ToProto(member, permit->add_members());
  }
  for (const core::NodeId& node : members_gone) {
    ToProto(node, permit->add_members_gone());
  }
  ToProto(entries, permit->mutable_entries());
}

bool FromProto(Permit* in, dispatch::Permit* out, WireError* reason) {
  out->sequence = in->sequence();
  out->note_version = core::NoteVersion(in->note_version());
  out->has_world = in->has_world();
  out->members_version = in->members_version();
  out->members_full = in->members_full();
  if (!FromMicros(in->lifetime_us(), &out->lifetime, reason)) return false;
  if (out->has_world && !FromProto(in->mutable_world(), &out->world, reason)) {
    return false;
  }
  out->members.reserve(static_cast<std::size_t>(in->members_size()));
  for (AgentStatus& member : *in->mutable_members()) {
    if (!FromProto(&member, &out->members.emplace_back(), reason)) return false;
  }
  out->members_gone.reserve(static_cast<std::size_t>(in->members_gone_size()));
  for (NodeId& node : *in->mutable_members_gone()) {
    FromProto(&node, &out->members_gone.emplace_back());
  }
  return FromProto(in->mutable_entries(), &out->entries, reason);
}

void ToProto(const dispatch::LoadHint& message, Envelope* out) {
  const auto& [load] = message;
  ToProto(load, out->mutable_load_hint()->mutable_load());
}

bool FromProto(LoadHint* in, dispatch::LoadHint* out, WireError* reason) {
  if (!Require(in->has_load(), "load", reason)) return false;
  FromProto(in->load(), &out->load);
  return true;
}

void ToProto(const dispatch::EntryPing& message, Envelope* out) {
  const auto& [sequence, note_version, entries_version] = message;
  EntryPing* ping = out->mutable_entry_ping();
  ping->set_sequence(sequence);
  ping->set_note_version(note_version.value());
  ping->set_entries_version(entries_version);
}

bool FromProto(EntryPing* in, dispatch::EntryPing* out, WireError* /*reason*/) {
  out->sequence = in->sequence();
  out->note_version = core::NoteVersion(in->note_version());
  out->entries_version = in->entries_version();
  return true;
}

void ToProto(const dispatch::EntryPong& message, Envelope* out) {
  const auto& [sequence, note_version, entries_version, has_world, world,
               has_entries, entries] = message;
  EntryPong* pong = out->mutable_entry_pong();
  pong->set_sequence(sequence);
  pong->set_note_version(note_version.value());
  pong->set_entries_version(entries_version);
  if (has_world) ToProto(world, pong->mutable_world());
  if (has_entries) ToProto(entries, pong->mutable_entries());
}

bool FromProto(EntryPong* in, dispatch::EntryPong* out, WireError* reason) {
  out->sequence = in->sequence();
  out->note_version = core::NoteVersion(in->note_version());
  out->entries_version = in->entries_version();
  out->has_world = in->has_world();
  out->has_entries = in->has_entries();
  if (out->has_world && !FromProto(in->mutable_world(), &out->world, reason)) {
    return false;
  }
  if (!out->has_entries) return true;
  return FromProto(in->mutable_entries(), &out->entries, reason);
}

void ToProto(const dispatch::Leaving& message, Envelope* out) {
  const auto& [node] = message;
  ToProto(node, out->mutable_leaving()->mutable_node());
}

bool FromProto(Leaving* in, dispatch::Leaving* out, WireError* reason) {
  if (!Require(in->has_node(), "node", reason)) return false;
  FromProto(in->mutable_node(), &out->node);
  return true;
}

}  // namespace tarragon::wire
