#ifndef TARRAGON_CORE_EXIT_CODE_H_
#define TARRAGON_CORE_EXIT_CODE_H_

namespace tarragon::core {

/// Exit codes of every program.
inline constexpr int kExitOk = 0;
/// A failure while running.
inline constexpr int kExitFailure = 1;
/// The command line is wrong.
inline constexpr int kExitUsage = 2;
/// The settings are wrong.
inline constexpr int kExitSettings = 3;

}  // namespace tarragon::core

#endif  // TARRAGON_CORE_EXIT_CODE_H_
