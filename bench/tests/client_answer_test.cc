#include "tarragon/bench/client_answer.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragon::bench {
namespace {

using http::HttpErrorKind;

constexpr core::Duration kInTime = std::chrono::seconds(1);
constexpr core::Duration kLate = std::chrono::seconds(0);

ClientAnswer Read(int status, const std::string& body) {
  http::Response response;
  response.status = status;
  response.body = body;
  return ReadClientAnswer(response);
}

class ClientAnswerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClientAnswerTest);
  CPPUNIT_TEST(ReadsACompleteAnswer);
  CPPUNIT_TEST(ReadsARefusal);
  CPPUNIT_TEST(ReadsARunningAnswer);
  CPPUNIT_TEST(RefusesOtherAnswers);
  CPPUNIT_TEST(NamesRoundTrip);
  CPPUNIT_TEST(EndsWithAFinalAnswer);
  CPPUNIT_TEST(ResubmitsAfterALostAnswer);
  CPPUNIT_TEST(AsksAgainWhileRunning);
  CPPUNIT_TEST(ComesBackOnlyIfAskedAndTold);
  CPPUNIT_TEST(KnowsSpentHandles);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsACompleteAnswer() {
    const ClientAnswer answer =
        Read(200, R"({"key":"H.1","outcome":"complete","reason":"none",)"
                  R"("handle":"H2","results":["a","b"]})");
    CPPUNIT_ASSERT(answer.kind == ClientAnswer::Kind::kFinal);
    CPPUNIT_ASSERT(answer.end == JobEnd::kComplete);
    CPPUNIT_ASSERT_EQUAL(std::string("H.1"), answer.key);
    CPPUNIT_ASSERT_EQUAL(std::string("H2"), answer.handle);
    CPPUNIT_ASSERT(answer.results == std::vector<std::string>({"a", "b"}));
  }

  void ReadsARefusal() {
    const ClientAnswer answer = Read(
        503,
        R"({"outcome":"not_run","reason":"overload","retry_after_ms":20})");
    CPPUNIT_ASSERT(answer.end == JobEnd::kNotRun);
    CPPUNIT_ASSERT_EQUAL(std::string("overload"), answer.reason);
    CPPUNIT_ASSERT(answer.retry_after == std::chrono::milliseconds(20));
    CPPUNIT_ASSERT(answer.handle.empty());
  }

  void ReadsARunningAnswer() {
    CPPUNIT_ASSERT(Read(202, R"({"outcome":"running"})").kind ==
                   ClientAnswer::Kind::kRunning);
  }

  void RefusesOtherAnswers() {
    for (const char* body : {"", "[]", "{}", R"({"outcome":"no_answer"})",
                             R"({"outcome":"other"})", R"({"outcome":7})"}) {
      const ClientAnswer answer = Read(500, body);
      CPPUNIT_ASSERT(answer.kind == ClientAnswer::Kind::kMalformed);
      CPPUNIT_ASSERT(answer.end == JobEnd::kBadAnswer);
      CPPUNIT_ASSERT_EQUAL(std::string("status_500"), answer.reason);
    }
  }

  void NamesRoundTrip() {
    for (const JobEnd end :
         {JobEnd::kComplete, JobEnd::kFailed, JobEnd::kNotRun, JobEnd::kUnknown,
          JobEnd::kNoAnswer, JobEnd::kNotSubmitted, JobEnd::kBadAnswer}) {
      CPPUNIT_ASSERT(ParseJobEnd(Name(end)) == end);
    }
    CPPUNIT_ASSERT(!ParseJobEnd("other"));
  }

  void EndsWithAFinalAnswer() {
    for (const char* outcome : {"complete", "failed", "unknown"}) {
      const ClientAnswer answer =
          Read(200, std::string("{\"outcome\":\"") + outcome +
                        "\",\"retry_after_ms\":5}");
      CPPUNIT_ASSERT(Decide(answer, HttpErrorKind::kNone, kInTime, true) ==
                     NextStep::kEnd);
    }
    CPPUNIT_ASSERT(Decide(Read(500, ""), HttpErrorKind::kNone, kInTime, true) ==
                   NextStep::kEnd);
  }

  void ResubmitsAfterALostAnswer() {
    for (const HttpErrorKind lost :
         {HttpErrorKind::kNotSent, HttpErrorKind::kNoAnswer}) {
      CPPUNIT_ASSERT(Decide(std::nullopt, lost, kInTime, false) ==
                     NextStep::kResubmit);
      CPPUNIT_ASSERT(Decide(std::nullopt, lost, kLate, false) ==
                     NextStep::kEnd);
    }
    CPPUNIT_ASSERT(Decide(std::nullopt, HttpErrorKind::kBadAddress, kInTime,
                          false) == NextStep::kEnd);
  }

  void AsksAgainWhileRunning() {
    const ClientAnswer running = Read(202, R"({"outcome":"running"})");
    CPPUNIT_ASSERT(Decide(running, HttpErrorKind::kNone, kInTime, false) ==
                   NextStep::kAskAgain);
    CPPUNIT_ASSERT(Decide(running, HttpErrorKind::kNone, kLate, false) ==
                   NextStep::kEnd);
  }

  void ComesBackOnlyIfAskedAndTold() {
    ClientAnswer refusal = Read(
        503,
        R"({"outcome":"not_run","reason":"overload","retry_after_ms":20})");
    CPPUNIT_ASSERT(Decide(refusal, HttpErrorKind::kNone, kInTime, true) ==
                   NextStep::kComeBack);
    CPPUNIT_ASSERT(Decide(refusal, HttpErrorKind::kNone, kInTime, false) ==
                   NextStep::kEnd);
    // It would come back after the deadline.
    CPPUNIT_ASSERT(Decide(refusal, HttpErrorKind::kNone,
                          std::chrono::milliseconds(20),
                          true) == NextStep::kEnd);
    refusal.retry_after = core::Duration(0);
    CPPUNIT_ASSERT(Decide(refusal, HttpErrorKind::kNone, kInTime, true) ==
                   NextStep::kEnd);
  }

  void KnowsSpentHandles() {
    for (const char* spent : {"handle_expired", "home_gone", "leaving"}) {
      CPPUNIT_ASSERT(HandleIsSpent(spent));
      CPPUNIT_ASSERT(NeedsNewKey(spent));
    }
    CPPUNIT_ASSERT(NeedsNewKey("sealed"));
    CPPUNIT_ASSERT(!HandleIsSpent("sealed"));
    CPPUNIT_ASSERT(!NeedsNewKey("overload"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientAnswerTest);

}  // namespace
}  // namespace tarragon::bench
