#ifndef TARRAGON_CORE_LOG_H_
#define TARRAGON_CORE_LOG_H_

#include <concepts>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/core/strong.h"

namespace tarragon::core {

/// How much a line matters, from the least.
enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// One "name=value" at the end of a log line.
struct Field {
  Field(std::string_view field_name, std::string_view field_value)
      : name(field_name), value(field_value) {}
  Field(std::string_view field_name, const std::string& field_value)
      : name(field_name), value(field_value) {}
  Field(std::string_view field_name, const char* field_value)
      : name(field_name), value(field_value) {}
  Field(std::string_view field_name, bool field_value)
      : name(field_name), value(field_value ? "true" : "false") {}
  template <std::integral Integer>
  Field(std::string_view field_name, Integer field_value)
      : name(field_name), value(std::to_string(field_value)) {}
  /// Written in the greatest unit that divides it: "1500ms".
  Field(std::string_view field_name, Duration field_value);
  /// An id or unit is written as its plain value.
  template <typename Tag, typename T>
  Field(std::string_view field_name, const Strong<Tag, T>& field_value)
      : Field(field_name, field_value.value()) {}

  std::string name;
  std::string value;
};

/// State of one part of a program, shared by its Log objects.
struct LogPart;

/// Writes the lines of one part to standard error, or see LogToStandardOutput:
///   2026-12-04T00:20:45.123Z info  agent/gate: Refused a task. key=H.1
/// One sentence of one part is written at most kMaxLinesPerSecond times in a
/// second; a later line says how many were left out. The sentence is to be
/// constant: what varies goes into the fields. Safe from any thread.
class Log {
 public:
  /// `part` is a short name such as "gate"; the name of the program comes
  /// before it unless `part` has a '/' itself.
  explicit Log(const std::string& part);

  void Debug(std::string_view sentence,
             std::initializer_list<Field> fields = {}) const;
  void Info(std::string_view sentence,
            std::initializer_list<Field> fields = {}) const;
  void Warn(std::string_view sentence,
            std::initializer_list<Field> fields = {}) const;
  void Error(std::string_view sentence,
             std::initializer_list<Field> fields = {}) const;
  /// As the above, with a level and fields that are chosen while the program
  /// runs.
  void Write(LogLevel level, std::string_view sentence,
             std::span<const Field> fields) const;

  /// True if lines of `level` are written. Spares costly fields.
  bool Enabled(LogLevel level) const;

 private:
  LogPart* part_;
};

/// How often one sentence is written in a second unless set otherwise.
inline constexpr int kMaxLinesPerSecond = 5;

/// Sets the limit for all parts; at least 1.
void SetLogLimit(int lines_per_second);

/// Name of the program, "agent", that stands before each part.
void SetLogProgram(const std::string& name);

/// Sets the least level that `part` writes; "*" sets all parts but those that
/// are set by name. kInfo unless set.
void SetLogLevel(const std::string& part, LogLevel level);

/// One "part=level".
struct LogLevelRule {
  std::string part;
  LogLevel level = LogLevel::kInfo;
};

/// Reads "gate=debug,*=info" or a plain level, which stands for "*". False if
/// `text` is neither.
bool ParseLogLevels(const std::string& text, std::vector<LogLevelRule>* rules);

/// Writes the log to standard output from now on, in place of standard error,
/// without ever waiting for a reader: lines that find no room are dropped, and
/// a later line tells how many.
void LogToStandardOutput();

/// Writes the lines that wait to be written together. Daemons whose log goes to
/// standard output call it every few hundredths of a second and before they
/// end.
void SendLog();

/// Writes the counts of left-out lines that are due. Daemons call it every few
/// seconds and before they end.
void FlushLog();

}  // namespace tarragon::core

#endif  // TARRAGON_CORE_LOG_H_
