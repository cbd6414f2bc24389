#include "tarragon/ctl/table.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragon::ctl {
namespace {

class TableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TableTest);
  CPPUNIT_TEST(PadsColumns);
  CPPUNIT_TEST(FillsEmptyAndMissingCells);
  CPPUNIT_TEST(CountsCharactersNotBytes);
  CPPUNIT_TEST(FormatsPlainMembers);
  CPPUNIT_TEST(FormatsObjectsOfObjects);
  CPPUNIT_TEST(FormatsArraysOfObjects);
  CPPUNIT_TEST(FindsDeeperTables);
  CPPUNIT_TEST(RefusesWhatIsNoObject);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PadsColumns() {
    const Table table{{"name", "n"}, {{"a", "100"}, {"longer", "7"}}};
    CPPUNIT_ASSERT_EQUAL(std::string("name      n\n"
                                     "a       100\n"
                                     "longer    7\n"),
                         FormatTable(table));
  }

  void FillsEmptyAndMissingCells() {
    const Table table{{"a", "b", "c"}, {{"x", ""}}};
    CPPUNIT_ASSERT_EQUAL(std::string("a  b  c\nx  -  -\n"), FormatTable(table));
  }

  void CountsCharactersNotBytes() {
    const Table table{{"domain", "x"}, {{"Fès", "a"}, {"Rabat2", "b"}}};
    CPPUNIT_ASSERT_EQUAL(std::string("domain  x\nFès     a\nRabat2  b\n"),
                         FormatTable(table));
  }

  void FormatsPlainMembers() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("version: 3\nnotes: a,b\nempty: -\ndeep.on: true\n"),
        FormatJsonForPeople(R"({"version":3,"notes":["a","b"],"empty":"",)"
                            R"("deep":{"on":true}})")
            .value_or(""));
  }

  void FormatsObjectsOfObjects() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("version: 1\n\nservices:\n"
                    "name   max_run_ms  idempotent\n"
                    "carve         500  -\n"
                    "fit             -  true\n"),
        FormatJsonForPeople(R"({"version":1,"services":{"carve":)"
                            R"({"max_run_ms":500},"fit":{"idempotent":true}}})")
            .value_or(""));
  }

  void FormatsArraysOfObjects() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("agents:\n"
                    "node  load.free  services\n"
                    "a             3  x,y\n"
                    "b             -  -\n"),
        FormatJsonForPeople(R"({"agents":[{"node":"a","load":{"free":3},)"
                            R"("services":["x","y"]},{"node":"b"}]})")
            .value_or(""));
  }

  void FindsDeeperTables() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("entries.version: 2\n\nentries.members:\nnode\na\n"),
        FormatJsonForPeople(
            R"({"entries":{"version":2,"members":[{"node":"a"}]}})")
            .value_or(""));
  }

  void RefusesWhatIsNoObject() {
    CPPUNIT_ASSERT(!FormatJsonForPeople("[1]"));
    CPPUNIT_ASSERT(!FormatJsonForPeople("plain"));
    CPPUNIT_ASSERT(!FormatJsonForPeople(""));
    CPPUNIT_ASSERT(!FormatJsonForPeople(std::string(100000, '[')));
    CPPUNIT_ASSERT(!FormatJsonForPeople(R"({"a":NaN})"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableTest);

}  // namespace
}  // namespace tarragon::ctl
