#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "client_api.h"
#include "operator_api.h"
#include "state_json.h"
#include "tarragon/dispatch/agent.h"
#include "tarragon/dispatch/entry.h"

namespace tarragon::daemons {
namespace {

class ApiTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ApiTest);
  CPPUNIT_TEST(ClientApiRejectsWrongMethodsAndPaths);
  CPPUNIT_TEST(OperatorApiRejectsWrongMethodsAndPaths);
  CPPUNIT_TEST(ExplainOfUnknownKeyReturns404);
  CPPUNIT_TEST(ExplainOfUnknownPlainKeyReturns404);
  CPPUNIT_TEST(ExplainOfMalformedKeyReturns400);
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
      const auto* found = std::get_if<dispatch::Explanation>(&send->message);
      if (found == nullptr) continue;
      seen = true;
      const dispatch::AnswerExplain answer{1, found->history, found->lines};
      CPPUNIT_ASSERT_EQUAL(404, MakeExplainResponse("k", answer).status);
    }
    CPPUNIT_ASSERT(seen);
    const dispatch::AnswerExplain known{
        1, dispatch::KeyHistory::kKnown, {"+0ms Took in."}};
    CPPUNIT_ASSERT_EQUAL(200, MakeExplainResponse("k", known).status);
  }

  void ExplainOfMalformedKeyReturns400() {
    OperatorApi api(
        &board_, &clock_, "t", []() {}, []() { return std::string("m"); });
    for (const std::string& key :
         {std::string(), std::string("a b"), std::string("a\x01"),
          std::string(201, 'k')}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          key, 400, Call(&api, "GET", "/v1/explain/" + key).status);
    }
  }

  void ExplainOfUnknownPlainKeyReturns404() {
    dispatch::InitEntry(&board_, clock_.Now(), Node("127.0.0.1:3"),
                        core::DomainId("d"), 1);
    http::Response response;
    response.status = 0;
    OperatorApi api(
        &board_, &clock_, "t", []() {}, []() { return std::string("m"); });
    http::Request request;
    request.method = "GET";
    request.path = "/v1/explain/plain-key";
    request.headers["authorization"] = "Bearer t";
    api.HandleRequest(request,
                      [&response](const http::Response& r) { response = r; });
    AnswerTableReads(dispatch::TableStatus::kMissing);
    SendExplainAnswers(&api);
    CPPUNIT_ASSERT_EQUAL(404, response.status);
  }

 private:
  static core::NodeId Node(const char* address) {
    return {core::Address(address), core::Incarnation(1)};
  }

  /// Answers every call to the table that the entry has requested so far.
  void AnswerTableReads(dispatch::TableStatus status) {
    std::vector<dispatch::EntryAction> actions;
    actions.swap(board_.actions);
    for (const dispatch::EntryAction& action : actions) {
      const auto* call = std::get_if<dispatch::TableCall>(&action);
      if (call == nullptr) continue;
      dispatch::TableReply reply;
      reply.number = call->number;
      reply.status = status;
      dispatch::OnTableReply(&board_, clock_.Now(), reply);
    }
  }

  void SendExplainAnswers(OperatorApi* api) {
    for (const dispatch::EntryAction& action : board_.actions) {
      const auto* answer = std::get_if<dispatch::AnswerExplain>(&action);
      if (answer != nullptr) api->SendAnswer(*answer);
    }
  }

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
