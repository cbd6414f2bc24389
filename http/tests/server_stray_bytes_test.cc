#include <cppunit/extensions/HelperMacros.h>

#include "tests/server_fixture.h"

namespace tarragon::http {
namespace {

/// Clients that send more than their request and leave before its answer.
class ServerStrayBytesTest : public ServerFixture {
  CPPUNIT_TEST_SUITE(ServerStrayBytesTest);
  CPPUNIT_TEST(TellsOfACloseAfterStrayBytes);
  CPPUNIT_TEST(TellsOfAResetAfterPipelinedRequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against work for a client that has left: the first bytes after the
  // request ended the watch for its close.
  void TellsOfACloseAfterStrayBytes() {
    const auto peer = OpenRequest();
    peer->Write("\r\n");
    RunFor(std::chrono::milliseconds(50));
    peer->Close();
    AwaitGone();
  }

  void TellsOfAResetAfterPipelinedRequest() {
    const auto peer = OpenRequest();
    peer->Write("GET /2 HTTP/1.1\r\n\r\n");
    RunFor(std::chrono::milliseconds(50));
    peer->Reset();
    AwaitGone();
  }

 private:
  std::shared_ptr<RawConnection> OpenRequest() {
    ServerLimits limits;
    limits.half_close_is_gone = true;
    Listen(limits);
    std::shared_ptr<RawConnection> peer = Connect();
    peer->Write("GET /1 HTTP/1.1\r\n\r\n");
    AwaitOpen(1);
    return peer;
  }

  void RunFor(core::Duration time) {
    Timer timer(io_);
    bool expired = false;
    timer.expires_after(time);
    timer.async_wait([&expired](ErrorCode) { expired = true; });
    RunUntil(io_, [&expired] { return expired; });
  }

  void AwaitGone() {
    RunFor(std::chrono::milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gone_.size());
    CPPUNIT_ASSERT_EQUAL(open_.at(0).request.id, gone_[0]);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerStrayBytesTest);

}  // namespace
}  // namespace tarragon::http
