#include "section_reader.h"

#include <algorithm>
#include <charconv>

#include "tarragon/dispatch/note.h"

namespace tarragon::notes {

std::optional<bool> SectionReader::ReadBool(const std::string& key) {
  const IniValue* value = Find(key);
  if (value == nullptr) return std::nullopt;
  if (value->text == "true") return true;
  if (value->text == "false") return false;
  AddValueError(key, *value, "true or false");
  return std::nullopt;
}

std::optional<std::uint64_t> SectionReader::ReadInteger(const std::string& key,
                                                        std::uint64_t lowest,
                                                        std::uint64_t highest) {
  const IniValue* value = Find(key);
  if (value == nullptr) return std::nullopt;
  std::uint64_t number = 0;
  const char* last = value->text.data() + value->text.size();
  const std::from_chars_result read =
      std::from_chars(value->text.data(), last, number);
  const bool is_integer = read.ec == std::errc() && read.ptr == last;
  if (is_integer && number >= lowest && number <= highest) return number;
  AddValueError(key, *value,
                "whole numbers from " + std::to_string(lowest) + " to " +
                    std::to_string(highest));
  return std::nullopt;
}

std::optional<std::uint32_t> SectionReader::ReadCount(const std::string& key,
                                                      std::uint32_t lowest,
                                                      std::uint32_t highest) {
  const std::optional<std::uint64_t> number = ReadInteger(key, lowest, highest);
  if (!number) return std::nullopt;
  return static_cast<std::uint32_t>(*number);
}

std::optional<core::Duration> SectionReader::ReadMillis(
    const std::string& key, core::Duration lowest, core::Duration highest) {
  const std::optional<std::uint64_t> number =
      ReadInteger(key, static_cast<std::uint64_t>(core::Millis(lowest)),
                  static_cast<std::uint64_t>(core::Millis(highest)));
  if (!number) return std::nullopt;
  return std::chrono::milliseconds(*number);
}

std::optional<std::string> SectionReader::ReadName(const std::string& key) {
  const IniValue* value = Find(key);
  if (value == nullptr) return std::nullopt;
  if (dispatch::IsValidName(value->text)) return value->text;
  AddValueError(key, *value,
                "1 to " + std::to_string(dispatch::kMaxNameLength) +
                    " characters of A-Z a-z 0-9 _ . -");
  return std::nullopt;
}

void SectionReader::RequireKey(const std::string& key) {
  if (section_.values.contains(key)) return;
  errors_->push_back(FormatLocation(section_.line, section_.name) + key +
                     " is missing");
}

void SectionReader::ReportUnknownKeys() {
  std::string allowed;
  for (const std::string& key : requested_keys_) {
    allowed += allowed.empty() ? key : ", " + key;
  }
  for (const auto& [key, value] : section_.values) {
    if (std::find(requested_keys_.begin(), requested_keys_.end(), key) !=
        requested_keys_.end())
      continue;
    errors_->push_back(
        FormatLocation(value.line, section_.name) + "unknown key " +
        QuotePrintable(key) +
        (allowed.empty() ? ", no key is allowed" : ", allowed are " + allowed));
  }
}

const IniValue* SectionReader::Find(const std::string& key) {
  requested_keys_.push_back(key);
  const std::map<std::string, IniValue>::const_iterator found =
      section_.values.find(key);
  return found == section_.values.end() ? nullptr : &found->second;
}

void SectionReader::AddValueError(const std::string& key, const IniValue& value,
                                  const std::string& allowed) {
  errors_->push_back(FormatLocation(value.line, section_.name) + key + " is " +
                     QuotePrintable(value.text) + ", allowed are " + allowed);
}

}  // namespace tarragon::notes
