#include "nearest_name.h"

#include <algorithm>
#include <numeric>

namespace tarragon::core {
namespace {

constexpr std::size_t kMinEdits = 2;
/// One wrong letter in this many is still taken for the same name.
constexpr std::size_t kLettersPerEdit = 3;

/// Levenshtein distance.
std::size_t Edits(const std::string& a, const std::string& b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({replaced, row[j] + 1, row[j - 1] + 1});
    }
  }
  return row.back();
}

}  // namespace

std::string NearestName(const std::string& name,
                        const std::vector<std::string>& names) {
  std::string nearest;
  std::size_t least = std::max(kMinEdits, name.size() / kLettersPerEdit) + 1;
  for (const std::string& candidate : names) {
    const std::size_t edits = Edits(name, candidate);
    if (edits >= least || edits >= candidate.size()) continue;
    least = edits;
    nearest = candidate;
  }
  return nearest;
}

}  // namespace tarragon::core
