#include "operator_watch.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "fake_store.h"
#include "membership.h"
#include "platform_daemon_settings.h"
#include "relay.h"

namespace tarragon::daemons {
namespace {

std::string Config(int version) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[]})";
}

/// Tests OperatorWatch and Membership against a fake store, and the settings of
/// the policy.
class OperatorWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorWatchTest);
  CPPUNIT_TEST(ReportsChangedRows);
  CPPUNIT_TEST(ReadsInFullWhenHistoryIsMissing);
  CPPUNIT_TEST(ResumesWatchAfterOutage);
  CPPUNIT_TEST(PausesBetweenReadsOfAStaleStore);
  CPPUNIT_TEST(ReadsAgainAfterOneTimeoutWhenAllConnectionsGoSilent);
  CPPUNIT_TEST(KeepsDomainsOutWhileReadingSeveralPages);
  CPPUNIT_TEST(ReadsInFullAgainAfterFailedPage);
  CPPUNIT_TEST(FindsOtherMembers);
  CPPUNIT_TEST(RegistersAfterOutage);
  CPPUNIT_TEST(ReadsPolicyFromSettings);
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

  void StartWatch() {
    watch_ = std::make_unique<OperatorWatch>(
        *io_, &clock_, client_.get(),
        [this](const coordinator::OperatorState& state) { state_ = state; });
    watch_->Start();
    RunUntil([this]() { return state_.version == 1; });
  }

  void ReportsChangedRows() {
    StartWatch();
    store_->Put("op", "config", Config(4));
    store_->Put("op", "evacuate/szeged", "{}");
    RunUntil([this]() { return state_.version == 4; });
    RunUntil([this]() { return state_.drained.size() == 1; });
    store_->Remove("op", "evacuate/szeged");
    RunUntil([this]() { return state_.drained.empty(); });
  }

  void ReadsInFullWhenHistoryIsMissing() {
    StartWatch();
    store_->Put("op", "evacuate/szeged", "{}");
    RunUntil([this]() { return !state_.drained.empty(); });
    store_->Remove("op", "evacuate/szeged");
    store_->Put("op", "config", Config(5));
    store_->DiscardHistory();
    RunUntil([this]() { return state_.version == 5; });
    CPPUNIT_ASSERT(state_.drained.empty());
  }

  void ResumesWatchAfterOutage() {
    StartWatch();
    store_->SetRefusing(true);
    store_->Put("op", "config", Config(6));
    boost::asio::steady_timer outage_end(*io_, std::chrono::milliseconds(100));
    outage_end.async_wait([this](const boost::system::error_code& error) {
      if (!error) store_->SetRefusing(false);
    });
    RunUntil([this]() { return state_.version == 6; });
  }

  void PausesBetweenReadsOfAStaleStore() {
    StartWatch();
    const int reads_before = store_->reads();
    store_->SetStale(true);
    store_->Put("op", "config", Config(8));
    store_->DiscardHistory();
    boost::asio::steady_timer end(*io_, std::chrono::milliseconds(200));
    bool ended = false;
    end.async_wait(
        [&ended](const boost::system::error_code&) { ended = true; });
    RunUntil([&ended]() { return ended; });
    // The pause is longer than the time that the store was stale.
    CPPUNIT_ASSERT_EQUAL(1, store_->reads() - reads_before);
    store_->SetStale(false);
    RunUntil([this]() { return state_.version == 8; });
  }

  void ReadsAgainAfterOneTimeoutWhenAllConnectionsGoSilent() {
    const std::string address = store_->address();
    soak::Relay relay(*io_, boost::asio::ip::tcp::endpoint(
                                boost::asio::ip::make_address("127.0.0.1"),
                                static_cast<std::uint16_t>(std::stoi(
                                    address.substr(address.find(':') + 1)))));
    client_ = std::make_unique<platform::StoreClient>(
        *io_, core::Address(relay.address()));
    // A second connection, which is idle later.
    bool is_read = false;
    client_->ReadFrom("op", "",
                      [&is_read](const std::optional<platform::StorePage>&,
                                 platform::StoreError) { is_read = true; });
    StartWatch();
    RunUntil([&is_read]() { return is_read; });
    relay.Silence();
    store_->Put("op", "config", Config(7));
    RunUntil([this]() { return state_.version == 7; });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, watch_->failed_reads());
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

  /// Puts a drained domain on the second page of the table.
  void FillTwoPages() {
    for (int i = 0; i < 600; ++i) {
      store_->Put("op", "aside/" + std::to_string(i), "{}");
    }
    store_->Put("op", "evacuate/szeged", "{}");
  }

  void ReadsInFullAgainAfterFailedPage() {
    FillTwoPages();
    watch_ = std::make_unique<OperatorWatch>(
        *io_, &clock_, client_.get(),
        [this](const coordinator::OperatorState& state) { state_ = state; });
    watch_->Start();
    RunUntil([this]() { return store_->reads() == 1; });
    store_->SetRefusing(true);
    RunUntil([this]() { return store_->refusals() > 0; });
    store_->SetRefusing(false);
    RunUntil([this]() { return state_.version == 1; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state_.drained.size());
  }

  void KeepsDomainsOutWhileReadingSeveralPages() {
    FillTwoPages();
    int states_without_domain = 0;
    watch_ = std::make_unique<OperatorWatch>(
        *io_, &clock_, client_.get(),
        [this,
         &states_without_domain](const coordinator::OperatorState& state) {
          state_ = state;
          if (state.drained.empty()) ++states_without_domain;
        });
    watch_->Start();
    RunUntil([this]() { return !state_.drained.empty(); });
    CPPUNIT_ASSERT_EQUAL(0, states_without_domain);
    // The same when the history has gone and the table is read again.
    store_->DiscardHistory();
    store_->Put("op", "config", Config(2));
    RunUntil([this]() { return state_.version == 2; });
    CPPUNIT_ASSERT_EQUAL(0, states_without_domain);
  }

  void FindsOtherMembers() {
    FindMembers(MemberKind::kGate, "10.0.0.1:1");
    const std::set<std::string> found =
        FindMembers(MemberKind::kEntry, "10.0.0.2:1");
    CPPUNIT_ASSERT((std::set<std::string>{"e10.0.0.2:1", "g10.0.0.1:1"}) ==
                   found);
  }

  void RegistersAfterOutage() {
    store_->SetRefusing(true);
    boost::asio::steady_timer outage_end(*io_, std::chrono::milliseconds(100));
    outage_end.async_wait([this](const boost::system::error_code& error) {
      if (!error) store_->SetRefusing(false);
    });
    FindMembers(MemberKind::kGate, "10.0.0.1:1");
  }

  void ReadsPolicyFromSettings() {
    std::vector<core::SettingError> errors;
    const auto settings = core::Settings::Parse(
        PlatformSettingSpecs(), "[policy]\nhome_silence = 900ms\n", "test.ini",
        {}, &errors);
    CPPUNIT_ASSERT(settings.has_value());
    const coordinator::Policy policy = ReadCoordinationPolicy(*settings);
    CPPUNIT_ASSERT(std::chrono::milliseconds(900) == policy.home_silence);
    CPPUNIT_ASSERT(coordinator::Policy{}.hold_wait == policy.hold_wait);
    CPPUNIT_ASSERT(!core::Settings::Parse(PlatformSettingSpecs(),
                                          "[policy]\nhome_silence = 1ms\n",
                                          "test.ini", {}, &errors)
                        .has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("home_silence"), errors.at(0).key);
  }

 private:
  std::unique_ptr<boost::asio::io_context> io_;
  std::unique_ptr<soak::FakeStore> store_;
  std::unique_ptr<platform::StoreClient> client_;
  core::ManualClock clock_;
  std::unique_ptr<OperatorWatch> watch_;
  coordinator::OperatorState state_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorWatchTest);

}  // namespace
}  // namespace tarragon::daemons
