#include "tarragon/http/client.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/client_fixture.h"

namespace tarragon::http {
namespace {

/// More bytes than the buffers of both sides take.
constexpr std::size_t kHugeBody = std::size_t{64} * 1024 * 1024;

class ClientTest : public ClientFixture {
  CPPUNIT_TEST_SUITE(ClientTest);
  CPPUNIT_TEST(SendsTheWholeRequest);
  CPPUNIT_TEST(ReadsTheWholeResponse);
  CPPUNIT_TEST(ReadsChunkedResponse);
  CPPUNIT_TEST(SkipsInterimResponses);
  CPPUNIT_TEST(ReadsResponsesWithoutBody);
  CPPUNIT_TEST(ReadsAnswerThatComesBeforeTheRequestIsWritten);
  CPPUNIT_TEST(ReusesTheConnection);
  CPPUNIT_TEST(UsesOneConnectionForEachOpenRequest);
  CPPUNIT_TEST(DoesNotReuseWhatThePeerCloses);
  CPPUNIT_TEST(NoticesClosedIdleConnection);
  CPPUNIT_TEST(NoticesGarbageOnIdleConnection);
  CPPUNIT_TEST(DoesNotReuseOldConnections);
  CPPUNIT_TEST(KeepsNoMoreThanAllowed);
  CPPUNIT_TEST(KeepsNothingIfToldSo);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SendsTheWholeRequest() {
    MakeClient(Patient());
    Request request = Post("body");
    request.path = "/a b/c";
    request.query["d e"] = "f&g";
    request.headers["Tarragon-Key"] = "H.1";
    request.headers["Content-Length"] = "99";
    Send(request);
    const auto peer = AwaitRequest(0, "\r\n\r\nbody");
    CPPUNIT_ASSERT_EQUAL("POST /a%20b/c?d%20e=f%26g HTTP/1.1\r\nHost: " +
                             peer_.address().value() +
                             "\r\nTarragon-Key: H.1\r\nContent-Length: 4"
                             "\r\n\r\nbody",
                         peer->received);
  }

  void ReadsTheWholeResponse() {
    MakeClient(Patient());
    const auto result = Send(Get("/x"));
    AwaitRequest(0, "/x")->Write(
        "HTTP/1.1 409 Conflict\r\nX-One: 1\r\nContent-Type: text/plain\r\n"
        "x-one: 2\r\nContent-Length: 4\r\n\r\nbody");
    ExpectBody(result, "body");
    CPPUNIT_ASSERT_EQUAL(409, result->response->status);
    CPPUNIT_ASSERT_EQUAL(std::string("text/plain"),
                         result->response->content_type);
    CPPUNIT_ASSERT_EQUAL(std::string("1, 2"),
                         result->response->headers.at("x-one"));
  }

  void ReadsChunkedResponse() {
    MakeClient(Patient());
    const auto result = Send(Get("/x"));
    AwaitRequest(0, "/x")->Write(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    ExpectBody(result, "abcde");
  }

  void SkipsInterimResponses() {
    MakeClient(Patient());
    const auto result = Send(Get("/x"));
    AwaitRequest(0, "/x")->Write(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" +
        Ok("body"));
    ExpectBody(result, "body");
  }

  void ReadsResponsesWithoutBody() {
    MakeClient(Patient());
    Request head = Get("/head");
    head.method = "HEAD";
    const auto first = Send(head);
    AwaitRequest(0, "/head")
        ->Write("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n");
    ExpectBody(first, "");
    const auto second = Send(Get("/second"));
    AwaitRequest(0, "/second")->Write("HTTP/1.1 304 Not Modified\r\n\r\n");
    ExpectBody(second, "");
    CPPUNIT_ASSERT_EQUAL(304, second->response->status);
    const auto third = Send(Get("/third"));
    AwaitRequest(0, "/third")->Write("HTTP/1.1 204 No Content\r\n\r\n");
    ExpectBody(third, "");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, peer_.connections.size());
  }

  void ReadsAnswerThatComesBeforeTheRequestIsWritten() {
    MakeClient(Patient());
    const auto result = Send(Post(std::string(kHugeBody, 'x')));
    const auto peer = AwaitRequest(0, "POST /post");
    peer->Write(Ok("enough"));
    ExpectBody(result, "enough");
    RunUntil(io_, [&] { return peer->ended; });
  }

  void ReusesTheConnection() {
    MakeClient(Patient());
    for (int i = 0; i < 5; ++i) {
      const std::string path = "/" + std::to_string(i);
      const auto result = Send(Get(path));
      AwaitRequest(0, path)->Write(Ok(path));
      ExpectBody(result, path);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, peer_.connections.size());
  }

  void UsesOneConnectionForEachOpenRequest() {
    MakeClient(Patient());
    const auto first = Send(Get("/1"));
    const auto second = Send(Get("/2"));
    RunUntil(io_, [this] { return peer_.connections.size() == 2; });
    RunUntil(io_, [this] { return !peer_.connections[1]->received.empty(); });
    RunUntil(io_, [this] { return !peer_.connections[0]->received.empty(); });
    for (const auto& connection : peer_.connections) {
      connection->Write(Ok(connection->received.substr(0, 6)));
    }
    ExpectBody(first, "GET /1");
    ExpectBody(second, "GET /2");
  }

  void DoesNotReuseWhatThePeerCloses() {
    MakeClient(Patient());
    const auto first = Send(Get("/1"));
    AwaitRequest(0, "/1")->Write(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx");
    ExpectBody(first, "x");
    const auto second = Send(Get("/2"));
    AwaitRequest(1, "/2")->Write(Ok("y"));
    ExpectBody(second, "y");
  }

  void NoticesClosedIdleConnection() {
    MakeClient(Patient());
    const auto first = Send(Get("/1"));
    AwaitRequest(0, "/1")->Write(Ok("x"));
    ExpectBody(first, "x");
    // The client has not run since, so that only its check can tell.
    peer_.connections[0]->Close();
    const auto second = Send(Get("/2"));
    AwaitRequest(1, "/2")->Write(Ok("y"));
    ExpectBody(second, "y");
    // Here its pending wait tells.
    peer_.connections[1]->ShutdownSend();
    RunUntil(io_, [this] { return peer_.connections[1]->ended; });
    const auto third = Send(Get("/3"));
    AwaitRequest(2, "/3")->Write(Ok("z"));
    ExpectBody(third, "z");
  }

  void NoticesGarbageOnIdleConnection() {
    MakeClient(Patient());
    const auto first = Send(Get("/1"));
    AwaitRequest(0, "/1")->Write(Ok("x") + Ok("nobody asked"));
    ExpectBody(first, "x");
    const auto second = Send(Get("/2"));
    AwaitRequest(1, "/2")->Write(Ok("y"));
    ExpectBody(second, "y");
    peer_.connections[1]->Write("HTTP/1.1 408 Request Timeout\r\n\r\n");
    RunUntil(io_, [this] { return peer_.connections[1]->ended; });
    const auto third = Send(Get("/3"));
    AwaitRequest(2, "/3")->Write(Ok("z"));
    ExpectBody(third, "z");
  }

  void DoesNotReuseOldConnections() {
    ClientLimits limits = Patient();
    limits.max_idle_age = core::Duration(1);
    MakeClient(limits);
    const auto first = Send(Get("/1"));
    AwaitRequest(0, "/1")->Write(Ok("x"));
    ExpectBody(first, "x");
    RunUntil(io_, [this] { return peer_.connections[0]->ended; });
    const auto second = Send(Get("/2"));
    AwaitRequest(1, "/2")->Write(Ok("y"));
    ExpectBody(second, "y");
  }

  void KeepsNoMoreThanAllowed() {
    ClientLimits limits = Patient();
    limits.max_idle_per_host = 2;
    MakeClient(limits);
    std::vector<std::shared_ptr<Result>> results(4);
    for (auto& result : results) result = Send(Get("/x"));
    for (std::size_t i = 0; i < 4; ++i) AwaitRequest(i, "/x")->Write(Ok("x"));
    for (const auto& result : results) ExpectBody(result, "x");
    RunUntil(io_, [this] { return Ended() == 2; });
  }

  void KeepsNothingIfToldSo() {
    ClientLimits limits = Patient();
    limits.max_idle_per_host = 0;
    MakeClient(limits);
    const auto result = Send(Get("/x"));
    AwaitRequest(0, "/x")->Write(Ok("x"));
    ExpectBody(result, "x");
    RunUntil(io_, [this] { return Ended() == 1; });
  }

 private:
  std::size_t Ended() const {
    std::size_t ended = 0;
    for (const auto& connection : peer_.connections) {
      if (connection->ended) ++ended;
    }
    return ended;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientTest);

}  // namespace
}  // namespace tarragon::http
