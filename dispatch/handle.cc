#include "tarragon/dispatch/handle.h"

#include <algorithm>
#include <charconv>

namespace tarragon::dispatch {
namespace {

constexpr int kHexBase = 16;
constexpr char kEpochSeparator = '~';
constexpr char kSuffixSeparator = '.';
constexpr std::size_t kMaxSuffixLength = 64;

bool IsSuffixCharacter(char c) {
  return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
         (c >= '0' && c <= '9') || c == '_' || c == '-';
}

}  // namespace

std::string ToString(const Handle& handle) {
  char digits[9] = {};
  std::to_chars(digits, digits + sizeof(digits) - 1, handle.epoch, kHexBase);
  return core::ToString(handle.home) + kEpochSeparator + digits;
}

std::optional<Handle> ParseHandle(const core::JobKey& key) {
  const std::string& text = key.value();
  const std::size_t dot = text.rfind(kSuffixSeparator);
  if (dot == std::string::npos) return std::nullopt;
  const std::string suffix = text.substr(dot + 1);
  if (suffix.empty() || suffix.size() > kMaxSuffixLength) return std::nullopt;
  if (!std::all_of(suffix.begin(), suffix.end(), IsSuffixCharacter)) {
    return std::nullopt;
  }
  const std::string handle_text = text.substr(0, dot);
  const std::size_t mark = handle_text.rfind(kEpochSeparator);
  if (mark == std::string::npos) return std::nullopt;
  Handle handle;
  const char* last = handle_text.data() + handle_text.size();
  const std::from_chars_result read = std::from_chars(
      handle_text.data() + mark + 1, last, handle.epoch, kHexBase);
  if (read.ec != std::errc() || read.ptr != last) return std::nullopt;
  if (!core::ParseNodeId(handle_text.substr(0, mark), &handle.home)) {
    return std::nullopt;
  }
  return handle;
}

}  // namespace tarragon::dispatch
