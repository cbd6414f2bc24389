#include "cut_proxy.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <utility>
#include <vector>

namespace tarragon::system_test {
namespace {

using boost::asio::ip::tcp;

constexpr std::size_t kBufferBytes = 65536;

tcp::endpoint AnyPort() { return {boost::asio::ip::address_v4::loopback(), 0}; }

std::string Text(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
}

/// One direction of one relayed connection.
struct Flow {
  std::array<char, kBufferBytes> buffer{};
  std::size_t from = 0;
};

/// One relayed connection.
struct Session {
  explicit Session(boost::asio::io_context& io)
      : sockets{tcp::socket(io), tcp::socket(io)} {}

  void Close() {
    boost::system::error_code ignored;
    for (tcp::socket& socket : sockets) socket.close(ignored);
  }

  std::array<tcp::socket, 2> sockets;
  std::array<Flow, 2> flows;
};

}  // namespace

class CutProxy::State : public std::enable_shared_from_this<State> {
 public:
  explicit State(boost::asio::io_context& io)
      : io_(io), acceptor_(io, AnyPort()), reserved_(io) {
    // Bound but not listening: the port stays taken, and a process that asks
    // for reuse can listen on it.
    reserved_.open(tcp::v4());
    reserved_.set_option(tcp::acceptor::reuse_address(true));
    reserved_.bind(AnyPort());
    inner_ = reserved_.local_endpoint();
  }

  tcp::endpoint outer() const { return acceptor_.local_endpoint(); }
  tcp::endpoint inner() const { return inner_; }

  void Accept() {
    const std::shared_ptr<Session> session = std::make_shared<Session>(io_);
    acceptor_.async_accept(
        session->sockets[0],
        [self = shared_from_this(), session](boost::system::error_code error) {
          if (error) return;
          if (!self->cut_) self->Connect(session);
          self->Accept();
        });
  }

  void Break() {
    for (const std::weak_ptr<Session>& open : sessions_) {
      if (const std::shared_ptr<Session> session = open.lock()) {
        session->Close();
      }
    }
    sessions_.clear();
  }

  void Cut(bool on) {
    cut_ = on;
    Break();
  }

  void Delay(std::chrono::milliseconds delay) { delay_ = delay; }

 private:
  void Connect(const std::shared_ptr<Session>& session) {
    sessions_.push_back(session);
    session->sockets[1].async_connect(
        inner_,
        [self = shared_from_this(), session](boost::system::error_code error) {
          if (error) return session->Close();
          boost::system::error_code ignored;
          for (tcp::socket& socket : session->sockets) {
            socket.set_option(tcp::no_delay(true), ignored);
          }
          self->Read(session, 0);
          self->Read(session, 1);
        });
  }

  void Read(const std::shared_ptr<Session>& session, std::size_t side) {
    session->sockets[side].async_read_some(
        boost::asio::buffer(session->flows[side].buffer),
        [self = shared_from_this(), session, side](
            boost::system::error_code error, std::size_t size) {
          if (error) return session->Close();
          self->WriteLater(session, side, size);
        });
  }

  void WriteLater(const std::shared_ptr<Session>& session, std::size_t side,
                  std::size_t size) {
    if (delay_.count() == 0) return Write(session, side, size);
    const std::shared_ptr<boost::asio::steady_timer> timer =
        std::make_shared<boost::asio::steady_timer>(io_, delay_);
    timer->async_wait([self = shared_from_this(), timer, session, side,
                       size](boost::system::error_code error) {
      if (!error) self->Write(session, side, size);
    });
  }

  void Write(const std::shared_ptr<Session>& session, std::size_t side,
             std::size_t size) {
    boost::asio::async_write(
        session->sockets[1 - side],
        boost::asio::buffer(session->flows[side].buffer, size),
        [self = shared_from_this(), session, side](
            boost::system::error_code error, std::size_t) {
          if (error) return session->Close();
          self->Read(session, side);
        });
  }

  boost::asio::io_context& io_;
  tcp::acceptor acceptor_;
  tcp::socket reserved_;
  tcp::endpoint inner_;
  bool cut_ = false;
  std::chrono::milliseconds delay_{0};
  std::vector<std::weak_ptr<Session>> sessions_;
};

CutProxy::CutProxy(HttpLoop* loop) : loop_(loop) {
  state_ = std::make_shared<State>(loop->io());
  address_ = Text(state_->outer());
  inner_ = Text(state_->inner());
  boost::asio::post(loop->io(), [state = state_] { state->Accept(); });
}

CutProxy::~CutProxy() = default;

void CutProxy::Break() {
  loop_->Run([state = state_] { state->Break(); });
}

void CutProxy::Cut(bool on) {
  loop_->Run([state = state_, on] { state->Cut(on); });
}

void CutProxy::Delay(std::chrono::milliseconds delay) {
  loop_->Run([state = state_, delay] { state->Delay(delay); });
}

}  // namespace tarragon::system_test
