#include "announcement.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>

namespace tarragon::daemons {
namespace {

std::string MakeBody(const std::string& address, const std::string& services,
                     const std::string& rest) {
  return R"({"address":")" + address + R"(","services":)" + services +
         R"(,"slots":8)" + rest + "}";
}

void AssertRejected(const std::string& body, const std::string& detail) {
  RequestError error;
  CPPUNIT_ASSERT_MESSAGE(body, !ParseAnnouncement(body, &error).has_value());
  CPPUNIT_ASSERT_EQUAL_MESSAGE(body, detail, error.detail);
}

class AnnouncementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnnouncementTest);
  CPPUNIT_TEST(ParsesCompleteAnnouncement);
  CPPUNIT_TEST(RejectsInvalidAddresses);
  CPPUNIT_TEST(RejectsInvalidServiceNames);
  CPPUNIT_TEST(RejectsInvalidCountsAndFlags);
  CPPUNIT_TEST(RejectsUnknownMembers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ParsesCompleteAnnouncement() {
    RequestError error;
    const std::optional<dispatch::Target> target = ParseAnnouncement(
        MakeBody("127.0.0.1:9", R"(["a","b.c"])",
                 R"(,"cores":4,"memory_mb":64,"running":3,"leaving":true)"),
        &error);
    CPPUNIT_ASSERT_MESSAGE(error.detail, target.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, target->services.size());
    CPPUNIT_ASSERT_EQUAL(8U, target->slots);
    CPPUNIT_ASSERT_EQUAL(4U, target->cores);
    CPPUNIT_ASSERT_EQUAL(64U, target->memory_mb);
    CPPUNIT_ASSERT_EQUAL(3U, target->foreign_running);
    CPPUNIT_ASSERT(target->leaving);
    CPPUNIT_ASSERT(
        ParseAnnouncement(MakeBody("[::1]:9", R"(["a"])", ""), &error)
            .has_value());
  }

  void RejectsInvalidAddresses() {
    for (const char* address :
         {"localhost:9", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536",
          "127.0.0.1:9x", "::1:9", "[127.0.0.1]:9", ":9", "127.0.0.1:"}) {
      AssertRejected(MakeBody(address, R"(["a"])", ""),
                     "address must be IP:port.");
    }
    AssertRejected(R"({"services":["a"],"slots":1})",
                   "address must be a string.");
  }

  void RejectsInvalidServiceNames() {
    const std::string names =
        "services must be names of 1 to 64 characters of A-Z a-z 0-9 _ . -.";
    AssertRejected(MakeBody("127.0.0.1:9", R"([""])", ""), names);
    AssertRejected(MakeBody("127.0.0.1:9", R"(["a b"])", ""), names);
    AssertRejected(MakeBody("127.0.0.1:9", R"([1])", ""), names);
    AssertRejected(MakeBody("127.0.0.1:9", "[]", ""),
                   "services must have 1 to 256 names.");
    AssertRejected(MakeBody("127.0.0.1:9", R"("a")", ""),
                   "services must be an array.");
  }

  void RejectsInvalidCountsAndFlags() {
    AssertRejected(MakeBody("127.0.0.1:9", R"(["a"])", R"(,"leaving":1)"),
                   "leaving must be true or false.");
    AssertRejected(MakeBody("127.0.0.1:9", R"(["a"])", R"(,"running":-1)"),
                   "running must be an integer from 0 to 4096.");
    AssertRejected(R"({"address":"127.0.0.1:9","services":["a"]})",
                   "slots is missing.");
  }

  void RejectsUnknownMembers() {
    AssertRejected(MakeBody("127.0.0.1:9", R"(["a"])", R"(,"extra":1)"),
                   "has unknown members.");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnnouncementTest);

}  // namespace
}  // namespace tarragon::daemons
