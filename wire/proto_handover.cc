#include "proto_messages.h"
#include "proto_state.h"

namespace tarragon::wire {
namespace {

void ToProto(const dispatch::KeptAnswer& record, KeptAnswer* out) {
  const auto& [answer, body_digest, time_left, dropped] = record;
  wire::ToProto(answer, out->mutable_answer());
  out->set_body_digest(body_digest);
  out->set_time_left_us(ToMicros(time_left));
  out->set_dropped(dropped);
}

bool FromProto(KeptAnswer* in, dispatch::KeptAnswer* out, WireError* reason) {
  if (!Require(in->has_answer(), "answer", reason)) return false;
  out->body_digest = in->body_digest();
  out->dropped = in->dropped();
  return FromMicros(in->time_left_us(), &out->time_left, reason) &&
         wire::FromProto(in->mutable_answer(), &out->answer, reason);
}

}  // namespace

void ToProto(const dispatch::Handover& message, Envelope* out) {
  const auto& [home, sequence, last, oldest_epoch, time_left, bytes, records] =
      message;
  Handover* handover = out->mutable_handover();
  ToProto(home, handover->mutable_home());
  handover->set_sequence(sequence);
  handover->set_last(last);
  handover->set_oldest_epoch(oldest_epoch);
  handover->set_time_left_us(ToMicros(time_left));
  handover->set_bytes(bytes);
  handover->mutable_records()->Reserve(static_cast<int>(records.size()));
  for (const dispatch::KeptAnswer& record : records) {
    ToProto(record, handover->add_records());
  }
}

bool FromProto(Handover* in, dispatch::Handover* out, WireError* reason) {
  if (!Require(in->has_home(), "home", reason)) return false;
  FromProto(in->mutable_home(), &out->home);
  out->sequence = in->sequence();
  out->last = in->last();
  out->oldest_epoch = in->oldest_epoch();
  out->bytes = in->bytes();
  out->records.reserve(static_cast<std::size_t>(in->records_size()));
  for (KeptAnswer& record : *in->mutable_records()) {
    if (!FromProto(&record, &out->records.emplace_back(), reason)) return false;
  }
  return FromMicros(in->time_left_us(), &out->time_left, reason);
}

void ToProto(const dispatch::HandoverAck& message, Envelope* out) {
  const auto& [home, received, refused] = message;
  HandoverAck* ack = out->mutable_handover_ack();
  ToProto(home, ack->mutable_home());
  ack->set_received(received);
  ack->set_refused(refused);
}

bool FromProto(HandoverAck* in, dispatch::HandoverAck* out, WireError* reason) {
  if (!Require(in->has_home(), "home", reason)) return false;
  FromProto(in->mutable_home(), &out->home);
  out->received = in->received();
  out->refused = in->refused();
  return true;
}

void ToProto(const dispatch::Inherited& message, Envelope* out) {
  const auto& [heir, homes] = message;
  Inherited* inherited = out->mutable_inherited();
  ToProto(heir, inherited->mutable_heir());
  for (const core::NodeId& home : homes) ToProto(home, inherited->add_homes());
}

bool FromProto(Inherited* in, dispatch::Inherited* out, WireError* reason) {
  if (!Require(in->has_heir(), "heir", reason)) return false;
  FromProto(in->mutable_heir(), &out->heir);
  out->homes.reserve(static_cast<std::size_t>(in->homes_size()));
  for (NodeId& home : *in->mutable_homes()) {
    FromProto(&home, &out->homes.emplace_back());
  }
  return true;
}

}  // namespace tarragon::wire
