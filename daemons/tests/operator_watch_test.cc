#include "operator_watch.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "fake_store.h"
#include "membership.h"
#include "site_settings.h"

namespace tarragon::daemons {
namespace {

std::string Config(int version) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[]})";
}

/// How a process follows the platform's store.
class OperatorWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorWatchTest);
  CPPUNIT_TEST(FollowsChanges);
  CPPUNIT_TEST(ReadsInFullWhenHistoryIsGone);
  CPPUNIT_TEST(ComesBackAfterAnOutage);
  CPPUNIT_TEST(FindsTheOtherMembers);
  CPPUNIT_TEST(RegistersAfterAnOutage);
  CPPUNIT_TEST(ReadsThePolicy);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    io_ = std::make_unique<boost::asio::io_context>();
    store_ = std::make_unique<soak::FakeStore>(*io_);
    client_ = std::make_unique<platform::StoreClient>(
        *io_, core::Address(store_->address()));
    state_ = coordinator::OperatorState{};
    store_->Put("op", "config", Config(1));
  }

  void tearDown() override {
    watch_.reset();
    client_.reset();
    store_.reset();
    io_.reset();
  }

  void RunUntil(const std::function<bool()>& done) {
    while (!done()) {
      io_->restart();
      CPPUNIT_ASSERT(io_->run_one() > 0);
    }
  }

  void Watch() {
    watch_ = std::make_unique<OperatorWatch>(
        *io_, client_.get(),
        [this](const coordinator::OperatorState& state) { state_ = state; });
    watch_->Start();
    RunUntil([this]() { return state_.version == 1; });
  }

  void FollowsChanges() {
    Watch();
    store_->Put("op", "config", Config(4));
    store_->Put("op", "evacuate/szeged", "{}");
    RunUntil([this]() { return state_.version == 4; });
    RunUntil([this]() { return state_.drained.size() == 1; });
    store_->Remove("op", "evacuate/szeged");
    RunUntil([this]() { return state_.drained.empty(); });
  }

  void ReadsInFullWhenHistoryIsGone() {
    Watch();
    store_->Put("op", "evacuate/szeged", "{}");
    RunUntil([this]() { return !state_.drained.empty(); });
    store_->Remove("op", "evacuate/szeged");
    store_->Put("op", "config", Config(5));
    store_->DiscardHistory();
    RunUntil([this]() { return state_.version == 5; });
    CPPUNIT_ASSERT(state_.drained.empty());
  }

  void ComesBackAfterAnOutage() {
    Watch();
    store_->SetRefusing(true);
    store_->Put("op", "config", Config(6));
    boost::asio::steady_timer back(*io_, std::chrono::milliseconds(100));
    back.async_wait([this](const boost::system::error_code& error) {
      if (!error) store_->SetRefusing(false);
    });
    RunUntil([this]() { return state_.version == 6; });
  }

  std::set<std::string> FindMembers(MemberKind kind, const char* self) {
    std::set<std::string> found;
    Membership member(*io_, client_.get(), kind, core::Address(self),
                      [&found](MemberKind each, const core::Address& address) {
                        found.insert((each == MemberKind::kGate ? "g" : "e") +
                                     address.value());
                      });
    member.Start();
    const std::string own =
        (kind == MemberKind::kGate ? "g" : "e") + std::string(self);
    RunUntil([&found, &own]() { return found.contains(own); });
    return found;
  }

  void FindsTheOtherMembers() {
    FindMembers(MemberKind::kGate, "10.0.0.1:1");
    const std::set<std::string> found =
        FindMembers(MemberKind::kEntry, "10.0.0.2:1");
    CPPUNIT_ASSERT((std::set<std::string>{"e10.0.0.2:1", "g10.0.0.1:1"}) ==
                   found);
  }

  void RegistersAfterAnOutage() {
    store_->SetRefusing(true);
    boost::asio::steady_timer back(*io_, std::chrono::milliseconds(100));
    back.async_wait([this](const boost::system::error_code& error) {
      if (!error) store_->SetRefusing(false);
    });
    FindMembers(MemberKind::kGate, "10.0.0.1:1");
  }

  void ReadsThePolicy() {
    std::vector<core::SettingError> errors;
    const auto settings =
        core::Settings::Parse(SiteSpecs(), "[policy]\nhome_silence = 900ms\n",
                              "test.ini", {}, &errors);
    CPPUNIT_ASSERT(settings.has_value());
    const coordinator::Policy policy = SitePolicy(*settings);
    CPPUNIT_ASSERT(std::chrono::milliseconds(900) == policy.home_silence);
    CPPUNIT_ASSERT(coordinator::Policy{}.hold_wait == policy.hold_wait);
    CPPUNIT_ASSERT(!core::Settings::Parse(SiteSpecs(),
                                          "[policy]\nhome_silence = 1ms\n",
                                          "test.ini", {}, &errors)
                        .has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("home_silence"), errors.at(0).key);
  }

 private:
  std::unique_ptr<boost::asio::io_context> io_;
  std::unique_ptr<soak::FakeStore> store_;
  std::unique_ptr<platform::StoreClient> client_;
  std::unique_ptr<OperatorWatch> watch_;
  coordinator::OperatorState state_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorWatchTest);

}  // namespace
}  // namespace tarragon::daemons
