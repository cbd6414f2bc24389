#ifndef TARRAGON_HTTP_TESTS_CLIENT_FIXTURE_H_
#define TARRAGON_HTTP_TESTS_CLIENT_FIXTURE_H_

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>

#include "tarragon/http/client.h"
#include "tests/loopback.h"

namespace tarragon::http {

/// A client and a peer that the test plays byte by byte.
class ClientFixture : public CppUnit::TestFixture {
 protected:
  static constexpr core::Duration kLong = std::chrono::hours(1);
  static constexpr core::Duration kShort = std::chrono::milliseconds(30);

  /// What has become of a request.
  struct Result {
    RequestId id;
    int calls = 0;
    std::optional<Response> response;
    HttpError error;
  };

  static ClientLimits Patient() {
    ClientLimits limits;
    limits.connect_timeout = kLong;
    limits.max_idle_age = kLong;
    return limits;
  }

  static Request Get(const std::string& path) {
    Request request;
    request.path = path;
    return request;
  }

  static Request Post(const std::string& body) {
    Request request;
    request.method = "POST";
    request.path = "/post";
    request.body = body;
    return request;
  }

  void MakeClient(const ClientLimits& limits) {
    client_ = std::make_unique<Client>(io_, limits);
  }

  std::shared_ptr<Result> Send(const core::Address& address,
                               const Request& request,
                               core::Duration timeout = kLong) {
    auto result = std::make_shared<Result>();
    result->id = client_->Send(
        address, request, timeout,
        [result](std::optional<Response> response, HttpError error) {
          ++result->calls;
          result->response = std::move(response);
          result->error = std::move(error);
        });
    CPPUNIT_ASSERT_EQUAL(0, result->calls);
    return result;
  }

  std::shared_ptr<Result> Send(const Request& request,
                               core::Duration timeout = kLong) {
    return Send(peer_.address(), request, timeout);
  }

  void Await(const std::shared_ptr<Result>& result) {
    RunUntil(io_, [&] { return result->calls > 0; });
    CPPUNIT_ASSERT_EQUAL(1, result->calls);
  }

  void ExpectFailure(const std::shared_ptr<Result>& result,
                     HttpErrorKind kind) {
    Await(result);
    CPPUNIT_ASSERT(!result->response);
    CPPUNIT_ASSERT_MESSAGE(result->error.text, result->error.kind == kind);
    CPPUNIT_ASSERT(!result->error.text.empty());
  }

  void ExpectBody(const std::shared_ptr<Result>& result,
                  const std::string& body) {
    Await(result);
    CPPUNIT_ASSERT_MESSAGE(result->error.text, result->response.has_value());
    CPPUNIT_ASSERT(result->error.kind == HttpErrorKind::kNone);
    CPPUNIT_ASSERT_EQUAL(body, result->response->body);
  }

  /// The connection `index` of the peer once it has received `text`.
  std::shared_ptr<RawConnection> AwaitRequest(std::size_t index,
                                              const std::string& text) {
    RunUntil(io_, [&] {
      return peer_.connections.size() > index &&
             CountOf(peer_.connections[index]->received, text) > 0;
    });
    return peer_.connections[index];
  }

  static std::string Ok(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }

  asio::io_context io_;
  RawServer peer_{io_};
  std::unique_ptr<Client> client_;
};

}  // namespace tarragon::http

#endif  // TARRAGON_HTTP_TESTS_CLIENT_FIXTURE_H_
