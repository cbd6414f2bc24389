#ifndef TARRAGON_PROVE_SCHEDULER_H_
#define TARRAGON_PROVE_SCHEDULER_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "tarragon/core/clock.h"

namespace tarragon::prove {

/// Runs events in the order of their time; at one time in the order in which
/// they were scheduled.
class Scheduler {
 public:
  core::Time now() const { return now_; }
  std::uint64_t steps() const { return steps_; }

  void At(core::Time at, std::function<void()> run);
  void After(core::Duration delay, std::function<void()> run) {
    At(now_ + delay, std::move(run));
  }
  /// Runs the next event. False when there is none.
  bool Step();

 private:
  struct Event {
    core::Time at;
    std::uint64_t sequence = 0;
    std::function<void()> run;
  };
  static bool Later(const Event& a, const Event& b);

  core::Time now_;
  std::uint64_t steps_ = 0;
  std::uint64_t next_sequence_ = 0;
  std::vector<Event> heap_;
};

}  // namespace tarragon::prove

#endif  // TARRAGON_PROVE_SCHEDULER_H_
