#ifndef TARRAGON_PROVE_WITNESS_H_
#define TARRAGON_PROVE_WITNESS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "client.h"
#include "process.h"
#include "tarragon/core/clock.h"
#include "tarragon/dispatch/entry_board.h"
#include "tarragon/dispatch/message.h"

/// Sees what targets start, what clients and operators are told and what the
/// table holds, and judges the promises from that alone.

namespace tarragon::prove {

/// One start at a target.
struct StartFact {
  core::Time at;
  int body = 0;
  std::uint32_t task = 0;
  int agent = 0;
};

/// What was seen of one job.
struct JobFacts {
  std::vector<StartFact> starts;
  /// The first final answer of each kind, and when.
  std::optional<core::Time> complete_at;
  int complete_body = 0;
  std::optional<core::Time> failed_at;
  /// A cancellation was answered "not run" for good.
  bool cancelled_unrun = false;
  /// An heir said that its former home never ran the key.
  bool unrun_by_heir = false;
};

struct Witness {
  std::map<int, JobFacts> jobs;
  /// Worlds in the table, by version.
  std::map<std::uint64_t, dispatch::World> worlds;
  std::map<std::uint64_t, core::Time> written;
  /// When each version was first reported as accepted.
  std::map<std::uint64_t, core::Time> accepted;
  /// The note that was accepted on each base.
  std::map<std::uint64_t, std::string> winners;
};

// Targets.
void WitnessStart(Setup* setup, int agent, const dispatch::TaskRef& ref,
                  const std::string& payload);

// Clients.
void WitnessAnswer(Setup* setup, int call, const dispatch::JobAnswer& answer);
/// Checks that the call is answered in time; looks again later if the entry
/// was frozen meanwhile.
void WatchCall(Setup* setup, int call);

// Heirs of homes that were stopped (witness_heirs.cc).
/// An answer that an agent sends for a home other than itself must agree with
/// what the clients were told and with what was started.
void WitnessHeirAnswer(Setup* setup, const Process& heir,
                       const dispatch::JobAnswer& answer);
/// After a planned stop: an agent that stays has the memory of the home, unless
/// nobody took it.
void WitnessHandover(Setup* setup, const Process& stopped);

// Notes.
void WitnessWorldWrite(Setup* setup, const dispatch::World& world);
void WitnessNoteAnswer(Setup* setup, const ProcessLife& entry,
                       const dispatch::ReleaseNote& note,
                       const dispatch::NoteAnswer& answer);
/// After each event of a process: its version must not fall.
void WitnessVersion(Setup* setup, Process* process);
/// No start in a domain that was taken out seconds ago.
void WitnessDomain(Setup* setup, int agent, int job);
/// No start under a view that was overtaken seconds ago.
void WitnessStartFreshness(Setup* setup, int agent, int job);

/// The job that a key of the harness names, or kNoJob.
int JobOf(const core::JobKey& key);

// Branches of interest, from messages.
void ObserveSent(Setup* setup, const Process& from,
                 const dispatch::Message& message);
void ObserveReplies(Setup* setup, const Process& process,
                    const dispatch::Message& in,
                    const std::vector<const dispatch::Message*>& out);

}  // namespace tarragon::prove

#endif  // TARRAGON_PROVE_WITNESS_H_
