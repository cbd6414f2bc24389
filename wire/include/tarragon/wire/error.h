#ifndef TARRAGON_WIRE_ERROR_H_
#define TARRAGON_WIRE_ERROR_H_

#include <cstdint>
#include <string>
#include <utility>

namespace tarragon::wire {

/// What went wrong in this layer.
enum class WireErrorCode : std::uint8_t {
  kNone = 0,
  kMalformed,     // The bytes are no message, or a required part is absent.
  kUnknownValue,  // A value of an enumeration is not known.
  kTooMany,       // A list is longer than allowed.
  kTooLarge,      // A frame is longer than allowed.
  kOutOfRange,    // A duration or an amount is too large.
  kBadAddress,    // Not of the form "IP:port", or not usable.
  kCannotListen,  // The operating system refused the address.
  kProtocol,      // The peer does not follow the protocol.
};

/// The last error of a call that failed.
struct WireError {
  WireErrorCode code = WireErrorCode::kNone;
  /// One sentence for people.
  std::string detail;
};

/// Fills `reason` if the caller wants one. Returns false, so that a check can
/// end with it.
inline bool Fail(WireErrorCode code, std::string detail, WireError* reason) {
  if (reason != nullptr) *reason = {code, std::move(detail)};
  return false;
}

}  // namespace tarragon::wire

#endif  // TARRAGON_WIRE_ERROR_H_
