#ifndef TARRAGON_NOTES_NOTE_PARSER_H_
#define TARRAGON_NOTES_NOTE_PARSER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "tarragon/dispatch/note.h"

namespace tarragon::notes {

/// Largest release note, in bytes.
inline constexpr std::size_t kMaxNoteBytes = std::size_t{256} * 1024;
/// Most errors that are listed for one note; the rest is counted.
inline constexpr std::size_t kMaxNoteErrors = 200;

/// Reads a release note from its INI text. Keys that an `add` section leaves
/// out keep the defaults of the structs in world.h; a domain's region must be
/// there. Empty, with every error in `errors`, when the text is no such note.
/// Each error is one sentence with the line, the section, the key and what is
/// allowed. `errors` may be null.
std::optional<dispatch::ReleaseNote> ParseNote(
    const std::string& ini_text, std::vector<std::string>* errors);

}  // namespace tarragon::notes

#endif  // TARRAGON_NOTES_NOTE_PARSER_H_
