#ifndef TARRAGON_PROVE_SETUP_H_
#define TARRAGON_PROVE_SETUP_H_

#include <cstdint>
#include <string>
#include <vector>

#include "client.h"
#include "history.h"
#include "network.h"
#include "operators.h"
#include "process.h"
#include "random.h"
#include "scheduler.h"
#include "table.h"
#include "target.h"
#include "tarragon/dispatch/policy.h"
#include "tarragon/prove/run.h"
#include "witness.h"

namespace tarragon::prove {

/// Everything of one run; the fakes read and write it.
struct Setup {
  explicit Setup(const RunOptions& run_options)
      : options(run_options), random(run_options.seed) {}

  RunOptions options;
  Random random;
  Scheduler scheduler;
  History history;
  CoverageCounts counts;
  /// The first violation.
  std::string failure;

  dispatch::Policy policy;
  std::vector<core::DomainId> domains;
  std::vector<core::ServiceId> services;
  std::vector<core::TenantId> tenants;
  /// Agents first, then entries.
  std::vector<Process> processes;
  int agents = 0;
  int entries = 0;
  /// Addresses at which agents may find entries at first.
  std::vector<core::Address> seeds;
  /// Faults strike entries and the table most of all, and notes come often.
  bool entry_churn = false;
  /// No more faults are started.
  bool quiet = false;
  std::uint64_t next_incarnation = 1;

  Network network;
  Table table;
  Targets targets;
  Clients clients;
  Operators operators;
  Witness witness;
};

inline core::Time Now(const Setup& setup) { return setup.scheduler.now(); }

inline void Count(Setup* setup, const std::string& name) {
  ++setup->counts[name];
}

/// Writes one event into the history.
void Note(Setup* setup, int job, const char* what, int process = -1,
          int other = -1, std::int64_t number = 0, std::int64_t extra = 0,
          std::string detail = {});

/// Counts the check of `name`; when it does not hold, ends the run with the
/// history of `job`.
void Check(Setup* setup, const char* name, bool holds, int job,
           const std::string& detail);

}  // namespace tarragon::prove

#endif  // TARRAGON_PROVE_SETUP_H_
