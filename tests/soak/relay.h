#ifndef TARRAGON_TESTS_SOAK_RELAY_H_
#define TARRAGON_TESTS_SOAK_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tarragon::soak {

/// What a relay does with the bytes of its connections.
enum class RelayMode : std::uint8_t {
  kPass,
  kDelay,
  /// Bytes to the server are dropped; connections stay open.
  kDropToServer,
  /// Bytes to the client are dropped; connections stay open.
  kDropToClient,
  kDropBothWays,
  /// Bytes are held back and forwarded when the mode changes, as after a
  /// network partition that is shorter than TCP's timeout.
  kHoldToServer,
  kHoldToClient,
  kHoldBothWays,
};

/// TCP relay on loopback in front of one server, which injects network faults.
class Relay {
 public:
  /// Listens on a free port of 127.0.0.1 and forwards to `server`.
  Relay(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint server);
  /// Listens at `front` and forwards to `server`.
  Relay(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint server,
        const boost::asio::ip::tcp::endpoint& front);

  /// "IP:port" on which it listens.
  std::string address() const;
  void SetMode(RelayMode mode) { rules_->mode = mode; }
  /// Tells who has dialled, by the dialler's address of the connection.
  using FindOrigin =
      std::function<std::string(const boost::asio::ip::tcp::endpoint&)>;
  void SetFindOrigin(FindOrigin find) { rules_->find_origin = std::move(find); }
  /// The mode of the connections that `origin` has dialled, whatever the mode
  /// of the others.
  void SetModeForOrigin(const std::string& origin, RelayMode mode);
  /// Resets all connections.
  void Reset();
  /// Drops what the present connections carry from now on, without closing
  /// them. New connections work.
  void Silence();

 private:
  class Connection;
  struct Rules {
    RelayMode mode = RelayMode::kPass;
    /// Without those that pass.
    std::map<std::string, RelayMode> mode_by_origin;
    FindOrigin find_origin;
  };

  void Accept();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint server_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::shared_ptr<Rules> rules_ = std::make_shared<Rules>();
  std::vector<std::weak_ptr<Connection>> connections_;
};

}  // namespace tarragon::soak

#endif  // TARRAGON_TESTS_SOAK_RELAY_H_
