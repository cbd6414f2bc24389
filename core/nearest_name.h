#ifndef TARRAGON_CORE_NEAREST_NAME_H_
#define TARRAGON_CORE_NEAREST_NAME_H_

#include <string>
#include <vector>

namespace tarragon::core {

/// The one of `names` that is closest to `name` in single-letter edits; empty
/// if none is close enough to be a slip of the pen.
std::string NearestName(const std::string& name,
                        const std::vector<std::string>& names);

}  // namespace tarragon::core

#endif  // TARRAGON_CORE_NEAREST_NAME_H_
