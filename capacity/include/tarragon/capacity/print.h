#ifndef TARRAGON_CAPACITY_PRINT_H_
#define TARRAGON_CAPACITY_PRINT_H_

#include <iosfwd>
#include <vector>

#include "tarragon/capacity/slopes.h"

namespace tarragon::capacity {

/// Prints the slopes as rows of a Markdown table, with their points.
void PrintMarkdown(const std::vector<Slope>& slopes, std::ostream* out);

/// Prints the slopes for people, one line each.
void PrintText(const std::vector<Slope>& slopes, std::ostream* out);

/// Reads slopes from lines of "ROLE|COST|X_UNIT|Y_UNIT|PLANNED|X|Y"; lines that
/// agree in all but X and Y make one slope. Other lines are left out.
std::vector<Slope> ReadPoints(std::istream* in);

}  // namespace tarragon::capacity

#endif  // TARRAGON_CAPACITY_PRINT_H_
