#ifndef TARRAGON_NOTES_SECTION_READER_H_
#define TARRAGON_NOTES_SECTION_READER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ini_sections.h"
#include "tarragon/core/clock.h"

namespace tarragon::notes {

/// Reads the keys of one section of a release note. Each value that does not
/// fit adds one sentence to the errors. Keys that are not there leave their
/// output empty.
class SectionReader {
 public:
  /// Both must outlive the reader.
  SectionReader(const IniSection& section, std::vector<std::string>* errors)
      : section_(section), errors_(errors) {}

  /// "true" or "false".
  std::optional<bool> Flag(const std::string& key);
  /// A whole number from `lowest` to `highest`.
  std::optional<std::uint64_t> Number(const std::string& key,
                                      std::uint64_t lowest,
                                      std::uint64_t highest);
  std::optional<std::uint32_t> Count(const std::string& key,
                                     std::uint32_t lowest,
                                     std::uint32_t highest);
  /// A whole number of milliseconds.
  std::optional<core::Duration> Millis(const std::string& key,
                                       core::Duration lowest,
                                       core::Duration highest);
  /// A name, as dispatch::IsValidName has it.
  std::optional<std::string> Name(const std::string& key);

  /// Reports a key that must be there and is not.
  void Require(const std::string& key);
  /// Reports keys that no call has asked for.
  void Finish();

 private:
  /// The value of `key`, null when it is not there.
  const IniValue* Find(const std::string& key);
  void Refuse(const std::string& key, const IniValue& value,
              const std::string& allowed);

  const IniSection& section_;
  std::vector<std::string>* errors_;
  std::vector<std::string> known_;
};

}  // namespace tarragon::notes

#endif  // TARRAGON_NOTES_SECTION_READER_H_
