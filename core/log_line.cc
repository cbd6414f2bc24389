#include "log_line.h"

#include <array>
#include <cstdio>
#include <ctime>

namespace tarragon::core {
namespace {

/// Longer values are cut.
constexpr std::size_t kMaxValueBytes = 512;
constexpr std::string_view kCutMark = "...";

std::string_view PaddedName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info ";
    case LogLevel::kWarn:
      return "warn ";
    case LogLevel::kError:
      return "error";
  }
  return "";
}

std::string UtcTime(std::chrono::system_clock::time_point when) {
  const std::time_t seconds = std::chrono::system_clock::to_time_t(when);
  const std::int64_t millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          when.time_since_epoch())
          .count() %
      1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 32> date{};
  const std::size_t length =
      std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &utc);
  std::array<char, 8> fraction{};
  std::snprintf(fraction.data(), fraction.size(), ".%03dZ",
                static_cast<int>(millis));
  return std::string(date.data(), length) + fraction.data();
}

bool IsControl(char c) {
  return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
}

void AppendEscaped(std::string_view text, bool in_quotes, std::string* out) {
  for (const char c : text) {
    if (c == '\n') {
      *out += "\\n";
    } else if (c == '\r') {
      *out += "\\r";
    } else if (c == '\t') {
      *out += "\\t";
    } else if (in_quotes && (c == '"' || c == '\\')) {
      *out += '\\';
      *out += c;
    } else if (IsControl(c)) {
      std::array<char, 8> code{};
      std::snprintf(code.data(), code.size(), "\\x%02x",
                    static_cast<unsigned char>(c));
      *out += code.data();
    } else {
      *out += c;
    }
  }
}

bool NeedsQuotes(std::string_view value) {
  if (value.empty()) return true;
  for (const char c : value) {
    if (c == ' ' || c == '"' || c == '\\' || c == '=' || IsControl(c)) {
      return true;
    }
  }
  return false;
}

void AppendValue(std::string_view value, std::string* out) {
  const std::string_view shown = value.substr(0, kMaxValueBytes);
  const bool quotes = NeedsQuotes(shown);
  if (quotes) *out += '"';
  AppendEscaped(shown, quotes, out);
  if (shown.size() < value.size()) *out += kCutMark;
  if (quotes) *out += '"';
}

}  // namespace

std::string LogLine(std::chrono::system_clock::time_point when, LogLevel level,
                    std::string_view part, std::string_view sentence,
                    std::span<const Field> fields) {
  std::string line = UtcTime(when);
  line += ' ';
  line += PaddedName(level);
  line += ' ';
  line += part;
  line += ": ";
  AppendEscaped(sentence, false, &line);
  for (const Field& field : fields) {
    line += ' ';
    line += field.name;
    line += '=';
    AppendValue(field.value, &line);
  }
  return line;
}

}  // namespace tarragon::core
