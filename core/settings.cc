#include "tarragon/core/settings.h"

#include <array>
#include <fstream>
#include <stdexcept>

#include "settings_reader.h"

namespace tarragon::core {
namespace {

constexpr std::size_t kReadBytes = 4096;

/// The bytes of `file`; nothing if it cannot be read, as for a directory.
std::optional<std::string> ReadAll(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  std::string text;
  std::array<char, kReadBytes> part{};
  while (stream) {
    stream.read(part.data(), part.size());
    text.append(part.data(), static_cast<std::size_t>(stream.gcount()));
  }
  if (stream.bad() || !stream.eof()) return std::nullopt;
  return text;
}

}  // namespace

std::string ToString(const SettingError& error) {
  std::string line = error.file.empty() ? "settings" : error.file;
  if (error.line > 0) line += ":" + std::to_string(error.line);
  line += ": ";
  if (!error.section.empty()) line += "[" + error.section + "]";
  if (!error.key.empty()) {
    line += (error.section.empty() ? "" : " ") + error.key;
  }
  if (!error.section.empty() || !error.key.empty()) line += ": ";
  return line + error.text;
}

std::optional<Settings> Settings::Load(
    const std::vector<SettingSpec>& specs, const std::string& file,
    const std::vector<std::string>& overrides,
    std::vector<SettingError>* errors) {
  if (file.empty()) return Parse(specs, "", "", overrides, errors);
  const std::optional<std::string> text = ReadAll(file);
  if (!text) {
    errors->push_back({file, 0, "", "", "the file cannot be read."});
    return std::nullopt;
  }
  return Parse(specs, *text, file, overrides, errors);
}

std::optional<Settings> Settings::Parse(
    const std::vector<SettingSpec>& specs, const std::string& text,
    const std::string& file_name, const std::vector<std::string>& overrides,
    std::vector<SettingError>* errors) {
  SettingsReader reader(specs, errors);
  reader.ReadFile(text, file_name);
  for (const std::string& each : overrides) reader.ReadOverride(each);
  return reader.Finish();
}

const std::string& Settings::Text(const std::string& section,
                                  const std::string& key) const {
  return Find(section, key).text;
}

bool Settings::Has(const std::string& section, const std::string& key) const {
  return !Text(section, key).empty();
}

std::int64_t Settings::Integer(const std::string& section,
                               const std::string& key) const {
  const Value& value = Find(section, key);
  if (value.type == SettingType::kPermille) return value.number;
  return Find(section, key, SettingType::kInteger).number;
}

core::Duration Settings::Duration(const std::string& section,
                                  const std::string& key) const {
  return core::Duration(Find(section, key, SettingType::kDuration).number);
}

std::uint64_t Settings::Bytes(const std::string& section,
                              const std::string& key) const {
  return static_cast<std::uint64_t>(
      Find(section, key, SettingType::kBytes).number);
}

bool Settings::Bool(const std::string& section, const std::string& key) const {
  return Find(section, key, SettingType::kBool).number != 0;
}

core::Address Settings::Address(const std::string& section,
                                const std::string& key) const {
  const Value& value = Find(section, key, SettingType::kAddress);
  return value.addresses.empty() ? core::Address() : value.addresses.front();
}

std::vector<core::Address> Settings::Addresses(const std::string& section,
                                               const std::string& key) const {
  return Find(section, key, SettingType::kAddressList).addresses;
}

std::vector<std::string> Settings::ChangedFixed(const Settings& next) const {
  std::vector<std::string> changed;
  for (const auto& [name, value] : values_) {
    if (value.reloadable) continue;
    const std::map<Name, Value>::const_iterator other = next.values_.find(name);
    if (other != next.values_.end() && other->second.text == value.text) {
      continue;
    }
    changed.push_back(name.first + "." + name.second);
  }
  return changed;
}

const Settings::Value& Settings::Find(const std::string& section,
                                      const std::string& key) const {
  const std::map<Name, Value>::const_iterator found =
      values_.find({section, key});
  if (found == values_.end()) {
    throw std::logic_error("no such setting: " + section + "." + key);
  }
  return found->second;
}

const Settings::Value& Settings::Find(const std::string& section,
                                      const std::string& key,
                                      SettingType type) const {
  const Value& value = Find(section, key);
  if (value.type != type) {
    throw std::logic_error("setting of another type: " + section + "." + key);
  }
  return value;
}

}  // namespace tarragon::core
