#include "operator_commands.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "fake_peer.h"
#include "tarragon/ctl/exit_code.h"

namespace tarragon::ctl {
namespace {

constexpr char kNoteText[] = "[note]\nid = first\nbase = 0\n";

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

class OperatorCommandsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorCommandsTest);
  CPPUNIT_TEST(MapsNoteAnswersToExitCodes);
  CPPUNIT_TEST(AppliesANote);
  CPPUNIT_TEST(PrintsAPendingNote);
  CPPUNIT_TEST(PrintsAllErrorsOfANote);
  CPPUNIT_TEST(AdvisesToSendAgainWhileThePlatformIsOut);
  CPPUNIT_TEST(SendsTheSameNoteAgainAfterALostAnswer);
  CPPUNIT_TEST(GivesUpAfterTheRetries);
  CPPUNIT_TEST(DoesNotSendANoteAgainThatWasAnswered);
  CPPUNIT_TEST(PrintsTheBodyAsItCame);
  CPPUNIT_TEST(RefusesANoteFileThatIsNotThere);
  CPPUNIT_TEST(ShowsState);
  CPPUNIT_TEST(ShowsABodyThatIsNoTable);
  CPPUNIT_TEST(SaysThatTheTokenIsWrong);
  CPPUNIT_TEST(ReportsNoAnswer);
  CPPUNIT_TEST(Explains);
  CPPUNIT_TEST(ExplainsNoUnknownKey);
  CPPUNIT_TEST(ExplainsFromLogs);
  CPPUNIT_TEST(RemovesAnEntry);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    file_ = "/tmp/tarragon-ctl-note-XXXXXX";
    const int handle = mkstemp(file_.data());
    CPPUNIT_ASSERT(handle >= 0);
    close(handle);
    std::ofstream(file_) << kNoteText;
    options_ = Options();
    options_.entry = core::Address("127.0.0.1:9");
    options_.token = "secret";
    options_.command = Command::kNoteApply;
    options_.argument = file_;
  }

  void tearDown() override { std::remove(file_.c_str()); }

  void MapsNoteAnswersToExitCodes() {
    CPPUNIT_ASSERT_EQUAL(0, NoteExitCode(200));
    CPPUNIT_ASSERT_EQUAL(4, NoteExitCode(202));
    CPPUNIT_ASSERT_EQUAL(3, NoteExitCode(400));
    CPPUNIT_ASSERT_EQUAL(5, NoteExitCode(409));
    CPPUNIT_ASSERT_EQUAL(6, NoteExitCode(503));
    CPPUNIT_ASSERT_EQUAL(1, NoteExitCode(401));
    CPPUNIT_ASSERT_EQUAL(1, NoteExitCode(500));
  }

  void AppliesANote() {
    FakePeer peer;
    peer.AddAnswer(200, R"({"version":8,"state":"accepted","note":"first"})");
    CPPUNIT_ASSERT_EQUAL(kExitOk, peer.Run(options_));
    CPPUNIT_ASSERT_EQUAL(std::string("Note first is accepted at version 8.\n"),
                         peer.out());
    const http::Request& request = peer.calls().at(0).request;
    CPPUNIT_ASSERT_EQUAL(std::string("POST"), request.method);
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/notes"), request.path);
    CPPUNIT_ASSERT_EQUAL(std::string("Bearer secret"),
                         request.headers.at("authorization"));
    CPPUNIT_ASSERT_EQUAL(std::string(kNoteText), request.body);
  }

  void PrintsAPendingNote() {
    FakePeer peer;
    peer.AddAnswer(202, R"({"version":8,"state":"pending","note":"first"})");
    CPPUNIT_ASSERT_EQUAL(kExitPending, peer.Run(options_));
    CPPUNIT_ASSERT(Contains(peer.out(), "not yet confirmed"));
  }

  void PrintsAllErrorsOfANote() {
    FakePeer peer;
    peer.AddAnswer(400, R"({"note":"first","detail":"one. two.",)"
                        R"("errors":["one.","two."]})");
    CPPUNIT_ASSERT_EQUAL(kExitInvalid, peer.Run(options_));
    CPPUNIT_ASSERT_EQUAL(std::string("The note has errors:\n  one.\n  two.\n"),
                         peer.err());
  }

  void AdvisesToSendAgainWhileThePlatformIsOut() {
    FakePeer peer;
    peer.AddAnswer(503, R"({"note":"first"})");
    CPPUNIT_ASSERT_EQUAL(kExitUnavailable, peer.Run(options_));
    CPPUNIT_ASSERT(Contains(peer.err(), "Send the same note again."));
  }

  void SendsTheSameNoteAgainAfterALostAnswer() {
    FakePeer peer;
    peer.AddLost();
    peer.AddLost();
    peer.AddAnswer(200, R"({"version":8,"note":"first"})");
    CPPUNIT_ASSERT_EQUAL(kExitOk, peer.Run(options_));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), peer.calls().size());
    CPPUNIT_ASSERT_EQUAL(peer.calls()[0].request.body,
                         peer.calls()[2].request.body);
  }

  void GivesUpAfterTheRetries() {
    FakePeer peer;
    options_.retries = 2;
    CPPUNIT_ASSERT_EQUAL(kExitUnavailable, peer.Run(options_));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), peer.calls().size());
    CPPUNIT_ASSERT(Contains(peer.err(), "Send the same note again."));
  }

  void DoesNotSendANoteAgainThatWasAnswered() {
    FakePeer peer;
    peer.AddAnswer(409, R"({"version":9,"state":"conflict","note":"first"})");
    CPPUNIT_ASSERT_EQUAL(kExitConflict, peer.Run(options_));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), peer.calls().size());
    CPPUNIT_ASSERT(Contains(peer.err(), "version 9"));
  }

  void PrintsTheBodyAsItCame() {
    FakePeer peer;
    options_.json = true;
    peer.AddAnswer(409, R"({ "version" : 9 })");
    CPPUNIT_ASSERT_EQUAL(kExitConflict, peer.Run(options_));
    CPPUNIT_ASSERT_EQUAL(std::string("{ \"version\" : 9 }\n"), peer.out());
    CPPUNIT_ASSERT_EQUAL(std::string(), peer.err());
  }

  void RefusesANoteFileThatIsNotThere() {
    FakePeer peer;
    options_.argument = file_ + "-none";
    CPPUNIT_ASSERT_EQUAL(kExitUsage, peer.Run(options_));
    CPPUNIT_ASSERT(peer.calls().empty());
  }

  void ShowsState() {
    FakePeer peer;
    options_.command = Command::kState;
    peer.AddAnswer(200, R"({"agents":[{"node":"a","slots":8}]})");
    CPPUNIT_ASSERT_EQUAL(kExitOk, peer.Run(options_));
    CPPUNIT_ASSERT_EQUAL(std::string("agents:\nnode  slots\na         8\n"),
                         peer.out());
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/state"),
                         peer.calls()[0].request.path);
  }

  void ShowsABodyThatIsNoTable() {
    FakePeer peer;
    options_.command = Command::kNoteShow;
    peer.AddAnswer(200, "plain");
    CPPUNIT_ASSERT_EQUAL(kExitOk, peer.Run(options_));
    CPPUNIT_ASSERT_EQUAL(std::string("plain\n"), peer.out());
  }

  void SaysThatTheTokenIsWrong() {
    FakePeer peer;
    options_.command = Command::kState;
    peer.AddAnswer(401, R"({"reason":"unauthorized"})");
    CPPUNIT_ASSERT_EQUAL(kExitFailure, peer.Run(options_));
    CPPUNIT_ASSERT(Contains(peer.err(), "The token is wrong."));
  }

  void ReportsNoAnswer() {
    FakePeer peer;
    options_.command = Command::kState;
    CPPUNIT_ASSERT_EQUAL(kExitUnavailable, peer.Run(options_));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), peer.calls().size());
  }

  void Explains() {
    FakePeer peer;
    options_.command = Command::kExplain;
    options_.argument = "H.1";
    peer.AddAnswer(200, R"({"key":"H.1","lines":["first","second"]})");
    CPPUNIT_ASSERT_EQUAL(kExitOk, peer.Run(options_));
    CPPUNIT_ASSERT_EQUAL(std::string("first\nsecond\n"), peer.out());
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/explain/H.1"),
                         peer.calls()[0].request.path);
  }

  void ExplainsNoUnknownKey() {
    FakePeer peer;
    options_.command = Command::kExplain;
    options_.argument = "H.1";
    peer.AddAnswer(404, R"({"detail":"No job is known under this key."})");
    CPPUNIT_ASSERT_EQUAL(kExitJobNotRun, peer.Run(options_));
    CPPUNIT_ASSERT_EQUAL(std::string(), peer.out());
    CPPUNIT_ASSERT_EQUAL(std::string("No job is known under this key.\n"),
                         peer.err());
  }

  void ExplainsFromLogs() {
    options_.argument = "34b3";
    std::istringstream logs(
        "2026-03-18T15:57:45.200Z info  coordinator/entry: Refused a job. "
        "id=34b3 reason=overload\n");
    std::ostringstream out;
    const Output output{out, out};
    CPPUNIT_ASSERT_EQUAL(kExitOk, ExplainFromLogs(options_, logs, output));
    CPPUNIT_ASSERT(Contains(out.str(), "reason overload."));
    std::istringstream none("");
    CPPUNIT_ASSERT_EQUAL(kExitFailure, ExplainFromLogs(options_, none, output));
  }

  void RemovesAnEntry() {
    FakePeer peer;
    options_.command = Command::kEntriesRemove;
    options_.argument = "127.0.0.1:1~a";
    peer.AddAnswer(200, R"({"state":"removed"})");
    CPPUNIT_ASSERT_EQUAL(kExitOk, peer.Run(options_));
    CPPUNIT_ASSERT_EQUAL(std::string("DELETE"), peer.calls()[0].request.method);
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/entries/127.0.0.1:1~a"),
                         peer.calls()[0].request.path);
    peer.AddAnswer(404, R"({"detail":"No such entry is registered."})");
    CPPUNIT_ASSERT_EQUAL(kExitFailure, peer.Run(options_));
    CPPUNIT_ASSERT(Contains(peer.err(), "No such entry is registered."));
  }

 private:
  std::string file_;
  Options options_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorCommandsTest);

}  // namespace
}  // namespace tarragon::ctl
