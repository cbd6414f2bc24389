#include "matrix_report.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <utility>
#include <vector>

namespace tarragon::system_test {
namespace {

/// Rows, columns and cells in the order in which they came.
struct Matrix {
  std::string chosen;
  std::vector<std::string> faults;
  std::vector<std::string> steps;
  std::map<std::pair<std::string, std::string>, std::string> cells;
};

Matrix& TheMatrix() {
  static Matrix matrix;
  return matrix;
}

void AddOnce(const std::string& name, std::vector<std::string>* names) {
  if (std::find(names->begin(), names->end(), name) == names->end()) {
    names->push_back(name);
  }
}

}  // namespace

void RecordCell(const std::string& fault, const std::string& step,
                const std::string& result) {
  Matrix& matrix = TheMatrix();
  AddOnce(fault, &matrix.faults);
  AddOnce(step, &matrix.steps);
  matrix.cells[{fault, step}] = result;
}

void ChooseCells(const std::string& text) { TheMatrix().chosen = text; }

bool IsChosen(const std::string& fault, const std::string& step) {
  return (fault + " x " + step).find(TheMatrix().chosen) != std::string::npos;
}

bool WriteMatrix(const std::string& file) {
  const Matrix& matrix = TheMatrix();
  std::ofstream out(file);
  out << "| fault |";
  for (const std::string& step : matrix.steps) out << " " << step << " |";
  out << "\n|---|";
  for (std::size_t i = 0; i < matrix.steps.size(); ++i) out << "---|";
  out << "\n";
  for (const std::string& fault : matrix.faults) {
    out << "| " << fault << " |";
    for (const std::string& step : matrix.steps) {
      const auto cell = matrix.cells.find({fault, step});
      out << " " << (cell == matrix.cells.end() ? "not run" : cell->second)
          << " |";
    }
    out << "\n";
  }
  out.flush();
  return out.good();
}

}  // namespace tarragon::system_test
