#ifndef TARRAGON_COORDINATOR_PSEUDO_RANDOM_H_
#define TARRAGON_COORDINATOR_PSEUDO_RANDOM_H_

#include <cstdint>

namespace tarragon::coordinator {

/// The next number of a xorshift64 generator: cheap, and random enough to break
/// ties and to spread messages over time. `state` must not be zero.
inline std::uint64_t NextRandom(std::uint64_t* state) {
  *state ^= *state << 13;
  *state ^= *state >> 7;
  *state ^= *state << 17;
  return *state;
}

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_PSEUDO_RANDOM_H_
