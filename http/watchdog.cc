#include "watchdog.h"

#include <algorithm>
#include <utility>

namespace tarragon::http {
namespace {

constexpr core::Duration kMaxDelay = std::chrono::hours(24);

}  // namespace

Watchdog::Moment MomentAfter(core::Duration delay) {
  return std::chrono::steady_clock::now() + std::min(delay, kMaxDelay);
}

Watchdog::Watchdog(asio::io_context& io, std::function<void()> on_expired)
    : timer_(io.get_executor()), on_expired_(std::move(on_expired)) {}

void Watchdog::SetAt(Moment moment) {
  deadline_ = moment;
  if (armed_for_ && *armed_for_ <= moment) return;
  Arm(moment);
}

void Watchdog::SetAfter(core::Duration delay) { SetAt(MomentAfter(delay)); }

void Watchdog::Clear() { deadline_.reset(); }

void Watchdog::Stop() {
  deadline_.reset();
  on_expired_ = nullptr;
  timer_.cancel();
}

void Watchdog::Arm(Moment moment) {
  armed_for_ = moment;
  timer_.expires_at(moment);
  timer_.async_wait([self = shared_from_this()](ErrorCode error) {
    if (!error) self->OnTimer();
  });
}

void Watchdog::OnTimer() {
  armed_for_.reset();
  if (!deadline_) return;
  if (*deadline_ > std::chrono::steady_clock::now()) return Arm(*deadline_);
  deadline_.reset();
  const std::function<void()> on_expired = on_expired_;
  if (on_expired) on_expired();
}

}  // namespace tarragon::http
