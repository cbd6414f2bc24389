#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>
#include <vector>

#include "tarragon/http/client.h"
#include "tests/server_fixture.h"

namespace tarragon::http {
namespace {

constexpr std::size_t kConcurrent = 100;
constexpr int kInARow = 2000;
constexpr std::size_t kLoops = 20;
/// Answers after which a test stops the server under load.
constexpr std::size_t kStopAfter = 500;
constexpr core::Duration kTimeout = std::chrono::minutes(10);

/// The client of this library against its server.
class RoundTripTest : public ServerFixture {
  CPPUNIT_TEST_SUITE(RoundTripTest);
  CPPUNIT_TEST(EverythingArrivesBothWays);
  CPPUNIT_TEST(LongBodiesArriveBothWays);
  CPPUNIT_TEST(HundredConcurrentRequestsGetTheirOwnAnswers);
  CPPUNIT_TEST(ManyRequestsInARow);
  CPPUNIT_TEST(StopUnderLoadAnswersOrRefusesHonestly);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EverythingArrivesBothWays() {
    Listen(ServerLimits());
    Client client(io_, ClientLimits());
    Request request;
    request.method = "PATCH";
    request.path = "/with space/and%percent/\xc3\xa9";
    request.query = {{"a", "b c"}, {"d&", "=e"}};
    request.headers = {{"x-key", "value"}};
    request.body = std::string("\0\r\n\xff", 4);
    std::optional<Response> answer;
    client.Send(address_, request, kTimeout,
                [&](std::optional<Response> response, const HttpError& error) {
                  CPPUNIT_ASSERT_MESSAGE(error.text, response.has_value());
                  answer = std::move(response);
                });
    AwaitOpen(1);
    const Request& arrived = open_[0].request;
    CPPUNIT_ASSERT_EQUAL(request.method, arrived.method);
    CPPUNIT_ASSERT_EQUAL(request.path, arrived.path);
    CPPUNIT_ASSERT(request.query == arrived.query);
    CPPUNIT_ASSERT_EQUAL(std::string("value"), arrived.headers.at("x-key"));
    CPPUNIT_ASSERT(request.body == arrived.body);
    Response response = Text(request.body);
    response.status = 201;
    response.headers["X-Answer"] = "here";
    open_[0].respond(response);
    RunUntil(io_, [&] { return answer.has_value(); });
    CPPUNIT_ASSERT_EQUAL(201, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("text/plain"), answer->content_type);
    CPPUNIT_ASSERT_EQUAL(std::string("here"), answer->headers.at("x-answer"));
    CPPUNIT_ASSERT(request.body == answer->body);
  }

  void LongBodiesArriveBothWays() {
    echo_ = true;
    Listen(ServerLimits());
    ClientLimits limits;
    limits.max_response_bytes = 2 * ServerLimits().max_body_bytes;
    Client client(io_, limits);
    Request request;
    request.method = "POST";
    std::mt19937 random(7);
    for (std::size_t i = 0; i < ServerLimits().max_body_bytes; ++i) {
      request.body += static_cast<char>(random());
    }
    std::optional<Response> answer;
    client.Send(address_, request, kTimeout,
                [&](std::optional<Response> response, const HttpError& error) {
                  CPPUNIT_ASSERT_MESSAGE(error.text, response.has_value());
                  answer = std::move(response);
                });
    RunUntil(io_, [&] { return answer.has_value(); });
    CPPUNIT_ASSERT("/|" + request.body == answer->body);
  }

  void HundredConcurrentRequestsGetTheirOwnAnswers() {
    Listen(ServerLimits());
    Client client(io_, ClientLimits());
    std::map<std::string, std::string> answers;
    for (std::size_t i = 0; i < kConcurrent; ++i) {
      Request request;
      request.path = "/" + std::to_string(i);
      client.Send(address_, request, kTimeout,
                  [&answers, path = request.path](
                      std::optional<Response> response, const HttpError&) {
                    answers[path] = response ? response->body : "none";
                  });
    }
    AwaitOpen(kConcurrent);
    CPPUNIT_ASSERT_EQUAL(kConcurrent, server_->open_requests());
    std::mt19937 random(7);
    std::shuffle(open_.begin(), open_.end(), random);
    for (const Open& open : open_) open.respond(Text(open.request.path));
    RunUntil(io_, [&] { return answers.size() == kConcurrent; });
    for (const auto& [path, body] : answers) CPPUNIT_ASSERT_EQUAL(path, body);
  }

  void ManyRequestsInARow() {
    echo_ = true;
    Listen(ServerLimits());
    Client client(io_, ClientLimits());
    int answered = 0;
    std::function<void()> next = [&] {
      Request request;
      request.path = "/" + std::to_string(answered);
      client.Send(
          address_, request, kTimeout,
          [&](const std::optional<Response>& response, const HttpError& error) {
            CPPUNIT_ASSERT_MESSAGE(error.text, response.has_value());
            CPPUNIT_ASSERT_EQUAL("/" + std::to_string(answered) + "|",
                                 response->body);
            if (++answered < kInARow) next();
          });
    };
    next();
    RunUntil(io_, [&] { return answered == kInARow; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server_->connections());
  }

  /// Each request that the server has handled is answered, and none that the
  /// client calls not sent was handled.
  void StopUnderLoadAnswersOrRefusesHonestly() {
    Listen(ServerLimits());
    Client client(io_, ClientLimits());
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::size_t not_sent = 0;
    std::size_t no_answer = 0;
    std::size_t ended = 0;
    bool stopped = false;
    std::function<void()> next = [&] {
      Request request;
      request.path = "/" + std::to_string(sent++);
      client.Send(
          address_, request, kTimeout,
          [&, path = request.path](const std::optional<Response>& response,
                                   const HttpError& error) {
            if (response) {
              CPPUNIT_ASSERT_EQUAL(path, response->body);
              ++answered;
              return next();
            }
            if (error.kind == HttpErrorKind::kNotSent) ++not_sent;
            if (error.kind == HttpErrorKind::kNoAnswer) ++no_answer;
            ++ended;
          });
    };
    for (std::size_t i = 0; i < kLoops; ++i) next();
    std::size_t handled = 0;
    RunUntil(io_, [&] {
      // Answers some requests late, so that the stop meets open ones.
      while (handled + kLoops / 2 < open_.size() ||
             (stopped && handled < open_.size())) {
        const Open& open = open_[handled++];
        open.respond(Text(open.request.path));
      }
      if (!stopped && answered >= kStopAfter) {
        stopped = true;
        server_->StopAccepting();
      }
      return ended == kLoops;
    });
    CPPUNIT_ASSERT_EQUAL(open_.size(), answered);
    CPPUNIT_ASSERT_EQUAL(kLoops, not_sent + no_answer);
    CPPUNIT_ASSERT_EQUAL(sent, answered + not_sent + no_answer);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoundTripTest);

}  // namespace
}  // namespace tarragon::http
