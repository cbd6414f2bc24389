#ifndef TARRAGON_HTTP_NET_H_
#define TARRAGON_HTTP_NET_H_

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

#include "tarragon/core/ids.h"

/// Names of Asio and Beast that the sources of this library share.

namespace tarragon::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;

using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
/// Bound to the io_context directly, which spares a virtual call for each
/// handler.
using Executor = asio::io_context::executor_type;
using Socket = asio::basic_stream_socket<Tcp, Executor>;
using Acceptor = asio::basic_socket_acceptor<Tcp, Executor>;
using Timer =
    asio::basic_waitable_timer<std::chrono::steady_clock,
                               asio::wait_traits<std::chrono::steady_clock>,
                               Executor>;

/// Bytes reserved for reading when a message begins; most fit whole.
inline constexpr std::size_t kFirstReadBytes = std::size_t{4} * 1024;
/// Most bytes reserved for reading when a long body follows.
inline constexpr std::size_t kMaxReadBytes = std::size_t{64} * 1024;

/// Reads "IP:port", with an IPv6 address in brackets. Nothing else is
/// resolved.
std::optional<Tcp::endpoint> ParseEndpoint(const core::Address& address);

/// The text form of an endpoint.
core::Address ToAddress(const Tcp::endpoint& endpoint);

}  // namespace tarragon::http

#endif  // TARRAGON_HTTP_NET_H_
