#include "tarragon/core/clock.h"

#include <ctime>

namespace tarragon::core {

Time SystemClock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return {std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec))};
}

}  // namespace tarragon::core
