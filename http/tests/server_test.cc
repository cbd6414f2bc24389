#include "tarragon/http/server.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/server_fixture.h"

namespace tarragon::http {
namespace {

class ServerTest : public ServerFixture {
  CPPUNIT_TEST_SUITE(ServerTest);
  CPPUNIT_TEST(HandsOverTheWholeRequest);
  CPPUNIT_TEST(KeepsTheConnection);
  CPPUNIT_TEST(ClosesWhenAsked);
  CPPUNIT_TEST(AnswersHttp10);
  CPPUNIT_TEST(AnswersPipelinedRequestsInOrder);
  CPPUNIT_TEST(HalfClosedPeersGetTheirAnswers);
  CPPUNIT_TEST(ReadsChunkedBodies);
  CPPUNIT_TEST(ContinuesWhenExpected);
  CPPUNIT_TEST(SendsNoBodyForHead);
  CPPUNIT_TEST(SendsNoBodyWithoutContent);
  CPPUNIT_TEST(LeavesOutMalformedHeaders);
  CPPUNIT_TEST(FirstAnswerCounts);
  CPPUNIT_TEST(ForgottenRequestsGet500);
  CPPUNIT_TEST(StatusZeroClosesWithoutAnswer);
  CPPUNIT_TEST(WrongStatedLengthClosesTheConnection);
  CPPUNIT_TEST(ResetReleasesTheConnection);
  CPPUNIT_TEST(RefusesBadAddresses);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HandsOverTheWholeRequest() {
    Listen(ServerLimits());
    const auto peer = Connect();
    peer->Write(
        "PUT /a%20b?c=d HTTP/1.1\r\nHost: h\r\nX-One: 1\r\nx-ONE: 2\r\n"
        "Content-Length: 3\r\n\r\nxyz");
    AwaitOpen(1);
    const Request& request = open_[0].request;
    CPPUNIT_ASSERT_EQUAL(std::string("PUT"), request.method);
    CPPUNIT_ASSERT_EQUAL(std::string("/a b"), request.path);
    CPPUNIT_ASSERT_EQUAL(std::string("d"), request.query.at("c"));
    CPPUNIT_ASSERT_EQUAL(std::string("1, 2"), request.headers.at("x-one"));
    CPPUNIT_ASSERT_EQUAL(std::string("xyz"), request.body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, request.peer.find("127.0.0.1:"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server_->open_requests());
    Response response = Text("answer");
    response.status = 409;
    response.headers["ETag"] = "\"7\"";
    open_[0].respond(response);
    AwaitText(peer, "answer");
    CPPUNIT_ASSERT_EQUAL(
        std::string("HTTP/1.1 409 Conflict\r\nETag: \"7\"\r\n"
                    "Content-Type: text/plain\r\nContent-Length: 6\r\n\r\n"
                    "answer"),
        peer->received);
    RunUntil(io_, [this] { return server_->open_requests() == 0; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server_->connections());
  }

  void KeepsTheConnection() {
    echo_ = true;
    Listen(ServerLimits());
    const auto peer = Connect();
    for (std::size_t i = 1; i <= 5; ++i) {
      peer->Write("GET /x HTTP/1.1\r\n\r\n");
      AwaitText(peer, "/x|", i);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server_->connections());
    CPPUNIT_ASSERT(!peer->ended);
    peer->Close();
    RunUntil(io_, [this] { return server_->connections() == 0; });
  }

  void ClosesWhenAsked() {
    echo_ = true;
    Listen(ServerLimits());
    const auto peer = Connect();
    peer->Write("GET /x HTTP/1.1\r\nConnection: close\r\n\r\n");
    AwaitEnd(peer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         CountOf(peer->received, "Connection: close"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountOf(peer->received, "/x|"));
  }

  void AnswersHttp10() {
    echo_ = true;
    Listen(ServerLimits());
    const auto peer = Connect();
    peer->Write("GET /x HTTP/1.0\r\n\r\n");
    AwaitEnd(peer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountOf(peer->received, "/x|"));
  }

  void AnswersPipelinedRequestsInOrder() {
    Listen(ServerLimits());
    const auto peer = Connect();
    std::string all;
    for (int i = 0; i < 20; ++i) {
      all += "POST /" + std::to_string(i) +
             " HTTP/1.1\r\nContent-Length: 2\r\n\r\nab";
    }
    peer->Write(all);
    for (std::size_t i = 0; i < 20; ++i) {
      AwaitOpen(i + 1);
      CPPUNIT_ASSERT_EQUAL("/" + std::to_string(i), open_[i].request.path);
      CPPUNIT_ASSERT_EQUAL(std::string("ab"), open_[i].request.body);
      open_[i].respond(Text("<" + std::to_string(i) + ">"));
    }
    AwaitText(peer, "<19>");
    std::size_t at = 0;
    for (int i = 0; i < 20; ++i) {
      at = peer->received.find("<" + std::to_string(i) + ">", at);
      CPPUNIT_ASSERT(at != std::string::npos);
    }
  }

  void HalfClosedPeersGetTheirAnswers() {
    Listen(ServerLimits());
    const auto peer = Connect();
    peer->Write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    AwaitOpen(1);
    peer->ShutdownSend();
    const auto second = Connect();
    second->Write("GET /other HTTP/1.1\r\n\r\n");
    AwaitOpen(2);
    open_[0].respond(Text("<1>"));
    AwaitOpen(3);
    open_[2].respond(Text("<2>"));
    AwaitEnd(peer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountOf(peer->received, "<1>"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountOf(peer->received, "<2>"));
  }

  void ReadsChunkedBodies() {
    echo_ = true;
    Listen(ServerLimits());
    const auto peer = Connect();
    peer->Write(
        "POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n");
    AwaitText(peer, "/c|abcde");
  }

  void ContinuesWhenExpected() {
    echo_ = true;
    Listen(ServerLimits());
    const auto peer = Connect();
    peer->Write(
        "POST /c HTTP/1.1\r\nContent-Length: 3\r\n"
        "Expect: 100-continue\r\n\r\n");
    AwaitText(peer, "HTTP/1.1 100 Continue\r\n\r\n");
    peer->Write("abc");
    AwaitText(peer, "/c|abc");
  }

  void SendsNoBodyForHead() {
    Listen(ServerLimits());
    const auto peer = Connect();
    peer->Write("HEAD /h HTTP/1.1\r\n\r\nGET /g HTTP/1.1\r\n\r\n");
    AwaitOpen(1);
    open_[0].respond(Text("secret"));
    AwaitOpen(2);
    open_[1].respond(Text("shown"));
    AwaitText(peer, "shown");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         CountOf(peer->received, "Content-Length: 6"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountOf(peer->received, "secret"));
  }

  void SendsNoBodyWithoutContent() {
    Listen(ServerLimits());
    const auto peer = Connect();
    peer->Write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    AwaitOpen(1);
    Response response = Text("secret");
    response.status = 304;
    open_[0].respond(response);
    AwaitOpen(2);
    response.status = 204;
    open_[1].respond(response);
    AwaitText(peer, "204 No Content\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountOf(peer->received, "secret"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountOf(peer->received, "Content-"));
  }

  void LeavesOutMalformedHeaders() {
    Listen(ServerLimits());
    const auto peer = Connect();
    peer->Write("GET /1 HTTP/1.1\r\n\r\n");
    AwaitOpen(1);
    Response response = Text("body");
    response.headers["X-Bad"] = "a\r\nX-Injected: b";
    response.headers["X Bad"] = "a";
    response.headers["Transfer-Encoding"] = "chunked";
    response.headers["X-Good"] = "a";
    open_[0].respond(response);
    AwaitText(peer, "body");
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountOf(peer->received, "Injected"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountOf(peer->received, "X Bad"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountOf(peer->received, "chunked"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountOf(peer->received, "X-Good: a"));
  }

  void FirstAnswerCounts() {
    Listen(ServerLimits());
    const auto peer = Connect();
    peer->Write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    AwaitOpen(1);
    open_[0].respond(Text("<first>"));
    open_[0].respond(Text("<second>"));
    AwaitOpen(2);
    open_[0].respond(Text("<third>"));
    open_[1].respond(Text("<last>"));
    AwaitText(peer, "<last>");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, CountOf(peer->received, "HTTP/1.1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountOf(peer->received, "<first>"));
  }

  void ForgottenRequestsGet500() {
    Listen(ServerLimits());
    const auto peer = Connect();
    peer->Write("GET /1 HTTP/1.1\r\n\r\n");
    AwaitOpen(1);
    open_.clear();
    AwaitText(peer, "HTTP/1.1 500 ");
  }

  void StatusZeroClosesWithoutAnswer() {
    Listen(ServerLimits());
    const auto peer = Connect();
    peer->Write("GET /1 HTTP/1.1\r\n\r\n");
    AwaitOpen(1);
    Response nothing;
    nothing.status = 0;
    open_[0].respond(nothing);
    AwaitEnd(peer);
    CPPUNIT_ASSERT_EQUAL(std::string(), peer->received);
  }

  void WrongStatedLengthClosesTheConnection() {
    Listen(ServerLimits());
    const auto peer = Connect();
    peer->Write("GET /1 HTTP/1.1\r\n\r\n");
    AwaitOpen(1);
    Response response = Text("short");
    response.headers["Content-Length"] = "50";
    open_[0].respond(response);
    AwaitEnd(peer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         CountOf(peer->received, "Content-Length: 50"));
  }

  void ResetReleasesTheConnection() {
    Listen(ServerLimits());
    const auto peer = Connect();
    peer->Write("GET /1 HTTP/1.1\r\n\r\n");
    AwaitOpen(1);
    peer->Reset();
    RunUntil(io_, [this] { return server_->connections() == 0; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->open_requests());
    open_[0].respond(Text("too late"));
  }

  void RefusesBadAddresses() {
    Listen(ServerLimits());
    Server other(io_, ServerLimits(), [](const Request&, const Responder&) {});
    HttpError reason;
    CPPUNIT_ASSERT(!other.Listen(core::Address("nowhere"), &reason));
    CPPUNIT_ASSERT(reason.kind == HttpErrorKind::kBadAddress);
    // Another server listens there.
    CPPUNIT_ASSERT(!other.Listen(address_, &reason));
    CPPUNIT_ASSERT(reason.kind == HttpErrorKind::kListenFailed);
    CPPUNIT_ASSERT(!server_->Listen(kAnyPort, &reason));
    CPPUNIT_ASSERT(reason.kind == HttpErrorKind::kListenFailed);
    // A failed attempt leaves the server free for another.
    CPPUNIT_ASSERT(other.Listen(kAnyPort, &reason).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerTest);

}  // namespace
}  // namespace tarragon::http
