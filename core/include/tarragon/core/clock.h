#ifndef TARRAGON_CORE_CLOCK_H_
#define TARRAGON_CORE_CLOCK_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace tarragon::core {

/// A length of time.
using Duration = std::chrono::microseconds;

/// A moment on the runtime's clock, counted from an arbitrary start. The clock
/// goes on while the machine is suspended, so that a permit lapses meanwhile.
struct Time {
  Duration since_start{0};

  bool operator==(const Time&) const = default;
  auto operator<=>(const Time&) const = default;
};

inline Time operator+(Time t, Duration d) { return {t.since_start + d}; }
inline Time operator-(Time t, Duration d) { return {t.since_start - d}; }
inline Duration operator-(Time a, Time b) {
  return a.since_start - b.since_start;
}

/// Later than any moment that is reached.
inline constexpr Time kNever{Duration::max()};

/// Whole milliseconds of a duration, rounded down.
inline std::int64_t Millis(Duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

/// The runtime's clock. Daemons read the system; tests pause and advance it.
class Clock {
 public:
  virtual ~Clock() = default;
  /// The present moment.
  virtual Time Now() const = 0;
};

/// Reads CLOCK_BOOTTIME, which counts time spent suspended.
class SystemClock : public Clock {
 public:
  Time Now() const override;
};

/// A clock that stands still until a test advances it.
class ManualClock : public Clock {
 public:
  Time Now() const override { return now_; }
  /// Moves the clock on by `step`.
  void Advance(Duration step) { now_ = now_ + step; }
  /// Sets the clock; must not go back.
  void Set(Time now) { now_ = now; }

 private:
  Time now_;
};

}  // namespace tarragon::core

#endif  // TARRAGON_CORE_CLOCK_H_
