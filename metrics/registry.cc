#include "tarragon/metrics/registry.h"

#include <algorithm>

#include "exposition.h"

namespace tarragon::metrics {
namespace {

constexpr char kMisusedName[] = "metrics_misused_total";
constexpr char kMisusedHelp[] = "Uses of a metric as another kind.";

}  // namespace

Labels::Labels(std::initializer_list<Label> labels) : items_(labels) {
  std::stable_sort(
      items_.begin(), items_.end(),
      [](const Label& a, const Label& b) { return a.name < b.name; });
  const std::vector<Label>::iterator end = std::unique(
      items_.begin(), items_.end(),
      [](const Label& a, const Label& b) { return a.name == b.name; });
  items_.erase(end, items_.end());
}

Labels Labels::Other() const {
  Labels other = *this;
  for (Label& label : other.items_) label.value = kOtherLabel;
  return other;
}

Registry::Registry(RegistryBounds bounds) : bounds_(bounds) {
  Describe(kMisusedName, MetricKind::kCounter, kMisusedHelp);
}

void Registry::Describe(std::string_view name, MetricKind kind,
                        std::string_view help) {
  const auto [found, is_new] = families_.try_emplace(std::string(name));
  if (is_new) found->second.kind = kind;
  found->second.help = help;
}

void Registry::Count(std::string_view name, const Labels& labels,
                     std::uint64_t delta) {
  Series* series = Find(name, labels, MetricKind::kCounter);
  if (series != nullptr) series->count += delta;
}

void Registry::Set(std::string_view name, const Labels& labels, double value) {
  Series* series = Find(name, labels, MetricKind::kGauge);
  if (series != nullptr) series->value = value;
}

void Registry::Observe(std::string_view name, const Labels& labels,
                       core::Duration duration) {
  Series* series = Find(name, labels, MetricKind::kHistogram);
  if (series != nullptr) series->histogram->Observe(duration);
}

void Registry::Forget(std::string_view name, const Labels& labels) {
  const Families::iterator found = families_.find(name);
  if (found == families_.end()) return;
  Family& family = found->second;
  const std::map<Labels, Series>::iterator series = family.series.find(labels);
  if (series == family.series.end()) return;
  if (series->second.within_bounds) {
    --family.within_bounds;
    --series_;
  }
  family.series.erase(series);
}

double Registry::Value(std::string_view name, const Labels& labels) const {
  const Series* series = Find(name, labels);
  if (series == nullptr) return 0;
  switch (families_.find(name)->second.kind) {
    case MetricKind::kCounter:
      return static_cast<double>(series->count);
    case MetricKind::kGauge:
      return series->value;
    case MetricKind::kHistogram:
      return static_cast<double>(series->histogram->count());
  }
  return 0;
}

double Registry::Quantile(std::string_view name, const Labels& labels,
                          double q) const {
  const Series* series = Find(name, labels);
  if (series == nullptr || !series->histogram) return 0;
  return series->histogram->Quantile(q);
}

std::string Registry::Exposition() const { return WriteExposition(families_); }

Series* Registry::Find(std::string_view name, const Labels& labels,
                       MetricKind kind) {
  Families::iterator found = families_.find(name);
  if (found == families_.end()) {
    found = families_.try_emplace(std::string(name)).first;
    found->second.kind = kind;
  }
  Family& family = found->second;
  if (family.kind != kind) {
    Count(kMisusedName, {});
    return nullptr;
  }
  const std::map<Labels, Series>::iterator series = family.series.find(labels);
  if (series != family.series.end()) return &series->second;
  return AddSeries(&family, labels);
}

const Series* Registry::Find(std::string_view name,
                             const Labels& labels) const {
  const Families::const_iterator found = families_.find(name);
  if (found == families_.end()) return nullptr;
  const std::map<Labels, Series>::const_iterator series =
      found->second.series.find(labels);
  return series == found->second.series.end() ? nullptr : &series->second;
}

Series* Registry::AddSeries(Family* family, const Labels& labels) {
  const bool is_full = series_ >= bounds_.max_series ||
                       family->within_bounds >= bounds_.max_label_sets;
  if (is_full && !family->other) family->other = labels.Other();
  const Labels& kept = is_full ? *family->other : labels;
  const auto [added, is_new] = family->series.try_emplace(kept);
  Series& series = added->second;
  if (!is_new) return &series;
  series.within_bounds = !is_full;
  if (!is_full) {
    ++family->within_bounds;
    ++series_;
  }
  if (family->kind == MetricKind::kHistogram) series.histogram.emplace();
  return &series;
}

}  // namespace tarragon::metrics
