#include "retry_pause.h"

#include <random>

namespace tarragon::daemons {
namespace {

constexpr int kLeastMs = 250;
constexpr int kMostMs = 750;

}  // namespace

core::Duration RetryPause() {
  static std::minstd_rand random{std::random_device{}()};
  std::uniform_int_distribution<int> pause(kLeastMs, kMostMs);
  return std::chrono::milliseconds(pause(random));
}

}  // namespace tarragon::daemons
