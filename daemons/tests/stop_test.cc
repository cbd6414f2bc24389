#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <optional>
#include <string>
#include <vector>

#include "open_work.h"
#include "tarragon/core/exit_code.h"
#include "tarragon/daemons/agent_daemon.h"
#include "tarragon/daemons/entry_daemon.h"
#include "tarragon/http/client.h"

namespace tarragon::daemons {
namespace {

constexpr char kNote[] =
    "[note]\nid = first\nbase = 0\n[add domain szeged]\nregion = alfold\n";

core::Settings ParseSettings(const std::vector<core::SettingSpec>& specs,
                             const std::vector<std::string>& overrides) {
  std::vector<core::SettingError> errors;
  const std::optional<core::Settings> settings =
      core::Settings::Parse(specs, "", "", overrides, &errors);
  CPPUNIT_ASSERT(settings.has_value());
  return *settings;
}

std::optional<core::Settings> FailReload() { return std::nullopt; }

/// The value of `name=VALUE` in a ready line.
std::string FindField(const std::string& line, const std::string& name) {
  const std::size_t at = line.find(name + "=") + name.size() + 1;
  return line.substr(at, line.find(' ', at) - at);
}

/// An entry whose table does not answer, so that a note stays open.
class StoppingEntry {
 public:
  StoppingEntry()
      : daemon_(io_,
                ParseSettings(
                    EntrySpecs(),
                    {"entry.listen=127.0.0.1:0", "clients.listen=127.0.0.1:0",
                     "operators.listen=127.0.0.1:0", "entry.domain=szeged",
                     "operators.token=t", "platform.table=127.0.0.1:1",
                     "policy.drain_limit=1s"}),
                FailReload),
        client_(io_, http::ClientLimits{}) {
    std::string reason;
    CPPUNIT_ASSERT_MESSAGE(reason, daemon_.Start(&reason));
  }

  void SendReleaseNote() {
    http::Request request;
    request.method = "POST";
    request.path = "/v1/notes";
    request.headers["authorization"] = "Bearer t";
    request.body = kNote;
    client_.Send(core::Address(FindField(daemon_.ReadyLine(), "operators")),
                 request, std::chrono::seconds(30),
                 [](std::optional<http::Response>, http::HttpError) {});
  }

  int Run() {
    io_.run();
    return daemon_.exit_code();
  }

  boost::asio::io_context& io() { return io_; }

 private:
  boost::asio::io_context io_;
  EntryDaemon daemon_;
  http::Client client_;
};

/// Raises SIGTERM after `pause`.
void RaiseSigtermAfter(boost::asio::steady_timer* timer,
                       std::chrono::milliseconds pause) {
  timer->expires_after(pause);
  timer->async_wait([](const boost::system::error_code& error) {
    if (!error) std::raise(SIGTERM);
  });
}

class StopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopTest);
  CPPUNIT_TEST(IdleAgentStopsWithExitOk);
  CPPUNIT_TEST(IdleEntryStopsWithExitOk);
  CPPUNIT_TEST(SecondSignalAbortsOpenWork);
  CPPUNIT_TEST(DrainLimitAbortsOpenWork);
  CPPUNIT_TEST(ListsOpenWorkOfAgent);
  CPPUNIT_TEST(ListsOpenWorkOfEntry);
  CPPUNIT_TEST_SUITE_END();

 public:
  void IdleAgentStopsWithExitOk() {
    boost::asio::io_context io;
    AgentDaemon daemon(
        io,
        ParseSettings(
            AgentSpecs(),
            {"agent.listen=127.0.0.1:0", "agent.target_listen=127.0.0.1:0",
             "agent.pages_listen=127.0.0.1:0", "agent.domain=szeged",
             "agent.entries=127.0.0.1:1"}),
        FailReload);
    std::string reason;
    CPPUNIT_ASSERT_MESSAGE(reason, daemon.Start(&reason));
    std::raise(SIGTERM);
    io.run();
    CPPUNIT_ASSERT_EQUAL(core::kExitOk, daemon.exit_code());
  }

  void IdleEntryStopsWithExitOk() {
    StoppingEntry entry;
    std::raise(SIGTERM);
    CPPUNIT_ASSERT_EQUAL(core::kExitOk, entry.Run());
  }

  void SecondSignalAbortsOpenWork() {
    StoppingEntry entry;
    entry.SendReleaseNote();
    boost::asio::steady_timer first(entry.io());
    boost::asio::steady_timer second(entry.io());
    RaiseSigtermAfter(&first, std::chrono::milliseconds(200));
    RaiseSigtermAfter(&second, std::chrono::milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(core::kExitFailure, entry.Run());
  }

  void DrainLimitAbortsOpenWork() {
    StoppingEntry entry;
    entry.SendReleaseNote();
    boost::asio::steady_timer first(entry.io());
    RaiseSigtermAfter(&first, std::chrono::milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(core::kExitFailure, entry.Run());
  }

  void ListsOpenWorkOfAgent() {
    dispatch::AgentBoard board;
    CPPUNIT_ASSERT(ListOpenWork(board).empty());
    board.active_jobs.insert(core::JobKey("h.1"));
    dispatch::Execution execution;
    execution.state = dispatch::ExecutionState::kRunning;
    board.executions[{core::JobKey("h.2"), core::TaskIndex(3)}] = execution;
    execution.state = dispatch::ExecutionState::kConfirmed;
    board.executions[{core::JobKey("h.3"), core::TaskIndex(0)}] = execution;
    CPPUNIT_ASSERT_EQUAL(std::string("job h.1, task 3 of h.2"),
                         JoinWithCommas(ListOpenWork(board)));
  }

  void ListsOpenWorkOfEntry() {
    dispatch::EntryBoard board;
    CPPUNIT_ASSERT(ListOpenWork(board).empty());
    board.requests[1].spec.key = core::JobKey("h.1");
    board.open_notes[2].note.id = core::NoteId("n");
    CPPUNIT_ASSERT_EQUAL(std::string("request h.1, note n"),
                         JoinWithCommas(ListOpenWork(board)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopTest);

}  // namespace
}  // namespace tarragon::daemons
