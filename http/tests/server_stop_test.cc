#include <cppunit/extensions/HelperMacros.h>

#include "tests/server_fixture.h"

namespace tarragon::http {
namespace {

class ServerStopTest : public ServerFixture {
  CPPUNIT_TEST_SUITE(ServerStopTest);
  CPPUNIT_TEST(OpenRequestsAreAnswered);
  CPPUNIT_TEST(RequestThatArrivesIsServed);
  CPPUNIT_TEST(UnreadRequestIsServed);
  CPPUNIT_TEST(BacklogIsServed);
  CPPUNIT_TEST(IdleConnectionsAreClosed);
  CPPUNIT_TEST(CloseEndsAllAtOnce);
  CPPUNIT_TEST(MayBeDestroyedByItsHandler);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OpenRequestsAreAnswered() {
    Listen(ServerLimits());
    const auto peer = Connect();
    peer->Write("GET /1 HTTP/1.1\r\n\r\n");
    AwaitOpen(1);
    server_->StopAccepting();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server_->open_requests());
    CPPUNIT_ASSERT_THROW(Connect(), boost::system::system_error);
    open_[0].respond(Text("<1>"));
    AwaitEnd(peer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountOf(peer->received, "<1>"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         CountOf(peer->received, "Connection: close"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->open_requests());
    peer->Close();
    RunUntil(io_, [this] { return server_->connections() == 0; });
  }

  void RequestThatArrivesIsServed() {
    Listen(ServerLimits());
    const auto peer = Connect();
    peer->Write("GET /1 HT");
    RunUntil(io_, [this] { return server_->open_requests() == 1; });
    server_->StopAccepting();
    peer->Write("TP/1.1\r\n\r\n");
    AwaitOpen(1);
    open_[0].respond(Text("<1>"));
    AwaitEnd(peer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountOf(peer->received, "<1>"));
  }

  void UnreadRequestIsServed() {
    echo_ = true;
    Listen(ServerLimits());
    const auto peer = Connect();
    peer->Write("GET /1 HTTP/1.1\r\n\r\n");
    AwaitText(peer, "/1|");
    // The bytes of the second request are there, but the server has not run.
    peer->Write("GET /2 HTTP/1.1\r\n\r\n");
    server_->StopAccepting();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server_->open_requests());
    AwaitEnd(peer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountOf(peer->received, "/2|"));
  }

  void BacklogIsServed() {
    echo_ = true;
    Listen(ServerLimits());
    // Connected, but the server has not run to accept them.
    const auto first = Connect();
    const auto second = Connect();
    first->Write("GET /1 HTTP/1.1\r\n\r\n");
    server_->StopAccepting();
    second->Write("GET /2 HTTP/1.1\r\n\r\n");
    AwaitEnd(first);
    AwaitEnd(second);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountOf(first->received, "/1|"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountOf(second->received, "/2|"));
  }

  void IdleConnectionsAreClosed() {
    echo_ = true;
    Listen(ServerLimits());
    const auto peer = Connect();
    peer->Write("GET /1 HTTP/1.1\r\n\r\n");
    AwaitText(peer, "/1|");
    RunUntil(io_, [this] { return server_->open_requests() == 0; });
    server_->StopAccepting();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->connections());
    AwaitEnd(peer);
  }

  void CloseEndsAllAtOnce() {
    Listen(ServerLimits());
    const auto peer = Connect();
    peer->Write("GET /1 HTTP/1.1\r\n\r\n");
    AwaitOpen(1);
    server_->Close();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->connections());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->open_requests());
    open_[0].respond(Text("<1>"));
    AwaitEnd(peer);
    CPPUNIT_ASSERT_EQUAL(std::string(), peer->received);
  }

  void MayBeDestroyedByItsHandler() {
    std::unique_ptr<Server> server;
    server = std::make_unique<Server>(
        io_, ServerLimits(),
        [&server](const Request&, const Responder& respond) {
          server.reset();
          respond(Response());
        });
    HttpError reason;
    const auto bound = server->Listen(kAnyPort, &reason);
    CPPUNIT_ASSERT(bound.has_value());
    const auto peer = RawConnect(io_, *bound);
    peer->Write("GET /1 HTTP/1.1\r\n\r\n");
    AwaitEnd(peer);
    CPPUNIT_ASSERT(server == nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerStopTest);

}  // namespace
}  // namespace tarragon::http
