#ifndef TARRAGON_BENCH_PROGRAM_H_
#define TARRAGON_BENCH_PROGRAM_H_

#include <string>
#include <vector>

namespace tarragon::bench {

/// Runs tarragon-bench with the arguments after the program's name. Returns the
/// exit code.
int RunProgram(const std::vector<std::string>& arguments);

}  // namespace tarragon::bench

#endif  // TARRAGON_BENCH_PROGRAM_H_
