#ifndef TARRAGON_WIRE_HELLO_H_
#define TARRAGON_WIRE_HELLO_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "tarragon/core/ids.h"
#include "tarragon/dispatch/message.h"
#include "tarragon/wire/error.h"

/// What the two ends of a connection say of themselves in the headers of each
/// stream.

namespace tarragon::wire {

/// The two streams of a connection.
enum class Channel : std::uint8_t {
  kControl = 0,  // Short messages that others wait for.
  kWork,         // Messages with payloads, and all else.
};
inline constexpr std::size_t kChannels = 2;

inline constexpr char kNodeHeader[] = "tarragon-node";
inline constexpr char kExpectsHeader[] = "tarragon-expects";
/// What the sender of the header can read, beyond the first version of the
/// protocol.
inline constexpr char kFeaturesHeader[] = "tarragon-features";
/// Reports that leave out their target if it is as in the previous report.
inline constexpr char kRepeatedTargetFeature[] = "repeated-target";
/// The node that was asked for is here.
inline constexpr char kStatusOk[] = "200";
/// Another incarnation is here.
inline constexpr char kStatusMisdirected[] = "421";

/// The stream on which a message travels.
Channel ChannelOf(const dispatch::Message& message);

/// The path that opens a stream.
std::string_view PathOf(Channel channel);

/// The headers of a request or a response that this protocol reads.
struct HelloHeaders {
  std::string method;
  std::string path;
  std::string status;
  std::string node;
  std::string expects;
  std::string features;
};

/// Keeps `value` if the protocol reads the header `name`.
void KeepHeader(std::string_view name, std::string_view value,
                HelloHeaders* headers);

/// A request that opens one stream.
struct Hello {
  Channel channel = Channel::kControl;
  /// Who has dialled.
  core::NodeId node;
  /// Whom it wants; zero for whoever is there.
  core::Incarnation expects;
};

/// The request in `headers`, if it is one of this protocol.
std::optional<Hello> ReadHello(const HelloHeaders& headers, WireError* reason);

/// The node of a response, if it names one with a usable address.
std::optional<core::NodeId> ReadNode(const HelloHeaders& headers,
                                     WireError* reason);

/// The value of kExpectsHeader.
std::string FormatExpects(core::Incarnation incarnation);

}  // namespace tarragon::wire

#endif  // TARRAGON_WIRE_HELLO_H_
