#ifndef TARRAGON_METRICS_HISTOGRAM_H_
#define TARRAGON_METRICS_HISTOGRAM_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "tarragon/core/clock.h"

namespace tarragon::metrics {

/// Counts durations in logarithmic bins from 0.1 ms to 1000 s, ten to a decade.
/// What lies outside is counted too, below the first or above the last bin.
/// Not safe for several threads.
class Histogram {
 public:
  Histogram();
  ~Histogram();
  Histogram(Histogram&&) noexcept;
  Histogram& operator=(Histogram&&) noexcept;

  /// Counts one duration. A negative one counts as zero.
  void Observe(core::Duration duration);
  /// Adds all that `other` has counted.
  void Merge(const Histogram& other);

  /// How many durations were counted.
  std::uint64_t count() const { return count_; }
  /// Sum of all durations in seconds.
  double sum_seconds() const { return sum_seconds_; }
  /// The longest duration; zero if there is none.
  core::Duration longest() const { return longest_; }

  /// The duration in seconds that the share `q` (0 to 1) of all durations does
  /// not exceed, interpolated within its bin. 0 if nothing was counted.
  double Quantile(double q) const;

  /// The durations that are not longer than `upper_seconds`.
  struct Bucket {
    double upper_seconds = 0;
    std::uint64_t count = 0;
  };
  /// Cumulative counts at every second edge of the bins, five to a decade,
  /// without the infinite one.
  std::vector<Bucket> Buckets() const;

 private:
  struct Bins;

  std::unique_ptr<Bins> bins_;
  std::uint64_t count_ = 0;
  double sum_seconds_ = 0;
  core::Duration longest_{0};
};

}  // namespace tarragon::metrics

#endif  // TARRAGON_METRICS_HISTOGRAM_H_
