#include "setting_value.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <string_view>

#include "trim.h"

namespace tarragon::core {
namespace {

constexpr std::int64_t kMicrosPerMilli = 1000;
constexpr std::int64_t kMicrosPerSecond = 1000 * kMicrosPerMilli;
constexpr std::int64_t kMicrosPerMinute = 60 * kMicrosPerSecond;
constexpr std::int64_t kMicrosPerHour = 60 * kMicrosPerMinute;
constexpr std::int64_t kBytesPerKib = 1024;
constexpr std::int64_t kBytesPerMib = 1024 * kBytesPerKib;
constexpr std::int64_t kBytesPerGib = 1024 * kBytesPerMib;
constexpr int kMaxPort = 65535;
constexpr char kDefaultMinPermille[] = "0";
constexpr char kDefaultMaxPermille[] = "1000";

struct Unit {
  std::string_view name;
  std::int64_t factor = 1;
};

constexpr std::array<Unit, 5> kDurationUnits = {{{"us", 1},
                                                 {"ms", kMicrosPerMilli},
                                                 {"s", kMicrosPerSecond},
                                                 {"min", kMicrosPerMinute},
                                                 {"h", kMicrosPerHour}}};
constexpr std::array<Unit, 4> kByteUnits = {{{"B", 1},
                                             {"KiB", kBytesPerKib},
                                             {"MiB", kBytesPerMib},
                                             {"GiB", kBytesPerGib}}};
constexpr std::array<Unit, 1> kNoUnits = {{{"", 1}}};

/// Reads a whole number followed by one of `units`; the unit is not optional.
template <std::size_t N>
std::optional<std::int64_t> ReadNumber(const std::string& text,
                                       const std::array<Unit, N>& units) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result read = std::from_chars(text.data(), end, number);
  if (read.ec != std::errc()) return std::nullopt;
  const std::string_view name(read.ptr,
                              static_cast<std::size_t>(end - read.ptr));
  for (const Unit& unit : units) {
    if (unit.name != name) continue;
    std::int64_t product = 0;
    if (__builtin_mul_overflow(number, unit.factor, &product)) {
      return std::nullopt;
    }
    return product;
  }
  return std::nullopt;
}

std::optional<std::int64_t> ReadAmount(SettingType type,
                                       const std::string& text) {
  switch (type) {
    case SettingType::kDuration:
      return ReadNumber(text, kDurationUnits);
    case SettingType::kBytes:
      return ReadNumber(text, kByteUnits);
    case SettingType::kInteger:
    case SettingType::kPermille:
      return ReadNumber(text, kNoUnits);
    default:
      return std::nullopt;
  }
}

bool IsPort(const std::string& text) {
  int port = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result read = std::from_chars(text.data(), end, port);
  return read.ec == std::errc() && read.ptr == end && port >= 0 &&
         port <= kMaxPort;
}

bool IsAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || !IsPort(text.substr(colon + 1))) {
    return false;
  }
  const std::string host = text.substr(0, colon);
  std::array<unsigned char, sizeof(in6_addr)> ignored{};
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    const std::string inner = host.substr(1, host.size() - 2);
    return inet_pton(AF_INET6, inner.c_str(), ignored.data()) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), ignored.data()) == 1;
}

/// The value for a message; a secret is not shown.
std::string Shown(const SettingSpec& spec, const std::string& text) {
  return spec.secret ? "the value" : "\"" + text + "\"";
}

std::string WrongForm(const SettingSpec& spec, const std::string& text) {
  return Shown(spec, text) + " is not allowed; give " + FormOf(spec.type) + ".";
}

std::string LeastOf(const SettingSpec& spec) {
  if (spec.type == SettingType::kPermille && spec.minimum.empty()) {
    return kDefaultMinPermille;
  }
  // A negative duration or size never makes sense.
  if (spec.type == SettingType::kDuration && spec.minimum.empty()) return "0us";
  if (spec.type == SettingType::kBytes && spec.minimum.empty()) return "0B";
  return spec.minimum;
}

std::string GreatestOf(const SettingSpec& spec) {
  if (spec.type == SettingType::kPermille && spec.maximum.empty()) {
    return kDefaultMaxPermille;
  }
  return spec.maximum;
}

/// Reads one end of the range; `none` if it is open.
bool ReadLimit(SettingType type, const std::string& text, std::int64_t none,
               std::int64_t* limit, std::string* reason) {
  *limit = none;
  if (text.empty()) return true;
  const std::optional<std::int64_t> amount = ReadAmount(type, text);
  if (!amount) {
    *reason = "the program states a wrong limit: \"" + text + "\".";
    return false;
  }
  *limit = *amount;
  return true;
}

bool ReadRangedValue(const SettingSpec& spec, const std::string& text,
                     SettingValue* value, std::string* reason) {
  const std::optional<std::int64_t> amount = ReadAmount(spec.type, text);
  if (!amount) {
    *reason = WrongForm(spec, text);
    return false;
  }
  std::int64_t least = 0;
  std::int64_t greatest = 0;
  if (!ReadLimit(spec.type, LeastOf(spec),
                 std::numeric_limits<std::int64_t>::min(), &least, reason) ||
      !ReadLimit(spec.type, GreatestOf(spec),
                 std::numeric_limits<std::int64_t>::max(), &greatest, reason)) {
    return false;
  }
  if (*amount < least || *amount > greatest) {
    *reason = Shown(spec, text) + " is out of range; allowed is " +
              RangeOf(spec) + ".";
    return false;
  }
  value->number = *amount;
  return true;
}

bool ReadAddresses(const SettingSpec& spec, const std::string& text,
                   SettingValue* value, std::string* reason) {
  std::size_t start = 0;
  while (start <= text.size()) {
    const std::size_t comma = std::min(text.find(',', start), text.size());
    const std::string item = Trim(text.substr(start, comma - start));
    if (!IsAddress(item)) {
      *reason = WrongForm(spec, item);
      return false;
    }
    value->addresses.emplace_back(item);
    start = comma + 1;
  }
  return true;
}

bool MayBeEmpty(const SettingSpec& spec) {
  return spec.type == SettingType::kText ||
         spec.type == SettingType::kAddressList || spec.default_value.empty();
}

}  // namespace

std::optional<SettingValue> ReadSettingValue(const SettingSpec& spec,
                                             const std::string& text,
                                             std::string* reason) {
  SettingValue value;
  value.text = text;
  if (text.empty() && MayBeEmpty(spec)) return value;
  switch (spec.type) {
    case SettingType::kText:
      return value;
    case SettingType::kInteger:
    case SettingType::kDuration:
    case SettingType::kBytes:
    case SettingType::kPermille:
      if (!ReadRangedValue(spec, text, &value, reason)) return std::nullopt;
      return value;
    case SettingType::kBool:
      if (text != "true" && text != "false") break;
      value.number = text == "true" ? 1 : 0;
      return value;
    case SettingType::kAddress:
      if (!IsAddress(text)) break;
      value.addresses.emplace_back(text);
      return value;
    case SettingType::kAddressList:
      if (!ReadAddresses(spec, text, &value, reason)) return std::nullopt;
      return value;
  }
  *reason = WrongForm(spec, text);
  return std::nullopt;
}

std::string FormOf(SettingType type) {
  switch (type) {
    case SettingType::kText:
      return "text";
    case SettingType::kInteger:
      return "a whole number";
    case SettingType::kDuration:
      return "a whole number and its unit us, ms, s, min or h, as in 250ms";
    case SettingType::kBytes:
      return "a whole number and its unit B, KiB, MiB or GiB, as in 64KiB";
    case SettingType::kBool:
      return "true or false";
    case SettingType::kAddress:
      return "IP:port, as in 127.0.0.1:7001";
    case SettingType::kAddressList:
      return "IP:port with commas between, as in 127.0.0.1:7001, "
             "127.0.0.1:7002";
    case SettingType::kPermille:
      return "a whole number of thousandths";
  }
  return "";
}

bool HasRange(SettingType type) {
  return type == SettingType::kInteger || type == SettingType::kDuration ||
         type == SettingType::kBytes || type == SettingType::kPermille;
}

std::string RangeOf(const SettingSpec& spec) {
  if (!HasRange(spec.type)) return "";
  const std::string least = LeastOf(spec);
  const std::string greatest = GreatestOf(spec);
  if (least.empty() && greatest.empty()) return "";
  if (least.empty()) return "at most " + greatest;
  if (greatest.empty()) return "at least " + least;
  return least + " to " + greatest;
}

}  // namespace tarragon::core
