#ifndef TARRAGON_NOTES_INI_SECTIONS_H_
#define TARRAGON_NOTES_INI_SECTIONS_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace tarragon::notes {

/// One key of a section with its value and the line that it stands on.
struct IniValue {
  std::string text;
  std::size_t line = 0;
};

/// One section of an INI text; may be empty.
struct IniSection {
  /// The words between the brackets with one blank between them.
  std::string name;
  std::size_t line = 0;
  std::map<std::string, IniValue> values;
};

/// Splits an INI text into its sections, in order. Each section is read on its
/// own, so that one syntax error does not hide those of other sections and
/// that empty sections are kept, which Boost.PropertyTree drops. Every syntax
/// error adds one sentence to `errors`.
std::vector<IniSection> ReadIniSections(const std::string& text,
                                        std::vector<std::string>* errors);

/// Part of a text from a client as it may stand in an error: quoted, cut
/// after 100 characters, with ? for all but printable ASCII.
std::string QuotePrintable(const std::string& text);

/// The start of an error text: "line 7: [section] ".
std::string FormatLocation(std::size_t line, const std::string& section);

}  // namespace tarragon::notes

#endif  // TARRAGON_NOTES_INI_SECTIONS_H_
