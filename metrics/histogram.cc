#include "tarragon/metrics/histogram.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cmath>
#include <tuple>

namespace tarragon::metrics {
namespace {

namespace bh = boost::histogram;

constexpr double kMicrosPerSecond = 1e6;
constexpr double kLeastMicros = 100;
constexpr double kGreatestMicros = 1e9;
constexpr int kDecades = 7;
constexpr int kBinsPerDecade = 10;
constexpr int kBins = kDecades * kBinsPerDecade;
constexpr int kBinsPerBucket = 2;
/// Bins leave out their upper edge, while a bucket holds it. Durations are
/// whole microseconds, so this much less puts an edge into the bin below.
constexpr double kEdgeMicros = 1e-3;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Counts =
    bh::histogram<std::tuple<Axis>, bh::dense_storage<std::uint64_t>>;

Counts MakeCounts() {
  return bh::make_histogram_with(bh::dense_storage<std::uint64_t>(),
                                 Axis(kBins, kLeastMicros, kGreatestMicros));
}

}  // namespace

struct Histogram::Bins {
  Counts counts = MakeCounts();

  /// Counts in bin `index`; -1 is below the first, kBins above the last.
  std::uint64_t At(int index) const { return counts.at(index); }
  /// Lower edge of bin `index` in microseconds.
  double Edge(int index) const { return counts.axis(0).value(index); }
};

Histogram::Histogram() : bins_(std::make_unique<Bins>()) {}
Histogram::~Histogram() = default;
Histogram::Histogram(Histogram&&) noexcept = default;
Histogram& Histogram::operator=(Histogram&&) noexcept = default;

void Histogram::Observe(core::Duration duration) {
  const core::Duration counted = std::max(duration, core::Duration(0));
  const double micros = static_cast<double>(counted.count());
  bins_->counts(std::max(micros - kEdgeMicros, kEdgeMicros));
  ++count_;
  sum_seconds_ += micros / kMicrosPerSecond;
  longest_ = std::max(longest_, counted);
}

void Histogram::Merge(const Histogram& other) {
  bins_->counts += other.bins_->counts;
  count_ += other.count_;
  sum_seconds_ += other.sum_seconds_;
  longest_ = std::max(longest_, other.longest_);
}

double Histogram::Quantile(double q) const {
  if (count_ == 0) return 0;
  const double rank = std::clamp(q, 0.0, 1.0) * static_cast<double>(count_);
  const double longest = static_cast<double>(longest_.count());
  double below = 0;
  double micros = longest;
  for (int index = -1; index < kBins; ++index) {
    const double here = static_cast<double>(bins_->At(index));
    if (here == 0 || below + here < rank) {
      below += here;
      continue;
    }
    const double part = (rank - below) / here;
    const double upper = bins_->Edge(index + 1);
    micros = index < 0 ? upper * part
                       : bins_->Edge(index) *
                             std::pow(upper / bins_->Edge(index), part);
    break;
  }
  return std::min(micros, longest) / kMicrosPerSecond;
}

std::vector<Histogram::Bucket> Histogram::Buckets() const {
  std::vector<Bucket> buckets;
  buckets.reserve(kBins / kBinsPerBucket + 1);
  std::uint64_t below = bins_->At(-1);
  buckets.push_back({bins_->Edge(0) / kMicrosPerSecond, below});
  for (int index = 0; index < kBins; ++index) {
    below += bins_->At(index);
    const int next = index + 1;
    if (next % kBinsPerBucket != 0) continue;
    buckets.push_back({bins_->Edge(next) / kMicrosPerSecond, below});
  }
  return buckets;
}

}  // namespace tarragon::metrics
