#include "log_limiter.h"

namespace tarragon::core {
namespace {

constexpr Duration kWindow = std::chrono::seconds(1);
/// Further sentences share one count, so that a varying sentence cannot use up
/// memory.
constexpr std::size_t kMaxSentences = 256;
constexpr std::string_view kOtherSentences = "(other sentences)";

}  // namespace

bool AdmitLine(LogLimiter* limiter, std::string_view sentence, LogLevel level,
               Time now, int lines_per_second) {
  std::map<std::string, LogLimiter::Window, std::less<>>::iterator found =
      limiter->windows.find(sentence);
  if (found == limiter->windows.end()) {
    const bool full = limiter->windows.size() >= kMaxSentences;
    const std::string_view name = full ? kOtherSentences : sentence;
    found = limiter->windows.try_emplace(std::string(name)).first;
    if (found->second.written == 0) found->second.start = now;
  }
  LogLimiter::Window& window = found->second;
  window.level = level;
  if (window.written >= lines_per_second) {
    ++window.left_out;
    return false;
  }
  ++window.written;
  return true;
}

std::vector<LeftOut> CloseWindows(LogLimiter* limiter, Time now) {
  std::vector<LeftOut> left_out;
  for (auto it = limiter->windows.begin(); it != limiter->windows.end();) {
    const LogLimiter::Window& window = it->second;
    if (now - window.start < kWindow) {
      ++it;
      continue;
    }
    if (window.left_out > 0) {
      left_out.push_back({window.level, it->first, window.left_out});
    }
    it = limiter->windows.erase(it);
  }
  return left_out;
}

}  // namespace tarragon::core
