#include "tarragon/metrics/histogram.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <utility>

namespace tarragon::metrics {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Ten bins to a decade: an estimate is off by less than one bin.
constexpr double kBinRatio = 1.2590;

class HistogramTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HistogramTest);
  CPPUNIT_TEST(EmptyHasNoQuantile);
  CPPUNIT_TEST(QuantilesLieWithinOneBin);
  CPPUNIT_TEST(QuantileNeverExceedsTheLongest);
  CPPUNIT_TEST(CountsOutsideTheRange);
  CPPUNIT_TEST(BucketHoldsItsUpperEdge);
  CPPUNIT_TEST(BucketsAreCumulative);
  CPPUNIT_TEST(MergeAddsUp);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EmptyHasNoQuantile() {
    const Histogram histogram;
    CPPUNIT_ASSERT_EQUAL(0.0, histogram.Quantile(0.5));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, histogram.count());
  }

  void QuantilesLieWithinOneBin() {
    Histogram histogram;
    const int count = 10000;
    for (int i = 1; i <= count; ++i) histogram.Observe(milliseconds(i));
    for (const double q : {0.01, 0.1, 0.5, 0.9, 0.99, 0.999}) {
      const double exact = q * count / 1000;
      const double ratio = histogram.Quantile(q) / exact;
      CPPUNIT_ASSERT(ratio < kBinRatio && ratio > 1 / kBinRatio);
    }
  }

  void QuantileNeverExceedsTheLongest() {
    Histogram histogram;
    histogram.Observe(milliseconds(210));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.210, histogram.Quantile(1), 1e-9);
    histogram.Observe(seconds(5000));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(5000, histogram.Quantile(1), 1e-6);
    CPPUNIT_ASSERT(histogram.longest() == seconds(5000));
  }

  void CountsOutsideTheRange() {
    Histogram histogram;
    histogram.Observe(seconds(-3));
    histogram.Observe(microseconds(0));
    histogram.Observe(microseconds(7));
    histogram.Observe(core::Duration::max());
    const std::vector<Histogram::Bucket> buckets = histogram.Buckets();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, histogram.count());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, buckets.front().count);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, buckets.back().count);
    CPPUNIT_ASSERT(histogram.Quantile(0.5) <= 0.0001);
    CPPUNIT_ASSERT(histogram.Quantile(1) >= 1000);
  }

  void BucketHoldsItsUpperEdge() {
    microseconds edge(100);
    for (int decade = 0; decade <= 7; ++decade) {
      Histogram histogram;
      histogram.Observe(edge);
      histogram.Observe(edge + microseconds(1));
      const std::vector<Histogram::Bucket> buckets = histogram.Buckets();
      const Histogram::Bucket& bucket =
          buckets[static_cast<std::size_t>(decade) * 5];
      const double seconds_at_edge = static_cast<double>(edge.count()) / 1e6;
      CPPUNIT_ASSERT_DOUBLES_EQUAL(seconds_at_edge, bucket.upper_seconds,
                                   seconds_at_edge * 1e-9);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, bucket.count);
      edge *= 10;
    }
  }

  void BucketsAreCumulative() {
    Histogram histogram;
    for (int i = 1; i <= 1000; ++i) histogram.Observe(milliseconds(i * i));
    const std::vector<Histogram::Bucket> buckets = histogram.Buckets();
    CPPUNIT_ASSERT_EQUAL(std::size_t{36}, buckets.size());
    for (std::size_t i = 1; i < buckets.size(); ++i) {
      CPPUNIT_ASSERT(buckets[i].count >= buckets[i - 1].count);
      CPPUNIT_ASSERT(buckets[i].upper_seconds > buckets[i - 1].upper_seconds);
      // i squared milliseconds are not longer than the edge.
      const double exact =
          std::floor(std::sqrt(buckets[i].upper_seconds * 1000 + 1e-6));
      CPPUNIT_ASSERT_EQUAL(static_cast<std::uint64_t>(exact), buckets[i].count);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1000}, buckets.back().count);
  }

  void MergeAddsUp() {
    Histogram one;
    Histogram two;
    one.Observe(milliseconds(10));
    two.Observe(milliseconds(20));
    two.Observe(seconds(3));
    one.Merge(two);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, one.count());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3.03, one.sum_seconds(), 1e-9);
    CPPUNIT_ASSERT(one.longest() == seconds(3));
    const Histogram moved = std::move(one);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, moved.Buckets().back().count);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistogramTest);

}  // namespace
}  // namespace tarragon::metrics
