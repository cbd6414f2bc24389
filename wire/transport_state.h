#ifndef TARRAGON_WIRE_TRANSPORT_STATE_H_
#define TARRAGON_WIRE_TRANSPORT_STATE_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "connection.h"
#include "peer_table.h"
#include "tarragon/core/log.h"
#include "tarragon/wire/transport.h"

namespace tarragon::wire {

/// The inside of a Transport; see there. Handlers that are on their way hold it
/// weakly.
class TransportState : public ConnectionOwner,
                       public std::enable_shared_from_this<TransportState> {
 public:
  TransportState(boost::asio::io_context& io, core::Incarnation self,
                 TransportLimits limits, TransportEvents events,
                 std::shared_ptr<core::MemoryQuota> quota);

  std::optional<core::NodeId> Listen(
      const core::Address& bind, const std::optional<core::Address>& advertise,
      WireError* reason);
  const core::NodeId& self() const { return shared_.self; }
  void Send(const core::NodeId& to, const dispatch::Message& message);
  void Drop(const core::NodeId& peer);
  TransportCounters counters() const;
  void Shutdown(std::function<void()> done);
  void Close();

  void OnOpen(Connection* connection) override;
  void OnMessage(Connection* connection, Inbound inbound) override;
  void OnEnd(Connection* connection, ConnectionEnd end,
             const WireError& reason) override;

 private:
  /// Messages of one type, by their index in dispatch::Message.
  struct NamedCounter {
    const char* name = nullptr;
    MessageCounter counter;
  };
  using NamedCounters =
      std::array<NamedCounter, std::variant_size_v<dispatch::Message>>;

  static void Count(const dispatch::Message& message, std::size_t bytes,
                    NamedCounters* counters);
  static std::map<std::string, MessageCounter> ByName(
      const NamedCounters& counters);

  bool Bind(const core::Address& bind, WireError* reason);
  bool Advertise(const std::optional<core::Address>& advertise,
                 WireError* reason);
  void AcceptNext();
  void AcceptLater();
  void OnAccept(const boost::system::error_code& error,
                boost::asio::ip::tcp::socket socket);

  /// True if one more connection may be opened. Closes another one for it if
  /// there are as many as there may be.
  bool MakePlace();
  /// Null if no connection can be made now.
  Connection* Dial(const core::NodeId& to);
  /// If other incarnations are connected under the address of `node`, dials
  /// them all: what the address answers proves which of them are gone.
  void VerifyAddress(const core::NodeId& node);
  void Verify(const core::NodeId& node);
  /// Closes all connections of exactly this peer and counts what they drop.
  void CloseAll(const core::NodeId& peer);
  void Forget(Connection* connection);
  void RaiseLost(const core::NodeId& peer);
  void RaiseGone(const core::NodeId& peer);
  /// Raises `event` in a later turn of the io_context.
  void Raise(std::function<void(const core::NodeId&)> event,
             const core::NodeId& peer);
  void CheckDone();

  boost::asio::io_context& io_;
  TransportEvents events_;
  ConnectionShared shared_;
  core::Log log_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  std::set<std::shared_ptr<Connection>> connections_;
  /// Accepted connections on which no message has arrived, the oldest first.
  std::list<Connection*> newcomers_;
  PeerTable peers_;
  /// Nodes that VerifyAddress has dialled and that have not answered yet.
  std::set<core::NodeId> verifying_;
  NamedCounters sent_;
  NamedCounters received_;
  std::function<void()> done_;
  bool shutting_down_ = false;
  bool closed_ = false;
};

}  // namespace tarragon::wire

#endif  // TARRAGON_WIRE_TRANSPORT_STATE_H_
