#ifndef TARRAGON_CTL_JOB_COMMANDS_H_
#define TARRAGON_CTL_JOB_COMMANDS_H_

#include <string>

#include "tarragon/ctl/commands.h"

/// The commands of clients. Each returns the exit code.

namespace tarragon::ctl {

/// Submits a job and waits for its answer until the deadline.
int Submit(const Options& options, const Peer& peer, const Output& output);

/// Prints the answer that is kept for the key `options.argument`.
int ShowAnswer(const Options& options, const Peer& peer, const Output& output);

/// Cancels the job `options.argument`.
int CancelJob(const Options& options, const Peer& peer, const Output& output);

/// The exit code for an answer about a job. `status` counts if the outcome is
/// none that this release knows.
int JobExitCode(int status, const std::string& outcome,
                const std::string& reason);

/// The body of a submission.
std::string SubmissionBody(const Options& options);

}  // namespace tarragon::ctl

#endif  // TARRAGON_CTL_JOB_COMMANDS_H_
