#include "node_settings_reload.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragon::daemons {
namespace {

class NodeSettingsReloadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeSettingsReloadTest);
  CPPUNIT_TEST(AppliesWhatNeedsNoRestart);
  CPPUNIT_TEST(KeepsAddressesThatAreInUse);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    current_.vm_name = "edge-1";
    current_.domain = core::DomainId("szeged");
    current_.client_address = core::Address("10.1.0.1:8161");
    current_.readiness_address = core::Address("10.1.0.1:8167");
    current_.announcement_address = core::Address("10.1.0.1:8166");
    current_.peer_address = core::Address("10.1.0.1:7720");
    current_.store_address = core::Address("10.200.1.7:8169");
  }

  void AppliesWhatNeedsNoRestart() {
    platform::NodeSettings next = current_;
    next.vm_name = "edge-2";
    next.domain = core::DomainId("bekes");
    next.store_address = core::Address("10.200.1.8:8169");
    ReloadNodeSettings(next, core::Log("test"), &current_);
    CPPUNIT_ASSERT_EQUAL(std::string("edge-2"), current_.vm_name);
    CPPUNIT_ASSERT_EQUAL(std::string("bekes"), current_.domain.value());
    CPPUNIT_ASSERT_EQUAL(std::string("10.200.1.8:8169"),
                         current_.store_address.value());
  }

  void KeepsAddressesThatAreInUse() {
    platform::NodeSettings next = current_;
    next.client_address = core::Address("10.1.0.9:1");
    next.readiness_address = core::Address("10.1.0.9:2");
    next.announcement_address = core::Address("10.1.0.9:3");
    next.peer_address = core::Address("10.1.0.9:4");
    ReloadNodeSettings(next, core::Log("test"), &current_);
    CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.1:8161"),
                         current_.client_address.value());
    CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.1:8167"),
                         current_.readiness_address.value());
    CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.1:8166"),
                         current_.announcement_address.value());
    CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.1:7720"),
                         current_.peer_address.value());
  }

 private:
  platform::NodeSettings current_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeSettingsReloadTest);

}  // namespace
}  // namespace tarragon::daemons
