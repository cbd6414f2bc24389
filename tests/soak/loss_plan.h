#ifndef TARRAGON_TESTS_SOAK_LOSS_PLAN_H_
#define TARRAGON_TESTS_SOAK_LOSS_PLAN_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace tarragon::soak {

/// How a process is lost.
enum class LossKind : std::uint8_t {
  kNone,
  kKill,
  kFreeze,
  /// The links between entries and gates hold back what the process sends, what
  /// it is sent, or both.
  kCutOutgoing,
  kCutIncoming,
  kCutBothWays,
  /// As kCutBothWays; the clients' connections are reset at the same moment.
  kCutAndReset,
};

/// The loss of one process.
struct Loss {
  /// Index among the processes of its role.
  int index = 0;
  LossKind kind = LossKind::kNone;
  /// After the begin of the series.
  std::chrono::milliseconds at{0};
  /// Until it is back.
  std::chrono::milliseconds duration{0};
};

/// Orders to a target that go wrong.
struct OrderFault {
  int target = 0;
  std::chrono::milliseconds at{0};
  std::chrono::milliseconds duration{0};
  /// Nearly all orders, not a third of them.
  bool severe = false;
};

/// An entry and then a share of the gates are lost.
struct LossSeries {
  /// "entry-kill gates-freeze+orders", the same for series of one kind.
  std::string name;
  std::chrono::milliseconds at{0};
  std::vector<Loss> entries;
  std::vector<Loss> gates;
  std::vector<OrderFault> orders;
};

const char* Name(LossKind kind);

/// The series of a seed within `length`, each at least 3 s after the one
/// before, when most of its losses are over.
std::vector<LossSeries> DrawLossSeries(std::uint64_t seed, int entries,
                                       int gates,
                                       std::chrono::milliseconds length);

/// One series in which the orders to all targets go wrong for `length`.
std::vector<LossSeries> MakeOrderSeries(int gates,
                                        std::chrono::milliseconds length);

}  // namespace tarragon::soak

#endif  // TARRAGON_TESTS_SOAK_LOSS_PLAN_H_
