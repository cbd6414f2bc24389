#ifndef TARRAGON_NOTES_WORLD_CODEC_H_
#define TARRAGON_NOTES_WORLD_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "tarragon/dispatch/world.h"
#include "tarragon/notes/error.h"

/// The values of the platform's table as JSON. Equal values give equal text.

namespace tarragon::notes {

/// Largest value that is read, in bytes.
inline constexpr std::size_t kMaxValueBytes = std::size_t{8} * 1024 * 1024;

/// The world as one JSON object; run times in whole milliseconds.
std::string EncodeWorld(const dispatch::World& world);

/// Reads what EncodeWorld wrote. Fields that this release does not know are
/// ignored. Empty, with the reason, for anything else. `reason` may be null.
std::optional<dispatch::World> DecodeWorld(std::string_view text,
                                           TableError* reason);

/// The registered entries as one JSON object; node ids in their text form.
std::string EncodeEntries(const dispatch::EntryList& entries);

/// Reads what EncodeEntries wrote, as DecodeWorld does.
std::optional<dispatch::EntryList> DecodeEntries(std::string_view text,
                                                 TableError* reason);

}  // namespace tarragon::notes

#endif  // TARRAGON_NOTES_WORLD_CODEC_H_
