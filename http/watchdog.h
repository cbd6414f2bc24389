#ifndef TARRAGON_HTTP_WATCHDOG_H_
#define TARRAGON_HTTP_WATCHDOG_H_

#include <functional>
#include <memory>
#include <optional>

#include "net.h"
#include "tarragon/core/clock.h"

namespace tarragon::http {

/// One deadline that moves often. Moving it later costs no timer operation: the
/// timer runs on and is set again when it fires.
class Watchdog : public std::enable_shared_from_this<Watchdog> {
 public:
  using Moment = std::chrono::steady_clock::time_point;

  /// `on_expired` must not own this object.
  Watchdog(asio::io_context& io, std::function<void()> on_expired);

  /// Calls `on_expired` at `moment` in place of the earlier deadline.
  void SetAt(Moment moment);
  /// Calls `on_expired` after `delay` in place of the earlier deadline.
  void SetAfter(core::Duration delay);
  /// Removes the deadline.
  void Clear();
  /// Ends the use of this object.
  void Stop();

 private:
  void Arm(Moment moment);
  void OnTimer();

  Timer timer_;
  std::function<void()> on_expired_;
  std::optional<Moment> deadline_;
  /// When the timer fires, if it runs.
  std::optional<Moment> armed_for_;
};

/// The moment `delay` from now; far delays are cut so that nothing overflows.
Watchdog::Moment MomentAfter(core::Duration delay);

}  // namespace tarragon::http

#endif  // TARRAGON_HTTP_WATCHDOG_H_
