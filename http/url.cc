#include "url.h"

#include <utility>

namespace tarragon::http {
namespace {

constexpr std::string_view kUnreserved =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
/// Characters that stand for themselves in a path besides the unreserved ones.
constexpr std::string_view kPathMarks = "/:@!$&'()*+,;=";
constexpr std::string_view kScheme = "http://";
constexpr std::string_view kHexDigits = "0123456789ABCDEF";
constexpr int kHexBase = 16;

int HexValue(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

std::optional<std::string> Decode(std::string_view text, bool plus_is_space) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '+' && plus_is_space) {
      decoded += ' ';
      continue;
    }
    if (text[i] != '%') {
      decoded += text[i];
      continue;
    }
    if (i + 2 >= text.size()) return std::nullopt;
    const int high = HexValue(text[i + 1]);
    const int low = HexValue(text[i + 2]);
    if (high < 0 || low < 0) return std::nullopt;
    decoded += static_cast<char>(high * kHexBase + low);
    i += 2;
  }
  return decoded;
}

void Encode(std::string_view text, std::string_view also_plain,
            std::string* encoded) {
  for (const char c : text) {
    if (kUnreserved.find(c) != std::string_view::npos ||
        also_plain.find(c) != std::string_view::npos) {
      *encoded += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    *encoded += '%';
    *encoded += kHexDigits[byte / kHexBase];
    *encoded += kHexDigits[byte % kHexBase];
  }
}

bool ParseParameter(std::string_view text, Target* target) {
  const std::size_t equals = text.find('=');
  const std::string_view value = equals == std::string_view::npos
                                     ? std::string_view()
                                     : text.substr(equals + 1);
  std::optional<std::string> name = Decode(text.substr(0, equals), true);
  std::optional<std::string> decoded = Decode(value, true);
  if (!name || !decoded) return false;
  target->query[std::move(*name)] = std::move(*decoded);
  return true;
}

bool ParseQuery(std::string_view text, Target* target) {
  while (!text.empty()) {
    const std::size_t end = text.find('&');
    const std::string_view parameter = text.substr(0, end);
    if (!parameter.empty() && !ParseParameter(parameter, target)) return false;
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  return true;
}

/// Cuts "http://host" from the absolute form of a target.
std::string_view WithoutAuthority(std::string_view text) {
  if (text.substr(0, kScheme.size()) != kScheme) return text;
  const std::size_t path = text.find('/', kScheme.size());
  if (path == std::string_view::npos) return "/";
  return text.substr(path);
}

}  // namespace

std::optional<Target> ParseTarget(std::string_view text) {
  text = WithoutAuthority(text.substr(0, text.find('#')));
  const std::size_t mark = text.find('?');
  const std::string_view path = text.substr(0, mark);
  if (path.empty() || (path.front() != '/' && path != "*")) return std::nullopt;
  std::optional<std::string> decoded = Decode(path, false);
  if (!decoded) return std::nullopt;
  Target target;
  target.path = std::move(*decoded);
  if (mark == std::string_view::npos) return target;
  if (!ParseQuery(text.substr(mark + 1), &target)) return std::nullopt;
  return target;
}

std::string FormatTarget(const std::string& path,
                         const std::map<std::string, std::string>& query) {
  std::string text;
  Encode(path, kPathMarks, &text);
  char separator = '?';
  for (const auto& [name, value] : query) {
    text += separator;
    Encode(name, "", &text);
    text += '=';
    Encode(value, "", &text);
    separator = '&';
  }
  return text;
}

}  // namespace tarragon::http
