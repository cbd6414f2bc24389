#ifndef TARRAGON_WIRE_PROTO_STATE_H_
#define TARRAGON_WIRE_PROTO_STATE_H_

#include <cstdint>
#include <string>

#include "message.pb.h"
#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/job.h"
#include "tarragon/dispatch/message.h"
#include "tarragon/dispatch/world.h"
#include "tarragon/wire/error.h"

/// Conversion of the structs that messages are made of. `ToProto` fills an
/// empty generated message. `FromProto` moves the text out of a generated
/// message; it returns false with a reason if the message is refused.

namespace tarragon::wire {

/// Microseconds of `duration`, cut to kMaxEncodedDuration.
std::int64_t ToMicros(core::Duration duration);
/// False if `micros` is beyond kMaxEncodedDuration.
bool FromMicros(std::int64_t micros, core::Duration* out, WireError* reason);

/// False if `value` names no reason.
bool FromNumber(std::uint32_t value, dispatch::Reason* out, WireError* reason);
/// False if `value` names no outcome.
bool FromNumber(std::uint32_t value, dispatch::Outcome* out, WireError* reason);

/// False, with the reason that `part` is absent, if `present` is false.
bool Require(bool present, const char* part, WireError* reason);

/// Moves a text out of a generated message into an id.
template <typename Id>
Id TakeId(std::string* text) {
  return Id(std::move(*text));
}

void ToProto(const core::NodeId& node, NodeId* out);
void ToProto(const dispatch::TaskRef& ref, TaskRef* out);
void ToProto(const dispatch::Load& load, Load* out);
void ToProto(const dispatch::AgentStatus& status, AgentStatus* out);
void ToProto(const dispatch::World& world, World* out);
void ToProto(const dispatch::EntryList& list, EntryList* out);

void FromProto(NodeId* in, core::NodeId* out);
void FromProto(TaskRef* in, dispatch::TaskRef* out);
void FromProto(const Load& in, dispatch::Load* out);
bool FromProto(AgentStatus* in, dispatch::AgentStatus* out, WireError* reason);
bool FromProto(World* in, dispatch::World* out, WireError* reason);
bool FromProto(EntryList* in, dispatch::EntryList* out, WireError* reason);

}  // namespace tarragon::wire

#endif  // TARRAGON_WIRE_PROTO_STATE_H_
