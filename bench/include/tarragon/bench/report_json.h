#ifndef TARRAGON_BENCH_REPORT_JSON_H_
#define TARRAGON_BENCH_REPORT_JSON_H_

#include <optional>
#include <string>

#include "tarragon/bench/preset.h"
#include "tarragon/bench/report.h"

namespace tarragon::bench {

/// The report as JSON, times in microseconds. Ratios are added for readers.
std::string EncodeReport(const Report& report);

/// Reads what EncodeReport wrote. Nothing, with a reason, for anything else.
std::optional<Report> DecodeReport(const std::string& text, BenchError* reason);

}  // namespace tarragon::bench

#endif  // TARRAGON_BENCH_REPORT_JSON_H_
