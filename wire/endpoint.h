#ifndef TARRAGON_WIRE_ENDPOINT_H_
#define TARRAGON_WIRE_ENDPOINT_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>

#include "tarragon/core/ids.h"
#include "tarragon/wire/error.h"

namespace tarragon::wire {

/// The endpoint of "IP:port" or "[IPv6]:port". Names are not looked up.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const core::Address& address, WireError* reason);

/// The text form of an endpoint.
core::Address FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace tarragon::wire

#endif  // TARRAGON_WIRE_ENDPOINT_H_
