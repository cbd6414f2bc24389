#include <cppunit/extensions/HelperMacros.h>

#include "tests/server_fixture.h"

namespace tarragon::http {
namespace {

/// Clients that leave before their answer.
class ServerLeaveTest : public ServerFixture {
  CPPUNIT_TEST_SUITE(ServerLeaveTest);
  CPPUNIT_TEST(TellsOfAReset);
  CPPUNIT_TEST(TellsOfACloseIfAsked);
  CPPUNIT_TEST(AnswersAHalfClosedPeerUnlessAsked);
  CPPUNIT_TEST(DropsARequestWhoseClientHasLeft);
  CPPUNIT_TEST(KeepsAPipelinedRequest);
  CPPUNIT_TEST(TellsNothingOfAnsweredRequests);
  CPPUNIT_TEST_SUITE_END();

 public:
  static ServerLimits HalfCloseIsGone() {
    ServerLimits limits;
    limits.half_close_is_gone = true;
    return limits;
  }

  void AwaitGone() {
    RunUntil(io_, [this] { return !gone_.empty(); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gone_.size());
    CPPUNIT_ASSERT_EQUAL(open_.at(0).request.id, gone_[0]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->open_requests());
  }

  void TellsOfAReset() {
    Listen(ServerLimits());
    const auto peer = Connect();
    peer->Write("GET /1 HTTP/1.1\r\n\r\n");
    AwaitOpen(1);
    peer->Reset();
    AwaitGone();
  }

  void TellsOfACloseIfAsked() {
    Listen(HalfCloseIsGone());
    const auto peer = Connect();
    peer->Write("GET /1 HTTP/1.1\r\n\r\n");
    AwaitOpen(1);
    peer->Close();
    AwaitGone();
    // The answer comes too late and goes nowhere.
    open_[0].respond(Text("<1>"));
  }

  void AnswersAHalfClosedPeerUnlessAsked() {
    Listen(ServerLimits());
    const auto peer = Connect();
    peer->Write("GET /1 HTTP/1.1\r\n\r\n");
    AwaitOpen(1);
    peer->ShutdownSend();
    open_[0].respond(Text("<1>"));
    AwaitText(peer, "<1>");
    CPPUNIT_ASSERT(gone_.empty());
  }

  void DropsARequestWhoseClientHasLeft() {
    Listen(HalfCloseIsGone());
    const std::string address = address_.value();
    const std::string port = address.substr(address.rfind(':') + 1);
    Socket client(io_);
    client.connect({asio::ip::make_address("127.0.0.1"),
                    static_cast<std::uint16_t>(std::stoi(port))});
    asio::write(client, asio::buffer(std::string("GET /1 HTTP/1.1\r\n\r\n")));
    client.close();
    // The server reads only now.
    const auto other = Connect();
    other->Write("GET /2 HTTP/1.1\r\n\r\n");
    AwaitOpen(1);
    RunUntil(io_, [this] { return server_->connections() == 1; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, open_.size());
    CPPUNIT_ASSERT_EQUAL(std::string("/2"), open_[0].request.path);
  }

  void KeepsAPipelinedRequest() {
    Listen(HalfCloseIsGone());
    const auto peer = Connect();
    peer->Write("GET /1 HTTP/1.1\r\n\r\n");
    AwaitOpen(1);
    peer->Write("GET /2 HTTP/1.1\r\n\r\n");
    open_[0].respond(Text("<1>"));
    AwaitText(peer, "<1>");
    AwaitOpen(2);
    CPPUNIT_ASSERT(gone_.empty());
    open_[1].respond(Text("<2>"));
    AwaitText(peer, "<2>");
  }

  void TellsNothingOfAnsweredRequests() {
    Listen(HalfCloseIsGone());
    const auto peer = Connect();
    peer->Write("GET /1 HTTP/1.1\r\n\r\n");
    AwaitOpen(1);
    open_[0].respond(Text("<1>"));
    AwaitText(peer, "<1>");
    peer->Close();
    RunUntil(io_, [this] { return server_->connections() == 0; });
    CPPUNIT_ASSERT(gone_.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerLeaveTest);

}  // namespace
}  // namespace tarragon::http
