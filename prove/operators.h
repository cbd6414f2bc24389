#ifndef TARRAGON_PROVE_OPERATORS_H_
#define TARRAGON_PROVE_OPERATORS_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "process.h"
#include "tarragon/core/clock.h"
#include "tarragon/dispatch/entry_board.h"
#include "tarragon/dispatch/note.h"

/// Operators: they hand in release notes, race one another, and send a note
/// again when its outcome is open.

namespace tarragon::prove {

/// One note of an operator.
struct OperatorNote {
  dispatch::ReleaseNote note;
  int sends_left = 6;
  bool settled = false;
  bool accepted = false;
};

struct Operators {
  std::vector<OperatorNote> notes;
  /// Open exchanges with entries.
  std::map<std::pair<ProcessLife, std::uint64_t>, int> by_number;
  bool active = false;
  /// The latest note that repairs everything, and whether one was accepted.
  int last = -1;
  bool last_accepted = false;
};

/// Hands in the first note, which adds all services, domains and tenants.
void SendFirstNote(Setup* setup);
/// Hands in notes again and again while `active`.
void OperatorLoop(Setup* setup);
/// Brings all domains into service and removes what notes have added, again
/// and again until accepted.
void SendLastNote(Setup* setup);
/// Removes registered entries that are dead.
void RemoveDeadEntries(Setup* setup);

void OnNoteAnswer(Setup* setup, const ProcessLife& entry,
                  const dispatch::AnswerNote& action);

}  // namespace tarragon::prove

#endif  // TARRAGON_PROVE_OPERATORS_H_
