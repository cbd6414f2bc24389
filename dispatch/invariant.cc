#include "tarragon/dispatch/invariant.h"

#include <cstdio>
#include <cstdlib>

namespace tarragon::dispatch {

void CheckInvariant(InvariantCounts* counts, const char* name, bool holds,
                    const std::vector<std::string>& history) {
  ++(*counts)[name];
  if (holds) return;
  std::fprintf(stderr, "dispatch/invariant: Invariant violated. name=%s\n",
               name);
  for (const std::string& line : history) {
    std::fprintf(stderr, "dispatch/invariant: Job history. %s\n", line.c_str());
  }
  std::abort();
}

}  // namespace tarragon::dispatch
