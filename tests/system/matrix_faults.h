#ifndef TARRAGON_TESTS_SYSTEM_MATRIX_FAULTS_H_
#define TARRAGON_TESTS_SYSTEM_MATRIX_FAULTS_H_

#include <cstddef>
#include <vector>

#include "cluster.h"

namespace tarragon::system_test {

/// One row of the fault matrix.
struct Fault {
  const char* name;
  /// A process ends for good, so that a job may end as unknown.
  bool loses_process;
  /// Strikes a cluster of two entries and two agents; `home` is the agent that
  /// is the home of the job.
  void (*strike)(Cluster* cluster, std::size_t home);
};

/// All rows.
const std::vector<Fault>& Faults();

}  // namespace tarragon::system_test

#endif  // TARRAGON_TESTS_SYSTEM_MATRIX_FAULTS_H_
