#include "endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>
#include <string>
#include <system_error>

namespace tarragon::wire {
namespace {

std::nullopt_t Refuse(const std::string& text, WireError* reason) {
  Fail(WireErrorCode::kBadAddress, "This is no address and port: " + text,
       reason);
  return std::nullopt;
}

}  // namespace

std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const core::Address& address, WireError* reason) {
  const std::string& text = address.value();
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return Refuse(text, reason);
  std::string host = text.substr(0, colon);
  const bool bracketed =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) host = host.substr(1, host.size() - 2);

  std::uint16_t port = 0;
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const std::from_chars_result read = std::from_chars(first, last, port);
  if (read.ec != std::errc() || read.ptr != last) return Refuse(text, reason);

  boost::system::error_code error;
  const boost::asio::ip::address ip =
      boost::asio::ip::make_address(host, error);
  if (error || ip.is_v6() != bracketed) return Refuse(text, reason);
  return boost::asio::ip::tcp::endpoint(ip, port);
}

core::Address FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint) {
  std::string host = endpoint.address().to_string();
  if (endpoint.address().is_v6()) host = "[" + host + "]";
  return core::Address(host + ":" + std::to_string(endpoint.port()));
}

}  // namespace tarragon::wire
