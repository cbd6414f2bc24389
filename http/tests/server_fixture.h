#ifndef TARRAGON_HTTP_TESTS_SERVER_FIXTURE_H_
#define TARRAGON_HTTP_TESTS_SERVER_FIXTURE_H_

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tarragon/http/server.h"
#include "tests/loopback.h"

namespace tarragon::http {

/// A server whose requests wait in `open` for the test to answer them, or are
/// answered with their own body at once if `echo` is set.
class ServerFixture : public CppUnit::TestFixture {
 protected:
  struct Open {
    Request request;
    Responder respond;
  };

  void Listen(const ServerLimits& limits) {
    server_ = std::make_unique<Server>(
        io_, limits,
        [this](Request request, const Responder& respond) {
          if (echo_) return respond(Text(request.path + "|" + request.body));
          open_.push_back(Open{std::move(request), respond});
        },
        [this](std::uint64_t id) { gone_.push_back(id); });
    HttpError reason;
    const auto bound = server_->Listen(kAnyPort, &reason);
    CPPUNIT_ASSERT_MESSAGE(reason.text, bound.has_value());
    address_ = *bound;
  }

  std::shared_ptr<RawConnection> Connect() { return RawConnect(io_, address_); }

  /// Runs until `connection` has received `count` times `part`.
  void AwaitText(const std::shared_ptr<RawConnection>& connection,
                 const std::string& part, std::size_t count = 1) {
    RunUntil(io_, [&] { return CountOf(connection->received, part) >= count; });
  }

  void AwaitEnd(const std::shared_ptr<RawConnection>& connection) {
    RunUntil(io_, [&] { return connection->ended; });
  }

  void AwaitOpen(std::size_t count) {
    RunUntil(io_, [&] { return open_.size() >= count; });
  }

  static Response Text(std::string body) {
    Response response;
    response.content_type = "text/plain";
    response.body = std::move(body);
    return response;
  }

  asio::io_context io_;
  std::vector<Open> open_;
  /// Requests whose clients have left.
  std::vector<std::uint64_t> gone_;
  bool echo_ = false;
  std::unique_ptr<Server> server_;
  core::Address address_;
};

}  // namespace tarragon::http

#endif  // TARRAGON_HTTP_TESTS_SERVER_FIXTURE_H_
