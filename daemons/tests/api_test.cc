#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "client_api.h"
#include "operator_api.h"
#include "state_json.h"
#include "tarragon/dispatch/agent.h"

namespace tarragon::daemons {
namespace {

class ApiTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ApiTest);
  CPPUNIT_TEST(ClientApiRejectsWrongMethodsAndPaths);
  CPPUNIT_TEST(OperatorApiRejectsWrongMethodsAndPaths);
  CPPUNIT_TEST(ExplainOfUnknownKeyReturns404);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ClientApiRejectsWrongMethodsAndPaths() {
    ClientApi api(&board_, &clock_, []() {});
    CPPUNIT_ASSERT_EQUAL(405, Call(&api, "POST", "/v1/home").status);
    CPPUNIT_ASSERT_EQUAL(405, Call(&api, "GET", "/v1/jobs").status);
    CPPUNIT_ASSERT_EQUAL(405, Call(&api, "PUT", "/v1/jobs/k").status);
    CPPUNIT_ASSERT_EQUAL(404, Call(&api, "GET", "/v1/other").status);
    CPPUNIT_ASSERT_EQUAL(std::string("GET"),
                         Call(&api, "POST", "/v1/home").headers.at("allow"));
  }

  void OperatorApiRejectsWrongMethodsAndPaths() {
    OperatorApi api(
        &board_, &clock_, "t", []() {}, []() { return std::string("m"); });
    const std::vector<std::pair<std::string, std::string>> wrong = {
        {"POST", "/metrics"},        {"PUT", "/healthz"},
        {"DELETE", "/readyz"},       {"GET", "/v1/notes"},
        {"POST", "/v1/note"},        {"POST", "/v1/state"},
        {"DELETE", "/v1/explain/k"}, {"GET", "/v1/entries/e"},
    };
    for (const auto& [method, path] : wrong) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 405, Call(&api, method, path).status);
    }
    CPPUNIT_ASSERT_EQUAL(404, Call(&api, "GET", "/v1/other").status);
    CPPUNIT_ASSERT_EQUAL(200, Call(&api, "GET", "/v1/note").status);
    CPPUNIT_ASSERT_EQUAL(200, Call(&api, "GET", "/v1/state").status);
    CPPUNIT_ASSERT_EQUAL(200, Call(&api, "GET", "/metrics").status);
  }

  void ExplainOfUnknownKeyReturns404() {
    dispatch::AgentBoard home;
    const core::NodeId self{core::Address("127.0.0.1:1"), core::Incarnation(1)};
    const core::NodeId entry{core::Address("127.0.0.1:2"),
                             core::Incarnation(2)};
    dispatch::InitAgent(&home, core::Time{}, self, core::DomainId("d"), {}, 1);
    home.actions.clear();
    dispatch::OnMessage(&home, core::Time{}, entry,
                        dispatch::Explain{1, core::JobKey("k")});
    bool seen = false;
    for (const dispatch::AgentAction& action : home.actions) {
      const auto* send = std::get_if<dispatch::SendMessage>(&action);
      if (send == nullptr) continue;
      const auto* lines = std::get_if<dispatch::Explanation>(&send->message);
      if (lines == nullptr) continue;
      seen = true;
      CPPUNIT_ASSERT_EQUAL(404, MakeExplainResponse("k", lines->lines).status);
    }
    CPPUNIT_ASSERT(seen);
    CPPUNIT_ASSERT_EQUAL(200,
                         MakeExplainResponse("k", {"+0ms Took in."}).status);
  }

 private:
  template <typename Api>
  http::Response Call(Api* api, const std::string& method,
                      const std::string& path) {
    http::Request request;
    request.method = method;
    request.path = path;
    request.headers["authorization"] = "Bearer t";
    http::Response answer;
    answer.status = 0;
    api->HandleRequest(request,
                       [&answer](const http::Response& r) { answer = r; });
    return answer;
  }

  dispatch::EntryBoard board_;
  core::ManualClock clock_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ApiTest);

}  // namespace
}  // namespace tarragon::daemons
