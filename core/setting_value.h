#ifndef TARRAGON_CORE_SETTING_VALUE_H_
#define TARRAGON_CORE_SETTING_VALUE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tarragon/core/settings.h"

namespace tarragon::core {

/// A setting's value after reading.
struct SettingValue {
  std::string text;
  /// Integer, microseconds, bytes, permille or 0 and 1 for a bool.
  std::int64_t number = 0;
  std::vector<Address> addresses;
};

/// Reads `text` as the type of `spec` and checks its range. On a fault returns
/// nothing and says in `reason` what is wrong and what is allowed.
std::optional<SettingValue> ReadSettingValue(const SettingSpec& spec,
                                             const std::string& text,
                                             std::string* reason);

/// What a value of this type looks like, for messages and the reference file.
std::string FormOf(SettingType type);

/// True for types that have a least and a greatest value.
bool HasRange(SettingType type);

/// The range of `spec` in words, "1ms to 10min"; empty if it has none.
std::string RangeOf(const SettingSpec& spec);

}  // namespace tarragon::core

#endif  // TARRAGON_CORE_SETTING_VALUE_H_
