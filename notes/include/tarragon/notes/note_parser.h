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
/// Largest number of errors listed for one note; further ones are counted.
inline constexpr std::size_t kMaxNoteErrors = 200;

/// Parses a release note from its INI text. Keys missing in an `add` section
/// keep the defaults of the structs in world.h, except the region of a domain,
/// which is required. Returns nothing and sets `errors` if the note is invalid.
/// Each error is one sentence with the line, the section, the key and what is
/// allowed. `errors` may be null.
std::optional<dispatch::ReleaseNote> ParseNote(
    const std::string& ini_text, std::vector<std::string>* errors);

}  // namespace tarragon::notes

#endif  // TARRAGON_NOTES_NOTE_PARSER_H_
