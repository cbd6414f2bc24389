#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <random>
#include <vector>

#include "tests/client_fixture.h"

namespace tarragon::http {
namespace {

class ClientFailureTest : public ClientFixture {
  CPPUNIT_TEST_SUITE(ClientFailureTest);
  CPPUNIT_TEST(RefusesBadAddresses);
  CPPUNIT_TEST(RefusesMalformedRequests);
  CPPUNIT_TEST(RefusedConnectIsNotSent);
  CPPUNIT_TEST(SlowConnectIsNotSent);
  CPPUNIT_TEST(TimeoutWhileConnectingIsNotSent);
  CPPUNIT_TEST(SilenceIsNoAnswer);
  CPPUNIT_TEST(SlowBodyIsNoAnswer);
  CPPUNIT_TEST(CloseBeforeTheAnswerIsNoAnswer);
  CPPUNIT_TEST(ResetBeforeTheAnswerIsNoAnswer);
  CPPUNIT_TEST(BrokenReusedConnectionIsNoAnswer);
  CPPUNIT_TEST(UsesNoConnectionThatWentSilentWhileIdle);
  CPPUNIT_TEST(KeepsConnectionsThatAnsweredAfterALostRequest);
  CPPUNIT_TEST(TruncatedAnswersAreNoAnswer);
  CPPUNIT_TEST(AnswerWithoutLengthIsNoAnswer);
  CPPUNIT_TEST(MalformedAnswersAreNoAnswer);
  CPPUNIT_TEST(RandomBytesNeverGiveAnAnswer);
  CPPUNIT_TEST(LongAnswersAreTooLarge);
  CPPUNIT_TEST(CancelBeforeConnectIsNotSent);
  CPPUNIT_TEST(CancelAfterwardsIsNoAnswer);
  CPPUNIT_TEST(LateCancelHasNoEffect);
  CPPUNIT_TEST(CloseEndsAllRequests);
  CPPUNIT_TEST(DestroyedClientCallsNothing);
  CPPUNIT_TEST(MayBeDestroyedByItsCallback);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RefusesBadAddresses() {
    MakeClient(Patient());
    for (const char* text : {"", "nowhere", "localhost:80", "127.0.0.1:0"}) {
      ExpectFailure(Send(core::Address(text), Get("/")),
                    HttpErrorKind::kBadAddress);
    }
  }

  void RefusesMalformedRequests() {
    MakeClient(Patient());
    Request request = Get("no slash");
    ExpectFailure(Send(request), HttpErrorKind::kBadRequest);
    request = Get("/");
    request.method = "GET /";
    ExpectFailure(Send(request), HttpErrorKind::kBadRequest);
    request = Get("/");
    request.headers["x"] = "a\r\nb: c";
    ExpectFailure(Send(request), HttpErrorKind::kBadRequest);
    request = Get("/");
    request.headers["a b"] = "c";
    ExpectFailure(Send(request), HttpErrorKind::kBadRequest);
  }

  void RefusedConnectIsNotSent() {
    MakeClient(Patient());
    const auto result = Send(UnusedAddress(io_), Get("/"));
    ExpectFailure(result, HttpErrorKind::kNotSent);
    CPPUNIT_ASSERT(result->error.refused);
  }

  void SlowConnectIsNotSent() {
    ClientLimits limits = Patient();
    limits.connect_timeout = kShort;
    MakeClient(limits);
    const FullListener full(io_);
    const auto result = Send(full.address(), Get("/"));
    ExpectFailure(result, HttpErrorKind::kNotSent);
    CPPUNIT_ASSERT(!result->error.refused);
  }

  void TimeoutWhileConnectingIsNotSent() {
    MakeClient(Patient());
    const FullListener full(io_);
    ExpectFailure(Send(full.address(), Get("/"), kShort),
                  HttpErrorKind::kNotSent);
  }

  void SilenceIsNoAnswer() {
    MakeClient(Patient());
    const auto result = Send(Get("/x"), kShort);
    const auto peer = AwaitRequest(0, "/x");
    ExpectFailure(result, HttpErrorKind::kNoAnswer);
    RunUntil(io_, [&] { return peer->ended; });
  }

  void SlowBodyIsNoAnswer() {
    MakeClient(Patient());
    const auto result = Send(Get("/x"), kShort);
    AwaitRequest(0, "/x")->Write(
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
    ExpectFailure(result, HttpErrorKind::kNoAnswer);
  }

  void CloseBeforeTheAnswerIsNoAnswer() {
    MakeClient(Patient());
    const auto result = Send(Get("/x"));
    AwaitRequest(0, "/x")->Close();
    ExpectFailure(result, HttpErrorKind::kNoAnswer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, peer_.connections.size());
  }

  void ResetBeforeTheAnswerIsNoAnswer() {
    MakeClient(Patient());
    const auto result = Send(Post("body"));
    AwaitRequest(0, "body")->Reset();
    ExpectFailure(result, HttpErrorKind::kNoAnswer);
  }

  void BrokenReusedConnectionIsNoAnswer() {
    MakeClient(Patient());
    const auto first = Send(Get("/1"));
    AwaitRequest(0, "/1")->Write(Ok("x"));
    ExpectBody(first, "x");
    const auto second = Send(Get("/2"));
    AwaitRequest(0, "/2")->Close();
    ExpectFailure(second, HttpErrorKind::kNoAnswer);
    // Nothing was sent again.
    const auto third = Send(Get("/3"));
    AwaitRequest(1, "/3")->Write(Ok("y"));
    ExpectBody(third, "y");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, peer_.connections.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         CountOf(peer_.connections[1]->received, "/2"));
  }

  /// Opens connections to the peer that are idle afterwards.
  void OpenIdleConnections(std::size_t count) {
    std::vector<std::shared_ptr<Result>> results;
    for (std::size_t i = 0; i < count; ++i) results.push_back(Send(Get("/0")));
    for (std::size_t i = 0; i < count; ++i) {
      AwaitRequest(i, "/0")->Write(Ok("x"));
    }
    for (const auto& result : results) ExpectBody(result, "x");
  }

  /// The connection of the peer on which `text` arrives.
  std::size_t AwaitOnAny(const std::string& text) {
    std::size_t found = 0;
    RunUntil(io_, [&] {
      for (std::size_t i = 0; i < peer_.connections.size(); ++i) {
        if (CountOf(peer_.connections[i]->received, text) == 0) continue;
        found = i;
        return true;
      }
      return false;
    });
    return found;
  }

  void UsesNoConnectionThatWentSilentWhileIdle() {
    MakeClient(Patient());
    OpenIdleConnections(3);
    ExpectFailure(Send(Get("/lost"), kShort), HttpErrorKind::kNoAnswer);
    Send(Get("/next"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, AwaitOnAny("/next"));
  }

  void KeepsConnectionsThatAnsweredAfterALostRequest() {
    MakeClient(Patient());
    OpenIdleConnections(2);
    const auto lost = Send(Get("/lost"), kShort);
    const auto meanwhile = Send(Get("/meanwhile"));
    peer_.connections[AwaitOnAny("/meanwhile")]->Write(Ok("y"));
    ExpectBody(meanwhile, "y");
    ExpectFailure(lost, HttpErrorKind::kNoAnswer);
    Send(Get("/next"));
    AwaitOnAny("/next");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, peer_.connections.size());
  }

  void TruncatedAnswersAreNoAnswer() {
    MakeClient(Patient());
    const std::string whole =
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde";
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n0\r\n\r\n";
    for (const std::string& text : {whole, chunked}) {
      for (std::size_t length = 0; length < text.size(); ++length) {
        const std::size_t index = peer_.connections.size();
        const auto result = Send(Get("/x"));
        const auto peer = AwaitRequest(index, "/x");
        peer->Write(text.substr(0, length));
        peer->ShutdownSend();
        ExpectFailure(result, HttpErrorKind::kNoAnswer);
      }
    }
  }

  void AnswerWithoutLengthIsNoAnswer() {
    MakeClient(Patient());
    const auto result = Send(Get("/x"));
    const auto peer = AwaitRequest(0, "/x");
    peer->Write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc");
    peer->ShutdownSend();
    ExpectFailure(result, HttpErrorKind::kNoAnswer);
  }

  void MalformedAnswersAreNoAnswer() {
    MakeClient(Patient());
    for (const char* text :
         {"nonsense\r\n\r\n", "HTTP/2.0 200 OK\r\n\r\n",
          "HTTP/1.1 xyz OK\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
      const std::size_t index = peer_.connections.size();
      const auto result = Send(Get("/x"));
      AwaitRequest(index, "/x")->Write(text);
      ExpectFailure(result, HttpErrorKind::kNoAnswer);
    }
  }

  void RandomBytesNeverGiveAnAnswer() {
    MakeClient(Patient());
    std::mt19937 random(7);
    for (int round = 0; round < 200; ++round) {
      const std::size_t index = peer_.connections.size();
      const auto result = Send(Get("/x"));
      const auto peer = AwaitRequest(index, "/x");
      std::string text;
      for (int i = 0; i < 64; ++i) text += static_cast<char>(random() % 256);
      peer->Write(text);
      peer->ShutdownSend();
      ExpectFailure(result, HttpErrorKind::kNoAnswer);
    }
  }

  void LongAnswersAreTooLarge() {
    ClientLimits limits = Patient();
    limits.max_response_bytes = 10;
    MakeClient(limits);
    for (const std::string& text :
         {std::string("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n"),
          std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "b\r\n01234567890\r\n0\r\n\r\n"),
          "HTTP/1.1 200 OK\r\nX: " + std::string(100000, 'x')}) {
      const std::size_t index = peer_.connections.size();
      const auto result = Send(Get("/x"));
      AwaitRequest(index, "/x")->Write(text);
      ExpectFailure(result, HttpErrorKind::kTooLarge);
    }
  }

  void CancelBeforeConnectIsNotSent() {
    MakeClient(Patient());
    const auto result = Send(Get("/x"));
    client_->Cancel(result->id);
    CPPUNIT_ASSERT_EQUAL(0, result->calls);
    ExpectFailure(result, HttpErrorKind::kNotSent);
  }

  void CancelAfterwardsIsNoAnswer() {
    MakeClient(Patient());
    const auto result = Send(Get("/x"));
    const auto peer = AwaitRequest(0, "/x");
    client_->Cancel(result->id);
    CPPUNIT_ASSERT_EQUAL(0, result->calls);
    ExpectFailure(result, HttpErrorKind::kNoAnswer);
    RunUntil(io_, [&] { return peer->ended; });
  }

  void LateCancelHasNoEffect() {
    MakeClient(Patient());
    const auto first = Send(Get("/1"));
    AwaitRequest(0, "/1")->Write(Ok("x"));
    ExpectBody(first, "x");
    const auto second = Send(Get("/2"));
    client_->Cancel(first->id);
    AwaitRequest(0, "/2")->Write(Ok("y"));
    ExpectBody(second, "y");
    CPPUNIT_ASSERT_EQUAL(1, first->calls);
  }

  void CloseEndsAllRequests() {
    MakeClient(Patient());
    const auto idle = Send(Get("/idle"));
    AwaitRequest(0, "/idle")->Write(Ok("x"));
    ExpectBody(idle, "x");
    const auto sent = Send(Get("/sent"));
    AwaitRequest(0, "/sent");
    const auto connecting = Send(Get("/connecting"));
    client_->Close();
    const auto late = Send(Get("/late"));
    ExpectFailure(sent, HttpErrorKind::kNoAnswer);
    ExpectFailure(connecting, HttpErrorKind::kNotSent);
    ExpectFailure(late, HttpErrorKind::kNotSent);
    RunUntil(io_, [this] { return peer_.connections[0]->ended; });
  }

  void DestroyedClientCallsNothing() {
    MakeClient(Patient());
    const auto sent = Send(Get("/sent"));
    const auto peer = AwaitRequest(0, "/sent");
    const auto cancelled = Send(Get("/cancelled"));
    const auto refused = Send(core::Address("nowhere"), Get("/"));
    client_->Cancel(cancelled->id);
    client_.reset();
    RunUntil(io_, [&] { return peer->ended; });
    io_.poll();
    CPPUNIT_ASSERT_EQUAL(0, sent->calls);
    CPPUNIT_ASSERT_EQUAL(0, cancelled->calls);
    CPPUNIT_ASSERT_EQUAL(0, refused->calls);
  }

  void MayBeDestroyedByItsCallback() {
    MakeClient(Patient());
    int calls = 0;
    const Client::Done destroy = [&](const std::optional<Response>&,
                                     const HttpError&) {
      ++calls;
      client_.reset();
    };
    client_->Send(peer_.address(), Get("/1"), kLong, destroy);
    const auto other = Send(Get("/2"));
    AwaitRequest(0, "/");
    AwaitRequest(1, "/");
    for (const auto& connection : peer_.connections) {
      if (CountOf(connection->received, "/1") > 0) connection->Write(Ok("x"));
    }
    RunUntil(io_, [&] { return calls > 0; });
    io_.poll();
    CPPUNIT_ASSERT_EQUAL(1, calls);
    CPPUNIT_ASSERT_EQUAL(0, other->calls);
  }

 private:
  /// A listener whose queue of connections is full, so that further ones get
  /// no reply.
  class FullListener {
   public:
    explicit FullListener(asio::io_context& io)
        : acceptor_(io.get_executor(), Tcp::v4()) {
      acceptor_.bind(*ParseEndpoint(kAnyPort));
      acceptor_.listen(0);
      for (int i = 0; i < kQueued; ++i) {
        queued_.emplace_back(io.get_executor());
        queued_.back().async_connect(acceptor_.local_endpoint(),
                                     [](ErrorCode) {});
      }
    }
    core::Address address() const {
      return ToAddress(acceptor_.local_endpoint());
    }

   private:
    static constexpr int kQueued = 4;
    Acceptor acceptor_;
    std::vector<Socket> queued_;
  };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientFailureTest);

}  // namespace
}  // namespace tarragon::http
