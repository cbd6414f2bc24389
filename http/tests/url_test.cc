#include "url.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragon::http {
namespace {

class UrlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UrlTest);
  CPPUNIT_TEST(DecodesPathAndQuery);
  CPPUNIT_TEST(ReadsOddButValidTargets);
  CPPUNIT_TEST(RefusesMalformedTargets);
  CPPUNIT_TEST(EveryByteRoundTrips);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DecodesPathAndQuery() {
    const auto target =
        ParseTarget("/v1/jobs/a%2Fb+c?wait_ms=50&name=x+y%26z&flag&empty=");
    CPPUNIT_ASSERT(target.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/jobs/a/b+c"), target->path);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, target->query.size());
    CPPUNIT_ASSERT_EQUAL(std::string("50"), target->query.at("wait_ms"));
    CPPUNIT_ASSERT_EQUAL(std::string("x y&z"), target->query.at("name"));
    CPPUNIT_ASSERT_EQUAL(std::string(), target->query.at("flag"));
    CPPUNIT_ASSERT_EQUAL(std::string(), target->query.at("empty"));
  }

  void ReadsOddButValidTargets() {
    CPPUNIT_ASSERT_EQUAL(std::string("*"), ParseTarget("*")->path);
    CPPUNIT_ASSERT_EQUAL(std::string("/"), ParseTarget("http://host")->path);
    CPPUNIT_ASSERT_EQUAL(std::string("/a"),
                         ParseTarget("http://host:80/a?b=c")->path);
    CPPUNIT_ASSERT(ParseTarget("/a?&&")->query.empty());
    CPPUNIT_ASSERT(ParseTarget("/a?")->query.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("2"),
                         ParseTarget("/a?b=1&b=2")->query.at("b"));
  }

  void RefusesMalformedTargets() {
    for (const char* text : {"", "a", "?a=b", "/%", "/%4", "/%zz", "/a?b=%",
                             "/a?%4=b", "host:80"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParseTarget(text));
    }
  }

  void EveryByteRoundTrips() {
    std::string all;
    for (int byte = 0; byte < 256; ++byte) all += static_cast<char>(byte);
    const std::string path = "/" + all;
    const auto target = ParseTarget(FormatTarget(path, {{all, all}}));
    CPPUNIT_ASSERT(target.has_value());
    CPPUNIT_ASSERT(path == target->path);
    CPPUNIT_ASSERT(all == target->query.at(all));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UrlTest);

}  // namespace
}  // namespace tarragon::http
