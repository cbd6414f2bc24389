#include "tarragon/bench/process_counters.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragon::bench {
namespace {

constexpr char kPage[] =
    "# HELP tarragon_messages_out_total Messages sent.\n"
    "# TYPE tarragon_messages_out_total counter\n"
    "tarragon_messages_out_total{name=\"assign\"} 12\n"
    "tarragon_messages_out_total{name=\"finished\"} 3\n"
    "tarragon_wasted_messages_total{kind=\"seal\"} 2\n"
    "tarragon_process_cpu_seconds 1.25\n"
    "tarragon_process_resident_bytes 2097152\n"
    "tarragon_socket_bytes_out_total 4096\n"
    "tarragon_job_response_seconds_bucket{service=\"a b\",le=\"+Inf\"} 9\n"
    "half a line\n";

class ProcessCountersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessCountersTest);
  CPPUNIT_TEST(ReadsAPage);
  CPPUNIT_TEST(KnowsWhatIsMissing);
  CPPUNIT_TEST(TakesDifferences);
  CPPUNIT_TEST(CountsARestartedProcessAnew);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsAPage() {
    const ProcessCounters counters = ReadCounters(kPage);
    const std::map<std::string, std::uint64_t> sent = {{"assign", 12},
                                                       {"finished", 3}};
    const std::map<std::string, std::uint64_t> wasted = {{"seal", 2}};
    CPPUNIT_ASSERT(counters.sent == sent);
    CPPUNIT_ASSERT(counters.wasted == wasted);
    CPPUNIT_ASSERT(counters.cpu == std::chrono::milliseconds(1250));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2097152), counters.resident_bytes);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4096), counters.bytes_out);
  }

  void KnowsWhatIsMissing() {
    const ProcessCounters counters = ReadCounters("other 1\n");
    CPPUNIT_ASSERT(!counters.sent);
    CPPUNIT_ASSERT(!counters.wasted);
    CPPUNIT_ASSERT(ReadCounters("") == ProcessCounters());
  }

  void TakesDifferences() {
    const ProcessCounters before = ReadCounters(kPage);
    ProcessCounters after = before;
    (*after.sent)["assign"] = 20;
    (*after.sent)["pull"] = 1;
    after.bytes_out = 5000;
    const ProcessCounters difference = Difference(before, after);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), difference.sent->at("assign"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), difference.sent->at("finished"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), difference.sent->at("pull"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(904), difference.bytes_out);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2097152), difference.resident_bytes);
    CPPUNIT_ASSERT(difference.cpu == core::Duration(0));
  }

  void CountsARestartedProcessAnew() {
    const ProcessCounters before = ReadCounters(kPage);
    ProcessCounters after = before;
    (*after.sent)["assign"] = 5;
    after.cpu = std::chrono::milliseconds(10);
    const ProcessCounters difference = Difference(before, after);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), difference.sent->at("assign"));
    CPPUNIT_ASSERT(difference.cpu == std::chrono::milliseconds(10));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessCountersTest);

}  // namespace
}  // namespace tarragon::bench
