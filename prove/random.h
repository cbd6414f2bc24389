#ifndef TARRAGON_PROVE_RANDOM_H_
#define TARRAGON_PROVE_RANDOM_H_

#include <cstddef>
#include <cstdint>
#include <random>

#include "tarragon/core/clock.h"

namespace tarragon::prove {

/// Numbers from one seed, by integer arithmetic only, so that every library
/// gives the same run.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t Next() { return engine_(); }
  /// Below `n`, which must not be zero.
  std::uint64_t Below(std::uint64_t n) { return engine_() % n; }
  std::size_t Index(std::size_t size) {
    return static_cast<std::size_t>(Below(size));
  }
  /// True in `permille` of a thousand cases.
  bool Chance(std::uint64_t permille) { return Below(1000) < permille; }
  core::Duration Between(core::Duration low, core::Duration high) {
    const std::uint64_t span =
        static_cast<std::uint64_t>((high - low).count()) + 1;
    return low + core::Duration(static_cast<std::int64_t>(Below(span)));
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace tarragon::prove

#endif  // TARRAGON_PROVE_RANDOM_H_
