#include "store_retry_delay.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragon::daemons {
namespace {

using platform::StoreError;

class StoreRetryDelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreRetryDelayTest);
  CPPUNIT_TEST(RetriesAtOnceAfterFirstLostAnswer);
  CPPUNIT_TEST(PausesWhileStoreFails);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RetriesAtOnceAfterFirstLostAnswer() {
    CPPUNIT_ASSERT(core::Duration(0) ==
                   DrawReadRetryDelay(StoreError::kUnclear, 1));
  }

  void PausesWhileStoreFails() {
    constexpr core::Duration kLeast = std::chrono::milliseconds(250);
    for (std::uint64_t failures : {1, 2, 50}) {
      CPPUNIT_ASSERT(DrawReadRetryDelay(StoreError::kUnavailable, failures) >=
                     kLeast);
      CPPUNIT_ASSERT(DrawReadRetryDelay(StoreError::kUnclear, failures + 1) >=
                     kLeast);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreRetryDelayTest);

}  // namespace
}  // namespace tarragon::daemons
