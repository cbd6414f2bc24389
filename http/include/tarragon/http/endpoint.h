#ifndef TARRAGON_HTTP_ENDPOINT_H_
#define TARRAGON_HTTP_ENDPOINT_H_

#include "tarragon/core/ids.h"

namespace tarragon::http {

/// True for "IPv4:port" and "[IPv6]:port" with a port from 1 to 65535, the form
/// of the addresses that a Client can send to.
bool IsEndpoint(const core::Address& address);

}  // namespace tarragon::http

#endif  // TARRAGON_HTTP_ENDPOINT_H_
