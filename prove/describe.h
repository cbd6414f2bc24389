#ifndef TARRAGON_PROVE_DESCRIBE_H_
#define TARRAGON_PROVE_DESCRIBE_H_

#include <string>

namespace tarragon::prove {

struct Setup;

/// The run, its policy and the state of every process, for the report of a
/// violation.
std::string DescribeSetup(const Setup& setup);

}  // namespace tarragon::prove

#endif  // TARRAGON_PROVE_DESCRIBE_H_
