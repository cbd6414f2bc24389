#include "tarragon/core/log.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>

#include "log_limiter.h"
#include "log_line.h"
#include "log_output.h"

namespace tarragon::core {

struct LogPart {
  std::string name;
  std::atomic<LogLevel> level{LogLevel::kInfo};
  LogLimiter limiter;
};

namespace {

constexpr char kAllParts[] = "*";
constexpr std::int64_t kMicrosPerMilli = 1000;
constexpr std::int64_t kMicrosPerSecond = 1000 * kMicrosPerMilli;
constexpr LogLevel kDefaultLevel = LogLevel::kInfo;

/// What all parts share. Parts are never freed.
struct LogState {
  std::mutex mutex;
  std::string program;
  int lines_per_second = kMaxLinesPerSecond;
  SystemClock system_clock;
  const Clock* clock = &system_clock;
  std::map<std::string, LogLevel> levels;
  std::map<std::string, std::unique_ptr<LogPart>> parts;
};

LogState& State() {
  // Not freed, so that destructors of static objects can still log.
  static LogState* const state = new LogState;
  return *state;
}

/// Level by the whole name, else by its last piece, else by its first piece.
LogLevel LevelOf(const LogState& state, const std::string& part) {
  const std::string names[] = {part, part.substr(part.rfind('/') + 1),
                               part.substr(0, part.find('/')), kAllParts};
  for (const std::string& name : names) {
    const std::map<std::string, LogLevel>::const_iterator found =
        state.levels.find(name);
    if (found != state.levels.end()) return found->second;
  }
  return kDefaultLevel;
}

std::string FullName(const LogState& state, const LogPart& part) {
  const bool is_full = part.name.find('/') != std::string::npos;
  if (state.program.empty() || is_full) return part.name;
  return state.program + "/" + part.name;
}

void UpdateLevels(LogState* state) {
  for (const auto& [name, part] : state->parts) {
    part->level = LevelOf(*state, FullName(*state, *part));
  }
}

void WriteLeftOut(const LogState& state, LogPart* part, Time now) {
  for (const LeftOut& each : CloseWindows(&part->limiter, now)) {
    WriteLogLine(
        each.level,
        LogLine(std::chrono::system_clock::now(), each.level,
                FullName(state, *part), "Left out lines of the same sentence.",
                {{"count", each.count}, {"sentence", each.sentence}}));
  }
}

bool ParseLevel(const std::string& text, LogLevel* level) {
  static const std::map<std::string, LogLevel> levels = {
      {"debug", LogLevel::kDebug},
      {"info", LogLevel::kInfo},
      {"warn", LogLevel::kWarn},
      {"error", LogLevel::kError}};
  const std::map<std::string, LogLevel>::const_iterator found =
      levels.find(text);
  if (found == levels.end()) return false;
  *level = found->second;
  return true;
}

}  // namespace

Field::Field(std::string_view field_name, Duration field_value)
    : name(field_name) {
  const std::int64_t micros = field_value.count();
  if (micros % kMicrosPerSecond == 0) {
    value = std::to_string(micros / kMicrosPerSecond) + "s";
  } else if (micros % kMicrosPerMilli == 0) {
    value = std::to_string(micros / kMicrosPerMilli) + "ms";
  } else {
    value = std::to_string(micros) + "us";
  }
}

Log::Log(const std::string& part) {
  LogState& state = State();
  const std::lock_guard<std::mutex> lock(state.mutex);
  std::unique_ptr<LogPart>& entry = state.parts[part];
  if (!entry) {
    entry = std::make_unique<LogPart>();
    entry->name = part;
    entry->level = LevelOf(state, FullName(state, *entry));
  }
  part_ = entry.get();
}

void Log::Debug(std::string_view sentence,
                std::initializer_list<Field> fields) const {
  Write(LogLevel::kDebug, sentence, fields);
}

void Log::Info(std::string_view sentence,
               std::initializer_list<Field> fields) const {
  Write(LogLevel::kInfo, sentence, fields);
}

void Log::Warn(std::string_view sentence,
               std::initializer_list<Field> fields) const {
  Write(LogLevel::kWarn, sentence, fields);
}

void Log::Error(std::string_view sentence,
                std::initializer_list<Field> fields) const {
  Write(LogLevel::kError, sentence, fields);
}

bool Log::Enabled(LogLevel level) const { return level >= part_->level; }

void Log::Write(LogLevel level, std::string_view sentence,
                std::span<const Field> fields) const {
  if (!Enabled(level)) return;
  LogState& state = State();
  const std::lock_guard<std::mutex> lock(state.mutex);
  const Time now = state.clock->Now();
  WriteLeftOut(state, part_, now);
  if (!AdmitLine(&part_->limiter, sentence, level, now,
                 state.lines_per_second)) {
    return;
  }
  WriteLogLine(level, LogLine(std::chrono::system_clock::now(), level,
                              FullName(state, *part_), sentence, fields));
}

void SetLogLimit(int lines_per_second) {
  LogState& state = State();
  const std::lock_guard<std::mutex> lock(state.mutex);
  state.lines_per_second = lines_per_second < 1 ? 1 : lines_per_second;
}

void SetLogClock(const Clock* clock) {
  LogState& state = State();
  const std::lock_guard<std::mutex> lock(state.mutex);
  state.clock = clock != nullptr ? clock : &state.system_clock;
}

void SetLogProgram(const std::string& name) {
  LogState& state = State();
  const std::lock_guard<std::mutex> lock(state.mutex);
  state.program = name;
  UpdateLevels(&state);
}

void SetLogLevel(const std::string& part, LogLevel level) {
  LogState& state = State();
  const std::lock_guard<std::mutex> lock(state.mutex);
  state.levels[part] = level;
  UpdateLevels(&state);
}

bool ParseLogLevels(const std::string& text, std::vector<LogLevelRule>* rules) {
  std::vector<LogLevelRule> found;
  std::size_t start = 0;
  while (start <= text.size()) {
    const std::size_t comma = std::min(text.find(',', start), text.size());
    const std::string item = text.substr(start, comma - start);
    const std::size_t equals = item.find('=');
    LogLevelRule rule;
    rule.part =
        equals == std::string::npos ? kAllParts : item.substr(0, equals);
    const std::string level =
        equals == std::string::npos ? item : item.substr(equals + 1);
    if (rule.part.empty() || !ParseLevel(level, &rule.level)) return false;
    found.push_back(rule);
    start = comma + 1;
  }
  *rules = found;
  return true;
}

void FlushLog() {
  LogState& state = State();
  const std::lock_guard<std::mutex> lock(state.mutex);
  const Time now = state.clock->Now();
  for (const auto& [name, part] : state.parts) {
    WriteLeftOut(state, part.get(), now);
  }
}

}  // namespace tarragon::core
