#ifndef TARRAGON_CORE_LOG_LINE_H_
#define TARRAGON_CORE_LOG_LINE_H_

#include <chrono>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

#include "tarragon/core/log.h"

namespace tarragon::core {

/// The text of one line, without the newline.
std::string LogLine(std::chrono::system_clock::time_point when, LogLevel level,
                    std::string_view part, std::string_view sentence,
                    std::span<const Field> fields);
inline std::string LogLine(std::chrono::system_clock::time_point when,
                           LogLevel level, std::string_view part,
                           std::string_view sentence,
                           std::initializer_list<Field> fields) {
  return LogLine(when, level, part, sentence,
                 std::span<const Field>(fields.begin(), fields.size()));
}

}  // namespace tarragon::core

#endif  // TARRAGON_CORE_LOG_LINE_H_
