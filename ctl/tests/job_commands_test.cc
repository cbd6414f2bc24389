#include "job_commands.h"

#include <cppunit/extensions/HelperMacros.h>

#include "fake_peer.h"
#include "tarragon/ctl/exit_code.h"

namespace tarragon::ctl {
namespace {

constexpr char kHandleBody[] = R"({"handle":"H","valid_ms":60000})";
constexpr char kCompleteBody[] =
    R"({"key":"H.1","outcome":"complete","reason":"none","results":["x","y"]})";

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

class JobCommandsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobCommandsTest);
  CPPUNIT_TEST(MapsOutcomesToExitCodes);
  CPPUNIT_TEST(WritesTheSubmission);
  CPPUNIT_TEST(SubmitsUnderAFreshKey);
  CPPUNIT_TEST(SubmitsUnderAGivenKey);
  CPPUNIT_TEST(ResubmitsTheSameAfterALostAnswer);
  CPPUNIT_TEST(StopsAtTheDeadline);
  CPPUNIT_TEST(SubmitsNothingWithoutAHandle);
  CPPUNIT_TEST(AsksAgainWhileTheJobRuns);
  CPPUNIT_TEST(PrintsARefusal);
  CPPUNIT_TEST(ShowsAnAnswer);
  CPPUNIT_TEST(TriesTheNextClientAddress);
  CPPUNIT_TEST(Cancels);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    options_ = Options();
    options_.command = Command::kSubmit;
    options_.clients = {core::Address("127.0.0.1:1"),
                        core::Address("127.0.0.1:2")};
    options_.service = core::ServiceId("fit-check");
    options_.tenant = core::TenantId("kaptafa");
    options_.tasks = {"a", "b"};
  }

  void MapsOutcomesToExitCodes() {
    CPPUNIT_ASSERT_EQUAL(0, JobExitCode(200, "complete", "none"));
    CPPUNIT_ASSERT_EQUAL(4, JobExitCode(202, "running", "none"));
    CPPUNIT_ASSERT_EQUAL(7, JobExitCode(504, "failed", "deadline"));
    CPPUNIT_ASSERT_EQUAL(8, JobExitCode(503, "not_run", "overload"));
    CPPUNIT_ASSERT_EQUAL(5, JobExitCode(409, "not_run", "key_reused"));
    CPPUNIT_ASSERT_EQUAL(3, JobExitCode(400, "not_run", "bad_request"));
    CPPUNIT_ASSERT_EQUAL(9, JobExitCode(502, "unknown", "home_gone"));
    CPPUNIT_ASSERT_EQUAL(1, JobExitCode(404, "", ""));
  }

  void WritesTheSubmission() {
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"service":"fit-check","tenant":"kaptafa",)"
                    R"("deadline_ms":5000,"wait_ms":5000,)"
                    R"("tasks":[{"payload":"a"},{"payload":"b"}]})"),
        SubmissionBody(options_));
    options_.cores = 2;
    options_.memory_mb = 64;
    options_.tasks = {"a"};
    CPPUNIT_ASSERT(Contains(SubmissionBody(options_),
                            R"({"payload":"a","cores":2,"memory_mb":64})"));
  }

  void SubmitsUnderAFreshKey() {
    FakePeer peer;
    peer.AddAnswer(200, kHandleBody);
    peer.AddAnswer(200, kCompleteBody);
    CPPUNIT_ASSERT_EQUAL(kExitOk, peer.Run(options_));
    CPPUNIT_ASSERT_EQUAL(std::string("x\ny\n"), peer.out());
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/home"), peer.calls()[0].request.path);
    CPPUNIT_ASSERT_EQUAL(std::string("fit-check"),
                         peer.calls()[0].request.query.at("service"));
    const http::Request& submission = peer.calls()[1].request;
    CPPUNIT_ASSERT_EQUAL(std::string("POST"), submission.method);
    const std::string key = submission.headers.at("idempotency-key");
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), key.find("H."));
    CPPUNIT_ASSERT(key.size() > 2);
  }

  void SubmitsUnderAGivenKey() {
    FakePeer peer;
    options_.key = core::JobKey("H.mine");
    peer.AddAnswer(200, kCompleteBody);
    CPPUNIT_ASSERT_EQUAL(kExitOk, peer.Run(options_));
    CPPUNIT_ASSERT_EQUAL(std::string("H.mine"),
                         peer.calls()[0].request.headers.at("idempotency-key"));
  }

  void ResubmitsTheSameAfterALostAnswer() {
    FakePeer peer;
    peer.AddAnswer(200, kHandleBody);
    peer.AddLost();
    peer.AddAnswer(200, kCompleteBody);
    CPPUNIT_ASSERT_EQUAL(kExitOk, peer.Run(options_));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), peer.calls().size());
    const FakePeer::Call& first = peer.calls()[1];
    const FakePeer::Call& second = peer.calls()[2];
    CPPUNIT_ASSERT_EQUAL(first.request.headers.at("idempotency-key"),
                         second.request.headers.at("idempotency-key"));
    CPPUNIT_ASSERT_EQUAL(first.request.body, second.request.body);
    CPPUNIT_ASSERT(!(first.address == second.address));
  }

  void StopsAtTheDeadline() {
    FakePeer peer;
    options_.key = core::JobKey("H.mine");
    options_.deadline = std::chrono::seconds(3);
    peer.set_loss_time(std::chrono::milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(kExitJobUnknown, peer.Run(options_));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), peer.calls().size());
    CPPUNIT_ASSERT(Contains(peer.err(), "The job may have run."));
  }

  void SubmitsNothingWithoutAHandle() {
    FakePeer peer;
    peer.set_loss_time(std::chrono::seconds(2));
    CPPUNIT_ASSERT_EQUAL(kExitUnavailable, peer.Run(options_));
    for (const FakePeer::Call& call : peer.calls()) {
      CPPUNIT_ASSERT_EQUAL(std::string("/v1/home"), call.request.path);
    }
    CPPUNIT_ASSERT(Contains(peer.err(), "The job was not submitted."));
  }

  void AsksAgainWhileTheJobRuns() {
    FakePeer peer;
    options_.key = core::JobKey("H.mine");
    peer.AddAnswer(202, R"({"key":"H.mine","outcome":"running"})");
    peer.AddAnswer(200, kCompleteBody);
    CPPUNIT_ASSERT_EQUAL(kExitOk, peer.Run(options_));
    const http::Request& query = peer.calls()[1].request;
    CPPUNIT_ASSERT_EQUAL(std::string("GET"), query.method);
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/jobs/H.mine"), query.path);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), query.query.count("wait_ms"));
  }

  void PrintsARefusal() {
    FakePeer peer;
    options_.key = core::JobKey("H.mine");
    peer.AddAnswer(503, R"({"key":"H.mine","outcome":"not_run",)"
                        R"("reason":"overload","detail":"Full.",)"
                        R"("retry_after_ms":250})");
    CPPUNIT_ASSERT_EQUAL(kExitJobNotRun, peer.Run(options_));
    CPPUNIT_ASSERT(Contains(peer.err(), "not_run: overload: Full.\n"));
    CPPUNIT_ASSERT(Contains(peer.err(), "Come back in 250 ms.\n"));
    CPPUNIT_ASSERT_EQUAL(std::string(), peer.out());
  }

  void ShowsAnAnswer() {
    FakePeer peer;
    options_.command = Command::kAnswer;
    options_.argument = "H.1";
    options_.json = true;
    peer.AddAnswer(200, kCompleteBody);
    CPPUNIT_ASSERT_EQUAL(kExitOk, peer.Run(options_));
    CPPUNIT_ASSERT_EQUAL(std::string(kCompleteBody) + "\n", peer.out());
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/jobs/H.1"),
                         peer.calls()[0].request.path);
  }

  void TriesTheNextClientAddress() {
    FakePeer peer;
    options_.command = Command::kAnswer;
    options_.argument = "H.1";
    peer.AddLost();
    peer.AddAnswer(200, kCompleteBody);
    CPPUNIT_ASSERT_EQUAL(kExitOk, peer.Run(options_));
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:2"),
                         peer.calls()[1].address.value());
    CPPUNIT_ASSERT_EQUAL(kExitUnavailable, peer.Run(options_));
  }

  void Cancels() {
    FakePeer peer;
    options_.command = Command::kCancel;
    options_.argument = "H.1";
    peer.AddAnswer(410, R"({"key":"H.1","outcome":"not_run",)"
                        R"("reason":"cancelled"})");
    CPPUNIT_ASSERT_EQUAL(kExitOk, peer.Run(options_));
    CPPUNIT_ASSERT_EQUAL(std::string("DELETE"), peer.calls()[0].request.method);
    peer.AddAnswer(200, kCompleteBody);
    CPPUNIT_ASSERT_EQUAL(kExitOk, peer.Run(options_));
    CPPUNIT_ASSERT_EQUAL(std::string("x\ny\n"), peer.out());
    peer.AddAnswer(202, R"({"key":"H.1","outcome":"running"})");
    CPPUNIT_ASSERT_EQUAL(kExitPending, peer.Run(options_));
  }

 private:
  Options options_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobCommandsTest);

}  // namespace
}  // namespace tarragon::ctl
