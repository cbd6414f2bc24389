#ifndef TARRAGON_COORDINATOR_TESTS_LOG_LINES_H_
#define TARRAGON_COORDINATOR_TESTS_LOG_LINES_H_

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

#include "tarragon/coordinator/gate_board.h"

namespace tarragon::coordinator {

/// Clears `lines` and returns those with `sentence`.
inline std::vector<LogLine> TakeLines(const std::string& sentence,
                                      std::vector<LogLine>* lines) {
  std::vector<LogLine> found;
  for (LogLine& line : *lines) {
    if (sentence == line.message) found.push_back(std::move(line));
  }
  lines->clear();
  return found;
}

/// The only one of `lines` with `sentence`. Clears `lines`.
inline LogLine TakeLine(const std::string& sentence,
                        std::vector<LogLine>* lines) {
  const std::vector<LogLine> found = TakeLines(sentence, lines);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(sentence, std::size_t{1}, found.size());
  return found[0];
}

inline std::string ReadField(const LogLine& line, const std::string& name) {
  for (const auto& [field, text] : line.fields) {
    if (field == name) return text;
  }
  CPPUNIT_FAIL("no field " + name);
  return "";
}

inline void AssertField(const LogLine& line, const std::string& name,
                        const std::string& value) {
  CPPUNIT_ASSERT_EQUAL_MESSAGE(name, value, ReadField(line, name));
}

/// The milliseconds of a field such as "12ms".
inline int ReadMillis(const LogLine& line, const std::string& name) {
  return std::stoi(ReadField(line, name));
}

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_TESTS_LOG_LINES_H_
