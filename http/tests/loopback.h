#ifndef TARRAGON_HTTP_TESTS_LOOPBACK_H_
#define TARRAGON_HTTP_TESTS_LOOPBACK_H_

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net.h"
#include "tarragon/core/ids.h"

/// Peers of tests that send and receive plain bytes.

namespace tarragon::http {

inline const core::Address kAnyPort{"127.0.0.1:0"};

/// Runs `io` until `done` is true. Fails the test if that never comes.
void RunUntil(asio::io_context& io, const std::function<bool()>& done);

/// How often `part` occurs in `text`.
std::size_t CountOf(const std::string& text, const std::string& part);

/// One connection of a test.
class RawConnection : public std::enable_shared_from_this<RawConnection> {
 public:
  explicit RawConnection(Socket socket) : socket_(std::move(socket)) {}

  /// Collects what arrives.
  void Read();
  /// Sends `text` later, in order.
  void Write(const std::string& text);
  /// Closes the sending side.
  void ShutdownSend();
  void Close();
  /// Closes with a reset.
  void Reset();

  std::string received;
  /// The peer has closed or reset.
  bool ended = false;

 private:
  Socket socket_;
  std::array<char, 4096> chunk_{};
};

/// Connects to `address`.
std::shared_ptr<RawConnection> RawConnect(asio::io_context& io,
                                          const core::Address& address);

/// Accepts connections and collects what they send.
class RawServer {
 public:
  explicit RawServer(asio::io_context& io);

  core::Address address() const;
  /// All connections so far, open or not.
  std::vector<std::shared_ptr<RawConnection>> connections;

 private:
  void Accept();

  Acceptor acceptor_;
};

/// An address on which nobody listens.
core::Address UnusedAddress(asio::io_context& io);

}  // namespace tarragon::http

#endif  // TARRAGON_HTTP_TESTS_LOOPBACK_H_
