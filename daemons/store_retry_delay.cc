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

}  // namespace tarragon::daemons
