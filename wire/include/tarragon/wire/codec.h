#ifndef TARRAGON_WIRE_CODEC_H_
#define TARRAGON_WIRE_CODEC_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "tarragon/core/clock.h"
#include "tarragon/dispatch/message.h"
#include "tarragon/wire/error.h"

namespace tarragon::wire {

/// Longest duration on the wire, in either direction of time. Longer ones are
/// cut to it when encoded and refused when decoded, so that a receiver can add
/// any of them to the present moment.
inline constexpr core::Duration kMaxEncodedDuration =
    std::chrono::hours(24 * 3650);

/// The protobuf encoding of one message. `Permit::world`, `EntryPong::world`
/// and `EntryPong::entries` are left out unless their `has_` flag is set.
std::string Encode(const dispatch::Message& message);

/// The same for a report, without the fields that describe the target. Its
/// reader knows them from the previous report on the connection.
std::string EncodeRepeatedTarget(const coordinator::TargetReport& report);

/// True if a report may follow `previous` on a connection without the fields
/// that describe the target.
bool DescribesSameTarget(const coordinator::TargetReport& previous,
                         const coordinator::TargetReport& next);

/// Reads one message. Nothing, with a `reason` that may be null, if `bytes` is
/// no message, lacks a required part, holds an unknown value of an enumeration,
/// a list that is too long, a name twice or a duration out of range.
/// A report that leaves out its target is completed from `previous`, and
/// refused if that is null.
std::optional<dispatch::Message> Decode(
    std::string_view bytes, WireError* reason,
    const coordinator::TargetReport* previous = nullptr);

}  // namespace tarragon::wire

#endif  // TARRAGON_WIRE_CODEC_H_
