#include "allocator_settings.h"

#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace tarragon::daemons {

void ReturnLargeBlocks() {
#ifdef __GLIBC__
  // Larger than what an ordinary request needs, which stays fast.
  constexpr int kLargeBlockBytes = 32 * 1024;
  // Free memory at the end of the heap that is kept, so that ordinary requests
  // don't give it back and take it again all the time.
  constexpr int kKeptBytes = 2 * 1024 * 1024;
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kKeptBytes);
#endif
}

}  // namespace tarragon::daemons
