#ifndef TARRAGON_NOTES_WORLD_CODEC_H_
#define TARRAGON_NOTES_WORLD_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "tarragon/dispatch/world.h"
#include "tarragon/notes/error.h"

/// Encodes the values of the platform's table as JSON. Equal values give equal
/// text.

namespace tarragon::notes {

/// Largest value that is decoded, in bytes.
inline constexpr std::size_t kMaxValueBytes = std::size_t{8} * 1024 * 1024;

/// Encodes the world as one JSON object, with run times in milliseconds.
std::string EncodeWorld(const dispatch::World& world);

/// Decodes the text of EncodeWorld. Ignores unknown fields. Returns nothing and
/// sets `reason` if the text is invalid. `reason` may be null.
std::optional<dispatch::World> DecodeWorld(std::string_view text,
                                           TableError* reason);

/// Encodes the registered entries as one JSON object, with node ids in their
/// text form.
std::string EncodeEntries(const dispatch::EntryList& entries);

/// Decodes the text of EncodeEntries, with the rules of DecodeWorld.
std::optional<dispatch::EntryList> DecodeEntries(std::string_view text,
                                                 TableError* reason);

}  // namespace tarragon::notes

#endif  // TARRAGON_NOTES_WORLD_CODEC_H_
