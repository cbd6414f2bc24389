#ifndef TARRAGON_NOTES_SECTION_READER_H_
#define TARRAGON_NOTES_SECTION_READER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ini_sections.h"
#include "tarragon/core/clock.h"

namespace tarragon::notes {

/// Reads the keys of one section of a release note. The Read functions return
/// nothing for a missing key, and for an invalid value, for which they also add
/// one sentence to the errors.
class SectionReader {
 public:
  /// `section` and `errors` must outlive the reader.
  SectionReader(const IniSection& section, std::vector<std::string>* errors)
      : section_(section), errors_(errors) {}

  /// "true" or "false".
  std::optional<bool> ReadBool(const std::string& key);
  /// An integer from `lowest` to `highest`.
  std::optional<std::uint64_t> ReadInteger(const std::string& key,
                                           std::uint64_t lowest,
                                           std::uint64_t highest);
  std::optional<std::uint32_t> ReadCount(const std::string& key,
                                         std::uint32_t lowest,
                                         std::uint32_t highest);
  /// A duration as an integer number of milliseconds.
  std::optional<core::Duration> ReadMillis(const std::string& key,
                                           core::Duration lowest,
                                           core::Duration highest);
  /// A name that dispatch::IsValidName accepts.
  std::optional<std::string> ReadName(const std::string& key);

  /// Adds an error if `key` is missing.
  void RequireKey(const std::string& key);
  /// Adds an error for each key that no Read function has asked for.
  void ReportUnknownKeys();

 private:
  /// Returns the value of `key`, or null if it is missing.
  const IniValue* Find(const std::string& key);
  void AddValueError(const std::string& key, const IniValue& value,
                     const std::string& allowed);

  const IniSection& section_;
  std::vector<std::string>* errors_;
  std::vector<std::string> requested_keys_;
};

}  // namespace tarragon::notes

#endif  // TARRAGON_NOTES_SECTION_READER_H_
