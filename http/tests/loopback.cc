#include "tests/loopback.h"

#include <cppunit/TestAssert.h>

#include <utility>

namespace tarragon::http {
namespace {

/// Ends a test that would hang; no test depends on its length.
constexpr std::chrono::seconds kHangLimit{60};

}  // namespace

void RunUntil(asio::io_context& io, const std::function<bool()>& done) {
  const auto limit = std::chrono::steady_clock::now() + kHangLimit;
  io.restart();
  while (!done()) {
    CPPUNIT_ASSERT_MESSAGE("the test hangs",
                           std::chrono::steady_clock::now() < limit);
    if (io.run_one_for(std::chrono::milliseconds(100)) == 0) io.restart();
  }
}

std::size_t CountOf(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

void RawConnection::Read() {
  socket_.async_read_some(
      asio::buffer(chunk_),
      [self = shared_from_this()](ErrorCode error, std::size_t size) {
        self->received.append(self->chunk_.data(), size);
        self->ended = error.failed();
        if (!error) self->Read();
      });
}

void RawConnection::Write(const std::string& text) {
  const auto kept = std::make_shared<const std::string>(text);
  asio::async_write(
      socket_, asio::buffer(*kept),
      [self = shared_from_this(), kept](ErrorCode, std::size_t) {});
}

void RawConnection::ShutdownSend() {
  ErrorCode ignored;
  socket_.shutdown(Socket::shutdown_send, ignored);
}

void RawConnection::Close() {
  ErrorCode ignored;
  socket_.close(ignored);
}

void RawConnection::Reset() {
  ErrorCode ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
}

std::shared_ptr<RawConnection> RawConnect(asio::io_context& io,
                                          const core::Address& address) {
  Socket socket(io.get_executor());
  socket.connect(*ParseEndpoint(address));
  auto connection = std::make_shared<RawConnection>(std::move(socket));
  connection->Read();
  return connection;
}

RawServer::RawServer(asio::io_context& io)
    : acceptor_(io.get_executor(), *ParseEndpoint(kAnyPort)) {
  Accept();
}

core::Address RawServer::address() const {
  return ToAddress(acceptor_.local_endpoint());
}

void RawServer::Accept() {
  acceptor_.async_accept([this](ErrorCode error, Socket socket) {
    if (error) return;
    connections.push_back(std::make_shared<RawConnection>(std::move(socket)));
    connections.back()->Read();
    Accept();
  });
}

core::Address UnusedAddress(asio::io_context& io) {
  const Acceptor acceptor(io.get_executor(), *ParseEndpoint(kAnyPort));
  return ToAddress(acceptor.local_endpoint());
}

}  // namespace tarragon::http
