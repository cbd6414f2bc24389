#ifndef TARRAGON_TESTS_SOAK_RELAY_H_
#define TARRAGON_TESTS_SOAK_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace tarragon::soak {

/// What a relay does with the bytes that it passes.
enum class RelayMode : std::uint8_t {
  kPass,
  kDelay,
  /// Bytes towards the server are lost; connections stay.
  kDropToServer,
  /// Bytes from the server are lost; connections stay.
  kDropToClient,
  kDropBothWays,
  /// Bytes are held back, and passed when the mode changes, as after a cut that
  /// TCP outlives.
  kHoldToServer,
  kHoldToClient,
  kHoldBothWays,
};

/// TCP relay on loopback in front of one server.
class Relay {
 public:
  /// Listens on a free port of 127.0.0.1 and passes to `server`.
  Relay(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint server);
  /// Listens at `front`.
  Relay(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint server,
        const boost::asio::ip::tcp::endpoint& front);

  /// "IP:port" where it listens.
  std::string address() const;
  void SetMode(RelayMode mode) { *mode_ = mode; }
  /// Resets all connections.
  void Reset();

 private:
  class Connection;

  void Accept();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint server_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::shared_ptr<RelayMode> mode_ =
      std::make_shared<RelayMode>(RelayMode::kPass);
  std::vector<std::weak_ptr<Connection>> connections_;
};

}  // namespace tarragon::soak

#endif  // TARRAGON_TESTS_SOAK_RELAY_H_
