#ifndef TARRAGON_WIRE_CONNECTION_H_
#define TARRAGON_WIRE_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http2_session.h"
#include "tarragon/core/ids.h"
#include "tarragon/core/memory_quota.h"
#include "tarragon/wire/error.h"
#include "tarragon/wire/transport.h"

namespace tarragon::wire {

class Connection;

/// How a connection has ended.
enum class ConnectionEnd : std::uint8_t {
  kClosed,            // In good order; nothing was lost.
  kLost,              // It broke, or could not be made.
  kHandshakeTimeout,  // The peer did not say in time who it is.
  kViolation,         // The peer broke the protocol.
  kMisdirected,       // Another incarnation answered.
};

/// What connections report to.
class ConnectionOwner {
 public:
  virtual ~ConnectionOwner() = default;
  /// The peer is known now; messages may arrive.
  virtual void OnOpen(Connection* connection) = 0;
  virtual void OnMessage(Connection* connection, Inbound inbound) = 0;
  /// The connection is closed. Called once, unless Close was called before.
  virtual void OnEnd(Connection* connection, ConnectionEnd end,
                     const WireError& reason) = 0;
};

/// What all connections of a transport share.
struct ConnectionShared {
  TransportLimits limits;
  core::NodeId self;
  TransportCounters counters;
  /// Buffers for the bytes of one read and of one write. They are in use only
  /// during a call, so that a quiet connection needs none of its own.
  std::vector<char> input;
  std::string output;
  /// What the connections hold together.
  std::shared_ptr<core::MemoryQuota> quota;
};

/// One TCP connection with its HTTP/2 session. Calls its owner only from
/// handlers of the io_context, never from within Dial, Send, Drain or Close.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  /// `shared` and `owner` must live until the connection has ended. `expects`
  /// is the node that a dialler wants; its incarnation may be zero.
  Connection(boost::asio::io_context& io, Role role, core::NodeId expects,
             ConnectionShared* shared, ConnectionOwner* owner);

  /// Starts to connect to `endpoint`.
  void Dial(const boost::asio::ip::tcp::endpoint& endpoint);
  /// Starts to serve an accepted socket.
  void Accept(boost::asio::ip::tcp::socket socket);
  /// Makes the frame of a message that is sent over this connection next. It
  /// must be queued, as later frames may refer to it.
  std::string Encode(const dispatch::Message& message);
  /// Queues a frame. All that is queued in one turn of the io_context is
  /// written at once.
  void Send(Channel channel, std::string frame);
  /// Sends what is queued and then closes in good order.
  void Drain();
  /// Closes at once. The owner is not called.
  void Close();

  /// The node at the other end; before the greeting the one that is wanted.
  const core::NodeId& peer() const;
  /// Who has answered; set once the connection is open or misdirected.
  const core::NodeId& answered() const { return session_.peer(); }
  /// The node that a dialler wants.
  const core::NodeId& expects() const { return expects_; }
  Role role() const { return role_; }
  bool open() const { return open_; }
  /// A message has arrived and was passed on to the owner.
  bool has_delivered() const { return has_delivered_; }
  /// New messages may be queued.
  bool usable() const { return !closed_ && !draining_; }
  /// Nothing waits and nothing was sent within `time`.
  bool QuietFor(std::chrono::steady_clock::duration time) const;
  std::size_t queued_bytes() const;
  std::size_t queued_frames() const { return session_.queued_frames(); }

 private:
  void Configure();
  void Start();
  void OnConnected(const boost::system::error_code& error);
  void ArmTimer(core::Duration after);
  void OnTimer();
  void CheckIdle();
  void AwaitReadable();
  void OnReadable();
  /// Takes `size` bytes of the shared input; false if the connection ended.
  bool Receive(std::size_t size);
  bool Greet();
  void Deliver(std::vector<Inbound>* inbox);
  /// Tells the quota what the connection holds.
  void UpdateAccount();
  /// Ends the connection in a later turn of the io_context.
  void EndForMemory();
  void ScheduleFlush();
  void Flush();
  /// Writes from `bytes`; keeps the rest. False if none can be taken now or
  /// the connection ended.
  bool Write(std::string_view bytes);
  void AwaitWritable();
  void CheckFinished();
  void OnSocketError(const boost::system::error_code& error);
  void End(ConnectionEnd end, WireError reason);

  ConnectionShared* shared_;
  ConnectionOwner* owner_;
  Role role_;
  core::NodeId expects_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  Http2Session session_;
  core::MemoryAccount account_;
  /// The last report that was encoded.
  std::optional<coordinator::TargetReport> last_report_;
  /// Bytes of the session that the socket has not yet taken.
  std::string unsent_;
  std::chrono::steady_clock::time_point last_sent_;
  std::chrono::steady_clock::time_point last_used_;
  bool connected_ = false;
  bool open_ = false;
  bool has_delivered_ = false;
  bool draining_ = false;
  bool shut_down_ = false;
  bool flush_posted_ = false;
  bool closed_ = false;
};

}  // namespace tarragon::wire

#endif  // TARRAGON_WIRE_CONNECTION_H_
