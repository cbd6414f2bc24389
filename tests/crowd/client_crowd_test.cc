#include <string>

#include "crowd_fixture.h"

namespace tarragon::crowd {
namespace {

constexpr std::size_t kMaxBodyBytes = std::size_t{256} * 1024;
/// One chunk that leaves a body just short of the limit.
constexpr std::size_t kLargeChunkBytes = kMaxBodyBytes - 64;
constexpr int kTinyChunks = 200000;
constexpr std::size_t kMaxHeaderBytes = std::size_t{16} * 1024;
constexpr int kPipelinedRequests = 500;
/// Steps and tasks of a job that are as many as a job may have.
constexpr int kMaxTasks = 10000;

std::string Repeat(const std::string& text, int count) {
  std::string all;
  for (int i = 0; i < count; ++i) all += text;
  return all;
}

std::string MakeChunk(std::size_t bytes) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes);
  return size + std::string(bytes, 'x') + "\r\n";
}

/// The request line and host of a submission by a client of a crowd. Each
/// client has a job of its own.
std::string MakePostLine(int client) {
  char line[80];
  std::snprintf(line, sizeof line,
                "POST /checks/c%015x HTTP/1.1\r\nHost: q.example\r\n", client);
  return line;
}

std::function<std::string(int)> MakeHead(const std::string& fields) {
  return
      [fields](int client) { return MakePostLine(client) + fields + "\r\n"; };
}

/// A whole submission of a body.
CrowdPlan MakeJobPlan(const std::string& body) {
  CrowdPlan plan;
  plan.head =
      MakeHead("Content-Length: " + std::to_string(body.size()) + "\r\n");
  plan.rest = body;
  return plan;
}

/// A job of many steps, each of which waits for the first one many times over.
std::string MakeManySteps() {
  const std::string room = R"({"count":1,"cpu":1)";
  const std::string step = room + R"(,"after":[0)" + Repeat(",0", 100) + "]}";
  std::string steps = room + "}";
  while (steps.size() + step.size() < kMaxBodyBytes - 100) steps += "," + step;
  return R"({"spec":"1 20000","best_effort":true,"steps":[)" + steps + "]}";
}

/// Crowds at the address of the clients.
class ClientCrowdTest : public CrowdFixture {
  CPPUNIT_TEST_SUITE(ClientCrowdTest);
  CPPUNIT_TEST(WithstandsSilence);
  CPPUNIT_TEST(WithstandsLargeChunks);
  CPPUNIT_TEST(WithstandsTinyChunks);
  CPPUNIT_TEST(WithstandsChunksThatNeverEnd);
  CPPUNIT_TEST(WithstandsBodiesWithLength);
  CPPUNIT_TEST(WithstandsExpectedBodies);
  CPPUNIT_TEST(WithstandsLongHeaders);
  CPPUNIT_TEST(WithstandsHeadersThatNeverEnd);
  CPPUNIT_TEST(WithstandsManyFields);
  CPPUNIT_TEST(WithstandsUnreadAnswers);
  CPPUNIT_TEST(WithstandsBodyAfterWholeRequest);
  CPPUNIT_TEST(WithstandsClientsThatConnectAnew);
  CPPUNIT_TEST(WithstandsSilentClientsThatConnectAnew);
  CPPUNIT_TEST(WithstandsJobsOfManyTasks);
  CPPUNIT_TEST(WithstandsJobsOfManySteps);
  CPPUNIT_TEST(WithstandsJobsWhoseTasksWait);
  CPPUNIT_TEST(WithstandsBodiesOfManyValues);
  CPPUNIT_TEST(WithstandsAllKindsAtOnce);
  CPPUNIT_TEST(GivesMemoryBackAfterCrowd);
  CPPUNIT_TEST(ServesLargestJobInCalm);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WithstandsSilence() { Withstand(ClientAddress(), CrowdPlan{}); }

  void WithstandsLargeChunks() {
    CrowdPlan plan;
    plan.head = MakeHead("Transfer-Encoding: chunked\r\n");
    plan.rest = MakeChunk(kLargeChunkBytes);
    Withstand(ClientAddress(), plan);
  }

  void WithstandsTinyChunks() {
    CrowdPlan plan;
    plan.head = MakeHead("Transfer-Encoding: chunked\r\n");
    plan.rest = Repeat(MakeChunk(1), kTinyChunks);
    Withstand(ClientAddress(), plan);
  }

  void WithstandsChunksThatNeverEnd() {
    CrowdPlan plan;
    plan.head = MakeHead("Transfer-Encoding: chunked\r\n");
    plan.rest = Repeat(MakeChunk(100), 100);
    plan.endless = true;
    Withstand(ClientAddress(), plan);
  }

  void WithstandsBodiesWithLength() {
    CrowdPlan plan;
    plan.head =
        MakeHead("Content-Length: " + std::to_string(kMaxBodyBytes) + "\r\n");
    plan.rest = std::string(kMaxBodyBytes - 1, 'x');
    Withstand(ClientAddress(), plan);
  }

  void WithstandsExpectedBodies() {
    CrowdPlan plan;
    plan.head = MakeHead(
        "Expect: 100-continue\r\n"
        "Content-Length: " +
        std::to_string(kMaxBodyBytes) + "\r\n");
    plan.rest = std::string(kMaxBodyBytes - 1, 'x');
    Withstand(ClientAddress(), plan);
  }

  void WithstandsLongHeaders() {
    CrowdPlan plan;
    plan.head = MakePostLine;
    plan.rest = Repeat("X: 12345678\r\n", kMaxHeaderBytes / 14);
    Withstand(ClientAddress(), plan);
  }

  void WithstandsHeadersThatNeverEnd() {
    CrowdPlan plan;
    plan.head = MakePostLine;
    plan.rest = Repeat("X: 12345678\r\n", 1000);
    plan.endless = true;
    Withstand(ClientAddress(), plan);
  }

  void WithstandsManyFields() {
    CrowdPlan plan;
    plan.head = MakeHead("Transfer-Encoding: chunked\r\n" +
                         Repeat("a:\r\n", (kMaxHeaderBytes - 200) / 4));
    plan.rest = MakeChunk(100);
    Withstand(ClientAddress(), plan);
  }

  void WithstandsUnreadAnswers() {
    CrowdPlan plan;
    plan.rest = Repeat("GET /checks/ HTTP/1.1\r\nHost: q.example\r\n\r\n",
                       kPipelinedRequests);
    plan.reads = false;
    Withstand(ClientAddress(), plan);
  }

  void WithstandsBodyAfterWholeRequest() {
    CrowdPlan plan;
    plan.head = [](int client) {
      return "GET /checks/ HTTP/1.1\r\nHost: q.example\r\n\r\n" +
             MakePostLine(client) + "Transfer-Encoding: chunked\r\n\r\n";
    };
    plan.rest = MakeChunk(kLargeChunkBytes);
    Withstand(ClientAddress(), plan);
  }

  void WithstandsClientsThatConnectAnew() {
    CrowdPlan plan;
    plan.connections = 20;
    plan.head = MakeHead("Transfer-Encoding: chunked\r\n");
    plan.rest = MakeChunk(kLargeChunkBytes);
    Withstand(ClientAddress(), plan);
  }

  void WithstandsSilentClientsThatConnectAnew() {
    CrowdPlan plan;
    plan.connections = 20;
    Withstand(ClientAddress(), plan);
  }

  void WithstandsJobsOfManyTasks() {
    Withstand(ClientAddress(),
              MakeJobPlan(MakeJobBody(
                  "1 20000", R"({"count":)" + std::to_string(kMaxTasks) +
                                 R"(,"cpu":1,"est_runtime_ms":1})")));
  }

  void WithstandsJobsOfManySteps() {
    Withstand(ClientAddress(), MakeJobPlan(MakeManySteps()));
  }

  void WithstandsJobsWhoseTasksWait() {
    // They wait for the first task and need no room, so that neither a target
    // nor the predicted wait limits their number.
    Withstand(ClientAddress(),
              MakeJobPlan(MakeJobBody(
                  "1 20000", R"({"count":1,"est_runtime_ms":1},)"
                             R"({"count":)" +
                                 std::to_string(kMaxTasks - 1) +
                                 R"(,"est_runtime_ms":1,"after":[0]})")));
  }

  void WithstandsBodiesOfManyValues() {
    const std::string object = R"({"a":{},"b":[]},)";
    std::string body = R"({"spec":"","steps":[)";
    while (body.size() + object.size() < kMaxBodyBytes - 10) body += object;
    Withstand(ClientAddress(), MakeJobPlan(body + "{}]}"));
  }

  void WithstandsAllKindsAtOnce() {
    const std::string job = MakeManySteps();
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    CrowdPlan plan;
    plan.connections = 3;
    plan.head = MakePostLine;
    plan.rests = {
        chunked + MakeChunk(kLargeChunkBytes),
        chunked + Repeat(MakeChunk(1), kTinyChunks),
        "Content-Length: " + std::to_string(job.size()) + "\r\n\r\n" + job,
        Repeat("X: 12345678\r\n", kMaxHeaderBytes / 14),
        "Expect: 100-continue\r\nContent-Length: 200000\r\n\r\n" +
            std::string(100000, 'x')};
    Withstand(ClientAddress(), plan);
  }

  void GivesMemoryBackAfterCrowd() {
    CrowdPlan plan;
    plan.head = MakeHead("Transfer-Encoding: chunked\r\n");
    plan.rest = MakeChunk(kLargeChunkBytes);
    Withstand(ClientAddress(), plan);
    AwaitFreedMemory();
  }

  void ServesLargestJobInCalm() {
    const std::string tail = R"(","best_effort":true,"steps":[{"count":1,)"
                             R"("cpu":125,"est_runtime_ms":20}]})";
    std::string body = R"({"spec":"125 20 )";
    body.append(kMaxBodyBytes - body.size() - tail.size(), 'x');
    // On a busy machine a job may end too late and is sent again. What the
    // limits refuse in calm, they refuse each time, and a counter tells of it.
    const http::Response response =
        SendUntilAnswered(ClientAddressText(), MakeJob(body + tail));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"completed"})"),
                         response.body);
    const std::string metrics = ReadMetrics(kEntry);
    for (const char* counter :
         {"connections_shed_total", "jobs_refused_for_memory_total"}) {
      CPPUNIT_ASSERT_MESSAGE(counter,
                             metrics.find(counter) == std::string::npos);
    }
    CheckProcesses();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientCrowdTest);

}  // namespace
}  // namespace tarragon::crowd
