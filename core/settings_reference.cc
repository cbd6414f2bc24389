#include <algorithm>

#include "setting_value.h"
#include "tarragon/core/settings.h"

namespace tarragon::core {
namespace {

std::string Describe(const SettingSpec& spec) {
  std::string text;
  if (!spec.help.empty()) text += "# " + spec.help + "\n";
  text += "# Value: " + FormOf(spec.type) + ".";
  const std::string range = RangeOf(spec);
  if (!range.empty()) text += " Range: " + range + ".";
  if (spec.required) text += " Required.";
  if (spec.secret) text += " Secret: env:NAME reads the variable NAME.";
  if (spec.reloadable) text += " Reloadable.";
  text += "\n";
  // A required key stands open, so that the file shows what to fill in.
  if (!spec.required) text += "# ";
  text += spec.key + " =";
  if (!spec.default_value.empty()) text += " " + spec.default_value;
  return text + "\n";
}

}  // namespace

std::string ReferenceFile(const std::vector<SettingSpec>& specs) {
  std::vector<std::string> sections;
  for (const SettingSpec& spec : specs) {
    if (std::find(sections.begin(), sections.end(), spec.section) ==
        sections.end()) {
      sections.push_back(spec.section);
    }
  }
  std::string text =
      "# Every setting with its default. A key behind # keeps its default.\n";
  for (const std::string& section : sections) {
    text += "\n[" + section + "]\n";
    for (const SettingSpec& spec : specs) {
      if (spec.section == section) text += "\n" + Describe(spec);
    }
  }
  return text;
}

}  // namespace tarragon::core
