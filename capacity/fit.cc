#include "tarragon/capacity/fit.h"

#include <cmath>

namespace tarragon::capacity {
namespace {

Point Mean(const std::vector<Point>& points) {
  Point mean;
  for (const Point& point : points) {
    mean.x += point.x;
    mean.y += point.y;
  }
  mean.x /= static_cast<double>(points.size());
  mean.y /= static_cast<double>(points.size());
  return mean;
}

}  // namespace

std::optional<Fit> FitLine(const std::vector<Point>& points,
                           std::string* reason) {
  const Point mean = Mean(points);
  double xx = 0;
  double xy = 0;
  for (const Point& point : points) {
    xx += (point.x - mean.x) * (point.x - mean.x);
    xy += (point.x - mean.x) * (point.y - mean.y);
  }
  if (points.size() < 2 || xx <= 0) {
    if (reason != nullptr) *reason = "A line needs two different x.";
    return std::nullopt;
  }
  Fit fit;
  fit.slope = xy / xx;
  fit.intercept = mean.y - fit.slope * mean.x;
  double squares = 0;
  for (const Point& point : points) {
    const double difference = point.y - ValueAt(fit, point.x);
    squares += difference * difference;
  }
  fit.residual = std::sqrt(squares / static_cast<double>(points.size()));
  return fit;
}

double ValueAt(const Fit& fit, double x) {
  return fit.intercept + fit.slope * x;
}

}  // namespace tarragon::capacity
