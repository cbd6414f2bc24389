#include "log_story.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace tarragon::ctl {
namespace {

constexpr char kTaken[] =
    "8.1 edge-1 2026-03-18T15:57:45.100Z info  coordinator/entry: Took in a "
    "job. id=34b3 queue=q tasks=2\n";
constexpr char kPlaced[] =
    "8.1 edge-1 2026-03-18T15:57:45.101Z info  coordinator/entry: Placed a "
    "task. id=34b3/0.1#1 target=t-9 waited=1ms\n";
constexpr char kPollLost[] =
    "side-2 2026-03-18T15:57:45.300Z info  gate/gate: A poll of the target was "
    "not answered. id=t-9\n";
constexpr char kGivenUp[] =
    "2026-03-18T15:57:46.030Z info  coordinator/entry: Gave up a job that has "
    "run in part. id=34b3 why=\"its time is over\" took=929ms\n";
constexpr char kOther[] =
    "2026-03-18T15:57:45.200Z info  coordinator/entry: Refused a job. "
    "id=34b3ff reason=overload\n";

/// The story of a job from the logs of several processes.
class LogStoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogStoryTest);
  CPPUNIT_TEST(TellsAJobInTheOrderOfTime);
  CPPUNIT_TEST(LeavesOutOtherJobsAndLaterTroubleOfATarget);
  CPPUNIT_TEST(ConcludesARefusal);
  CPPUNIT_TEST(SaysThatTheEndIsNotThere);
  CPPUNIT_TEST(SaysThatTheJobIsNotThere);
  CPPUNIT_TEST(PassesOverLinesWithoutATime);
  CPPUNIT_TEST(TellsTwoRunsOfOneTask);
  CPPUNIT_TEST(SaysThatLinesMayBeMissing);
  CPPUNIT_TEST_SUITE_END();

 public:
  static LogStory Read(const std::string& text, const std::string& job) {
    std::istringstream logs(text);
    return ReadLogStory(logs, job);
  }

  static std::string LineOf(const char* text) {
    std::string line(text);
    line.pop_back();
    return line;
  }

  void TellsAJobInTheOrderOfTime() {
    const LogStory story =
        Read(std::string(kPollLost) + kGivenUp + kTaken + kPlaced, "34b3");
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, story.lines.size());
    CPPUNIT_ASSERT_EQUAL(LineOf(kTaken), story.lines[0]);
    CPPUNIT_ASSERT_EQUAL(LineOf(kPlaced), story.lines[1]);
    CPPUNIT_ASSERT_EQUAL(LineOf(kPollLost), story.lines[2]);
    CPPUNIT_ASSERT_EQUAL(LineOf(kGivenUp), story.lines[3]);
    CPPUNIT_ASSERT_EQUAL(
        std::string("Given up after some tasks had run (504), why its time is "
                    "over, took 929ms."),
        story.conclusion);
  }

  void LeavesOutOtherJobsAndLaterTroubleOfATarget() {
    const std::string later =
        "side-2 2026-03-18T15:57:49.300Z info  gate/gate: A poll of the target "
        "was not answered. id=t-9\n";
    const LogStory story =
        Read(std::string(kTaken) + kPlaced + kOther + kGivenUp + later, "34b3");
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, story.lines.size());
  }

  void ConcludesARefusal() {
    CPPUNIT_ASSERT_EQUAL(std::string("Refused at once (503), reason overload."),
                         Read(kOther, "34b3ff").conclusion);
  }

  void SaysThatTheEndIsNotThere() {
    const LogStory story = Read(std::string(kTaken) + kPlaced, "34b3");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, story.lines.size());
    CPPUNIT_ASSERT(story.conclusion.find("No line tells") == 0);
  }

  void SaysThatTheJobIsNotThere() {
    const LogStory story = Read(kTaken, "beef");
    CPPUNIT_ASSERT(story.lines.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("The logs do not name this job."),
                         story.conclusion);
  }

  void PassesOverLinesWithoutATime() {
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        Read(std::string("no time id=34b3\n") + kTaken, "34b3").lines.size());
  }

  // Guards against a story that lacks what made the second run possible: the
  // first entry fell silent, and its run was listed after its end.
  void TellsTwoRunsOfOneTask() {
    const std::string day = "2026-03-18T15:57:";
    const std::vector<std::string> lines = {
        day +
            "45.101Z info  coordinator/entry: Placed a task. id=34b3/0.1#1 "
            "target=t-9 gate=10.0.0.9:7~b attempt=5 earlier_runs=0",
        day +
            "45.102Z info  gate/target: The target did not accept an order. "
            "id=34b3/0.1#1 order=/v1/run-start target=t-9 status=0",
        day +
            "45.300Z info  gate/gate: A run ended. id=34b3/0.1#1 end=refused "
            "entry=10.0.0.1:7~a ordered=199ms stop=unanswered_start",
        day +
            "45.900Z info  gate/gate: An entry is silent; stopping its runs. "
            "id=10.0.0.1:7~a silent=710ms runs=0",
        day +
            "46.000Z info  coordinator/entry: Accepted a job. id=34b3 "
            "attempt=1 earlier_runs=0",
        day +
            "46.100Z warn  gate/gate: The target lists a run that had ended "
            "here. id=34b3/0.1#1 end=refused ended=800ms entry=10.0.0.1:7~a"};
    const std::vector<std::string> others = {
        day + "45.500Z info  gate/gate: Reserved room. id=10.0.0.1:7~a",
        day +
            "45.600Z info  gate/gate: An entry is silent; stopping its runs. "
            "id=10.0.0.2:7~c silent=710ms runs=0"};
    std::string text;
    for (const std::string& line : others) text += line + "\n";
    for (const std::string& line : lines) text += line + "\n";
    CPPUNIT_ASSERT(lines == Read(text, "34b3").lines);
  }

  void SaysThatLinesMayBeMissing() {
    for (const std::string gap :
         {"warn  log: Dropped log lines. count=3",
          "info  gate/gate: Left out lines of the same sentence. count=3 "
          "sentence=\"A run ended.\""}) {
      const LogStory story =
          Read(std::string(kTaken) + "2026-03-18T15:57:46.200Z " + gap + "\n",
               "34b3");
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, story.lines.size());
      CPPUNIT_ASSERT(story.conclusion.find("lines may be missing") !=
                     std::string::npos);
    }
    CPPUNIT_ASSERT(Read(kTaken, "34b3").conclusion.find("missing") ==
                   std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogStoryTest);

}  // namespace
}  // namespace tarragon::ctl
