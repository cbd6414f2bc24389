#ifndef TARRAGON_CTL_EXIT_CODE_H_
#define TARRAGON_CTL_EXIT_CODE_H_

#include "tarragon/core/exit_code.h"

namespace tarragon::ctl {

/// Exit codes of tarragonctl.
inline constexpr int kExitOk = core::kExitOk;
/// A failure that no other code names, such as a wrong token.
inline constexpr int kExitFailure = core::kExitFailure;
/// The command line is wrong.
inline constexpr int kExitUsage = core::kExitUsage;
/// The note or the job has errors.
inline constexpr int kExitInvalid = core::kExitSettings;
/// The note is not yet confirmed, or the job has not yet ended.
inline constexpr int kExitPending = 4;
/// The note has another base version, or the key came with another body.
inline constexpr int kExitConflict = 5;
/// No answer, or the platform's table is out. Send the same again.
inline constexpr int kExitUnavailable = 6;
/// The job failed.
inline constexpr int kExitJobFailed = 7;
/// The job was not run.
inline constexpr int kExitJobNotRun = 8;
/// Whether the job ran is unknown.
inline constexpr int kExitJobUnknown = 9;

}  // namespace tarragon::ctl

#endif  // TARRAGON_CTL_EXIT_CODE_H_
