#ifndef TARRAGON_CTL_OPERATOR_COMMANDS_H_
#define TARRAGON_CTL_OPERATOR_COMMANDS_H_

#include <istream>
#include <string>

#include "tarragon/ctl/commands.h"

/// The commands of operators. Each returns the exit code.

namespace tarragon::ctl {

/// Submits the note in the file `options.argument`, again after a lost answer.
int ApplyNote(const Options& options, const Peer& peer, const Output& output);

/// Prints the JSON object that the entry keeps under `path`.
int ShowObject(const Options& options, const std::string& path,
               const Peer& peer, const Output& output);

/// Prints what `logs` tell of the job `options.argument`.
int ExplainFromLogs(const Options& options, std::istream& logs,
                    const Output& output);

/// Prints the history of the job `options.argument`.
int Explain(const Options& options, const Peer& peer, const Output& output);

/// Removes the entry `options.argument` from the registered ones.
int RemoveEntry(const Options& options, const Peer& peer, const Output& output);

/// The exit code for the status of an answer to a note.
int NoteExitCode(int status);

}  // namespace tarragon::ctl

#endif  // TARRAGON_CTL_OPERATOR_COMMANDS_H_
