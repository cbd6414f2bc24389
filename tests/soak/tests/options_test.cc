#include "options.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>

#include "relay.h"

namespace tarragon::soak {
namespace {

/// Tests the command line of the soak, and its relay's address.
class SoakOptionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SoakOptionsTest);
  CPPUNIT_TEST(ReadsAllOptions);
  CPPUNIT_TEST(RefusesUnknownAndInvalidOptions);
  CPPUNIT_TEST(RelayNamesTheAddressOnWhichItListens);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsAllOptions() {
    std::string reason;
    const std::optional<Options> options = ParseOptions(
        {"--seeds", "3", "--seed", "18", "--seconds", "6", "--entries", "2",
         "--gates", "4", "--plan", "losses", "--keep-logs", "1"},
        &reason);
    CPPUNIT_ASSERT_MESSAGE(reason, options.has_value());
    CPPUNIT_ASSERT_EQUAL(3, options->seeds);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{18}, options->first_seed);
    CPPUNIT_ASSERT_EQUAL(6, options->seconds);
    CPPUNIT_ASSERT_EQUAL(2, options->entries);
    CPPUNIT_ASSERT_EQUAL(4, options->gates);
    CPPUNIT_ASSERT(options->plan == Plan::kLosses);
    CPPUNIT_ASSERT(options->keep_logs);
    CPPUNIT_ASSERT_EQUAL(10, ParseOptions({}, &reason)->seconds);
    CPPUNIT_ASSERT(ParseOptions({}, &reason)->plan == Plan::kRandom);
    CPPUNIT_ASSERT(ParseOptions({"--plan", "orders"}, &reason)->plan ==
                   Plan::kOrders);
  }

  void RefusesUnknownAndInvalidOptions() {
    const std::vector<std::vector<std::string>> wrong = {
        {"--sede", "1"},   {"--seed"},          {"--seed", "-1"},
        {"--seeds", "0"},  {"--seconds", "x"},  {"--gates", "5 "},
        {"--entries", ""}, {"--gates", "1000"}, {"--seeds", "1", "7"},
        {"--seed", "1e3"}, {"--plan"},          {"--plan", "loss"},
    };
    for (const std::vector<std::string>& arguments : wrong) {
      std::string reason;
      CPPUNIT_ASSERT_MESSAGE(arguments[0],
                             !ParseOptions(arguments, &reason).has_value());
      CPPUNIT_ASSERT_MESSAGE(arguments[0], !reason.empty());
    }
  }

  void RelayNamesTheAddressOnWhichItListens() {
    boost::asio::io_context io;
    const boost::asio::ip::tcp::endpoint server(
        boost::asio::ip::make_address("127.0.0.1"), 9);
    const Relay relay(io, server,
                      {boost::asio::ip::make_address("127.0.0.7"), 0});
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.7:"),
                         relay.address().substr(0, 10));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoakOptionsTest);

}  // namespace
}  // namespace tarragon::soak
