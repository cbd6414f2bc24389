#include "fake_target.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <thread>

namespace tarragon::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{5000};

/// Tests the stand-in of a target over its HTTP interface.
class FakeTargetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FakeTargetTest);
  CPPUNIT_TEST(StalledTargetEndsRunWhenItsLeaseWasOver);
  CPPUNIT_TEST(StalledTargetDoesNotRenewALeaseThatWasOver);
  CPPUNIT_TEST(BrokenOrderIsCarriedOut);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StalledTargetEndsRunWhenItsLeaseWasOver() {
    Start(5000, 100);
    std::this_thread::sleep_for(milliseconds(400));
    // The target looks at its clock only after this.
    ledger_.OnRunStarted("t2", kTask, 1, "",
                         std::chrono::steady_clock::now() - milliseconds(200));
    target_.ExpireRuns();
    CPPUNIT_ASSERT(
        ledger_.FindOverlaps(std::chrono::steady_clock::now()).empty());
  }

  void StalledTargetDoesNotRenewALeaseThatWasOver() {
    const int clock = Start(5000, 100);
    std::this_thread::sleep_for(milliseconds(200));
    const boost::json::value poll =
        Call("/v1/hold",
             {{"fence", 0}, {"last_seen", 0}, {"until_ms", clock + 5000}});
    CPPUNIT_ASSERT(poll.at("running").as_array().empty());
    CPPUNIT_ASSERT_EQUAL(
        std::string("lapsed"),
        std::string(
            poll.at("finished").as_array().at(0).as_array().at(3).as_string()));
  }

  void BrokenOrderIsCarriedOut() {
    invariants_.OnJobSubmitted("0000000000000001", 1);
    const int clock = ReadClock();
    target_.SetOrderFaults({1, 0, 0});
    CPPUNIT_ASSERT(
        Call("/v1/run-start", MakeStart(1000, clock + 5000)).is_null());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, invariants_.started_runs());
  }

 private:
  static constexpr char kTask[] = "0000000000000001.0.0.0";

  static boost::json::object MakeStart(int runtime_ms, int until_ms) {
    return {{"task", kTask},
            {"run", 1},
            {"fence", 0},
            {"until_ms", until_ms},
            {"spec", "1000 " + std::to_string(runtime_ms) + " test"}};
  }

  /// The body of the answer, null if there is none.
  boost::json::value Call(const char* path, const boost::json::object& body) {
    http::Request request;
    request.method = "POST";
    request.path = path;
    request.body = boost::json::serialize(body);
    boost::json::value answer;
    bool done = false;
    client_.Send(core::Address(target_.relay()->address()), request, kTimeout,
                 [&](const std::optional<http::Response>& response,
                     const http::HttpError&) {
                   done = true;
                   if (response.has_value()) {
                     answer = boost::json::parse(response->body);
                   }
                 });
    while (!done) io_.run_one();
    return answer;
  }

  int ReadClock() {
    return static_cast<int>(Call("/v1/hold", {{"fence", 0}, {"last_seen", 0}})
                                .at("clock_ms")
                                .as_int64());
  }

  /// Starts a run with a lease of `lease_ms`. The target's clock before it.
  int Start(int runtime_ms, int lease_ms) {
    invariants_.OnJobSubmitted("0000000000000001", 1);
    while (true) {
      const int clock = ReadClock();
      const boost::json::value answer =
          Call("/v1/run-start", MakeStart(runtime_ms, clock + lease_ms));
      // On a busy machine the start may have been late.
      if (!answer.as_object().contains("reason")) return clock;
    }
  }

  static FakeTarget::Config MakeConfig(RunLedger* ledger) {
    FakeTarget::Config config;
    config.name = "t1";
    config.domain = "d0";
    config.gate = "127.0.0.1:9";
    config.ledger = ledger;
    return config;
  }

  boost::asio::io_context io_;
  InvariantChecker invariants_;
  RunLedger ledger_;
  http::Client client_{io_, http::ClientLimits{}};
  FakeTarget target_{io_, MakeConfig(&ledger_), &invariants_,
                     [](const std::string&) { return false; }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(FakeTargetTest);

}  // namespace
}  // namespace tarragon::soak
