#ifndef TARRAGON_CTL_OPTIONS_H_
#define TARRAGON_CTL_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"

namespace tarragon::ctl {

/// What tarragonctl is asked to do.
enum class Command : std::uint8_t {
  kNoteApply,
  kNoteShow,
  kState,
  kExplain,
  kEntriesRemove,
  kSubmit,
  kAnswer,
  kCancel,
};

/// The whole command line, checked.
struct Options {
  Command command = Command::kNoteShow;
  /// FILE, KEY or NODE; empty for commands without one.
  std::string argument;
  /// Operators' address of an entry.
  core::Address entry;
  std::string token;
  /// Clients' addresses of entries, in the order in which they are tried.
  std::vector<core::Address> clients;
  /// Print the body as it came.
  bool json = false;
  /// Longest wait for one answer.
  core::Duration timeout{std::chrono::seconds(10)};
  /// How often a note is sent again after a lost answer.
  std::uint32_t retries = 3;
  bool confirm_dead = false;
  /// Read logs from standard input and ask no entry.
  bool from_logs = false;
  core::ServiceId service;
  core::TenantId tenant;
  /// Payloads, those of --task before those of --tasks-file.
  std::vector<std::string> tasks;
  std::uint32_t cores = 1;
  std::uint32_t memory_mb = 0;
  core::Duration deadline{std::chrono::seconds(5)};
  /// Empty: a new key from a fresh handle.
  core::JobKey key;
};

/// What ParseOptions takes from outside the command line.
struct Environment {
  /// TARRAGON_OPERATORS.
  std::string operators;
  /// TARRAGON_TOKEN.
  std::string token;
};

/// Why there are no options.
struct OptionsError {
  /// One sentence; empty if help or the version was asked for.
  std::string text;
  /// What to print on standard output instead; empty if there is an error.
  std::string output;
};

/// Reads and checks the command line and the files that it names. Nothing,
/// with a reason, if it is wrong or asks for help.
std::optional<Options> ParseOptions(const std::vector<std::string>& arguments,
                                    const Environment& environment,
                                    OptionsError* reason);

/// "250ms", "5s", "2min" or "1h" as a duration. Nothing if `text` is none or
/// is not positive.
std::optional<core::Duration> ParseDuration(const std::string& text);

}  // namespace tarragon::ctl

#endif  // TARRAGON_CTL_OPTIONS_H_
