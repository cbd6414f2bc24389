#include "tarragon/ctl/commands.h"

#include "job_commands.h"
#include "operator_commands.h"

namespace tarragon::ctl {

int RunCommand(const Options& options, const Peer& peer, const Output& output) {
  switch (options.command) {
    case Command::kNoteApply:
      return ApplyNote(options, peer, output);
    case Command::kNoteShow:
      return ShowObject(options, "/v1/note", peer, output);
    case Command::kState:
      return ShowObject(options, "/v1/state", peer, output);
    case Command::kExplain:
      return Explain(options, peer, output);
    case Command::kEntriesRemove:
      return RemoveEntry(options, peer, output);
    case Command::kSubmit:
      return Submit(options, peer, output);
    case Command::kAnswer:
      return ShowAnswer(options, peer, output);
    case Command::kCancel:
      return CancelJob(options, peer, output);
  }
  return 1;
}

}  // namespace tarragon::ctl
