#ifndef TARRAGON_DAEMONS_ALLOCATOR_SETTINGS_H_
#define TARRAGON_DAEMONS_ALLOCATOR_SETTINGS_H_

namespace tarragon::daemons {

/// Lets the allocator give large blocks back to the system as soon as they are
/// freed. By default it keeps them once some were freed, and small blocks then
/// settle between them, so that a crowd of clients leaves a process with more
/// memory than it needs.
void ReturnLargeBlocks();

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_ALLOCATOR_SETTINGS_H_
