#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <random>

#include "tests/server_fixture.h"

namespace tarragon::http {
namespace {

constexpr core::Duration kShort = std::chrono::milliseconds(30);
constexpr core::Duration kLong = std::chrono::hours(1);

/// More bytes than the buffers of both sides take.
constexpr std::size_t kHugeBody = std::size_t{64} * 1024 * 1024;

/// Limits under which only what a test shortens can time out.
ServerLimits Patient() {
  ServerLimits limits;
  limits.header_timeout = kLong;
  limits.body_timeout = kLong;
  limits.idle_timeout = kLong;
  limits.write_timeout = kLong;
  return limits;
}

constexpr char kBothLengths[] =
    "POST / HTTP/1.1\r\nContent-Length: 1\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

class ServerLimitsTest : public ServerFixture {
  CPPUNIT_TEST_SUITE(ServerLimitsTest);
  CPPUNIT_TEST(RefusesLongStatedBody);
  CPPUNIT_TEST(RefusesLongChunkedBody);
  CPPUNIT_TEST(TakesBodyOfExactlyTheLimit);
  CPPUNIT_TEST(RefusesLongHeader);
  CPPUNIT_TEST(RefusesManyHeaderFields);
  CPPUNIT_TEST(RefusesLongRequestLine);
  CPPUNIT_TEST(RefusesMalformedRequests);
  CPPUNIT_TEST(AnswersWhatCameBeforeGarbage);
  CPPUNIT_TEST(SurvivesRandomBytes);
  CPPUNIT_TEST(SlowHeaderTimesOut);
  CPPUNIT_TEST(SlowBodyTimesOut);
  CPPUNIT_TEST(SilentConnectionIsClosed);
  CPPUNIT_TEST(IdleConnectionIsClosed);
  CPPUNIT_TEST(HandlingDoesNotTimeOut);
  CPPUNIT_TEST(PeerThatDoesNotReadIsDropped);
  CPPUNIT_TEST(RefusesConnectionsOverTheLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RefusesLongStatedBody() {
    ServerLimits limits = Patient();
    limits.max_body_bytes = 100;
    Listen(limits);
    const auto peer = Connect();
    peer->Write("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n" +
                std::string(101, 'x'));
    ExpectRefusal(peer, "413");
  }

  void RefusesLongChunkedBody() {
    ServerLimits limits = Patient();
    limits.max_body_bytes = 100;
    Listen(limits);
    const auto peer = Connect();
    std::string text = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 11; ++i) text += "a\r\n0123456789\r\n";
    peer->Write(text + "0\r\n\r\n");
    ExpectRefusal(peer, "413");
  }

  void TakesBodyOfExactlyTheLimit() {
    ServerLimits limits = Patient();
    limits.max_body_bytes = 300000;
    Listen(limits);
    const auto peer = Connect();
    const std::string body(limits.max_body_bytes, 'x');
    peer->Write("POST / HTTP/1.1\r\nContent-Length: 300000\r\n\r\n" + body);
    AwaitOpen(1);
    CPPUNIT_ASSERT(body == open_[0].request.body);
  }

  void RefusesLongHeader() {
    ServerLimits limits = Patient();
    limits.max_header_bytes = 1000;
    Listen(limits);
    const auto peer = Connect();
    peer->Write("GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n");
    ExpectRefusal(peer, "431");
    const auto other = Connect();
    std::string many = "GET / HTTP/1.1\r\n";
    for (int i = 0; i < 100000; ++i) many += "X: 123456789\r\n";
    other->Write(many);
    ExpectRefusal(other, "431");
  }

  void RefusesManyHeaderFields() {
    ServerLimits limits = Patient();
    limits.max_header_fields = 3;
    Listen(limits);
    const std::string head = "POST / HTTP/1.1\r\nContent-Length: 6\r\n";
    const auto peer = Connect();
    // Lines of the body are no fields.
    peer->Write(head + "a: 1\r\nb:\r\n\r\n\n\n\n\n\n\n");
    AwaitOpen(1);
    const auto other = Connect();
    other->Write(head + "a:\r\nb:\r\nc:\r\n");
    ExpectRefusal(other, "431");
  }

  void RefusesLongRequestLine() {
    ServerLimits limits = Patient();
    limits.max_header_bytes = 1000;
    Listen(limits);
    const auto peer = Connect();
    peer->Write("GET /" + std::string(5000, 'x'));
    ExpectRefusal(peer, "431");
  }

  void RefusesMalformedRequests() {
    Listen(Patient());
    for (const char* text :
         {"nonsense\r\n\r\n", "GET / HTTP/2.0\r\n\r\n", "GET  HTTP/1.1\r\n\r\n",
          "GET nowhere HTTP/1.1\r\n\r\n", "GET /%zz HTTP/1.1\r\n\r\n",
          "GET / HTTP/1.1\r\nno colon\r\n\r\n",
          "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
          "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
          kBothLengths,
          "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
      const auto peer = Connect();
      peer->Write(text);
      ExpectRefusal(peer, "400");
    }
  }

  void AnswersWhatCameBeforeGarbage() {
    Listen(Patient());
    const auto peer = Connect();
    peer->Write("GET /1 HTTP/1.1\r\n\r\n\x01\x02\x03\r\n\r\n");
    AwaitOpen(1);
    open_[0].respond(Text("<1>"));
    AwaitEnd(peer);
    CPPUNIT_ASSERT(peer->received.find("<1>") <
                   peer->received.find("HTTP/1.1 400 "));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountOf(peer->received, " 400 "));
  }

  void SurvivesRandomBytes() {
    echo_ = true;
    Listen(Patient());
    std::mt19937 random(7);
    for (int round = 0; round < 200; ++round) {
      const auto peer = Connect();
      std::string text =
          "POST /v1/jobs?a=b HTTP/1.1\r\nHost: h\r\n"
          "Content-Length: 10\r\n\r\n0123456789";
      for (int flips = 0; flips < 1 + round % 8; ++flips) {
        text[random() % text.size()] = static_cast<char>(random() % 256);
      }
      peer->Write(text);
      peer->ShutdownSend();
      AwaitEnd(peer);
    }
    RunUntil(io_, [this] { return server_->connections() == 0; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->open_requests());
  }

  void SlowHeaderTimesOut() {
    ServerLimits limits = Patient();
    limits.header_timeout = kShort;
    Listen(limits);
    const auto peer = Connect();
    peer->Write("GET / HTTP/1.1\r\nX:");
    ExpectRefusal(peer, "408");
  }

  void SlowBodyTimesOut() {
    ServerLimits limits = Patient();
    limits.body_timeout = kShort;
    Listen(limits);
    const auto peer = Connect();
    peer->Write("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    ExpectRefusal(peer, "408");
  }

  void SilentConnectionIsClosed() {
    ServerLimits limits = Patient();
    limits.header_timeout = kShort;
    Listen(limits);
    const auto peer = Connect();
    AwaitEnd(peer);
    CPPUNIT_ASSERT_EQUAL(std::string(), peer->received);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->connections());
  }

  void IdleConnectionIsClosed() {
    ServerLimits limits = Patient();
    limits.idle_timeout = kShort;
    echo_ = true;
    Listen(limits);
    const auto peer = Connect();
    peer->Write("GET /x HTTP/1.1\r\n\r\n");
    AwaitEnd(peer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountOf(peer->received, "HTTP/1.1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountOf(peer->received, "/x|"));
  }

  void HandlingDoesNotTimeOut() {
    ServerLimits limits;
    limits.header_timeout = kShort;
    limits.body_timeout = kShort;
    limits.idle_timeout = kShort;
    limits.write_timeout = kShort;
    Listen(limits);
    const auto peer = Connect();
    peer->Write("POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx");
    AwaitOpen(1);
    bool waited = false;
    Timer timer(io_.get_executor(), 5 * kShort);
    timer.async_wait([&waited](ErrorCode) { waited = true; });
    RunUntil(io_, [&waited] { return waited; });
    CPPUNIT_ASSERT(!peer->ended);
    open_[0].respond(Text("<answer>"));
    AwaitText(peer, "<answer>");
  }

  void PeerThatDoesNotReadIsDropped() {
    ServerLimits limits = Patient();
    limits.write_timeout = kShort;
    Listen(limits);
    Socket deaf(io_.get_executor());
    deaf.connect(*ParseEndpoint(address_));
    const std::string request = "GET / HTTP/1.1\r\n\r\n";
    asio::write(deaf, asio::buffer(request));
    AwaitOpen(1);
    open_[0].respond(Text(std::string(kHugeBody, 'x')));
    RunUntil(io_, [this] { return server_->connections() == 0; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->open_requests());
  }

  void RefusesConnectionsOverTheLimit() {
    ServerLimits limits = Patient();
    limits.max_connections = 2;
    Listen(limits);
    const auto first = Connect();
    const auto second = Connect();
    first->Write("GET / HTTP/1.1\r\n\r\n");
    second->Write("GET / HTTP/1.1\r\n\r\n");
    AwaitOpen(2);
    const auto third = Connect();
    third->Write("GET / HTTP/1.1\r\n\r\n");
    ExpectRefusal(third, "503");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         CountOf(third->received, "Retry-After: 1"));
    third->Close();
    first->Reset();
    RunUntil(io_, [this] { return server_->connections() == 1; });
    const auto fourth = Connect();
    fourth->Write("GET / HTTP/1.1\r\n\r\n");
    AwaitOpen(3);
    open_[2].respond(Text("<4>"));
    AwaitText(fourth, "<4>");
  }

 private:
  /// The peer gets this status, with a body that says not run, and an end; the
  /// handler sees nothing.
  void ExpectRefusal(const std::shared_ptr<RawConnection>& peer,
                     const std::string& status) {
    const std::size_t open = open_.size();
    AwaitEnd(peer);
    CPPUNIT_ASSERT_EQUAL("HTTP/1.1 " + status + " ",
                         peer->received.substr(0, 13));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountOf(peer->received, "HTTP/1.1 "));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         CountOf(peer->received, "Connection: close"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         CountOf(peer->received, R"("outcome":"not_run")"));
    CPPUNIT_ASSERT_EQUAL(open, open_.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerLimitsTest);

}  // namespace
}  // namespace tarragon::http
