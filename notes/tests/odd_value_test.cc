#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "tarragon/notes/note_parser.h"
#include "tarragon/notes/world_codec.h"

namespace tarragon::notes {
namespace {

constexpr char kWorld[] =
    R"({"format":1,"version":2,"recent_notes":["n1"],"services":{"s":)"
    R"({"idempotent":true,"max_run_ms":100,"max_cores":4,"max_memory_mb":64}},)"
    R"("domains":{},"tenants":{}})";
constexpr char kEntries[] =
    R"({"format":1,"version":3,"members":[)"
    R"({"node":"127.0.0.1:7001~abc","domain":"szeged"}]})";

std::string MakeNested(const std::string& open, const std::string& close) {
  std::string text;
  for (int i = 0; i < 100000; ++i) text += open;
  for (int i = 0; i < 100000; ++i) text += close;
  return text;
}

std::string Replace(std::string text, const std::string& from,
                    const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

/// Odd values of other writers in the table that entries read. They must not
/// end the process, and must not be taken for a world or a list.
class OddValueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OddValueTest);
  CPPUNIT_TEST(RefusesNestedValues);
  CPPUNIT_TEST(RefusesOddNumbers);
  CPPUNIT_TEST(ReadsListWithUnreachableNode);
  CPPUNIT_TEST(RefusesNestedNote);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RefusesNestedValues() {
    for (const std::string& nested :
         {MakeNested("[", "]"), MakeNested("{\"a\":", "}")}) {
      CPPUNIT_ASSERT(!DecodeWorld(nested, nullptr));
      CPPUNIT_ASSERT(!DecodeEntries(nested, nullptr));
      CPPUNIT_ASSERT(
          !DecodeWorld(Replace(kWorld, "[\"n1\"]", nested), nullptr));
      CPPUNIT_ASSERT(
          !DecodeEntries(Replace(kEntries, "\"szeged\"", nested), nullptr));
    }
  }

  void RefusesOddNumbers() {
    CPPUNIT_ASSERT(DecodeWorld(kWorld, nullptr));
    CPPUNIT_ASSERT(DecodeEntries(kEntries, nullptr));
    for (const char* number :
         {"-1", "18446744073709551616", "1e400", "NaN", "1.5", "\"2\""}) {
      const std::string odd = number;
      CPPUNIT_ASSERT_MESSAGE(odd, !DecodeWorld(Replace(kWorld, "\"version\":2",
                                                       "\"version\":" + odd),
                                               nullptr));
      CPPUNIT_ASSERT_MESSAGE(
          odd, !DecodeWorld(Replace(kWorld, ":100", ":" + odd), nullptr));
      CPPUNIT_ASSERT_MESSAGE(
          odd, !DecodeEntries(
                   Replace(kEntries, "\"version\":3", "\"version\":" + odd),
                   nullptr));
    }
    CPPUNIT_ASSERT(
        !DecodeWorld(Replace(kWorld, ":100", ":4294967296"), nullptr));
  }

  // One member that nobody can reach does not keep entries from reading the
  // others; an operator can remove it.
  void ReadsListWithUnreachableNode() {
    for (const char* node :
         {"127.0.0.1:70000~abc", "127.0.0.1:0~abc", "host.example:80~abc"}) {
      const std::string odd = std::string("{\"node\":\"") + node +
                              "\",\"domain\":\"bekes\"},{\"node\":";
      const std::optional<dispatch::EntryList> list =
          DecodeEntries(Replace(kEntries, "{\"node\":", odd), nullptr);
      CPPUNIT_ASSERT_MESSAGE(node, list.has_value());
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, list->members.size());
    }
  }

  void RefusesNestedNote() {
    std::string note = "[note]\nid = n1\nbase = 0\n";
    note += MakeNested("[", "]") + "\n";
    std::vector<std::string> errors;
    CPPUNIT_ASSERT(!ParseNote(note, &errors));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddValueTest);

}  // namespace
}  // namespace tarragon::notes
