#include "exposition.h"

#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace tarragon::metrics {
namespace {

constexpr char kPrefix[] = "tarragon_";
constexpr char kBucketLabel[] = "le";
constexpr char kInfinite[] = "+Inf";

std::string_view KindName(MetricKind kind) {
  switch (kind) {
    case MetricKind::kCounter:
      return "counter";
    case MetricKind::kGauge:
      return "gauge";
    case MetricKind::kHistogram:
      return "histogram";
  }
  return "untyped";
}

std::string Escaped(std::string_view text, bool in_quotes) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\n') {
      escaped += "\\n";
    } else if (c == '\\' || (in_quotes && c == '"')) {
      escaped += '\\';
      escaped += c;
    } else {
      escaped += c;
    }
  }
  return escaped;
}

std::string Number(double value) {
  if (std::isnan(value)) return "NaN";
  if (std::isinf(value)) return value > 0 ? kInfinite : "-Inf";
  std::array<char, 32> digits{};
  const std::to_chars_result end =
      std::to_chars(digits.data(), digits.data() + digits.size(), value);
  return {digits.data(), end.ptr};
}

/// An edge with its rounding error cut off.
std::string Edge(double seconds) {
  std::array<char, 32> digits{};
  std::snprintf(digits.data(), digits.size(), "%.6g", seconds);
  return digits.data();
}

/// "{a="x",le="1"}" without the last label if `edge` is empty.
std::string LabelText(const Labels& labels, const std::string& edge) {
  std::string text;
  for (const Label& label : labels.items()) {
    if (!text.empty()) text += ',';
    text += label.name + "=\"" + Escaped(label.value, true) + "\"";
  }
  if (!edge.empty()) {
    if (!text.empty()) text += ',';
    text += std::string(kBucketLabel) + "=\"" + edge + "\"";
  }
  return text.empty() ? text : "{" + text + "}";
}

void AppendHistogram(const std::string& name, const Labels& labels,
                     const Histogram& histogram, std::string* out) {
  const std::string bucket_name = name + "_bucket";
  for (const Histogram::Bucket& bucket : histogram.Buckets()) {
    *out += bucket_name + LabelText(labels, Edge(bucket.upper_seconds)) + " " +
            std::to_string(bucket.count) + "\n";
  }
  const std::string count = std::to_string(histogram.count());
  const std::string plain = LabelText(labels, "");
  *out += bucket_name + LabelText(labels, kInfinite) + " " + count + "\n";
  *out += name + "_sum" + plain + " " + Number(histogram.sum_seconds()) + "\n";
  *out += name + "_count" + plain + " " + count + "\n";
}

void AppendSeries(const std::string& name, MetricKind kind,
                  const Labels& labels, const Series& series,
                  std::string* out) {
  switch (kind) {
    case MetricKind::kCounter:
      *out += name + LabelText(labels, "") + " " +
              std::to_string(series.count) + "\n";
      return;
    case MetricKind::kGauge:
      *out += name + LabelText(labels, "") + " " + Number(series.value) + "\n";
      return;
    case MetricKind::kHistogram:
      AppendHistogram(name, labels, *series.histogram, out);
      return;
  }
}

}  // namespace

std::string WriteExposition(const Families& families) {
  std::string out;
  for (const auto& [short_name, family] : families) {
    if (family.series.empty()) continue;
    const std::string name = kPrefix + short_name;
    if (!family.help.empty()) {
      out += "# HELP " + name + " " + Escaped(family.help, false) + "\n";
    }
    out += "# TYPE " + name + " " + std::string(KindName(family.kind)) + "\n";
    for (const auto& [labels, series] : family.series) {
      AppendSeries(name, family.kind, labels, series, &out);
    }
  }
  return out;
}

}  // namespace tarragon::metrics
