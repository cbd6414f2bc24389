#include "ini_lines.h"

#include <sstream>
#include <utility>

#include "trim.h"

namespace tarragon::core {
namespace {

/// Goes through the lines of one text.
class Scanner {
 public:
  explicit Scanner(const std::string& file) : file_(file) {}

  void Line(const std::string& raw) {
    ++line_;
    const std::string line = Trim(raw);
    const bool comment = line.empty() || line[0] == ';' || line[0] == '#';
    if (!comment) {
      const bool good = line[0] == '[' ? Section(line) : Key(line);
      if (good) found_.clean_text += line;
    }
    found_.clean_text += '\n';
  }

  IniLines Take() { return std::move(found_); }

 private:
  bool Section(const std::string& line) {
    const std::size_t end = line.find(']');
    // The keys below a faulty header belong to no known section.
    in_faulty_section_ = true;
    section_.clear();
    if (end == std::string::npos || end + 1 != line.size()) {
      return Refuse("", "a section is written as [name] on a line of its own.");
    }
    section_ = Trim(line.substr(1, end - 1));
    if (section_.empty()) return Refuse("", "a section needs a name.");
    const auto [at, is_new] = found_.sections.emplace(section_, line_);
    if (!is_new) {
      return Refuse("", "the section stands already in line " +
                            std::to_string(at->second) + "; write it once.");
    }
    in_faulty_section_ = false;
    return true;
  }

  bool Key(const std::string& line) {
    const std::size_t equals = line.find('=');
    const std::string key = Trim(line.substr(0, equals));
    if (equals == std::string::npos || key.empty()) {
      return Refuse("", "the line is no setting; write key = value.");
    }
    if (section_.empty() && !in_faulty_section_) {
      return Refuse(key, "the key stands above the first section.");
    }
    const auto [at, is_new] =
        found_.keys.emplace(std::make_pair(section_, key), line_);
    if (!is_new) {
      return Refuse(key, "the key stands already in line " +
                             std::to_string(at->second) + "; write it once.");
    }
    return !in_faulty_section_;
  }

  bool Refuse(const std::string& key, const std::string& text) {
    found_.errors.push_back({file_, line_, section_, key, text});
    return false;
  }

  const std::string& file_;
  IniLines found_;
  std::string section_;
  bool in_faulty_section_ = false;
  int line_ = 0;
};

}  // namespace

IniLines ScanIni(const std::string& text, const std::string& file) {
  Scanner scanner(file);
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) scanner.Line(line);
  return scanner.Take();
}

}  // namespace tarragon::core
