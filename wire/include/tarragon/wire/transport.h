#ifndef TARRAGON_WIRE_TRANSPORT_H_
#define TARRAGON_WIRE_TRANSPORT_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/core/memory_quota.h"
#include "tarragon/dispatch/message.h"
#include "tarragon/wire/error.h"

/// Carries messages between the system's own processes: one TCP connection for
/// each pair where possible, HTTP/2 on it, and on that two long streams, so
/// that a heartbeat or a permit never waits behind a payload.

namespace tarragon::wire {

/// Bounds of one transport.
struct TransportLimits {
  /// Connections at once, dialled and accepted. One more takes the place of the
  /// accepted connection that has been without a message for the longest; if
  /// all have had one, it is not opened.
  std::size_t max_connections = 8192;
  /// Receive buffer of an accepted connection in the kernel; zero for the
  /// system's choice.
  std::size_t receive_buffer_bytes = 0;
  /// Longest message in either direction.
  std::size_t max_frame_bytes = std::size_t{4} << 20;
  /// Most bytes that wait for one peer.
  std::size_t max_queued_bytes = std::size_t{16} << 20;
  /// Until a dialled address must accept.
  core::Duration connect_timeout = std::chrono::seconds(2);
  /// Until a new connection must have said who is there, in both directions.
  core::Duration handshake_timeout = std::chrono::seconds(5);
  /// A connection without messages for so long is closed.
  core::Duration idle_timeout = std::chrono::seconds(60);
  /// Until a connection that is being closed in good order must be closed.
  core::Duration drain_timeout = std::chrono::seconds(5);
  /// Until sent bytes must be acknowledged by the peer's machine.
  core::Duration unacknowledged_timeout = std::chrono::seconds(10);
};

/// What a transport reports. All of them are called by the io_context's thread
/// and never from within a call of the transport. They may call the transport
/// but must not destroy it.
struct TransportEvents {
  /// A message has arrived. Messages of one stream keep their order.
  std::function<void(const core::NodeId& from, dispatch::Message message)>
      message;
  /// A connection to the peer broke or could not be made. Messages that waited
  /// were dropped, messages that were sent may be lost. The incarnation is zero
  /// if the peer was addressed so and had not yet said who it is.
  std::function<void(const core::NodeId& peer)> peer_lost;
  /// Proved: another incarnation answers at the peer's address. Messages that
  /// waited were dropped; none was delivered to the other incarnation.
  std::function<void(const core::NodeId& peer)> peer_gone;
};

/// Messages of one name.
struct MessageCounter {
  std::uint64_t messages = 0;
  /// Of the frames, without the cost of HTTP/2.
  std::uint64_t bytes = 0;
};

/// Counts since the transport was made, except `connections`.
struct TransportCounters {
  /// By message name. A message counts as sent when it is queued.
  std::map<std::string, MessageCounter> sent;
  std::map<std::string, MessageCounter> received;
  /// Bytes on all sockets.
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  /// Open now.
  std::uint64_t connections = 0;
  std::uint64_t dialled = 0;
  std::uint64_t accepted = 0;
  /// Not opened because of `max_connections`.
  std::uint64_t refused_connections = 0;
  /// Closed to make place for another connection.
  std::uint64_t closed_for_place = 0;
  /// Closed because all connections held too much.
  std::uint64_t closed_for_memory = 0;
  /// Closed because the peer broke the protocol or sent a refused frame.
  std::uint64_t violations = 0;
  /// Closed because the peer did not say in time who it is.
  std::uint64_t handshake_timeouts = 0;
  /// Closed after `idle_timeout`.
  std::uint64_t idle_closes = 0;
  /// Frames that were too large or no message.
  std::uint64_t refused_frames = 0;
  /// Messages that were never handed to a connection, or were dropped with one.
  std::uint64_t dropped_messages = 0;
  std::uint64_t peers_lost = 0;
  std::uint64_t peers_gone = 0;
};

class TransportState;

/// Sends and receives messages. To be used by the io_context's thread only.
class Transport {
 public:
  /// `self` is the incarnation of this process. The connections and what has
  /// arrived of unfinished messages take memory of `quota`, if there is one.
  Transport(boost::asio::io_context& io, core::Incarnation self,
            TransportLimits limits, TransportEvents events,
            std::shared_ptr<core::MemoryQuota> quota = nullptr);
  /// Closes.
  ~Transport();
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;

  /// Listens at `bind`, "IP:port", where port 0 lets the system choose. The
  /// others are told `advertise`, or the bound address if there is none; its
  /// port 0 means the bound port. Returns the id of this process. Nothing, with
  /// a `reason`, if an address is unusable or in use. To be called once, before
  /// the first Send.
  std::optional<core::NodeId> Listen(
      const core::Address& bind, const std::optional<core::Address>& advertise,
      WireError* reason);

  /// This process. Without an address before Listen.
  const core::NodeId& self() const;

  /// Queues a message and connects when needed. Never blocks and never raises
  /// an event from within. Incarnation zero means whoever lives at the address.
  /// A message that is too large, or that finds no connection, is dropped and
  /// peer_lost follows; so it does for all that waits if there is too much.
  void Send(const core::NodeId& to, const dispatch::Message& message);

  /// Closes the connections to a peer at once and forgets it. Drops what waits
  /// and raises no event.
  void Drop(const core::NodeId& peer);

  TransportCounters counters() const;

  /// Stops listening, sends what waits, closes all connections in good order
  /// and then calls `done` once; at the latest after `drain_timeout`. Messages
  /// that arrive meanwhile are still reported.
  void Shutdown(std::function<void()> done);

  /// Closes everything at once. No event follows.
  void Close();

 private:
  std::shared_ptr<TransportState> state_;
};

}  // namespace tarragon::wire

#endif  // TARRAGON_WIRE_TRANSPORT_H_
