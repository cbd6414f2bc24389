#include "net.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragon::http {
namespace {

class NetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NetTest);
  CPPUNIT_TEST(ReadsAddresses);
  CPPUNIT_TEST(RefusesWhatIsNoAddress);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsAddresses() {
    for (const char* text : {"127.0.0.1:80", "10.0.0.5:0", "[::1]:65535"}) {
      const auto endpoint = ParseEndpoint(core::Address(text));
      CPPUNIT_ASSERT(endpoint.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string(text), ToAddress(*endpoint).value());
    }
  }

  void RefusesWhatIsNoAddress() {
    for (const char* text :
         {"", ":", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536",
          "127.0.0.1:-1", "127.0.0.1:80x", "localhost:80", "::1:80", "[]:80",
          "[127.0.0.1]:80", "[:80"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParseEndpoint(core::Address(text)));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NetTest);

}  // namespace
}  // namespace tarragon::http
