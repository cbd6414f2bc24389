#ifndef TARRAGON_BENCH_REPORT_TEXT_H_
#define TARRAGON_BENCH_REPORT_TEXT_H_

#include <string>

#include "tarragon/bench/report.h"

namespace tarragon::bench {

/// The report as tables for people, times in milliseconds.
std::string FormatReport(const Report& report);

/// Two reports side by side, with the change from `a` to `b` in percent.
std::string FormatComparison(const Report& a, const Report& b);

}  // namespace tarragon::bench

#endif  // TARRAGON_BENCH_REPORT_TEXT_H_
