#include "tarragon/notes/http_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <vector>

#include "platform_standin_table.h"
#include "tarragon/http/server.h"

namespace tarragon::notes {
namespace {

using standins::Fault;
using standins::FaultMode;

/// Long enough for any response on loopback.
constexpr core::Duration kTimeout = std::chrono::seconds(30);
/// For calls that must time out.
constexpr core::Duration kShortTimeout = std::chrono::milliseconds(200);
/// Longer than the short timeout.
constexpr std::uint64_t kLaterMs = 400;
constexpr std::uint64_t kFarLaterMs = 600'000;

const std::string kTable = "world";
const std::string kKey = "state";

class HttpTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpTableTest);
  CPPUNIT_TEST(InsertsReadsReplacesAndDeletes);
  CPPUNIT_TEST(ReadWithKnownVersionReturnsUnchanged);
  CPPUNIT_TEST(InsertOfExistingRowConflicts);
  CPPUNIT_TEST(OnlyOneOfTwoConcurrentReplacesSucceeds);
  CPPUNIT_TEST(ReplaceWithVersionOfDeletedRowConflicts);
  CPPUNIT_TEST(AcceptsKeysOfAnyVisibleCharacters);
  CPPUNIT_TEST(CarriesLargeAndBinaryValues);
  CPPUNIT_TEST(LostReplyIsUnknownAndWasApplied);
  CPPUNIT_TEST(LostReplyToDeleteIsUnknownAndWasApplied);
  CPPUNIT_TEST(WriteWhileDownIsNotApplied);
  CPPUNIT_TEST(RefusedWriteIsUnknownAndWasNotApplied);
  CPPUNIT_TEST(WriteAfterItsTimeoutIsUnknownAndMayStillApply);
  CPPUNIT_TEST(ReadWithoutAnswerIsUnavailable);
  CPPUNIT_TEST(CallWithoutListenerIsUnavailable);
  CPPUNIT_TEST(CallsBeyondLimitAreUnavailableAtOnce);
  CPPUNIT_TEST(DestructorDropsOutstandingCalls);
  CPPUNIT_TEST(FaultAppliesOnlyToNamedMethod);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    io_ = std::make_unique<boost::asio::io_context>();
    standin_ = std::make_unique<standins::PlatformStandin>(*io_);
    http::ServerLimits limits;
    limits.max_body_bytes = std::size_t{4} * 1024 * 1024;
    server_ = std::make_unique<http::Server>(
        *io_, limits,
        [this](const http::Request& request, const http::Responder& respond) {
          standin_->Handle(request, respond);
        });
    const std::optional<core::Address> bound =
        server_->Listen(core::Address("127.0.0.1:0"), /*reason=*/nullptr);
    CPPUNIT_ASSERT(bound.has_value());
    address_ = *bound;
    Connect(kTimeout);
  }

  void tearDown() override {
    table_.reset();
    server_.reset();
    io_.reset();
    standin_.reset();
  }

  void InsertsReadsReplacesAndDeletes() {
    AssertStatus(TableStatus::kMissing, Read());
    const TableReply inserted = Insert("one");
    AssertStatus(TableStatus::kOk, inserted);
    AssertRow("one", inserted.version);
    const TableReply replaced = Replace("two", inserted.version);
    AssertStatus(TableStatus::kOk, replaced);
    CPPUNIT_ASSERT(replaced.version != inserted.version);
    AssertRow("two", replaced.version);
    AssertStatus(TableStatus::kConflict, Delete(inserted.version));
    AssertStatus(TableStatus::kOk, Delete(replaced.version));
    AssertStatus(TableStatus::kMissing, Read());
    AssertStatus(TableStatus::kMissing, Delete(replaced.version));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table_->outstanding());
  }

  void ReadWithKnownVersionReturnsUnchanged() {
    const TableReply inserted = Insert("one");
    const TableReply unchanged = Read(inserted.version);
    AssertStatus(TableStatus::kUnchanged, unchanged);
    CPPUNIT_ASSERT_EQUAL(inserted.version, unchanged.version);
    CPPUNIT_ASSERT(unchanged.value.empty());
    Replace("two", inserted.version);
    const TableReply changed = Read(inserted.version);
    AssertStatus(TableStatus::kOk, changed);
    CPPUNIT_ASSERT_EQUAL(std::string("two"), changed.value);
  }

  void InsertOfExistingRowConflicts() {
    const TableReply inserted = Insert("one");
    AssertStatus(TableStatus::kConflict, Insert("other"));
    AssertRow("one", inserted.version);
  }

  void OnlyOneOfTwoConcurrentReplacesSucceeds() {
    const TableReply inserted = Insert("one");
    std::vector<TableReply> replies;
    for (const std::string value : {"left", "right"}) {
      table_->Replace(
          kTable, kKey, value, inserted.version,
          [&replies](TableReply reply) { replies.push_back(reply); });
    }
    RunUntil([&replies]() { return replies.size() == 2; });
    const bool first_won = replies[0].status == TableStatus::kOk;
    AssertStatus(TableStatus::kOk, replies[first_won ? 0 : 1]);
    AssertStatus(TableStatus::kConflict, replies[first_won ? 1 : 0]);
  }

  void ReplaceWithVersionOfDeletedRowConflicts() {
    const TableReply inserted = Insert("one");
    AssertStatus(TableStatus::kOk, Delete(inserted.version));
    AssertStatus(TableStatus::kConflict, Replace("two", inserted.version));
    const TableReply again = Insert("three");
    AssertStatus(TableStatus::kOk, again);
    AssertStatus(TableStatus::kConflict, Replace("two", inserted.version));
    AssertRow("three", again.version);
  }

  void AcceptsKeysOfAnyVisibleCharacters() {
    std::vector<std::string> keys = {".", "..", "../x", "a/b", "a~2Fb", "%2F"};
    for (char c = '!'; c <= '~'; ++c) keys.push_back(std::string("k") + c);
    for (const std::string& key : keys) {
      const TableReply reply = Wait([&key, this](Table::Callback done) {
        table_->Insert(kTable, key, key, std::move(done));
      });
      AssertStatus(TableStatus::kOk, reply);
    }
    for (const std::string& key : keys) {
      const TableReply reply = Wait([&key, this](Table::Callback done) {
        table_->Read(kTable, key, 0, std::move(done));
      });
      CPPUNIT_ASSERT_EQUAL(key, reply.value);
    }
  }

  void CarriesLargeAndBinaryValues() {
    std::string value(std::size_t{1024} * 1024, 'x');
    for (std::size_t i = 0; i < 256; ++i) value[i] = static_cast<char>(i);
    const TableReply inserted = Insert(value);
    AssertStatus(TableStatus::kOk, inserted);
    CPPUNIT_ASSERT(Read().value == value);
    const TableReply emptied = Replace("", inserted.version);
    AssertRow("", emptied.version);
  }

  void LostReplyIsUnknownAndWasApplied() {
    SetFault(FaultMode::kLoseReply);
    AssertStatus(TableStatus::kUnknown, Insert("one"));
    SetFault(FaultMode::kNone);
    const TableReply row = Read();
    CPPUNIT_ASSERT_EQUAL(std::string("one"), row.value);
    SetFault(FaultMode::kLoseReply);
    AssertStatus(TableStatus::kUnknown, Replace("two", row.version));
    SetFault(FaultMode::kNone);
    CPPUNIT_ASSERT_EQUAL(std::string("two"), Read().value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, standin_->stats().writes);
  }

  void LostReplyToDeleteIsUnknownAndWasApplied() {
    const TableReply inserted = Insert("one");
    SetFault(FaultMode::kLoseReply);
    AssertStatus(TableStatus::kUnknown, Delete(inserted.version));
    SetFault(FaultMode::kNone);
    AssertStatus(TableStatus::kMissing, Read());
  }

  void WriteWhileDownIsNotApplied() {
    SetFault(FaultMode::kDown);
    AssertStatus(TableStatus::kUnknown, Insert("one"));
    SetFault(FaultMode::kNone);
    AssertStatus(TableStatus::kMissing, Read());
  }

  void RefusedWriteIsUnknownAndWasNotApplied() {
    SetFault(FaultMode::kRefuse);
    AssertStatus(TableStatus::kUnknown, Insert("one"));
    SetFault(FaultMode::kNone);
    AssertStatus(TableStatus::kMissing, Read());
  }

  void WriteAfterItsTimeoutIsUnknownAndMayStillApply() {
    Connect(kShortTimeout);
    SetFault(FaultMode::kLate, kLaterMs);
    TableReply reply = Insert("one");
    // Repeats the call until the fault was applied: a busy machine may not even
    // connect within the timeout, and then the call shows nothing.
    while (standin_->stats().faults == 0) reply = Insert("one");
    AssertStatus(TableStatus::kUnknown, reply);
    SetFault(FaultMode::kNone);
    RunUntil([this]() { return standin_->stats().writes == 1; });
    Connect(kTimeout);
    CPPUNIT_ASSERT_EQUAL(std::string("one"), Read().value);
  }

  void ReadWithoutAnswerIsUnavailable() {
    Insert("one");
    for (const FaultMode mode :
         {FaultMode::kDown, FaultMode::kRefuse, FaultMode::kLoseReply}) {
      SetFault(mode);
      AssertStatus(TableStatus::kUnavailable, Read());
    }
    Connect(kShortTimeout);
    SetFault(FaultMode::kSlow, kFarLaterMs);
    AssertStatus(TableStatus::kUnavailable, Read());
  }

  void CallWithoutListenerIsUnavailable() {
    server_->Close();
    server_.reset();
    AssertStatus(TableStatus::kUnavailable, Insert("one"));
    AssertStatus(TableStatus::kUnavailable, Read());
    AssertStatus(TableStatus::kUnavailable, Delete(1));
  }

  void CallsBeyondLimitAreUnavailableAtOnce() {
    Connect(kTimeout, /*max_outstanding=*/2);
    SetFault(FaultMode::kSlow, kFarLaterMs);
    std::vector<TableReply> replies;
    for (int i = 0; i < 3; ++i) {
      table_->Insert(
          kTable, std::to_string(i), "one",
          [&replies](TableReply reply) { replies.push_back(reply); });
    }
    CPPUNIT_ASSERT(replies.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table_->outstanding());
    RunUntil([&replies]() { return !replies.empty(); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replies.size());
    AssertStatus(TableStatus::kUnavailable, replies[0]);
    RunUntil([this]() { return standin_->stats().faults == 2; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replies.size());
  }

  void DestructorDropsOutstandingCalls() {
    Connect(kTimeout, /*max_outstanding=*/1);
    SetFault(FaultMode::kSlow, kFarLaterMs);
    int answered = 0;
    for (int i = 0; i < 2; ++i) {
      table_->Read(kTable, kKey, 0, [&answered](TableReply) { ++answered; });
    }
    table_.reset();
    io_->poll();
    CPPUNIT_ASSERT_EQUAL(0, answered);

    // This call fails within the client, which has then posted its reply.
    address_ = core::Address("no address");
    Connect(kTimeout);
    table_->Read(kTable, kKey, 0, [&answered](TableReply) { ++answered; });
    table_.reset();
    io_->poll();
    CPPUNIT_ASSERT_EQUAL(0, answered);
  }

  void FaultAppliesOnlyToNamedMethod() {
    const std::optional<Fault> fault =
        standins::ParseFault(R"({"mode":"refuse","only":"PUT","count":1})");
    CPPUNIT_ASSERT(fault.has_value());
    standin_->SetFault(*fault);
    AssertStatus(TableStatus::kMissing, Read());
    AssertStatus(TableStatus::kUnknown, Insert("one"));
    AssertStatus(TableStatus::kOk, Insert("one"));
    standin_->SetFault(
        *standins::ParseFault(R"({"mode":"down","caller":"10.9.9.9:"})"));
    AssertStatus(TableStatus::kOk, Read());
    CPPUNIT_ASSERT(!standins::ParseFault("{}").has_value());
    CPPUNIT_ASSERT(!standins::ParseFault(R"({"mode":"odd"})").has_value());
  }

 private:
  void Connect(core::Duration timeout, std::size_t max_outstanding = 8) {
    table_ = std::make_unique<HttpTable>(
        *io_, HttpTableSettings{address_, timeout, max_outstanding});
  }

  void SetFault(FaultMode mode, std::uint64_t delay_ms = 0) {
    Fault fault;
    fault.mode = mode;
    fault.delay_ms = delay_ms;
    standin_->SetFault(fault);
  }

  template <typename Condition>
  void RunUntil(Condition holds) {
    while (!holds()) CPPUNIT_ASSERT(io_->run_one() > 0);
  }

  template <typename Call>
  TableReply Wait(Call call) {
    std::optional<TableReply> answer;
    call([&answer](TableReply reply) { answer = std::move(reply); });
    CPPUNIT_ASSERT(!answer.has_value());
    RunUntil([&answer]() { return answer.has_value(); });
    return *answer;
  }

  TableReply Read(std::uint64_t known_version = 0) {
    return Wait([known_version, this](Table::Callback done) {
      table_->Read(kTable, kKey, known_version, std::move(done));
    });
  }

  TableReply Insert(const std::string& value) {
    return Wait([&value, this](Table::Callback done) {
      table_->Insert(kTable, kKey, value, std::move(done));
    });
  }

  TableReply Replace(const std::string& value, std::uint64_t version) {
    return Wait([&value, version, this](Table::Callback done) {
      table_->Replace(kTable, kKey, value, version, std::move(done));
    });
  }

  TableReply Delete(std::uint64_t version) {
    return Wait([version, this](Table::Callback done) {
      table_->Delete(kTable, kKey, version, std::move(done));
    });
  }

  static void AssertStatus(TableStatus expected, const TableReply& reply) {
    CPPUNIT_ASSERT_EQUAL(std::string(Name(expected)),
                         std::string(Name(reply.status)));
  }

  void AssertRow(const std::string& value, std::uint64_t version) {
    const TableReply reply = Read();
    AssertStatus(TableStatus::kOk, reply);
    CPPUNIT_ASSERT_EQUAL(value, reply.value);
    CPPUNIT_ASSERT_EQUAL(version, reply.version);
  }

  std::unique_ptr<boost::asio::io_context> io_;
  std::unique_ptr<standins::PlatformStandin> standin_;
  std::unique_ptr<http::Server> server_;
  core::Address address_;
  std::unique_ptr<HttpTable> table_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTableTest);

}  // namespace
}  // namespace tarragon::notes
