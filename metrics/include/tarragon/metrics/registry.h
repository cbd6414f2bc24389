#ifndef TARRAGON_METRICS_REGISTRY_H_
#define TARRAGON_METRICS_REGISTRY_H_

#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/metrics/histogram.h"

namespace tarragon::metrics {

/// One "name=value" of a series.
struct Label {
  std::string name;
  std::string value;

  bool operator==(const Label&) const = default;
  auto operator<=>(const Label&) const = default;
};

/// The labels of a series, sorted by name. A later label of a name is dropped.
class Labels {
 public:
  Labels() = default;
  Labels(std::initializer_list<Label> labels);

  const std::vector<Label>& items() const { return items_; }
  /// The same names, each with the value kOtherLabel.
  Labels Other() const;

  bool operator==(const Labels&) const = default;
  auto operator<=>(const Labels&) const = default;

 private:
  std::vector<Label> items_;
};

/// Label value of the series that takes what is over a bound.
inline constexpr char kOtherLabel[] = "other";

enum class MetricKind { kCounter, kGauge, kHistogram };

/// One value or histogram under one set of labels.
struct Series {
  std::uint64_t count = 0;
  double value = 0;
  std::optional<Histogram> histogram;
  /// False for a series that stands outside the bounds, as "other" does.
  bool within_bounds = true;
};

/// All series of one name.
struct Family {
  MetricKind kind = MetricKind::kCounter;
  std::string help;
  std::map<Labels, Series> series;
  /// Takes the label sets over the bound; set once one was met.
  std::optional<Labels> other;
  /// How many of the series stand within the bounds.
  std::size_t within_bounds = 0;
};

/// Families by their name without the prefix.
using Families = std::map<std::string, Family, std::less<>>;

/// How many series a registry keeps.
struct RegistryBounds {
  /// In all. Each family may have its one "other" series besides.
  std::size_t max_series = 4096;
  /// Under one name.
  std::size_t max_label_sets = 256;
};

/// The metrics of one process. Names are given without the prefix "tarragon_",
/// in lower case with underscores; counters end in "_total", histograms in
/// "_seconds". A label set over a bound counts under "other". A name used as
/// another kind than it was first is left out and counted in
/// "metrics_misused_total". Not safe for several threads.
class Registry {
 public:
  explicit Registry(RegistryBounds bounds = {});

  /// States kind and help of a name. A name that is used without this has no
  /// help. A second call replaces the help only.
  void Describe(std::string_view name, MetricKind kind, std::string_view help);

  /// Adds to a counter.
  void Count(std::string_view name, const Labels& labels,
             std::uint64_t delta = 1);
  /// Sets a gauge. Over a bound, "other" keeps the last value.
  void Set(std::string_view name, const Labels& labels, double value);
  /// Counts a duration in a histogram.
  void Observe(std::string_view name, const Labels& labels,
               core::Duration duration);
  /// Drops one series, such as the gauge of a peer that is gone.
  void Forget(std::string_view name, const Labels& labels);

  /// Value of a counter or gauge, or how many durations a histogram has
  /// counted; 0 if there is no such series.
  double Value(std::string_view name, const Labels& labels) const;
  /// Quantile of a histogram in seconds; 0 if there is no such series.
  double Quantile(std::string_view name, const Labels& labels, double q) const;

  /// All series in the Prometheus text format, version 0.0.4.
  std::string Exposition() const;

 private:
  Series* Find(std::string_view name, const Labels& labels, MetricKind kind);
  const Series* Find(std::string_view name, const Labels& labels) const;
  Series* AddSeries(Family* family, const Labels& labels);

  RegistryBounds bounds_;
  Families families_;
  std::size_t series_ = 0;
};

}  // namespace tarragon::metrics

#endif  // TARRAGON_METRICS_REGISTRY_H_
