#ifndef TARRAGON_CORE_INI_LINES_H_
#define TARRAGON_CORE_INI_LINES_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "tarragon/core/settings.h"

namespace tarragon::core {

/// Where the sections and keys of an INI text stand. PropertyTree keeps no
/// lines and stops at the first fault.
struct IniLines {
  /// The text without its faulty lines, which are left blank.
  std::string clean_text;
  /// Line of each section, from one.
  std::map<std::string, int> sections;
  /// Line of each (section, key), from one.
  std::map<std::pair<std::string, std::string>, int> keys;
  /// Lines that are no INI, repeated sections and repeated keys.
  std::vector<SettingError> errors;
};

/// Scans `text`; `file` only appears in the errors.
IniLines ScanIni(const std::string& text, const std::string& file);

}  // namespace tarragon::core

#endif  // TARRAGON_CORE_INI_LINES_H_
