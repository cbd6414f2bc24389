#ifndef TARRAGON_CORE_LOG_OUTPUT_H_
#define TARRAGON_CORE_LOG_OUTPUT_H_

#include <string>

#include "tarragon/core/log.h"

namespace tarragon::core {

/// Writes one line to standard error and to nothing else. One thread at a time.
void WriteLogLine(LogLevel level, const std::string& line);

}  // namespace tarragon::core

#endif  // TARRAGON_CORE_LOG_OUTPUT_H_
