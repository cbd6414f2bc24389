#include "trim.h"

namespace tarragon::core {
namespace {

constexpr char kBlank[] = " \t\r\n\v\f";

}  // namespace

std::string Trim(const std::string& text) {
  const std::size_t first = text.find_first_not_of(kBlank);
  if (first == std::string::npos) return "";
  return text.substr(first, text.find_last_not_of(kBlank) - first + 1);
}

}  // namespace tarragon::core
