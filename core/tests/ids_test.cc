#include "tarragon/core/ids.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragon::core {
namespace {

class IdsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IdsTest);
  CPPUNIT_TEST(NodeIdRoundTrips);
  CPPUNIT_TEST(RefusesWhatIsNoNodeId);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NodeIdRoundTrips() {
    const NodeId node{Address("10.0.0.5:7001"), Incarnation(0xabcdef)};
    NodeId read;
    CPPUNIT_ASSERT(ParseNodeId(ToString(node), &read));
    CPPUNIT_ASSERT(node == read);
  }

  void RefusesWhatIsNoNodeId() {
    NodeId read;
    CPPUNIT_ASSERT(!ParseNodeId("", &read));
    CPPUNIT_ASSERT(!ParseNodeId("10.0.0.5:7001", &read));
    CPPUNIT_ASSERT(!ParseNodeId("10.0.0.5:7001~", &read));
    CPPUNIT_ASSERT(!ParseNodeId("10.0.0.5:7001~0", &read));
    CPPUNIT_ASSERT(!ParseNodeId("10.0.0.5:7001~xyz", &read));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdsTest);

}  // namespace
}  // namespace tarragon::core
