#include "tarragon/core/ids.h"

#include <charconv>
#include <random>

namespace tarragon::core {
namespace {

constexpr int kHexBase = 16;
constexpr char kIncarnationMark = '~';

}  // namespace

std::string ToString(const NodeId& node) {
  char digits[17] = {};
  std::to_chars(digits, digits + sizeof(digits) - 1, node.incarnation.value(),
                kHexBase);
  return node.address.value() + kIncarnationMark + digits;
}

bool ParseNodeId(const std::string& text, NodeId* node) {
  const std::size_t mark = text.rfind(kIncarnationMark);
  if (mark == std::string::npos || mark == 0) return false;
  std::uint64_t incarnation = 0;
  const char* first = text.data() + mark + 1;
  const char* last = text.data() + text.size();
  const std::from_chars_result read =
      std::from_chars(first, last, incarnation, kHexBase);
  if (read.ec != std::errc() || read.ptr != last || incarnation == 0) {
    return false;
  }
  node->address = Address(text.substr(0, mark));
  node->incarnation = Incarnation(incarnation);
  return true;
}

Incarnation RandomIncarnation() {
  std::random_device device;
  std::uint64_t value = 0;
  while (value == 0) {
    value = (static_cast<std::uint64_t>(device()) << 32) | device();
  }
  return Incarnation(value);
}

}  // namespace tarragon::core
