#ifndef TARRAGON_CAPACITY_FIT_H_
#define TARRAGON_CAPACITY_FIT_H_

#include <optional>
#include <string>
#include <vector>

/// Straight lines through measured points.

namespace tarragon::capacity {

/// One measurement.
struct Point {
  double x = 0;
  double y = 0;
};

/// y = intercept + slope * x.
struct Fit {
  double slope = 0;
  double intercept = 0;
  /// Root of the mean squared difference of the points from the line, in the
  /// unit of y.
  double residual = 0;
};

/// The least-squares line. Nothing, with a `reason` that may be null, for fewer
/// than two different x.
std::optional<Fit> FitLine(const std::vector<Point>& points,
                           std::string* reason);

/// The value of the line at `x`.
double ValueAt(const Fit& fit, double x);

}  // namespace tarragon::capacity

#endif  // TARRAGON_CAPACITY_FIT_H_
