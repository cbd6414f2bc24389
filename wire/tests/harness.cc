#include "tests/harness.h"

#include <cppunit/TestAssert.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

#include "endpoint.h"

namespace tarragon::wire {
namespace {

/// Far beyond any plausible run; only a hanging test reaches it.
constexpr std::chrono::seconds kSafetyStop(120);
/// Turns that end without an event, so that conditions outside of the
/// io_context are looked at.
constexpr std::chrono::milliseconds kTurn(10);
constexpr std::size_t kCollectBytes = std::size_t{16} << 20;

}  // namespace

void RunUntil(boost::asio::io_context& io, const std::function<bool()>& done) {
  const std::chrono::steady_clock::time_point stop =
      std::chrono::steady_clock::now() + kSafetyStop;
  while (!done()) {
    CPPUNIT_ASSERT_MESSAGE("the expected event did not come",
                           std::chrono::steady_clock::now() < stop);
    if (io.stopped()) io.restart();
    io.run_one_for(kTurn);
  }
}

TestNode::TestNode(boost::asio::io_context& io, TransportLimits limits,
                   const std::string& bind)
    : transport_(io, core::RandomIncarnation(), limits, Events()) {
  WireError reason;
  CPPUNIT_ASSERT_MESSAGE(
      reason.detail,
      transport_.Listen(core::Address(bind), std::nullopt, &reason));
}

TransportEvents TestNode::Events() {
  TransportEvents events;
  events.message = [this](const core::NodeId& from, dispatch::Message message) {
    CPPUNIT_ASSERT(!in_call);
    received.emplace_back(from, std::move(message));
    if (on_message) on_message(from);
  };
  events.peer_lost = [this](const core::NodeId& peer) {
    CPPUNIT_ASSERT(!in_call);
    lost.push_back(peer);
  };
  events.peer_gone = [this](const core::NodeId& peer) {
    CPPUNIT_ASSERT(!in_call);
    gone.push_back(peer);
  };
  return events;
}

RawPeer::RawPeer(boost::asio::io_context& io, const core::NodeId& node,
                 const core::NodeId& as)
    : socket_(io),
      session_(Role::kDialler, as, core::Incarnation(), kCollectBytes) {
  socket_.connect(*ParseEndpoint(node.address, nullptr));
  socket_.non_blocking(true);
}

void RawPeer::Write(const std::string& bytes) {
  // The other end may close at any byte.
  boost::system::error_code ignored;
  boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
}

void RawPeer::Queue(Channel channel, std::string bytes) {
  session_.Queue(channel, std::move(bytes));
}

void RawPeer::Flush() { Write(Collect()); }

std::string RawPeer::Collect() {
  std::string bytes;
  CPPUNIT_ASSERT(session_.Collect(kCollectBytes, &bytes, nullptr));
  return bytes;
}

bool RawPeer::closed() {
  std::array<char, 4096> buffer{};
  boost::system::error_code error;
  while (!error) socket_.read_some(boost::asio::buffer(buffer), error);
  return error != boost::asio::error::would_block;
}

}  // namespace tarragon::wire
