#include "store_retry_delay.h"

#include <random>

namespace tarragon::daemons {
namespace {

constexpr int kMinDelayMs = 250;
constexpr int kMaxDelayMs = 750;

}  // namespace

core::Duration RandomStoreRetryDelay() {
  static std::minstd_rand generator{std::random_device{}()};
  std::uniform_int_distribution<int> delay_ms(kMinDelayMs, kMaxDelayMs);
  return std::chrono::milliseconds(delay_ms(generator));
}

core::Duration DrawReadRetryDelay(platform::StoreError error,
                                  std::uint64_t failures) {
  if (error == platform::StoreError::kUnclear && failures == 1) {
    return core::Duration(0);
  }
  return RandomStoreRetryDelay();
}

}  // namespace tarragon::daemons
