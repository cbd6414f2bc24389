#ifndef TARRAGON_NOTES_INI_SECTIONS_H_
#define TARRAGON_NOTES_INI_SECTIONS_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace tarragon::notes {

/// The value of one key and the number of its line.
struct IniValue {
  std::string text;
  std::size_t line = 0;
};

/// One section of an INI text; it may have no keys.
struct IniSection {
  /// The words between the brackets, separated by one space.
  std::string name;
  std::size_t line = 0;
  std::map<std::string, IniValue> values;
};

/// Splits an INI text into its sections, in order. Each section is parsed
/// separately, so that a syntax error does not hide those of other sections
/// and so that empty sections are kept, which Boost.PropertyTree drops. Adds
/// one sentence to `errors` for every syntax error.
std::vector<IniSection> ReadIniSections(const std::string& text,
                                        std::vector<std::string>* errors);

/// Quotes a text from a client for an error: at most 100 characters, with "?"
/// in place of anything but printable ASCII.
std::string QuotePrintable(const std::string& text);

/// The start of an error text: "line 7: [section] ".
std::string FormatLocation(std::size_t line, const std::string& section);

}  // namespace tarragon::notes

#endif  // TARRAGON_NOTES_INI_SECTIONS_H_
