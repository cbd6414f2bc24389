#include "net.h"

#include <charconv>
#include <cstdint>

#include "tarragon/http/endpoint.h"

namespace tarragon::http {
namespace {

std::optional<std::uint16_t> ParsePort(const std::string& text) {
  std::uint16_t port = 0;
  const char* last = text.data() + text.size();
  const std::from_chars_result read = std::from_chars(text.data(), last, port);
  if (read.ec != std::errc() || read.ptr != last) return std::nullopt;
  return port;
}

}  // namespace

std::optional<Tcp::endpoint> ParseEndpoint(const core::Address& address) {
  const std::string& text = address.value();
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return std::nullopt;
  const std::optional<std::uint16_t> port = ParsePort(text.substr(colon + 1));
  if (!port) return std::nullopt;
  std::string host = text.substr(0, colon);
  const bool brackets = host.front() == '[' && host.back() == ']';
  if (brackets) host = host.substr(1, host.size() - 2);
  ErrorCode error;
  const asio::ip::address ip = asio::ip::make_address(host, error);
  if (error || ip.is_v6() != brackets) return std::nullopt;
  return Tcp::endpoint(ip, *port);
}

bool IsEndpoint(const core::Address& address) {
  const std::optional<Tcp::endpoint> endpoint = ParseEndpoint(address);
  return endpoint.has_value() && endpoint->port() != 0;
}

core::Address ToAddress(const Tcp::endpoint& endpoint) {
  const std::string host = endpoint.address().to_string();
  const std::string port = std::to_string(endpoint.port());
  if (endpoint.address().is_v6()) {
    return core::Address("[" + host + "]:" + port);
  }
  return core::Address(host + ":" + port);
}

}  // namespace tarragon::http
