#ifndef TARRAGON_TESTS_SOAK_LOSS_RUN_H_
#define TARRAGON_TESTS_SOAK_LOSS_RUN_H_

#include <cstdint>

#include "options.h"

namespace tarragon::soak {

/// Plays the series of losses of a seed to their end. True if every promise
/// held. Otherwise prints what was broken in which series, and keeps the logs.
bool RunLosses(std::uint64_t seed, const Options& options);

}  // namespace tarragon::soak

#endif  // TARRAGON_TESTS_SOAK_LOSS_RUN_H_
