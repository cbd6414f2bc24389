#include "ini_sections.h"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <set>
#include <sstream>
#include <string_view>

namespace tarragon::notes {
namespace {

namespace ptree = boost::property_tree;

constexpr std::size_t kMaxQuotedLength = 100;
constexpr std::string_view kWhitespace = " \t\r\v\f";

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kWhitespace) - first + 1);
}

/// A section whose body is not parsed yet.
struct RawSection {
  IniSection section;
  /// The lines between this section's header and the next.
  std::string body;
};

/// Joins the words of `text` with one space, so that sections of the same item
/// have the same name however they are spaced.
std::string JoinWords(std::string_view text) {
  std::istringstream words{std::string(text)};
  std::string joined;
  std::string word;
  while (words >> word) joined += joined.empty() ? word : " " + word;
  return joined;
}

/// Parses the name from a section header. `line` starts with a bracket.
std::string ParseSectionName(std::string_view line, std::size_t number,
                             std::vector<std::string>* errors) {
  if (line.back() != ']') {
    errors->push_back("line " + std::to_string(number) + ": " +
                      QuotePrintable(std::string(line)) +
                      " starts a section, the line must end with ]");
    return JoinWords(line.substr(1));
  }
  return JoinWords(line.substr(1, line.size() - 2));
}

std::vector<RawSection> SplitSections(const std::string& text,
                                      std::vector<std::string>* errors) {
  std::vector<RawSection> sections(1);
  std::istringstream lines(text);
  std::string line;
  std::size_t number = 0;
  while (std::getline(lines, line)) {
    ++number;
    const std::string_view trimmed = Trim(line);
    if (trimmed.starts_with('[')) {
      RawSection opened;
      opened.section.name = ParseSectionName(trimmed, number, errors);
      opened.section.line = number;
      sections.push_back(std::move(opened));
      continue;
    }
    sections.back().body += line;
    sections.back().body += '\n';
  }
  return sections;
}

/// Returns the line number of each key. The body must be free of syntax errors.
std::map<std::string, std::size_t> FindKeyLines(const RawSection& raw) {
  std::map<std::string, std::size_t> lines;
  std::istringstream body(raw.body);
  std::string line;
  std::size_t number = raw.section.line;
  while (std::getline(body, line)) {
    ++number;
    const std::size_t equals = line.find('=');
    if (equals == std::string::npos) continue;
    const std::string key = line.substr(0, equals);
    lines.emplace(Trim(key), number);
  }
  return lines;
}

void ReadValues(RawSection* raw, std::vector<std::string>* errors) {
  IniSection& section = raw->section;
  ptree::ptree tree;
  try {
    std::istringstream body(raw->body);
    ptree::read_ini(body, tree);
  } catch (const ptree::ini_parser_error& error) {
    errors->push_back(
        FormatLocation(section.line + error.line(), section.name) +
        error.message());
    return;
  }
  const std::map<std::string, std::size_t> lines = FindKeyLines(*raw);
  for (const auto& [key, value] : tree) {
    const auto line = lines.find(key);
    section.values[key] = {value.data(),
                           line == lines.end() ? section.line : line->second};
  }
}

}  // namespace

std::vector<IniSection> ReadIniSections(const std::string& text,
                                        std::vector<std::string>* errors) {
  std::vector<RawSection> raw = SplitSections(text, errors);
  std::vector<IniSection> sections;
  std::set<std::string> names;
  for (RawSection& part : raw) {
    ReadValues(&part, errors);
    IniSection& section = part.section;
    const bool before_first = section.line == 0;
    if (before_first) {
      for (const auto& [key, value] : section.values) {
        errors->push_back("line " + std::to_string(value.line) + ": " +
                          QuotePrintable(key) + " is before the first section");
      }
      continue;
    }
    if (!names.insert(section.name).second) {
      errors->push_back(FormatLocation(section.line, section.name) +
                        "the section is defined twice");
    }
    sections.push_back(std::move(section));
  }
  return sections;
}

std::string QuotePrintable(const std::string& text) {
  std::string quoted = "\"";
  for (const char c : text.substr(0, kMaxQuotedLength)) {
    quoted += c >= ' ' && c <= '~' ? c : '?';
  }
  if (text.size() > kMaxQuotedLength) quoted += "...";
  return quoted + '"';
}

std::string FormatLocation(std::size_t line, const std::string& section) {
  std::string quoted = QuotePrintable(section);
  quoted.front() = '[';
  quoted.back() = ']';
  return "line " + std::to_string(line) + ": " + quoted + " ";
}

}  // namespace tarragon::notes
