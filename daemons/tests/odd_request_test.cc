#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "announcement.h"
#include "job_json.h"

namespace tarragon::daemons {
namespace {

std::string MakeNested(const std::string& open, const std::string& close) {
  std::string text;
  for (int i = 0; i < 100000; ++i) text += open;
  for (int i = 0; i < 100000; ++i) text += close;
  return text;
}

/// Odd requests at the own interface: deep nesting, numbers that are too large
/// and ports out of range.
class OddRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OddRequestTest);
  CPPUNIT_TEST(RefusesNestedBodies);
  CPPUNIT_TEST(RefusesOddNumbers);
  CPPUNIT_TEST(RefusesOddPorts);
  CPPUNIT_TEST_SUITE_END();

 public:
  static std::string MakeAnnouncement(const std::string& address,
                                      const std::string& slots) {
    return "{\"address\":\"" + address +
           "\",\"services\":[\"s\"],\"slots\":" + slots + "}";
  }

  void RefusesNestedBodies() {
    for (const std::string& nested :
         {MakeNested("[", "]"), MakeNested("{\"a\":", "}"),
          "{\"tasks\":" + MakeNested("[", "]") + "}"}) {
      RequestError error;
      CPPUNIT_ASSERT(!ParseAnnouncement(nested, &error));
      CPPUNIT_ASSERT(!ParseSubmission(nested, &error));
    }
  }

  void RefusesOddNumbers() {
    RequestError error;
    CPPUNIT_ASSERT(
        ParseAnnouncement(MakeAnnouncement("10.0.0.9:80", "8"), &error));
    for (const char* number : {"-1", "9223372036854775808",
                               "18446744073709551616", "1e400", "NaN", "1.5"}) {
      CPPUNIT_ASSERT_MESSAGE(
          number,
          !ParseAnnouncement(MakeAnnouncement("10.0.0.9:80", number), &error));
      CPPUNIT_ASSERT_MESSAGE(
          number,
          !ParseSubmission("{\"service\":\"s\",\"tenant\":\"t\",\"tasks\":[{"
                           "\"payload\":\"p\"}],\"deadline_ms\":" +
                               std::string(number) + "}",
                           &error));
    }
  }

  void RefusesOddPorts() {
    for (const char* address : {"10.0.0.9:70000", "10.0.0.9:0", "10.0.0.9:-1",
                                "10.0.0.9:99999999999999999999"}) {
      RequestError error;
      CPPUNIT_ASSERT_MESSAGE(
          address, !ParseAnnouncement(MakeAnnouncement(address, "8"), &error));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddRequestTest);

}  // namespace
}  // namespace tarragon::daemons
