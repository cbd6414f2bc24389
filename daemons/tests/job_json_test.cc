#include "job_json.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>

namespace tarragon::daemons {
namespace {

std::string BodyWithTasks(std::size_t count) {
  std::string body =
      R"({"service":"carve","tenant":"kaptafa","deadline_ms":5000,"tasks":[)";
  for (std::size_t i = 0; i < count; ++i) {
    if (i > 0) body += ',';
    body += R"({"payload":"p"})";
  }
  return body + "]}";
}

class JobJsonTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobJsonTest);
  CPPUNIT_TEST(ParsesSubmission);
  CPPUNIT_TEST(LimitsNumberOfTasks);
  CPPUNIT_TEST(RejectsMalformedSubmissions);
  CPPUNIT_TEST(HandlesRandomlyDamagedBodies);
  CPPUNIT_TEST(OnlyCompleteAnswersHaveResults);
  CPPUNIT_TEST(SetsRetryAfter);
  CPPUNIT_TEST(MapsOutcomesToHttpStatus);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ParsesSubmission() {
    RequestError error;
    const std::optional<Submission> submission = ParseSubmission(
        R"({"service":"carve","tenant":"kaptafa","deadline_ms":5000,
            "wait_ms":100,"tasks":[{"payload":"a","cores":2,"memory_mb":64},
            {"payload":""}]})",
        &error);
    CPPUNIT_ASSERT(submission.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("carve"),
                         submission->spec.service.value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, submission->spec.tasks.size());
    CPPUNIT_ASSERT_EQUAL(2U, submission->spec.tasks[0].cores);
    CPPUNIT_ASSERT_EQUAL(1U, submission->spec.tasks[1].cores);
    CPPUNIT_ASSERT(submission->spec.time_left == std::chrono::seconds(5));
    CPPUNIT_ASSERT(submission->wait == std::chrono::milliseconds(100));
  }

  void LimitsNumberOfTasks() {
    RequestError error;
    CPPUNIT_ASSERT(!ParseSubmission(BodyWithTasks(0), &error).has_value());
    CPPUNIT_ASSERT(ParseSubmission(BodyWithTasks(1), &error).has_value());
    CPPUNIT_ASSERT(ParseSubmission(BodyWithTasks(110), &error).has_value());
    CPPUNIT_ASSERT(!ParseSubmission(BodyWithTasks(111), &error).has_value());
  }

  void RejectsMalformedSubmissions() {
    const char* const bodies[] = {
        "",
        "[]",
        "{",
        R"({"service":"","tenant":"t","deadline_ms":5,"tasks":[{"payload":""}]})",
        R"({"service":"s","deadline_ms":5,"tasks":[{"payload":""}]})",
        R"({"service":"s","tenant":"t","tasks":[{"payload":""}]})",
        R"({"service":"s","tenant":"t","deadline_ms":0,"tasks":[{"payload":""}]})",
        R"({"service":"s","tenant":"t","deadline_ms":600001,"tasks":[{"payload":""}]})",
        R"({"service":"s","tenant":"t","deadline_ms":5,"tasks":[{"payload":1}]})",
        R"({"service":"s","tenant":"t","deadline_ms":5,"tasks":["x"]})",
        R"({"service":"s","tenant":"t","deadline_ms":5,"tasks":{}})",
        R"({"service":"s","tenant":"t","deadline_ms":5,"extra":1,"tasks":[{"payload":""}]})",
        R"({"service":"s","tenant":"t","deadline_ms":5,"tasks":[{"payload":"","cores":-1}]})",
    };
    for (const char* body : bodies) {
      RequestError error;
      CPPUNIT_ASSERT_MESSAGE(body, !ParseSubmission(body, &error).has_value());
      CPPUNIT_ASSERT_MESSAGE(body, !error.detail.empty());
    }
  }

  void HandlesRandomlyDamagedBodies() {
    std::mt19937 random(7);
    const std::string good = BodyWithTasks(3);
    for (int i = 0; i < 5000; ++i) {
      std::string body = good;
      body[random() % body.size()] = static_cast<char>(random());
      body.resize(random() % (body.size() + 1));
      RequestError error;
      const bool read = ParseSubmission(body, &error).has_value();
      CPPUNIT_ASSERT(read || !error.detail.empty());
    }
  }

  void OnlyCompleteAnswersHaveResults() {
    dispatch::JobAnswer answer;
    answer.key = core::JobKey("h.1");
    answer.outcome = dispatch::Outcome::kComplete;
    answer.results = {"a", "b"};
    CPPUNIT_ASSERT(
        MakeAnswerResponse(answer, "").body.find(R"("results":["a","b"])") !=
        std::string::npos);
    answer.outcome = dispatch::Outcome::kUnknown;
    CPPUNIT_ASSERT(MakeAnswerResponse(answer, "").body.find("results") ==
                   std::string::npos);
  }

  void SetsRetryAfter() {
    dispatch::JobAnswer answer;
    answer.outcome = dispatch::Outcome::kNotRun;
    answer.reason = dispatch::Reason::kTenantLimit;
    answer.retry_after = std::chrono::milliseconds(1200);
    const http::Response response = MakeAnswerResponse(answer, "");
    CPPUNIT_ASSERT_EQUAL(429, response.status);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), response.headers.at("retry-after"));
    CPPUNIT_ASSERT(response.body.find(R"("retry_after_ms":1200)") !=
                   std::string::npos);
  }

  void MapsOutcomesToHttpStatus() {
    using dispatch::Outcome;
    using dispatch::Reason;
    struct Case {
      Outcome outcome;
      Reason reason;
      int status;
    };
    const Case cases[] = {
        {Outcome::kComplete, Reason::kNone, 200},
        {Outcome::kRunning, Reason::kNone, 202},
        {Outcome::kFailed, Reason::kDeadline, 504},
        {Outcome::kFailed, Reason::kCancelled, 410},
        {Outcome::kFailed, Reason::kTaskFailed, 502},
        {Outcome::kUnknown, Reason::kHomeGone, 502},
        {Outcome::kNotRun, Reason::kNone, 404},
        {Outcome::kNotRun, Reason::kUnknownService, 400},
        {Outcome::kNotRun, Reason::kKeyReused, 409},
        {Outcome::kNotRun, Reason::kTooLarge, 413},
        {Outcome::kNotRun, Reason::kOverload, 503},
    };
    for (const Case& c : cases) {
      dispatch::JobAnswer answer;
      answer.outcome = c.outcome;
      answer.reason = c.reason;
      CPPUNIT_ASSERT_EQUAL(c.status, MakeAnswerResponse(answer, "").status);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobJsonTest);

}  // namespace
}  // namespace tarragon::daemons
