#include "tarragon/wire/transport.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "tests/harness.h"
#include "tests/samples.h"

namespace tarragon::wire {
namespace {

constexpr std::size_t kMebibyte = std::size_t{1} << 20;
constexpr std::uint32_t kPayloads = 12;
constexpr std::uint32_t kShortMessages = 3000;
constexpr std::size_t kNodes = 200;

class TransportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TransportTest);
  CPPUNIT_TEST(EveryMessageGoesBothWaysOverOneConnection);
  CPPUNIT_TEST(LargePayloadsArriveWhole);
  CPPUNIT_TEST(StreamsKeepTheirOrder);
  CPPUNIT_TEST(ControlOvertakesWork);
  CPPUNIT_TEST(WhoeverIsThereIsFound);
  CPPUNIT_TEST(ProcessMaySendToItself);
  CPPUNIT_TEST(SimultaneousDialLosesNothing);
  CPPUNIT_TEST(SimultaneousDialsMeet);
  CPPUNIT_TEST(ManyConnections);
  CPPUNIT_TEST(IdleConnectionsCloseSilently);
  CPPUNIT_TEST(ShutdownSendsWhatWaits);
  CPPUNIT_TEST(DropRaisesNothing);
  CPPUNIT_TEST(CloseMayBeCalledFromAnEvent);
  CPPUNIT_TEST(CountsByName);
  CPPUNIT_TEST(ReportsLeaveOutRepeatedTarget);
  CPPUNIT_TEST(RefusesBadAddresses);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EveryMessageGoesBothWaysOverOneConnection() {
    boost::asio::io_context io;
    TestNode a(io);
    TestNode b(io);
    const std::vector<dispatch::Message> samples = SampleMessages();
    for (const dispatch::Message& sample : samples) {
      a.transport().Send(b.id(), sample);
    }
    RunUntil(io, [&] { return b.received.size() == samples.size(); });
    for (const dispatch::Message& sample : samples) {
      b.transport().Send(a.id(), sample);
    }
    RunUntil(io, [&] { return a.received.size() == samples.size(); });
    for (const dispatch::Message& sample : samples) {
      CPPUNIT_ASSERT(Holds(a, b.id(), sample));
      CPPUNIT_ASSERT(Holds(b, a.id(), sample));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, a.counters().dialled);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, b.counters().dialled);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, b.counters().accepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, a.counters().connections);
  }

  void LargePayloadsArriveWhole() {
    boost::asio::io_context io;
    TestNode a(io);
    TestNode b(io);
    const dispatch::Assign there = SampleAssign(1, kMebibyte);
    const dispatch::Assign back = SampleAssign(2, 3 * kMebibyte);
    a.transport().Send(b.id(), there);
    RunUntil(io, [&] { return b.received.size() == 1; });
    b.transport().Send(a.id(), back);
    RunUntil(io, [&] { return a.received.size() == 1; });
    CPPUNIT_ASSERT(Holds(b, a.id(), there));
    CPPUNIT_ASSERT(Holds(a, b.id(), back));
  }

  void StreamsKeepTheirOrder() {
    boost::asio::io_context io;
    TestNode a(io);
    TestNode b(io);
    for (std::uint32_t i = 0; i < kShortMessages; ++i) {
      a.transport().Send(b.id(), SampleAssign(i, i % 700));
      a.transport().Send(b.id(), dispatch::Pull{i, {}, {}});
    }
    RunUntil(io, [&] {
      return b.received.size() == std::size_t{2} * kShortMessages;
    });
    std::uint32_t assigns = 0;
    std::uint32_t pulls = 0;
    for (const auto& [from, message] : b.received) {
      if (const auto* assign = std::get_if<dispatch::Assign>(&message)) {
        CPPUNIT_ASSERT_EQUAL(assigns++, assign->ref.task.value());
      } else {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{pulls++},
                             std::get<dispatch::Pull>(message).number);
      }
    }
  }

  /// A heartbeat that is sent while payloads wait arrives before them, from
  /// whichever end.
  void ControlOvertakesWork() {
    boost::asio::io_context io;
    TestNode a(io);
    TestNode b(io);
    AssertControlOvertakes(io, &a, &b);
    AssertControlOvertakes(io, &b, &a);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, b.counters().dialled);
  }

  void WhoeverIsThereIsFound() {
    boost::asio::io_context io;
    TestNode a(io);
    TestNode b(io);
    const core::NodeId seed{b.id().address, core::Incarnation()};
    a.transport().Send(seed, dispatch::Heartbeat());
    a.transport().Send(seed, dispatch::Query());
    RunUntil(io, [&] { return b.received.size() == 2; });
    CPPUNIT_ASSERT(b.received.front().first == a.id());
    b.transport().Send(a.id(), dispatch::Permit());
    RunUntil(io, [&] { return a.received.size() == 1; });
    CPPUNIT_ASSERT(a.received.front().first == b.id());
    // By either name it is the same peer now.
    a.transport().Send(b.id(), dispatch::Heartbeat());
    a.transport().Send(seed, dispatch::Heartbeat());
    RunUntil(io, [&] { return b.received.size() == 4; });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, a.counters().dialled);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, b.counters().dialled);
  }

  void ProcessMaySendToItself() {
    boost::asio::io_context io;
    TestNode a(io);
    a.transport().Send(a.id(), dispatch::Heartbeat());
    a.transport().Send(a.id(), SampleAssign(1, 100));
    RunUntil(io, [&] { return a.received.size() == 2; });
    CPPUNIT_ASSERT(Holds(a, a.id(), SampleAssign(1, 100)));
    CPPUNIT_ASSERT(a.lost.empty());
  }

  void SimultaneousDialLosesNothing() {
    boost::asio::io_context io;
    TestNode a(io);
    TestNode b(io);
    for (std::uint32_t i = 0; i < kShortMessages; ++i) {
      a.transport().Send(b.id(), SampleAssign(i, 1000));
      b.transport().Send(a.id(), SampleAssign(i, 1000));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, a.counters().dialled);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, b.counters().dialled);
    RunUntil(io, [&] {
      return a.received.size() == kShortMessages &&
             b.received.size() == kShortMessages;
    });
    for (std::uint32_t i = 0; i < kShortMessages; ++i) {
      CPPUNIT_ASSERT(a.received[i].second ==
                     dispatch::Message(SampleAssign(i, 1000)));
      CPPUNIT_ASSERT(b.received[i].second ==
                     dispatch::Message(SampleAssign(i, 1000)));
    }
    CPPUNIT_ASSERT(a.lost.empty());
    CPPUNIT_ASSERT(b.lost.empty());
  }

  /// Two that have dialled each other at once use one connection later, and the
  /// other one closes.
  void SimultaneousDialsMeet() {
    TransportLimits limits;
    limits.idle_timeout = std::chrono::milliseconds(700);
    const std::chrono::milliseconds interval(300);
    boost::asio::io_context io;
    TestNode a(io, limits);
    TestNode b(io, limits);
    a.transport().Send(b.id(), dispatch::Heartbeat());
    b.transport().Send(a.id(), dispatch::Heartbeat());
    RunUntil(io, [&] {
      return a.counters().connections == 2 && b.counters().connections == 2;
    });
    boost::asio::steady_timer timer(io);
    std::function<void()> repeat = [&] {
      a.transport().Send(b.id(), dispatch::Heartbeat());
      b.transport().Send(a.id(), dispatch::Heartbeat());
      timer.expires_after(interval);
      timer.async_wait([&](const boost::system::error_code& error) {
        if (!error) repeat();
      });
    };
    repeat();
    RunUntil(io, [&] {
      return a.counters().connections == 1 && b.counters().connections == 1;
    });
    CPPUNIT_ASSERT(a.lost.empty());
    CPPUNIT_ASSERT(b.lost.empty());
  }

  void ManyConnections() {
    boost::asio::io_context io;
    TestNode hub(io);
    std::vector<std::unique_ptr<TestNode>> nodes;
    for (std::size_t i = 0; i < kNodes; ++i) {
      nodes.push_back(std::make_unique<TestNode>(io));
      nodes.back()->transport().Send(hub.id(), dispatch::Heartbeat());
    }
    RunUntil(io, [&] { return hub.received.size() == kNodes; });
    for (const std::unique_ptr<TestNode>& node : nodes) {
      hub.transport().Send(node->id(), SampleAssign(1, 2000));
    }
    for (const std::unique_ptr<TestNode>& node : nodes) {
      RunUntil(io, [&] { return node->received.size() == 1; });
      CPPUNIT_ASSERT(Holds(*node, hub.id(), SampleAssign(1, 2000)));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{kNodes}, hub.counters().connections);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, hub.counters().dialled);
  }

  void IdleConnectionsCloseSilently() {
    TransportLimits limits;
    limits.idle_timeout = std::chrono::milliseconds(30);
    boost::asio::io_context io;
    TestNode a(io, limits);
    TestNode b(io);
    a.transport().Send(b.id(), dispatch::Heartbeat());
    RunUntil(io, [&] { return b.received.size() == 1; });
    RunUntil(io, [&] {
      return a.counters().connections == 0 && b.counters().connections == 0;
    });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, a.counters().idle_closes);
    // Either side may connect again.
    b.transport().Send(a.id(), dispatch::Permit());
    RunUntil(io, [&] { return a.received.size() == 1; });
    RunUntil(io, [&] {
      return a.counters().connections == 0 && b.counters().connections == 0;
    });
    CPPUNIT_ASSERT(a.lost.empty());
    CPPUNIT_ASSERT(b.lost.empty());
  }

  void ShutdownSendsWhatWaits() {
    boost::asio::io_context io;
    TestNode a(io);
    TestNode b(io);
    TestNode c(io);
    c.transport().Send(a.id(), dispatch::Heartbeat());
    RunUntil(io, [&] { return a.received.size() == 1; });
    // One peer is connected already, the other is not.
    for (std::uint32_t i = 0; i < kPayloads; ++i) {
      a.transport().Send(b.id(), SampleAssign(i, kMebibyte));
    }
    a.transport().Send(c.id(), dispatch::Leaving{a.id()});
    c.transport().Send(a.id(), dispatch::Query());
    bool done = false;
    a.transport().Shutdown([&done] { done = true; });
    CPPUNIT_ASSERT(!done);
    RunUntil(io, [&] { return done; });
    RunUntil(io, [&] {
      return b.received.size() == kPayloads && c.received.size() == 1;
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, a.received.size());
    RunUntil(io, [&] {
      return b.counters().connections == 0 && c.counters().connections == 0;
    });
    CPPUNIT_ASSERT(a.lost.empty());
    CPPUNIT_ASSERT(b.lost.empty());
    CPPUNIT_ASSERT(c.lost.empty());
  }

  void DropRaisesNothing() {
    boost::asio::io_context io;
    TestNode a(io);
    TestNode b(io);
    a.transport().Send(b.id(), dispatch::Heartbeat());
    RunUntil(io, [&] { return b.received.size() == 1; });
    a.transport().Send(b.id(), dispatch::Query());
    a.transport().Drop(b.id());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, a.counters().connections);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, a.counters().dropped_messages);
    RunUntil(io, [&] { return b.lost.size() == 1; });
    CPPUNIT_ASSERT(a.lost.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, b.received.size());
    a.transport().Send(b.id(), dispatch::Query());
    RunUntil(io, [&] { return b.received.size() == 2; });
  }

  void CloseMayBeCalledFromAnEvent() {
    boost::asio::io_context io;
    TestNode a(io);
    TestNode b(io);
    b.on_message = [&](const core::NodeId& /*from*/) { b.transport().Close(); };
    for (std::uint32_t i = 0; i < 20; ++i) {
      a.transport().Send(b.id(), dispatch::Pull{i, {}, {}});
    }
    RunUntil(io, [&] { return !a.lost.empty(); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, b.received.size());
    CPPUNIT_ASSERT(b.lost.empty());
  }

  void CountsByName() {
    boost::asio::io_context io;
    TestNode a(io);
    TestNode b(io);
    a.transport().Send(b.id(), dispatch::Heartbeat());
    a.transport().Send(b.id(), dispatch::Heartbeat());
    a.transport().Send(b.id(), SampleAssign(1, 5000));
    RunUntil(io, [&] { return b.received.size() == 3; });
    const TransportCounters sent = a.counters();
    const TransportCounters received = b.counters();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent.sent.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, sent.sent.at("heartbeat").messages);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, sent.sent.at("assign").messages);
    CPPUNIT_ASSERT(sent.sent.at("assign").bytes > 5000);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                         received.received.at("heartbeat").messages);
    CPPUNIT_ASSERT_EQUAL(sent.sent.at("assign").bytes,
                         received.received.at("assign").bytes);
    CPPUNIT_ASSERT(received.bytes_received > 5000);
    CPPUNIT_ASSERT(sent.bytes_sent >= received.bytes_received);
  }

  void ReportsLeaveOutRepeatedTarget() {
    boost::asio::io_context io;
    TestNode gate(io);
    TestNode entry(io);
    coordinator::TargetReport report;
    report.target = coordinator::TargetId("i-0123456789");
    report.address = core::Address("10.0.0.9:8080");
    report.born = coordinator::TargetIncarnation(1700000000000);
    report.service = core::ServiceId("last-shaping");
    report.domain = core::DomainId("kecskemet");
    report.capacity = {16000, 32768, 0};
    report.domains_digest = 0x1234567890abcdefULL;
    report.labels = {coordinator::Label("a"), coordinator::Label("r1-3")};
    std::vector<std::uint64_t> sizes;
    std::uint64_t bytes = 0;
    const auto send = [&](std::int64_t at_ms) {
      report.clock = core::Time{std::chrono::milliseconds(at_ms)};
      gate.transport().Send(entry.id(), report);
      const std::size_t count = entry.received.size() + 1;
      RunUntil(io, [&] { return entry.received.size() == count; });
      CPPUNIT_ASSERT(dispatch::Message(report) == entry.received.back().second);
      const std::uint64_t now =
          entry.counters().received.at("target_report").bytes;
      sizes.push_back(now - bytes);
      bytes = now;
    };
    // The target is left out once the entry's greeting has arrived.
    std::int64_t millis = 0;
    do {
      send(++millis);
    } while (sizes.back() >= sizes[0] / 2 && millis < 1000);
    CPPUNIT_ASSERT(sizes.back() < sizes[0] / 2);
    // Another target is described again.
    report.target = coordinator::TargetId("i-9876543210");
    send(++millis);
    CPPUNIT_ASSERT_EQUAL(sizes[0], sizes.back());
    // So is the same one on another connection.
    gate.transport().Drop(entry.id());
    send(++millis);
    CPPUNIT_ASSERT_EQUAL(sizes[0], sizes.back());
  }

  void RefusesBadAddresses() {
    boost::asio::io_context io;
    Transport transport(io, core::RandomIncarnation(), {}, {});
    for (const char* address :
         {"", "here", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000",
          "localhost:80", "::1:80", "0.0.0.0:0"}) {
      WireError reason;
      CPPUNIT_ASSERT(
          !transport.Listen(core::Address(address), std::nullopt, &reason));
      CPPUNIT_ASSERT_MESSAGE(address,
                             reason.code == WireErrorCode::kBadAddress);
    }
    const std::optional<core::NodeId> node = transport.Listen(
        core::Address("0.0.0.0:0"), core::Address("127.0.0.1:0"), nullptr);
    CPPUNIT_ASSERT(node);
    CPPUNIT_ASSERT(*node == transport.self());
    WireError reason;
    Transport second(io, core::RandomIncarnation(), {}, {});
    CPPUNIT_ASSERT(!second.Listen(node->address, std::nullopt, &reason));
    CPPUNIT_ASSERT(reason.code == WireErrorCode::kCannotListen);
  }

 private:
  static void AssertControlOvertakes(boost::asio::io_context& io,
                                     TestNode* from, TestNode* to) {
    for (std::uint32_t i = 0; i < kPayloads; ++i) {
      from->transport().Send(to->id(), SampleAssign(i, kMebibyte));
    }
    RunUntil(io, [&] { return !to->received.empty(); });
    from->transport().Send(to->id(), dispatch::Heartbeat());
    RunUntil(io, [&] { return to->received.size() == kPayloads + 1; });
    CPPUNIT_ASSERT(
        std::holds_alternative<dispatch::Assign>(to->received.back().second));
    to->received.clear();
  }

  static bool Holds(const TestNode& node, const core::NodeId& from,
                    const dispatch::Message& message) {
    for (const auto& [sender, held] : node.received) {
      if (sender == from && held == message) return true;
    }
    return false;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TransportTest);

}  // namespace
}  // namespace tarragon::wire
