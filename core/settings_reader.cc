#include "settings_reader.h"

#include <algorithm>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <cstdlib>
#include <sstream>

#include "ini_lines.h"
#include "nearest_name.h"
#include "setting_value.h"

namespace tarragon::core {
namespace {

constexpr char kOverrideSource[] = "--set";
constexpr char kEnvironmentPrefix[] = "env:";

}  // namespace

SettingsReader::SettingsReader(const std::vector<SettingSpec>& specs,
                               std::vector<SettingError>* errors)
    : specs_(specs), errors_(errors), errors_before_(errors->size()) {}

void SettingsReader::ReadFile(const std::string& text,
                              const std::string& file) {
  file_ = file;
  const IniLines lines = ScanIni(text, file);
  errors_->insert(errors_->end(), lines.errors.begin(), lines.errors.end());
  for (const auto& [section, line] : lines.sections) {
    if (!IsSection(section)) Unknown({section, ""}, file, line);
  }
  for (const auto& [name, line] : lines.keys) {
    if (IsSection(name.first)) CheckKey(name, file, line);
    // Not checked any further unless the tree below has it: its line is faulty.
    given_[name] = {file, line, "", false};
  }
  boost::property_tree::ptree tree;
  std::istringstream clean(lines.clean_text);
  try {
    boost::property_tree::read_ini(clean, tree);
  } catch (const boost::property_tree::ini_parser_error& error) {
    errors_->push_back(
        {file, static_cast<int>(error.line()), "", "", error.message()});
    return;
  }
  for (const auto& [section, keys] : tree) {
    for (const auto& [key, value] : keys) {
      Given& given = given_[{section, key}];
      given.text = value.data();
      given.readable = true;
    }
  }
}

void SettingsReader::ReadOverride(const std::string& text) {
  const std::size_t equals = text.find('=');
  const std::size_t dot =
      equals == std::string::npos ? equals : text.rfind('.', equals);
  if (dot == std::string::npos || dot == 0 || dot + 1 == equals) {
    errors_->push_back({kOverrideSource, 0, "", "",
                        "an override is written as section.key=value."});
    return;
  }
  const Name name{text.substr(0, dot), text.substr(dot + 1, equals - dot - 1)};
  if (IsSection(name.first)) {
    CheckKey(name, kOverrideSource, 0);
  } else {
    Unknown(name, kOverrideSource, 0);
  }
  given_[name] = {kOverrideSource, 0, text.substr(equals + 1), true};
}

std::optional<Settings> SettingsReader::Finish() {
  Settings settings;
  for (const SettingSpec& spec : specs_) CheckValue(spec, &settings);
  if (errors_->size() > errors_before_) {
    std::stable_sort(
        errors_->begin() + static_cast<std::ptrdiff_t>(errors_before_),
        errors_->end(), [](const SettingError& a, const SettingError& b) {
          return a.line < b.line;
        });
    return std::nullopt;
  }
  return settings;
}

const SettingSpec* SettingsReader::FindSpec(const Name& name) const {
  for (const SettingSpec& spec : specs_) {
    if (spec.section == name.first && spec.key == name.second) return &spec;
  }
  return nullptr;
}

bool SettingsReader::IsSection(const std::string& section) const {
  return std::any_of(
      specs_.begin(), specs_.end(),
      [&](const SettingSpec& spec) { return spec.section == section; });
}

void SettingsReader::CheckKey(const Name& name, const std::string& file,
                              int line) {
  if (FindSpec(name) == nullptr) Unknown(name, file, line);
}

void SettingsReader::Unknown(const Name& name, const std::string& file,
                             int line) {
  errors_->push_back({file, line, name.first, name.second, UnknownText(name)});
}

std::string SettingsReader::UnknownText(const Name& name) const {
  std::vector<std::string> sections;
  std::vector<std::string> keys;
  std::string elsewhere;
  for (const SettingSpec& spec : specs_) {
    sections.push_back(spec.section);
    if (spec.section == name.first) keys.push_back(spec.key);
    if (spec.key == name.second) elsewhere = spec.section;
  }
  if (!keys.empty()) {
    const std::string nearest = NearestName(name.second, keys);
    if (!nearest.empty()) return "unknown key; did you mean " + nearest + "?";
    if (elsewhere.empty()) return "unknown key.";
    return "unknown key; it belongs to [" + elsewhere + "].";
  }
  const std::string nearest = NearestName(name.first, sections);
  if (nearest.empty()) return "unknown section.";
  return "unknown section; did you mean [" + nearest + "]?";
}

void SettingsReader::CheckValue(const SettingSpec& spec, Settings* settings) {
  const Name name{spec.section, spec.key};
  const std::map<Name, Given>::iterator found = given_.find(name);
  if (found == given_.end() && spec.required) {
    Refuse({file_, 0, "", false}, name,
           "the key is missing; give " + FormOf(spec.type) + ".");
    return;
  }
  Given given{"", 0, spec.default_value, true};
  if (found != given_.end()) given = found->second;
  if (!given.readable) return;
  if (!ResolveSecret(spec, &given)) return;
  if (spec.required && given.text.empty()) {
    Refuse(given, name,
           "the value is missing; give " + FormOf(spec.type) + ".");
    return;
  }
  std::string reason;
  const std::optional<SettingValue> value =
      ReadSettingValue(spec, given.text, &reason);
  if (!value) {
    Refuse(given, name, reason);
    return;
  }
  settings->values_[name] = {spec.type, spec.reloadable, value->text,
                             value->number, value->addresses};
}

bool SettingsReader::ResolveSecret(const SettingSpec& spec, Given* given) {
  if (!spec.secret || given->text.rfind(kEnvironmentPrefix, 0) != 0) {
    return true;
  }
  const std::string variable =
      given->text.substr(sizeof(kEnvironmentPrefix) - 1);
  const char* value = std::getenv(variable.c_str());
  if (value == nullptr) {
    Refuse(*given, {spec.section, spec.key},
           "the environment variable " + variable + " is not set.");
    return false;
  }
  given->text = value;
  return true;
}

void SettingsReader::Refuse(const Given& given, const Name& name,
                            const std::string& text) {
  errors_->push_back({given.file, given.line, name.first, name.second, text});
}

}  // namespace tarragon::core
