#include "target_report_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fake_store.h"

namespace tarragon::daemons {
namespace {

/// Tests that a gate saves and loads the report about its target.
class TargetReportStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetReportStoreTest);
  CPPUNIT_TEST(LoadsSavedReport);
  CPPUNIT_TEST(IgnoresReportOfOtherGate);
  CPPUNIT_TEST(SavesNewestReportAfterOutage);
  CPPUNIT_TEST(LoadsAfterOutage);
  CPPUNIT_TEST(RepeatsWriteWhenAnswerIsLost);
  CPPUNIT_TEST(LoadsFromSlowStore);
  CPPUNIT_TEST(IgnoresInvalidRow);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    io_ = std::make_unique<boost::asio::io_context>();
    store_ = std::make_unique<soak::FakeStore>(*io_);
    client_ = std::make_unique<platform::StoreClient>(
        *io_, core::Address(store_->address()));
    loaded_targets_.clear();
  }

  void tearDown() override {
    first_process_.reset();
    second_process_.reset();
    client_.reset();
    store_.reset();
    io_.reset();
  }

  std::unique_ptr<TargetReportStore> MakeReportStore(
      const char* self = "10.0.1.1:7000") {
    return std::make_unique<TargetReportStore>(
        *io_, client_.get(), core::Address(self),
        [this](const coordinator::TargetReport& last) {
          loaded_targets_.push_back(last.target.value());
        });
  }

  static coordinator::TargetReport MakeReport(const char* name) {
    coordinator::TargetReport target;
    target.target = coordinator::TargetId(name);
    target.born = coordinator::TargetIncarnation(5);
    target.address = core::Address("10.0.1.9:80");
    return target;
  }

  void RunUntil(const std::function<bool()>& done) {
    while (!done()) {
      io_->restart();
      CPPUNIT_ASSERT(io_->run_one() > 0);
    }
  }

  std::size_t CountRows() const { return store_->CountRows("targets"); }

  void LoadsSavedReport() {
    first_process_ = MakeReportStore();
    first_process_->Save(MakeReport("t-1"));
    RunUntil([this]() { return CountRows() == 1; });
    second_process_ = MakeReportStore();
    second_process_->Load();
    RunUntil([this]() { return !loaded_targets_.empty(); });
    CPPUNIT_ASSERT_EQUAL(std::string("t-1"), loaded_targets_[0]);
  }

  void IgnoresReportOfOtherGate() {
    first_process_ = MakeReportStore("10.0.1.2:7000");
    first_process_->Save(MakeReport("t-2"));
    RunUntil([this]() { return CountRows() == 1; });
    second_process_ = MakeReportStore();
    second_process_->Load();
    second_process_->Save(MakeReport("t-1"));
    RunUntil([this]() { return CountRows() == 2; });
    CPPUNIT_ASSERT(loaded_targets_.empty());
  }

  void SavesNewestReportAfterOutage() {
    store_->SetRefusing(true);
    first_process_ = MakeReportStore();
    first_process_->Save(MakeReport("old"));
    first_process_->Save(MakeReport("new"));
    RunUntil([this]() { return store_->refusals() == 1; });
    store_->SetRefusing(false);
    RunUntil([this]() { return store_->writes() > 0; });
    second_process_ = MakeReportStore();
    second_process_->Load();
    RunUntil([this]() { return !loaded_targets_.empty(); });
    CPPUNIT_ASSERT_EQUAL(std::string("new"), loaded_targets_[0]);
  }

  void LoadsAfterOutage() {
    first_process_ = MakeReportStore();
    first_process_->Save(MakeReport("t-1"));
    RunUntil([this]() { return CountRows() == 1; });
    store_->SetRefusing(true);
    second_process_ = MakeReportStore();
    second_process_->Load();
    RunUntil([this]() { return store_->refusals() == 1; });
    store_->SetRefusing(false);
    RunUntil([this]() { return !loaded_targets_.empty(); });
    CPPUNIT_ASSERT_EQUAL(std::string("t-1"), loaded_targets_[0]);
  }

  void RepeatsWriteWhenAnswerIsLost() {
    store_->SetDroppingAnswers(true);
    first_process_ = MakeReportStore();
    first_process_->Save(MakeReport("t-1"));
    RunUntil([this]() { return store_->writes() == 1; });
    store_->SetDroppingAnswers(false);
    RunUntil([this]() { return store_->writes() == 2; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountRows());
  }

  void LoadsFromSlowStore() {
    first_process_ = MakeReportStore();
    first_process_->Save(MakeReport("t-1"));
    RunUntil([this]() { return CountRows() == 1; });
    store_->SetDelay(std::chrono::milliseconds(150));
    second_process_ = MakeReportStore();
    second_process_->Load();
    RunUntil([this]() { return !loaded_targets_.empty(); });
    CPPUNIT_ASSERT_EQUAL(std::string("t-1"), loaded_targets_[0]);
  }

  void IgnoresInvalidRow() {
    store_->Put("targets", "10.0.1.1:7000", "no message");
    first_process_ = MakeReportStore();
    first_process_->Load();
    first_process_->Save(MakeReport("t-1"));
    second_process_ = MakeReportStore();
    RunUntil([this]() { return store_->writes() == 1; });
    CPPUNIT_ASSERT(loaded_targets_.empty());
  }

 private:
  std::unique_ptr<boost::asio::io_context> io_;
  std::unique_ptr<soak::FakeStore> store_;
  std::unique_ptr<platform::StoreClient> client_;
  std::unique_ptr<TargetReportStore> first_process_;
  std::unique_ptr<TargetReportStore> second_process_;
  std::vector<std::string> loaded_targets_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetReportStoreTest);

}  // namespace
}  // namespace tarragon::daemons
