#include "target_memory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fake_store.h"

namespace tarragon::daemons {
namespace {

/// What a gate keeps of its target in the platform's store.
class TargetMemoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetMemoryTest);
  CPPUNIT_TEST(RecallsWhatWasKept);
  CPPUNIT_TEST(RecallsNothingOfAnotherGate);
  CPPUNIT_TEST(KeepsTheNewestAfterAnOutage);
  CPPUNIT_TEST(RecallsAfterAnOutage);
  CPPUNIT_TEST(WritesAgainWhenAnAnswerIsLost);
  CPPUNIT_TEST(RecallsFromASlowStore);
  CPPUNIT_TEST(IgnoresARowThatCannotBeRead);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    io_ = std::make_unique<boost::asio::io_context>();
    store_ = std::make_unique<soak::FakeStore>(*io_);
    client_ = std::make_unique<platform::StoreClient>(
        *io_, core::Address(store_->address()));
    found_.clear();
  }

  void tearDown() override {
    first_.reset();
    second_.reset();
    client_.reset();
    store_.reset();
    io_.reset();
  }

  std::unique_ptr<TargetMemory> Memory(const char* self = "10.0.1.1:7000") {
    return std::make_unique<TargetMemory>(
        *io_, client_.get(), core::Address(self),
        [this](const coordinator::TargetReport& last) {
          found_.push_back(last.target.value());
        });
  }

  static coordinator::TargetReport Target(const char* name) {
    coordinator::TargetReport target;
    target.target = coordinator::TargetId(name);
    target.born = coordinator::TargetBirth(5);
    target.address = core::Address("10.0.1.9:80");
    return target;
  }

  void RunUntil(const std::function<bool()>& done) {
    while (!done()) {
      io_->restart();
      CPPUNIT_ASSERT(io_->run_one() > 0);
    }
  }

  std::size_t Rows() const { return store_->CountRows("targets"); }

  void RecallsWhatWasKept() {
    first_ = Memory();
    first_->Keep(Target("t-1"));
    RunUntil([this]() { return Rows() == 1; });
    second_ = Memory();
    second_->Recall();
    RunUntil([this]() { return !found_.empty(); });
    CPPUNIT_ASSERT_EQUAL(std::string("t-1"), found_[0]);
  }

  void RecallsNothingOfAnotherGate() {
    first_ = Memory("10.0.1.2:7000");
    first_->Keep(Target("t-2"));
    RunUntil([this]() { return Rows() == 1; });
    second_ = Memory();
    second_->Recall();
    second_->Keep(Target("t-1"));
    RunUntil([this]() { return Rows() == 2; });
    CPPUNIT_ASSERT(found_.empty());
  }

  void KeepsTheNewestAfterAnOutage() {
    store_->SetRefusing(true);
    first_ = Memory();
    first_->Keep(Target("old"));
    first_->Keep(Target("new"));
    RunUntil([this]() { return store_->refusals() == 1; });
    store_->SetRefusing(false);
    RunUntil([this]() { return store_->writes() > 0; });
    second_ = Memory();
    second_->Recall();
    RunUntil([this]() { return !found_.empty(); });
    CPPUNIT_ASSERT_EQUAL(std::string("new"), found_[0]);
  }

  void RecallsAfterAnOutage() {
    first_ = Memory();
    first_->Keep(Target("t-1"));
    RunUntil([this]() { return Rows() == 1; });
    store_->SetRefusing(true);
    second_ = Memory();
    second_->Recall();
    RunUntil([this]() { return store_->refusals() == 1; });
    store_->SetRefusing(false);
    RunUntil([this]() { return !found_.empty(); });
    CPPUNIT_ASSERT_EQUAL(std::string("t-1"), found_[0]);
  }

  void WritesAgainWhenAnAnswerIsLost() {
    store_->SetDroppingAnswers(true);
    first_ = Memory();
    first_->Keep(Target("t-1"));
    RunUntil([this]() { return store_->writes() == 1; });
    store_->SetDroppingAnswers(false);
    RunUntil([this]() { return store_->writes() == 2; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Rows());
  }

  void RecallsFromASlowStore() {
    first_ = Memory();
    first_->Keep(Target("t-1"));
    RunUntil([this]() { return Rows() == 1; });
    store_->SetDelay(std::chrono::milliseconds(150));
    second_ = Memory();
    second_->Recall();
    RunUntil([this]() { return !found_.empty(); });
    CPPUNIT_ASSERT_EQUAL(std::string("t-1"), found_[0]);
  }

  void IgnoresARowThatCannotBeRead() {
    store_->Put("targets", "10.0.1.1:7000", "no message");
    first_ = Memory();
    first_->Recall();
    first_->Keep(Target("t-1"));
    second_ = Memory();
    RunUntil([this]() { return store_->writes() == 1; });
    CPPUNIT_ASSERT(found_.empty());
  }

 private:
  std::unique_ptr<boost::asio::io_context> io_;
  std::unique_ptr<soak::FakeStore> store_;
  std::unique_ptr<platform::StoreClient> client_;
  std::unique_ptr<TargetMemory> first_;
  std::unique_ptr<TargetMemory> second_;
  std::vector<std::string> found_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetMemoryTest);

}  // namespace
}  // namespace tarragon::daemons
