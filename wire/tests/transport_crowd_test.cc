#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

#include "frame.h"
#include "tests/harness.h"

namespace tarragon::wire {
namespace {

core::NodeId Stranger(int number) {
  return {core::Address("127.0.0.1:" + std::to_string(1000 + number)),
          core::Incarnation(static_cast<std::uint64_t>(number))};
}

/// What a transport does when it has no more places or memory.
class TransportCrowdTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TransportCrowdTest);
  CPPUNIT_TEST(PeerTakesPlaceOfAConnectionWithoutMessages);
  CPPUNIT_TEST(DiallingTakesPlaceOfAConnectionWithoutMessages);
  CPPUNIT_TEST(PeersWithMessagesKeepTheirPlaces);
  CPPUNIT_TEST(LargestUnfinishedMessageLosesItsConnection);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PeerTakesPlaceOfAConnectionWithoutMessages() {
    boost::asio::io_context io;
    TransportLimits limits;
    limits.max_connections = 2;
    TestNode a(io, limits);
    RawPeer silent(io, a.id(), Stranger(1));
    RawPeer greeting(io, a.id(), Stranger(2));
    greeting.Flush();
    RunUntil(io, [&] { return a.counters().connections == 2; });
    TestNode b(io);
    b.transport().Send(a.id(), dispatch::Heartbeat());
    RunUntil(io, [&] { return a.received.size() == 1; });
    RunUntil(io, [&] { return silent.closed(); });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, a.counters().closed_for_place);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, a.counters().refused_connections);
  }

  void DiallingTakesPlaceOfAConnectionWithoutMessages() {
    boost::asio::io_context io;
    TransportLimits limits;
    limits.max_connections = 1;
    TestNode a(io, limits);
    TestNode b(io);
    RawPeer silent(io, a.id(), Stranger(1));
    RunUntil(io, [&] { return a.counters().connections == 1; });
    a.transport().Send(b.id(), dispatch::Heartbeat());
    RunUntil(io, [&] { return b.received.size() == 1; });
    RunUntil(io, [&] { return silent.closed(); });
  }

  void PeersWithMessagesKeepTheirPlaces() {
    boost::asio::io_context io;
    TransportLimits limits;
    limits.max_connections = 1;
    TestNode a(io, limits);
    TestNode b(io);
    b.transport().Send(a.id(), dispatch::Heartbeat());
    RunUntil(io, [&] { return a.received.size() == 1; });
    RawPeer stranger(io, a.id(), Stranger(1));
    RunUntil(io, [&] { return stranger.closed(); });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, a.counters().refused_connections);
    b.transport().Send(a.id(), dispatch::Heartbeat());
    RunUntil(io, [&] { return a.received.size() == 2; });
  }

  void LargestUnfinishedMessageLosesItsConnection() {
    boost::asio::io_context io;
    const auto quota =
        std::make_shared<core::MemoryQuota>(std::size_t{80} * 1024);
    std::vector<core::NodeId> lost;
    std::size_t received = 0;
    TransportEvents events;
    events.message = [&](const core::NodeId&, const dispatch::Message&) {
      ++received;
    };
    events.peer_lost = [&](const core::NodeId& peer) { lost.push_back(peer); };
    Transport a(io, core::Incarnation(9), TransportLimits{}, events, quota);
    WireError reason;
    const std::optional<core::NodeId> id =
        a.Listen(core::Address("127.0.0.1:0"), std::nullopt, &reason);
    CPPUNIT_ASSERT(id.has_value());
    RawPeer small(io, *id, Stranger(1));
    const std::string heartbeat = EncodeFrame(dispatch::Heartbeat());
    small.Queue(Channel::kControl, heartbeat);
    small.Flush();
    RunUntil(io, [&] { return received == 1; });
    RawPeer large(io, *id, Stranger(2));
    // The length of a message of 1 MiB, and as much of it as the peer may send
    // at first.
    large.Queue(Channel::kWork,
                std::string("\x00\x10\x00\x00", 4) + std::string(60000, 'x'));
    RunUntil(io, [&] {
      large.Flush();
      return large.closed();
    });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, a.counters().closed_for_memory);
    RunUntil(io, [&] { return !lost.empty(); });
    CPPUNIT_ASSERT(lost == std::vector<core::NodeId>{Stranger(2)});
    small.Queue(Channel::kControl, heartbeat);
    small.Flush();
    RunUntil(io, [&] { return received == 2; });
    CPPUNIT_ASSERT(quota->held_bytes() < quota->max_bytes());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TransportCrowdTest);

}  // namespace
}  // namespace tarragon::wire
