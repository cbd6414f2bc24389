#include "tarragon/core/memory_quota.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

namespace tarragon::core {
namespace {

class MemoryQuotaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemoryQuotaTest);
  CPPUNIT_TEST(SumsWhatAllHold);
  CPPUNIT_TEST(FreesTheLargestFirst);
  CPPUNIT_TEST(FreesTheOldestAmongEquals);
  CPPUNIT_TEST(FreesTheOneThatGrowsIfItIsTheLargest);
  CPPUNIT_TEST(FreesAsManyAsItTakes);
  CPPUNIT_TEST(HolderMayEndWhileItFrees);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SumsWhatAllHold() {
    const auto first = Add("first", 40);
    {
      const auto second = Add("second", 50);
      CPPUNIT_ASSERT_EQUAL(std::size_t{90}, quota_->held_bytes());
      second->Set(10);
      CPPUNIT_ASSERT_EQUAL(std::size_t{50}, quota_->held_bytes());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{40}, quota_->held_bytes());
    CPPUNIT_ASSERT(freed_.empty());
  }

  void FreesTheLargestFirst() {
    const auto small = Add("small", 30);
    const auto large = Add("large", 60);
    const auto last = Add("last", 20);
    ExpectFreed({"large"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{50}, quota_->held_bytes());
  }

  void FreesTheOldestAmongEquals() {
    const auto first = Add("first", 40);
    const auto second = Add("second", 40);
    const auto third = Add("third", 40);
    ExpectFreed({"first"});
  }

  void FreesTheOneThatGrowsIfItIsTheLargest() {
    const auto other = Add("other", 40);
    const auto growing = Add("growing", 50);
    growing->Set(70);
    ExpectFreed({"growing"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{40}, quota_->held_bytes());
  }

  void FreesAsManyAsItTakes() {
    const auto first = Add("first", 35);
    const auto second = Add("second", 30);
    const auto third = Add("third", 25);
    const auto fourth = Add("fourth", 99);
    // The largest is the new one itself.
    ExpectFreed({"fourth"});
    fourth->Set(34);
    ExpectFreed({"fourth", "first"});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, quota_->reclaims());
  }

  void HolderMayEndWhileItFrees() {
    std::unique_ptr<MemoryAccount> ending;
    ending = std::make_unique<MemoryAccount>(quota_, [&] { ending.reset(); });
    ending->Set(90);
    const auto other = Add("other", 50);
    CPPUNIT_ASSERT(ending == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{50}, quota_->held_bytes());
  }

 private:
  std::unique_ptr<MemoryAccount> Add(const std::string& name,
                                     std::size_t bytes) {
    auto account = std::make_unique<MemoryAccount>(
        quota_, [this, name] { freed_.push_back(name); });
    account->Set(bytes);
    return account;
  }

  void ExpectFreed(const std::vector<std::string>& names) {
    CPPUNIT_ASSERT(names == freed_);
  }

  std::shared_ptr<MemoryQuota> quota_ = std::make_shared<MemoryQuota>(100);
  std::vector<std::string> freed_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryQuotaTest);

}  // namespace
}  // namespace tarragon::core
