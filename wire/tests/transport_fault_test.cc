#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "endpoint.h"
#include "frame.h"
#include "tarragon/wire/transport.h"
#include "tests/harness.h"
#include "tests/samples.h"

namespace tarragon::wire {
namespace {

constexpr std::size_t kMebibyte = std::size_t{1} << 20;

/// Some node that nobody reaches.
core::NodeId Stranger() {
  return {core::Address("127.0.0.1:1"), core::Incarnation(0x57a)};
}

class TransportFaultTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TransportFaultTest);
  CPPUNIT_TEST(WrongIncarnationGetsNothing);
  CPPUNIT_TEST(RestartedPeerIsProvedGone);
  CPPUNIT_TEST(StaleGreetingDoesNotReplaceAPeer);
  CPPUNIT_TEST(KilledListenerIsLost);
  CPPUNIT_TEST(UnreachablePeerIsLost);
  CPPUNIT_TEST(NothingIsRaisedFromWithinSend);
  CPPUNIT_TEST(LargeMessageIsNotSent);
  CPPUNIT_TEST(PeerThatDoesNotReadIsDropped);
  CPPUNIT_TEST(SilentListenerTimesOut);
  CPPUNIT_TEST(TooManyConnectionsAreRefused);
  CPPUNIT_TEST(GarbageIsClosedAndCounted);
  CPPUNIT_TEST(RefusedFramesAreClosedAndCounted);
  CPPUNIT_TEST(SilentConnectionsAreClosedAndCounted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WrongIncarnationGetsNothing() {
    boost::asio::io_context io;
    TestNode a(io);
    TestNode b(io);
    const core::NodeId old{b.id().address, core::Incarnation(7)};
    a.transport().Send(old, SampleAssign(1, 100));
    a.transport().Send(old, dispatch::Heartbeat());
    RunUntil(io, [&] { return !a.gone.empty(); });
    CPPUNIT_ASSERT(a.gone == std::vector<core::NodeId>{old});
    CPPUNIT_ASSERT(a.lost.empty());
    // The connection is still good for the one who is there.
    a.transport().Send(b.id(), dispatch::Query());
    RunUntil(io, [&] { return !b.received.empty(); });
    RunUntil(io, [&] { return b.counters().connections == 1; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, b.received.size());
    CPPUNIT_ASSERT(
        std::holds_alternative<dispatch::Query>(b.received.front().second));
    CPPUNIT_ASSERT(b.lost.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, a.counters().peers_gone);
  }

  /// A connection of an earlier life is still open when the new one greets.
  void RestartedPeerIsProvedGone() {
    boost::asio::io_context io;
    TestNode a(io);
    TestNode b(io);
    const core::NodeId old{b.id().address, core::Incarnation(7)};
    RawPeer earlier(io, a.id(), old);
    earlier.Queue(Channel::kControl, EncodeFrame(dispatch::Heartbeat()));
    earlier.Flush();
    RunUntil(io, [&] { return a.received.size() == 1; });
    CPPUNIT_ASSERT(a.received.front().first == old);
    b.transport().Send(a.id(), dispatch::Heartbeat());
    RunUntil(io, [&] { return a.received.size() == 2 && !a.gone.empty(); });
    CPPUNIT_ASSERT(a.gone == std::vector<core::NodeId>{old});
    CPPUNIT_ASSERT(a.received.back().first == b.id());
    RunUntil(io, [&] { return earlier.closed(); });
    CPPUNIT_ASSERT(a.lost.empty());
  }

  /// A greeting that was delayed on its way is from an earlier life.
  void StaleGreetingDoesNotReplaceAPeer() {
    boost::asio::io_context io;
    TestNode a(io);
    TestNode b(io);
    a.transport().Send(b.id(), dispatch::Heartbeat());
    RunUntil(io, [&] { return b.received.size() == 1; });
    const core::NodeId old{b.id().address, core::Incarnation(7)};
    RawPeer earlier(io, a.id(), old);
    earlier.Flush();
    RunUntil(io, [&] { return !a.gone.empty(); });
    CPPUNIT_ASSERT(a.gone == std::vector<core::NodeId>{old});
    a.transport().Send(b.id(), dispatch::Heartbeat());
    RunUntil(io, [&] { return b.received.size() == 2; });
    CPPUNIT_ASSERT(a.lost.empty());
  }

  void KilledListenerIsLost() {
    boost::asio::io_context io;
    TestNode a(io);
    std::unique_ptr<TestNode> b = std::make_unique<TestNode>(io);
    const core::NodeId id = b->id();
    a.transport().Send(id, dispatch::Heartbeat());
    RunUntil(io, [&] { return b->received.size() == 1; });
    b.reset();
    RunUntil(io, [&] { return !a.lost.empty(); });
    CPPUNIT_ASSERT(a.lost == std::vector<core::NodeId>{id});
    CPPUNIT_ASSERT(a.gone.empty());

    // The next life at the same address is another node.
    TestNode next(io, {}, id.address.value());
    a.transport().Send(id, SampleAssign(1, 100));
    RunUntil(io, [&] { return !a.gone.empty(); });
    CPPUNIT_ASSERT(a.gone == std::vector<core::NodeId>{id});
    CPPUNIT_ASSERT(next.received.empty());
  }

  void UnreachablePeerIsLost() {
    boost::asio::io_context io;
    TestNode a(io);
    core::NodeId nobody;
    {
      TestNode closed(io);
      nobody = closed.id();
    }
    a.transport().Send(nobody, dispatch::Heartbeat());
    a.transport().Send(nobody, SampleAssign(1, 100));
    RunUntil(io, [&] { return !a.lost.empty(); });
    CPPUNIT_ASSERT(a.lost == std::vector<core::NodeId>{nobody});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, a.counters().dropped_messages);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, a.counters().connections);
  }

  void NothingIsRaisedFromWithinSend() {
    boost::asio::io_context io;
    TestNode a(io);
    const core::NodeId bad{core::Address("nowhere"), core::Incarnation(1)};
    const core::NodeId full{core::Address("255.255.255.255:9"),
                            core::Incarnation(1)};
    a.in_call = true;
    a.transport().Send(bad, dispatch::Heartbeat());
    a.transport().Send(full, dispatch::Heartbeat());
    a.transport().Send(a.id(), SampleAssign(1, 5 * kMebibyte));
    a.in_call = false;
    RunUntil(io, [&] { return a.lost.size() == 3; });

    // Without an address of its own a process has no connections.
    std::vector<core::NodeId> lost;
    TransportEvents events;
    events.peer_lost = [&lost](const core::NodeId& peer) {
      lost.push_back(peer);
    };
    Transport deaf(io, core::RandomIncarnation(), {}, events);
    deaf.Send(a.id(), dispatch::Heartbeat());
    CPPUNIT_ASSERT(lost.empty());
    RunUntil(io, [&] { return lost.size() == 1; });
  }

  void LargeMessageIsNotSent() {
    boost::asio::io_context io;
    TestNode a(io);
    TestNode b(io);
    a.transport().Send(b.id(), dispatch::Heartbeat());
    RunUntil(io, [&] { return b.received.size() == 1; });
    a.transport().Send(b.id(), SampleAssign(1, 5 * kMebibyte));
    RunUntil(io, [&] { return a.lost.size() == 1; });
    // The connection and its other messages are not touched.
    a.transport().Send(b.id(), dispatch::Heartbeat());
    RunUntil(io, [&] { return b.received.size() == 2; });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, a.counters().dialled);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, a.counters().dropped_messages);
  }

  void PeerThatDoesNotReadIsDropped() {
    boost::asio::io_context io;
    TestNode a(io);
    boost::asio::ip::tcp::acceptor deaf(
        io, *ParseEndpoint(core::Address("127.0.0.1:0"), nullptr));
    const core::NodeId peer{FormatEndpoint(deaf.local_endpoint()),
                            core::Incarnation(9)};
    std::uint32_t sent = 0;
    while (a.counters().peers_lost == 0) {
      a.transport().Send(peer, SampleAssign(sent, kMebibyte));
      io.poll();
      io.restart();
      CPPUNIT_ASSERT(++sent < 100);
    }
    RunUntil(io, [&] { return !a.lost.empty(); });
    CPPUNIT_ASSERT(a.lost == std::vector<core::NodeId>{peer});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, a.counters().connections);
    CPPUNIT_ASSERT(a.counters().dropped_messages > 0);
  }

  /// The kernel accepts for it, but it never answers.
  void SilentListenerTimesOut() {
    TransportLimits limits;
    limits.handshake_timeout = std::chrono::milliseconds(20);
    boost::asio::io_context io;
    TestNode a(io, limits);
    boost::asio::ip::tcp::acceptor silent(
        io, *ParseEndpoint(core::Address("127.0.0.1:0"), nullptr));
    const core::NodeId peer{FormatEndpoint(silent.local_endpoint()),
                            core::Incarnation(9)};
    a.transport().Send(peer, dispatch::Heartbeat());
    RunUntil(io, [&] { return !a.lost.empty(); });
    CPPUNIT_ASSERT(a.lost == std::vector<core::NodeId>{peer});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, a.counters().handshake_timeouts);
  }

  void TooManyConnectionsAreRefused() {
    TransportLimits limits;
    limits.max_connections = 2;
    boost::asio::io_context io;
    TestNode a(io, limits);
    TestNode b(io);
    TestNode c(io);
    TestNode d(io);
    b.transport().Send(a.id(), dispatch::Heartbeat());
    c.transport().Send(a.id(), dispatch::Heartbeat());
    RunUntil(io, [&] { return a.received.size() == 2; });
    d.transport().Send(a.id(), dispatch::Heartbeat());
    RunUntil(io, [&] { return d.lost.size() == 1; });
    a.transport().Send(d.id(), dispatch::Heartbeat());
    RunUntil(io, [&] { return a.lost.size() == 1; });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, a.counters().refused_connections);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, a.counters().connections);
    // A place that becomes free is used.
    a.transport().Drop(b.id());
    d.transport().Send(a.id(), dispatch::Heartbeat());
    RunUntil(io, [&] { return a.received.size() == 3; });
  }

  void GarbageIsClosedAndCounted() {
    const std::vector<std::string> garbage = {
        std::string(100, '\xa5'), "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        std::string(4096, '\0'),
        // The preface of HTTP/2 without its settings.
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + std::string(64, '\xff')};
    boost::asio::io_context io;
    TestNode a(io);
    TestNode b(io);
    b.transport().Send(a.id(), dispatch::Heartbeat());
    RunUntil(io, [&] { return a.received.size() == 1; });
    std::size_t count = 0;
    for (const std::string& bytes : garbage) {
      RawPeer peer(io, a.id(), Stranger());
      peer.Write(bytes);
      RunUntil(io, [&] { return peer.closed(); });
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{++count}, a.counters().violations);
    }
    AssertGoesOn(io, &a, &b);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, a.counters().refused_frames);
  }

  void RefusedFramesAreClosedAndCounted() {
    const std::string oversized("\x00\x40\x00\x01", 4);
    const std::string huge("\xff\xff\xff\xff", 4);
    const std::string empty(4, '\0');
    const std::string garbled = std::string("\x00\x00\x00\x03", 4) + "abc";
    dispatch::Submit submit;
    submit.spec.tasks.resize(dispatch::kMaxTasksPerJob + 1);
    boost::asio::io_context io;
    TestNode a(io);
    TestNode b(io);
    b.transport().Send(a.id(), dispatch::Heartbeat());
    RunUntil(io, [&] { return a.received.size() == 1; });
    std::size_t count = 0;
    for (const std::string& frame :
         {oversized, huge, empty, garbled, EncodeFrame(submit)}) {
      RawPeer peer(io, a.id(), Stranger());
      peer.Queue(Channel::kWork, frame);
      peer.Flush();
      RunUntil(io, [&] { return peer.closed(); });
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{++count}, a.counters().refused_frames);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{count}, a.counters().violations);
    }
    // The peer was known by its greeting.
    RunUntil(io, [&] { return a.lost.size() == count; });
    CPPUNIT_ASSERT(a.lost.front() == Stranger());
    AssertGoesOn(io, &a, &b);
  }

  void SilentConnectionsAreClosedAndCounted() {
    TransportLimits limits;
    limits.handshake_timeout = std::chrono::milliseconds(20);
    boost::asio::io_context io;
    TestNode a(io, limits);
    TestNode b(io);
    RawPeer silent(io, a.id(), Stranger());
    RawPeer halting(io, a.id(), Stranger());
    halting.Write("PRI * HTTP/2.0\r\n");
    RunUntil(io, [&] { return silent.closed() && halting.closed(); });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, a.counters().handshake_timeouts);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, a.counters().connections);
    AssertGoesOn(io, &a, &b);
    CPPUNIT_ASSERT(a.lost.empty());
  }

 private:
  /// The two still exchange messages, and nobody else is connected.
  static void AssertGoesOn(boost::asio::io_context& io, TestNode* a,
                           TestNode* b) {
    const std::size_t before = a->received.size();
    b->transport().Send(a->id(), dispatch::Query());
    RunUntil(io, [&] { return a->received.size() == before + 1; });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, a->counters().connections);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, b->counters().dialled);
    CPPUNIT_ASSERT(b->lost.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TransportFaultTest);

}  // namespace
}  // namespace tarragon::wire
