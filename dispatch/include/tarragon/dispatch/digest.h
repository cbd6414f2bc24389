#ifndef TARRAGON_DISPATCH_DIGEST_H_
#define TARRAGON_DISPATCH_DIGEST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tarragon/dispatch/job.h"

namespace tarragon::dispatch {

/// Digest of one text.
std::uint64_t Digest(const std::string& text);

/// Digest of results in their order; lengths are part of it.
std::uint64_t Digest(const std::vector<std::string>& results);

/// Digest of what a submission asks for, whatever its deadline: two
/// submissions of one key must agree in it.
std::uint64_t Digest(const JobSpec& spec);

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_DIGEST_H_
