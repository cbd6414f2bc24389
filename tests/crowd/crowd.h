#ifndef TARRAGON_TESTS_CROWD_CROWD_H_
#define TARRAGON_TESTS_CROWD_CROWD_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tarragon::crowd {

/// What each client of a crowd sends.
struct CrowdPlan {
  int clients = 600;
  /// Connections of each client, one after the other: it connects anew when its
  /// connection is closed. The last one stays open.
  int connections = 1;
  /// The first bytes of each connection, by the number of its client. May be
  /// empty.
  std::function<std::string(int client)> head;
  /// The bytes after that, the same for all.
  std::string rest;
  /// If not empty, the client with the number N sends the Nth of these after
  /// its head instead, beginning again after the last one.
  std::vector<std::string> rests;
  /// Repeats `rest` until the connection is closed.
  bool endless = false;
  /// Reads and discards what it is sent.
  bool reads = true;
};

/// Clients that send what a plan says and keep their connections open.
class Crowd {
 public:
  Crowd(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint server,
        CrowdPlan plan);
  ~Crowd();

  void Start();
  /// Closes all connections.
  void Leave();
  /// Every client has connected at least once, or was refused.
  bool HasArrived() const;
  /// No client has anything left to send: what it had is sent, or all its
  /// connections were closed.
  bool IsSettled() const;
  /// Connections that are open at the clients' end.
  int open_connections() const;

 private:
  class Client;

  std::vector<std::shared_ptr<Client>> clients_;
};

}  // namespace tarragon::crowd

#endif  // TARRAGON_TESTS_CROWD_CROWD_H_
