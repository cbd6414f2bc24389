#ifndef TARRAGON_TESTS_STANDINS_TARGET_STANDIN_FAULT_H_
#define TARRAGON_TESTS_STANDINS_TARGET_STANDIN_FAULT_H_

#include <cstdint>
#include <optional>
#include <string>

namespace tarragon::standin {

/// How the target misbehaves.
enum class FaultMode : std::uint8_t {
  kNone = 0,
  kFail,            // Every task fails at once.
  kHang,            // Tasks start and never end.
  kLinger,          // Tasks run longer by a factor.
  kTruncate,        // The answer is shorter than its stated length.
  kRefuse,          // Tasks are not started.
  kDieOnStart,      // The process exits as a task starts.
  kDropConnection,  // The connection closes after the start; the task runs on.
};

/// A fault and for how many tasks it lasts.
struct Fault {
  FaultMode mode = FaultMode::kNone;
  /// Run times are multiplied by this while lingering.
  double factor = 10;
  /// Tasks that it still meets; absent means all.
  std::optional<std::int64_t> count;
};

/// Reads the body of POST /fault. Nothing if it is malformed.
std::optional<Fault> ParseFault(const std::string& body);

/// The fault that the next task meets; counts it off.
Fault TakeFault(Fault* fault);

}  // namespace tarragon::standin

#endif  // TARRAGON_TESTS_STANDINS_TARGET_STANDIN_FAULT_H_
