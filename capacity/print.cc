#include "tarragon/capacity/print.h"

#include <cstdlib>
#include <iomanip>
#include <istream>
#include <ostream>
#include <sstream>
#include <string>

namespace tarragon::capacity {
namespace {

constexpr std::size_t kFields = 7;
constexpr int kDigits = 4;

std::string Number(double value) {
  std::ostringstream text;
  text << std::setprecision(kDigits) << value;
  return text.str();
}

std::string Points(const Slope& slope) {
  std::string text;
  for (const Point& point : slope.points) {
    if (!text.empty()) text += ", ";
    text += Number(point.x) + ": " + Number(point.y);
  }
  return text;
}

std::vector<std::string> Split(const std::string& line) {
  std::vector<std::string> fields;
  std::istringstream text(line);
  std::string field;
  while (std::getline(text, field, '|')) fields.push_back(field);
  return fields;
}

bool SameSlope(const Slope& a, const Slope& b) {
  return a.role == b.role && a.cost == b.cost && a.x_unit == b.x_unit &&
         a.y_unit == b.y_unit;
}

}  // namespace

void PrintMarkdown(const std::vector<Slope>& slopes, std::ostream* out) {
  *out << "| role | cost | unit | by | points (x: y) | at 0 | slope | residual "
          "| planned x | value there "
          "|\n|---|---|---|---|---|---|---|---|---|---|\n";
  for (const Slope& slope : slopes) {
    std::string reason;
    const std::optional<Fit> fit = FitLine(slope.points, &reason);
    *out << "| " << slope.role << " | " << slope.cost << " | " << slope.y_unit
         << " | " << slope.x_unit << " | " << Points(slope) << " | ";
    if (!fit.has_value()) {
      *out << reason << " | | | | |\n";
      continue;
    }
    *out << Number(fit->intercept) << " | " << Number(fit->slope) << " | "
         << Number(fit->residual) << " | " << Number(slope.planned) << " | "
         << Number(ValueAt(*fit, slope.planned)) << " |\n";
  }
}

void PrintText(const std::vector<Slope>& slopes, std::ostream* out) {
  for (const Slope& slope : slopes) {
    std::string reason;
    const std::optional<Fit> fit = FitLine(slope.points, &reason);
    *out << slope.role << ": " << slope.cost << ": ";
    if (!fit.has_value()) {
      *out << reason << "\n";
      continue;
    }
    *out << Number(fit->intercept) << " + " << Number(fit->slope) << " "
         << slope.y_unit << " per " << slope.x_unit << ", residual "
         << Number(fit->residual) << "\n";
  }
}

std::vector<Slope> ReadPoints(std::istream* in) {
  std::vector<Slope> slopes;
  std::string line;
  while (std::getline(*in, line)) {
    const std::vector<std::string> fields = Split(line);
    if (fields.size() != kFields) continue;
    Slope slope{fields[0], fields[1], fields[2], fields[3], {}, 0};
    slope.planned = std::strtod(fields[4].c_str(), nullptr);
    const Point point{std::strtod(fields[5].c_str(), nullptr),
                      std::strtod(fields[6].c_str(), nullptr)};
    bool known = false;
    for (Slope& other : slopes) {
      if (!SameSlope(other, slope)) continue;
      other.points.push_back(point);
      known = true;
    }
    if (known) continue;
    slope.points.push_back(point);
    slopes.push_back(std::move(slope));
  }
  return slopes;
}

}  // namespace tarragon::capacity
