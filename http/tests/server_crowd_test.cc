#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

#include "tests/server_fixture.h"

namespace tarragon::http {
namespace {

constexpr core::Duration kLong = std::chrono::hours(1);
/// A connection holds a few kilobytes besides its body.
constexpr std::size_t kLargeBody = std::size_t{100} * 1024;

/// What a server does with connections when it has no more places or memory.
class ServerCrowdTest : public ServerFixture {
  CPPUNIT_TEST_SUITE(ServerCrowdTest);
  CPPUNIT_TEST(NewConnectionTakesPlaceOfTheOneThatWaitsLongest);
  CPPUNIT_TEST(WholeRequestKeepsThePlace);
  CPPUNIT_TEST(UnfinishedRequestIsToldThatItHasNotRun);
  CPPUNIT_TEST(IdleConnectionIsClosedWithoutAnAnswer);
  CPPUNIT_TEST(LargestBodyLosesItsConnection);
  CPPUNIT_TEST(ServersShareOneQuota);
  CPPUNIT_TEST(AnswersThatNobodyReadsCount);
  CPPUNIT_TEST(MemoryIsFreeAgainOnceRequestsAreHandled);
  CPPUNIT_TEST(TellsThatTheClientOfAHandledRequestIsGone);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NewConnectionTakesPlaceOfTheOneThatWaitsLongest() {
    Listen(Places(2));
    const auto first = Connect();
    const auto second = Connect();
    RunUntil(io_, [this] { return server_->connections() == 2; });
    const auto third = Connect();
    third->Write("GET /3 HTTP/1.1\r\n\r\n");
    AwaitOpen(1);
    AwaitEnd(first);
    CPPUNIT_ASSERT(!second->ended);
    CPPUNIT_ASSERT_EQUAL(std::string("/3"), open_[0].request.path);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         server_->counters().closed_for_place);
  }

  void WholeRequestKeepsThePlace() {
    Listen(Places(2));
    const auto handled = Connect();
    handled->Write("GET /1 HTTP/1.1\r\n\r\n");
    AwaitOpen(1);
    const auto silent = Connect();
    RunUntil(io_, [this] { return server_->connections() == 2; });
    const auto third = Connect();
    AwaitEnd(silent);
    open_[0].respond(Text("<1>"));
    AwaitText(handled, "<1>");
  }

  void UnfinishedRequestIsToldThatItHasNotRun() {
    Listen(Places(1));
    const auto slow = Connect();
    slow->Write("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    RunUntil(io_, [this] { return server_->open_requests() == 1; });
    const auto other = Connect();
    AwaitEnd(slow);
    ExpectNotRun(slow);
    CPPUNIT_ASSERT(open_.empty());
  }

  void IdleConnectionIsClosedWithoutAnAnswer() {
    Listen(Places(1));
    const auto idle = Connect();
    idle->Write("GET / HTTP/1.1\r\n\r\n");
    AwaitOpen(1);
    open_[0].respond(Text("<1>"));
    AwaitText(idle, "<1>");
    const auto other = Connect();
    AwaitEnd(idle);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountOf(idle->received, "HTTP/1.1"));
  }

  void LargestBodyLosesItsConnection() {
    ServerLimits limits = Places(10);
    limits.max_held_bytes = kLargeBody;
    Listen(limits);
    const auto small = Connect();
    small->Write("POST /s HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    RunUntil(io_, [this] { return server_->open_requests() == 1; });
    for (const char* framing :
         {"Content-Length: 102400\r\n\r\n",
          "Transfer-Encoding: chunked\r\n\r\n19000\r\n"}) {
      const auto large = Connect();
      large->Write(std::string("POST /l HTTP/1.1\r\n") + framing +
                   std::string(kLargeBody - 1, 'x'));
      AwaitEnd(large);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                         server_->counters().closed_for_memory);
    CPPUNIT_ASSERT(!small->ended);
    small->Write("0123456");
    AwaitOpen(1);
    CPPUNIT_ASSERT_EQUAL(std::string("/s"), open_[0].request.path);
  }

  void ServersShareOneQuota() {
    const auto quota = std::make_shared<core::MemoryQuota>(kLargeBody);
    const Handler handler = [](const Request&, const Responder& respond) {
      respond(Text("<other>"));
    };
    Server other(io_, Places(10), handler, {}, quota);
    Server own(io_, Places(10), handler, {}, quota);
    HttpError reason;
    const auto other_address = other.Listen(kAnyPort, &reason);
    const auto own_address = own.Listen(kAnyPort, &reason);
    const std::string head =
        "POST / HTTP/1.1\r\nContent-Length: 102400\r\n\r\n";
    const auto first = RawConnect(io_, *other_address);
    first->Write(head + std::string(kLargeBody / 2, 'x'));
    const auto second = RawConnect(io_, *own_address);
    second->Write(head + std::string(kLargeBody / 2, 'x'));
    RunUntil(io_, [&] { return first->ended && second->ended; });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, other.counters().closed_for_memory);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, own.counters().closed_for_memory);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, quota->held_bytes());
  }

  void AnswersThatNobodyReadsCount() {
    ServerLimits limits = Places(10);
    limits.max_held_bytes = std::size_t{32} * 1024 * 1024;
    Listen(limits);
    Socket deaf(io_.get_executor());
    deaf.connect(*ParseEndpoint(address_));
    const std::string request = "GET / HTTP/1.1\r\n\r\n";
    asio::write(deaf, asio::buffer(request));
    AwaitOpen(1);
    // More than the buffers of both sides take, and within the quota.
    open_[0].respond(Text(std::string(std::size_t{24} * 1024 * 1024, 'x')));
    const auto other = Connect();
    other->Write("GET / HTTP/1.1\r\n\r\n");
    AwaitOpen(2);
    open_[1].respond(Text(std::string(std::size_t{12} * 1024 * 1024, 'y')));
    RunUntil(io_, [this] { return server_->connections() == 1; });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         server_->counters().closed_for_memory);
  }

  void MemoryIsFreeAgainOnceRequestsAreHandled() {
    ServerLimits limits = Places(10);
    limits.max_held_bytes = 3 * kLargeBody;
    Listen(limits);
    const std::string request =
        "POST / HTTP/1.1\r\nContent-Length: 102400\r\n\r\n" +
        std::string(kLargeBody, 'x');
    std::vector<std::shared_ptr<RawConnection>> peers;
    for (std::size_t i = 1; i <= 8; ++i) {
      peers.push_back(Connect());
      peers.back()->Write(request);
      AwaitOpen(i);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         server_->counters().closed_for_memory);
  }

  void TellsThatTheClientOfAHandledRequestIsGone() {
    ServerLimits limits = Places(10);
    // Enough for one request that is being read, or three quiet connections.
    limits.max_held_bytes = std::size_t{7} * 1024;
    Listen(limits);
    const auto handled = Connect();
    handled->Write("GET / HTTP/1.1\r\n\r\n");
    AwaitOpen(1);
    const std::vector<std::shared_ptr<RawConnection>> silent = {
        Connect(), Connect(), Connect()};
    RunUntil(io_, [this] { return !gone_.empty(); });
    CPPUNIT_ASSERT_EQUAL(open_[0].request.id, gone_[0]);
    AwaitEnd(handled);
    CPPUNIT_ASSERT_EQUAL(std::string(), handled->received);
  }

 private:
  /// Limits under which nothing times out.
  static ServerLimits Places(std::size_t connections) {
    ServerLimits limits;
    limits.max_connections = connections;
    limits.header_timeout = kLong;
    limits.body_timeout = kLong;
    limits.idle_timeout = kLong;
    limits.write_timeout = kLong;
    return limits;
  }

  static void ExpectNotRun(const std::shared_ptr<RawConnection>& peer) {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         CountOf(peer->received, "HTTP/1.1 503 "));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         CountOf(peer->received, "Retry-After: 1\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         CountOf(peer->received, R"("outcome":"not_run")"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         CountOf(peer->received, "Connection: close\r\n"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerCrowdTest);

}  // namespace
}  // namespace tarragon::http
