#ifndef TARRAGON_DISPATCH_INVARIANT_H_
#define TARRAGON_DISPATCH_INVARIANT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tarragon::dispatch {

/// How often each invariant was checked; by name.
using InvariantCounts = std::map<std::string, std::uint64_t>;

/// Counts one check of the invariant `name`. If `holds` is false, writes
/// `history` to standard error and aborts the process, because continuing could
/// break a guarantee to a client.
void CheckInvariant(InvariantCounts* counts, const char* name, bool holds,
                    const std::vector<std::string>& history);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_INVARIANT_H_
