#ifndef TARRAGON_TESTS_CROWD_PROCESS_USAGE_H_
#define TARRAGON_TESTS_CROWD_PROCESS_USAGE_H_

#include <sys/types.h>

#include <cstddef>
#include <string>
#include <vector>

/// What a process holds, as the machine counts it. Sizes are in bytes; 0 if the
/// process has ended.

namespace tarragon::crowd {

/// The most memory that the process has had resident.
std::size_t PeakResidentBytes(pid_t process);

/// The memory that the process has resident now.
std::size_t ResidentBytes(pid_t process);

/// Open sockets and pipes of the process.
std::size_t CountSocketsAndPipes(pid_t process);

/// Bytes that the kernel holds for the sockets with one of these IPv4
/// addresses, received and not yet read.
std::size_t UnreadBytes(const std::vector<std::string>& ips);

}  // namespace tarragon::crowd

#endif  // TARRAGON_TESTS_CROWD_PROCESS_USAGE_H_
