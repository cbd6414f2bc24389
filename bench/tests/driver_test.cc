#include "tarragon/bench/driver.h"

#include <cppunit/extensions/HelperMacros.h>
#include <boost/json.hpp>

#include <map>
#include <set>

#include "tarragon/http/server.h"

namespace tarragon::bench {
namespace {

namespace json = boost::json;

constexpr int kDropConnection = 0;

http::Response Plain(int status, std::string body) {
  http::Response response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

/// An entry that answers each submission by a function of the test.
class FakeEntry {
 public:
  struct Submission {
    std::string key;
    std::string body;
    json::object job;
  };
  /// `seen` counts the submissions of the key before this one.
  using Answer =
      std::function<http::Response(const Submission& submission, int seen)>;

  explicit FakeEntry(boost::asio::io_context& io, Answer answer)
      : answer_(std::move(answer)),
        server_(io, http::ServerLimits(),
                [this](const http::Request& request,
                       const http::Responder& respond) {
                  respond(Route(request));
                }) {
    http::HttpError reason;
    address_ = server_.Listen(core::Address("127.0.0.1:0"), &reason).value();
  }

  /// Every text result that the tasks ask for.
  static http::Response Complete(const Submission& submission) {
    json::array results;
    for (const json::value& task : submission.job.at("tasks").as_array()) {
      const json::value payload =
          json::parse(task.as_object().at("payload").as_string());
      results.push_back(payload.as_object().at("result"));
    }
    return Plain(200, json::serialize(json::object{{"key", submission.key},
                                                   {"outcome", "complete"},
                                                   {"reason", "none"},
                                                   {"handle", "H2"},
                                                   {"results", results}}));
  }

  static http::Response Refuse(const Submission& submission, const char* reason,
                               int retry_after_ms) {
    return Plain(
        503, json::serialize(json::object{{"key", submission.key},
                                          {"outcome", "not_run"},
                                          {"reason", reason},
                                          {"retry_after_ms", retry_after_ms}}));
  }

  const core::Address& address() const { return address_; }
  const std::vector<Submission>& submissions() const { return submissions_; }
  int queries() const { return queries_; }
  int handles() const { return handles_; }
  /// What a call for a handle gets; 200 unless set.
  void set_handle_response(http::Response response) {
    handle_response_ = std::move(response);
  }

 private:
  http::Response Route(const http::Request& request) {
    if (request.path == "/v1/home") {
      ++handles_;
      return handle_response_;
    }
    if (request.method == "POST") return OnSubmission(request);
    ++queries_;
    return Complete(submissions_.back());
  }

  http::Response OnSubmission(const http::Request& request) {
    const std::string key = request.headers.at("idempotency-key");
    submissions_.push_back(
        {key, request.body, json::parse(request.body).as_object()});
    return answer_(submissions_.back(), seen_[key]++);
  }

  Answer answer_;
  http::Server server_;
  core::Address address_;
  http::Response handle_response_ =
      Plain(200, R"({"handle":"H1","valid_ms":600000})");
  std::vector<Submission> submissions_;
  std::map<std::string, int> seen_;
  int queries_ = 0;
  int handles_ = 0;
};

/// Jobs that are all due at once, with one to three tasks.
RunPlan SmallPlan(std::size_t jobs) {
  RunPlan plan;
  plan.preset = LoadPreset("kaptafa", nullptr).value();
  plan.preset.services.resize(1);
  for (std::size_t i = 0; i < jobs; ++i) {
    PlannedJob& job = plan.jobs.emplace_back();
    job.service = plan.preset.services[0].service;
    job.tenant = plan.preset.tenants[0].tenant;
    job.runs.assign(1 + i % 3, std::chrono::milliseconds(120));
  }
  return plan;
}

class DriverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DriverTest);
  CPPUNIT_TEST(CompletesEveryJob);
  CPPUNIT_TEST(ResubmitsTheSameAfterALostAnswer);
  CPPUNIT_TEST(GoesToAnotherAddressAfterALostAnswer);
  CPPUNIT_TEST(CountsRefusals);
  CPPUNIT_TEST(ComesBackWithTheSameKey);
  CPPUNIT_TEST(ComesBackWithANewKeyFromAFreshHandle);
  CPPUNIT_TEST(AsksAgainWhileTheJobRuns);
  CPPUNIT_TEST(FindsCrossedResults);
  CPPUNIT_TEST(FindsPartialResults);
  CPPUNIT_TEST(FindsAnswersToOtherKeys);
  CPPUNIT_TEST(BoundsOutstandingJobs);
  CPPUNIT_TEST(TakesARefusedHandleAsARefusal);
  CPPUNIT_TEST(EndsWithoutAnEntry);
  CPPUNIT_TEST(EndsAnEmptyPlan);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CompletesEveryJob() {
    FakeEntry entry(io_, [](const FakeEntry::Submission& submission, int) {
      return FakeEntry::Complete(submission);
    });
    const RunResult result = Run(SmallPlan(20), {entry.address()});
    for (const JobRecord& record : result.records) {
      CPPUNIT_ASSERT(record.end == JobEnd::kComplete);
      CPPUNIT_ASSERT(!record.crossed);
      CPPUNIT_ASSERT(!record.partial);
      CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), record.resubmissions);
    }
    std::set<std::string> keys;
    for (const FakeEntry::Submission& submission : entry.submissions()) {
      keys.insert(submission.key);
      CPPUNIT_ASSERT(submission.job.at("service").as_string() == "heel-pitch");
      CPPUNIT_ASSERT(submission.job.at("deadline_ms").as_int64() == 30000);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(20), keys.size());
    CPPUNIT_ASSERT_EQUAL(1, entry.handles());
    CPPUNIT_ASSERT(entry.submissions()[0].body.find("\\\"work_ms\\\":120") !=
                   std::string::npos);
  }

  void ResubmitsTheSameAfterALostAnswer() {
    FakeEntry entry(io_, [](const FakeEntry::Submission& submission, int seen) {
      return seen < 2 ? Plain(kDropConnection, "")
                      : FakeEntry::Complete(submission);
    });
    const RunResult result = Run(SmallPlan(1), {entry.address()});
    CPPUNIT_ASSERT(result.records[0].end == JobEnd::kComplete);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), result.records[0].resubmissions);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), result.records[0].lost_answers);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), entry.submissions().size());
    CPPUNIT_ASSERT_EQUAL(entry.submissions()[0].key,
                         entry.submissions()[2].key);
    CPPUNIT_ASSERT_EQUAL(entry.submissions()[0].body,
                         entry.submissions()[2].body);
  }

  void GoesToAnotherAddressAfterALostAnswer() {
    const FakeEntry::Answer drop = [](const FakeEntry::Submission&, int) {
      return Plain(kDropConnection, "");
    };
    const FakeEntry::Answer complete =
        [](const FakeEntry::Submission& submission, int) {
          return FakeEntry::Complete(submission);
        };
    FakeEntry dropping(io_, drop);
    FakeEntry working(io_, complete);
    const RunResult result =
        Run(SmallPlan(2), {dropping.address(), working.address()});
    for (const JobRecord& record : result.records) {
      CPPUNIT_ASSERT(record.end == JobEnd::kComplete);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), dropping.submissions().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), working.submissions().size());
  }

  void CountsRefusals() {
    FakeEntry entry(io_, [](const FakeEntry::Submission& submission, int) {
      return FakeEntry::Refuse(submission, "overload", 1);
    });
    const RunResult result = Run(SmallPlan(3), {entry.address()});
    for (const JobRecord& record : result.records) {
      CPPUNIT_ASSERT(record.end == JobEnd::kNotRun);
      CPPUNIT_ASSERT_EQUAL(std::string("overload"), record.reason);
      CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), record.refusals);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), result.refusal_times.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), entry.submissions().size());
  }

  void ComesBackWithTheSameKey() {
    options_.retry_refused = true;
    FakeEntry entry(io_, [](const FakeEntry::Submission& submission, int seen) {
      return seen == 0 ? FakeEntry::Refuse(submission, "overload", 1)
                       : FakeEntry::Complete(submission);
    });
    const RunResult result = Run(SmallPlan(1), {entry.address()});
    CPPUNIT_ASSERT(result.records[0].end == JobEnd::kComplete);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), result.records[0].refusals);
    CPPUNIT_ASSERT_EQUAL(entry.submissions()[0].key,
                         entry.submissions()[1].key);
  }

  void ComesBackWithANewKeyFromAFreshHandle() {
    options_.retry_refused = true;
    std::string first_key;
    FakeEntry entry(io_, [&](const FakeEntry::Submission& submission, int) {
      if (first_key.empty()) first_key = submission.key;
      return submission.key == first_key
                 ? FakeEntry::Refuse(submission, "home_gone", 1)
                 : FakeEntry::Complete(submission);
    });
    const RunResult result = Run(SmallPlan(1), {entry.address()});
    CPPUNIT_ASSERT(result.records[0].end == JobEnd::kComplete);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), entry.submissions().size());
    CPPUNIT_ASSERT_EQUAL(2, entry.handles());
  }

  void AsksAgainWhileTheJobRuns() {
    FakeEntry entry(io_, [](const FakeEntry::Submission&, int) {
      return Plain(202, R"({"outcome":"running"})");
    });
    const RunResult result = Run(SmallPlan(1), {entry.address()});
    CPPUNIT_ASSERT(result.records[0].end == JobEnd::kComplete);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.submissions().size());
    CPPUNIT_ASSERT_EQUAL(1, entry.queries());
  }

  void FindsCrossedResults() {
    FakeEntry entry(io_, [](const FakeEntry::Submission& submission, int) {
      http::Response response = FakeEntry::Complete(submission);
      response.body.replace(response.body.find("/0\""), 3, "/1\"");
      return response;
    });
    const RunResult result = Run(SmallPlan(1), {entry.address()});
    CPPUNIT_ASSERT(result.records[0].crossed);
    CPPUNIT_ASSERT(!result.records[0].partial);
  }

  void FindsPartialResults() {
    FakeEntry entry(io_, [](const FakeEntry::Submission& submission, int) {
      return Plain(200,
                   json::serialize(json::object{{"key", submission.key},
                                                {"outcome", "complete"},
                                                {"results", json::array()}}));
    });
    const RunResult result = Run(SmallPlan(1), {entry.address()});
    CPPUNIT_ASSERT(result.records[0].partial);
    CPPUNIT_ASSERT(!result.records[0].crossed);
  }

  void FindsAnswersToOtherKeys() {
    FakeEntry entry(io_, [](const FakeEntry::Submission& submission, int) {
      json::object body =
          json::parse(FakeEntry::Complete(submission).body).as_object();
      body["key"] = "H1.other";
      return Plain(200, json::serialize(body));
    });
    CPPUNIT_ASSERT(Run(SmallPlan(1), {entry.address()}).records[0].crossed);
  }

  void BoundsOutstandingJobs() {
    options_.max_outstanding = 4;
    FakeEntry entry(io_, [](const FakeEntry::Submission& submission, int) {
      return FakeEntry::Complete(submission);
    });
    const RunResult result = Run(SmallPlan(10), {entry.address()});
    int complete = 0;
    for (const JobRecord& record : result.records) {
      if (record.end == JobEnd::kComplete) {
        ++complete;
        continue;
      }
      CPPUNIT_ASSERT(record.end == JobEnd::kNotSubmitted);
      CPPUNIT_ASSERT_EQUAL(std::string("bench_limit"), record.reason);
    }
    CPPUNIT_ASSERT_EQUAL(4, complete);
  }

  void TakesARefusedHandleAsARefusal() {
    FakeEntry entry(io_, [](const FakeEntry::Submission& submission, int) {
      return FakeEntry::Complete(submission);
    });
    entry.set_handle_response(
        Plain(503, R"({"outcome":"not_run","reason":"no_target"})"));
    const RunResult result = Run(SmallPlan(2), {entry.address()});
    for (const JobRecord& record : result.records) {
      CPPUNIT_ASSERT(record.end == JobEnd::kNotRun);
      CPPUNIT_ASSERT_EQUAL(std::string("no_target"), record.reason);
    }
    CPPUNIT_ASSERT(entry.submissions().empty());
  }

  void EndsWithoutAnEntry() {
    RunPlan plan = SmallPlan(2);
    plan.preset.deadline = std::chrono::milliseconds(1);
    const RunResult result = Run(plan, {core::Address("127.0.0.1:1")});
    for (const JobRecord& record : result.records) {
      CPPUNIT_ASSERT(record.end == JobEnd::kNotSubmitted);
      CPPUNIT_ASSERT_EQUAL(std::string("no_handle"), record.reason);
    }
  }

  void EndsAnEmptyPlan() {
    CPPUNIT_ASSERT(
        Run(SmallPlan(0), {core::Address("127.0.0.1:1")}).records.empty());
  }

 private:
  RunResult Run(const RunPlan& plan, std::vector<core::Address> clients) {
    const core::SystemClock clock;
    options_.clients = std::move(clients);
    Driver driver(io_, clock, plan, options_);
    driver.Start([this] { io_.stop(); });
    io_.run();
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), driver.progress().outstanding);
    return driver.result();
  }

  boost::asio::io_context io_{1};
  DriverOptions options_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DriverTest);

}  // namespace
}  // namespace tarragon::bench
