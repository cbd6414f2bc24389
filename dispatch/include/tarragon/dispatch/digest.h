#ifndef TARRAGON_DISPATCH_DIGEST_H_
#define TARRAGON_DISPATCH_DIGEST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tarragon/dispatch/job.h"

namespace tarragon::dispatch {

/// Digest of one text.
std::uint64_t Digest(const std::string& text);

/// Digest of the results in order, including their lengths.
std::uint64_t Digest(const std::vector<std::string>& results);

/// Digest of a submission without its key and deadline. Two submissions of the
/// same key must have the same digest.
std::uint64_t Digest(const JobSpec& spec);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_DIGEST_H_
