#include <cppunit/extensions/HelperMacros.h>

#include <boost/json.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "membership.h"
#include "operator_watch.h"
#include "target_report_store.h"
#include "tarragon/http/server.h"
#include "tarragon/wire/codec.h"

namespace tarragon::daemons {
namespace {

constexpr char kSelf[] = "10.0.1.1:7000";

/// The store's answers as texts, so that they may hold what no program writes.
/// Each row is a page of its own.
class OddStore {
 public:
  explicit OddStore(boost::asio::io_context& io)
      : server_(io, {},
                [this](const http::Request& request,
                       const http::Responder& answer) {
                  Handle(request, answer);
                }) {
    http::HttpError error;
    address_ = *server_.Listen(core::Address("127.0.0.1:0"), &error);
  }

  core::Address address() const { return address_; }
  /// Adds a row, by its key; `json` is the whole row.
  void AddRow(const std::string& key, const std::string& json) {
    rows_[key] = json;
  }

 private:
  void Handle(const http::Request& request, const http::Responder& answer) {
    http::Response response;
    response.body = "{}";
    if (request.path == "/v1/rows-get") {
      const auto from = request.query.find("from");
      auto row =
          rows_.lower_bound(from == request.query.end() ? "" : from->second);
      const bool found = row != rows_.end();
      const bool more = found && std::next(row) != rows_.end();
      response.body =
          "{\"ver\":9,\"has_more\":" + std::string(more ? "true" : "false") +
          ",\"rows\":[" + (found ? row->second : "") + "]}";
    } else if (request.path == "/v1/rows-feed") {
      return waiting_.push_back(answer);
    }
    answer(response);
  }

  std::map<std::string, std::string> rows_;
  std::vector<http::Responder> waiting_;
  http::Server server_;
  core::Address address_;
};

/// Odd rows of other writers in the tables that the processes read.
class OddRowTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OddRowTest);
  CPPUNIT_TEST(FindsMembersBesideOddRows);
  CPPUNIT_TEST(ReadsConfigurationBehindOddRows);
  CPPUNIT_TEST(SkipsOddTargetReports);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    io_ = std::make_unique<boost::asio::io_context>();
    store_ = std::make_unique<OddStore>(*io_);
    client_ = std::make_unique<platform::StoreClient>(*io_, store_->address());
  }

  void tearDown() override {
    client_.reset();
    store_.reset();
    io_.reset();
  }

  static std::string MakeRow(const std::string& key, const std::string& value) {
    return "{\"key\":\"" + key + "\",\"value\":\"" + value + "\"}";
  }

  void RunUntil(const std::function<bool()>& done) {
    while (!done()) {
      io_->restart();
      CPPUNIT_ASSERT(io_->run_one() > 0);
    }
  }

  // Guards against a process that stops following the list of members after an
  // odd row, or connects to what is no address.
  void FindsMembersBesideOddRows() {
    for (const char* key :
         {"gate/127.0.0.1:70000", "gate/127.0.0.1:-1", "gate/127.0.0.1:0",
          "gate/", "gate/[[[[", "entry/host.example:80", "gate/1.2.3.4",
          "entry/99999999999999999999:1", "other"}) {
      store_->AddRow(key, MakeRow(key, "MQ=="));
    }
    // Neither text nor bytes that can be read; a page without a valid row.
    store_->AddRow("gate/!a", MakeRow("gate/!a", "***"));
    store_->AddRow("gate/!b", "{\"key\":\"gate/!b\",\"value\":1e300}");
    store_->AddRow("gate/z:1", MakeRow("gate/z:1", "MQ=="));
    store_->AddRow("entry/10.0.0.1:1", MakeRow("entry/10.0.0.1:1", "MQ=="));
    store_->AddRow("gate/~", MakeRow("gate/~", "MQ=="));
    store_->AddRow("gate/10.0.0.2:1", MakeRow("gate/10.0.0.2:1", "MQ=="));
    store_->AddRow("gate/[::1]:9", MakeRow("gate/[::1]:9", "MQ=="));
    std::set<std::string> found;
    Membership membership(
        *io_, client_.get(), MemberKind::kEntry, core::Address(kSelf),
        [&found](MemberKind kind, const core::Address& address) {
          found.insert((kind == MemberKind::kGate ? "g" : "e") +
                       address.value());
        });
    membership.Start();
    RunUntil([&found]() { return found.contains("g[::1]:9"); });
    CPPUNIT_ASSERT((std::set<std::string>{"e10.0.0.1:1", "g10.0.0.2:1",
                                          "g[::1]:9"}) == found);
  }

  void ReadsConfigurationBehindOddRows() {
    store_->AddRow("a", MakeRow("a", "***"));
    store_->AddRow("b", "{\"key\":\"b\"}");
    // {"version":3,"routes":[]}
    store_->AddRow("config",
                   MakeRow("config", "eyJ2ZXJzaW9uIjozLCJyb3V0ZXMiOltdfQ=="));
    store_->AddRow("evacuate/bekes", MakeRow("evacuate/bekes", "***"));
    store_->AddRow("evacuate/szeged", MakeRow("evacuate/szeged", "e30="));
    core::SystemClock clock;
    coordinator::OperatorState state;
    OperatorWatch watch(
        *io_, &clock, client_.get(),
        [&state](const coordinator::OperatorState& read) { state = read; });
    watch.Start();
    RunUntil([&state]() { return state.version == 3; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.drained.size());
  }

  void SkipsOddTargetReports() {
    std::vector<std::string> odd = {"***", "", "AAAA", "//////////8="};
    // Groups within groups, as deep as the row allows.
    odd.emplace_back(4000, 'C');
    for (const std::string& value : odd) {
      store_->AddRow(kSelf, MakeRow(kSelf, value));
      bool loaded = false;
      TargetReportStore reports(
          *io_, client_.get(), core::Address(kSelf),
          [&loaded](const coordinator::TargetReport&) { loaded = true; });
      reports.Load();
      // The answer of a second read comes after that of the first one.
      bool answered = false;
      client_->ReadRow("targets", kSelf,
                       [&answered](const std::optional<platform::StorePage>&,
                                   platform::StoreError) { answered = true; });
      RunUntil([&answered]() { return answered; });
      CPPUNIT_ASSERT_MESSAGE(value, !loaded);
    }
  }

 private:
  std::unique_ptr<boost::asio::io_context> io_;
  std::unique_ptr<OddStore> store_;
  std::unique_ptr<platform::StoreClient> client_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddRowTest);

}  // namespace
}  // namespace tarragon::daemons
