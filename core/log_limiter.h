#ifndef TARRAGON_CORE_LOG_LIMITER_H_
#define TARRAGON_CORE_LOG_LIMITER_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/core/log.h"

namespace tarragon::core {

/// Lines of one sentence that were not written.
struct LeftOut {
  LogLevel level = LogLevel::kInfo;
  std::string sentence;
  std::int64_t count = 0;
};

/// Counts how often each sentence of one part is written within a second.
struct LogLimiter {
  struct Window {
    Time start;
    int written = 0;
    LogLevel level = LogLevel::kInfo;
    std::int64_t left_out = 0;
  };
  std::map<std::string, Window, std::less<>> windows;
};

/// True if `sentence` may be written now; else counts it as left out.
bool AdmitLine(LogLimiter* limiter, std::string_view sentence, LogLevel level,
               Time now, int lines_per_second);

/// Forgets the seconds that are over and returns what was left out in them.
std::vector<LeftOut> CloseWindows(LogLimiter* limiter, Time now);

/// The clock that the limit of all parts reads; the system's if null. A test
/// sets one of its own.
void SetLogClock(const Clock* clock);

}  // namespace tarragon::core

#endif  // TARRAGON_CORE_LOG_LIMITER_H_
