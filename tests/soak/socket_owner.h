#ifndef TARRAGON_TESTS_SOAK_SOCKET_OWNER_H_
#define TARRAGON_TESTS_SOAK_SOCKET_OWNER_H_

#include <sys/types.h>

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <vector>

namespace tarragon::soak {

/// Which of the processes has the TCP socket with this local address, by
/// /proc. Nothing if none has.
std::optional<pid_t> FindSocketOwner(
    const boost::asio::ip::tcp::endpoint& local,
    const std::vector<pid_t>& processes);

}  // namespace tarragon::soak

#endif  // TARRAGON_TESTS_SOAK_SOCKET_OWNER_H_
