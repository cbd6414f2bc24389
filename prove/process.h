#ifndef TARRAGON_PROVE_PROCESS_H_
#define TARRAGON_PROVE_PROCESS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/agent_board.h"
#include "tarragon/dispatch/entry_board.h"

/// Agents and entries as simulated processes: they are started, killed, frozen
/// and stopped, and each event is handed to the decisions under test.

namespace tarragon::prove {

struct Setup;

/// Addresses among which a process moves; agents know those of all entries.
inline constexpr int kMostAddresses = 4;

/// Names one life of one process of the set-up.
struct ProcessLife {
  int process = -1;
  std::uint64_t life = 0;

  bool operator==(const ProcessLife&) const = default;
  auto operator<=>(const ProcessLife&) const = default;
};

/// An event that waits while its process is frozen. Events of one group keep
/// their order; groups may cross.
struct Input {
  std::uint64_t group = 0;
  std::function<void()> handle;
};

struct Process {
  int index = 0;
  bool is_agent = false;
  core::DomainId domain;
  core::NodeId node;
  std::uint64_t life = 0;
  bool alive = false;
  bool frozen = false;
  bool stopping = false;
  /// Which of its addresses it has.
  int moves = 0;
  dispatch::AgentBoard agent;
  dispatch::EntryBoard entry;
  std::deque<Input> inbox;
  /// Since when it has been alive, running and connected.
  core::Time calm_since;
  core::Time thawed;
  core::Time stop_requested;
  core::NoteVersion last_version;
  /// Since when an entry sees itself in the list of entries.
  std::optional<core::Time> listed_since;
  /// An agent's permit was valid at its last event.
  bool permitted = false;
};

/// True while this very life goes on.
bool IsAlive(const Setup& setup, const ProcessLife& life);
ProcessLife LifeOf(const Process& process);

/// Starts the process with a fresh board; at a new address if `move` is set.
void StartProcess(Setup* setup, int index, bool move);
/// Ends the process at once; its memory is lost. `abrupt`: its peers do not
/// learn of it for a while.
void KillProcess(Setup* setup, int index, bool abrupt);
void FreezeProcess(Setup* setup, int index);
void ThawProcess(Setup* setup, int index);
/// Asks for a graceful stop; the process ends when it is finished.
void StopProcess(Setup* setup, int index);

/// Runs `handle` in the process now, or when it thaws, and then carries out
/// what it asked for. Dropped if this life has ended.
void Deliver(Setup* setup, const ProcessLife& life, std::uint64_t group,
             std::function<void()> handle);

void DeliverMessage(Setup* setup, const ProcessLife& life, std::uint64_t group,
                    const core::NodeId& from, dispatch::Message message);
void DeliverPeerLost(Setup* setup, const ProcessLife& life,
                     const core::NodeId& peer);
void DeliverPeerGone(Setup* setup, const ProcessLife& life,
                     const core::NodeId& peer);

/// The world that the process has in force.
const dispatch::World& WorldOf(const Process& process);

/// Any process that is alive and an entry, or -1.
int AnyEntry(Setup* setup);
/// The entry to which the platform's balancer sends a client, or -1: mostly one
/// that says that it is ready.
int BalancedEntry(Setup* setup);

}  // namespace tarragon::prove

#endif  // TARRAGON_PROVE_PROCESS_H_
