#ifndef TARRAGON_WIRE_TESTS_HARNESS_H_
#define TARRAGON_WIRE_TESTS_HARNESS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "http2_session.h"
#include "tarragon/wire/transport.h"

/// What the transport tests share: transports that keep what they report, and
/// peers that speak plain bytes.

namespace tarragon::wire {

/// Runs `io` until `done` holds. Fails the test if that takes implausibly long.
void RunUntil(boost::asio::io_context& io, const std::function<bool()>& done);

/// A transport on loopback that keeps what it reports.
class TestNode {
 public:
  explicit TestNode(boost::asio::io_context& io, TransportLimits limits = {},
                    const std::string& bind = "127.0.0.1:0");

  Transport& transport() { return transport_; }
  const core::NodeId& id() const { return transport_.self(); }
  TransportCounters counters() const { return transport_.counters(); }

  std::vector<std::pair<core::NodeId, dispatch::Message>> received;
  std::vector<core::NodeId> lost;
  std::vector<core::NodeId> gone;
  /// Called after a message was kept, if set.
  std::function<void(const core::NodeId& from)> on_message;
  /// Set by a test while it calls the transport; no event may come then.
  bool in_call = false;

 private:
  TransportEvents Events();

  Transport transport_;
};

/// A socket that a test fills by hand.
class RawPeer {
 public:
  /// Connects to `node`; `as` is who it claims to be in its greeting.
  RawPeer(boost::asio::io_context& io, const core::NodeId& node,
          const core::NodeId& as);

  /// Writes bytes that fit the socket's buffer.
  void Write(const std::string& bytes);
  /// Queues bytes on a stream, framed or not.
  void Queue(Channel channel, std::string bytes);
  /// Writes what the session has to say; its greeting at first.
  void Flush();
  /// The greeting and what else the session would write now.
  std::string Collect();
  /// True once the other end has closed. Bytes that arrive are thrown away.
  bool closed();

 private:
  boost::asio::ip::tcp::socket socket_;
  Http2Session session_;
};

}  // namespace tarragon::wire

#endif  // TARRAGON_WIRE_TESTS_HARNESS_H_
