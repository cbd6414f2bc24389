#include <algorithm>
#include <optional>

#include "setup.h"
#include "witness.h"

namespace tarragon::prove {
namespace {

/// After acceptance an older view must start nothing later than this.
constexpr core::Duration kFreshLimit = std::chrono::seconds(3);
/// Until then an accepted note is in force everywhere.
constexpr core::Duration kSpreadLimit = std::chrono::seconds(11);

/// An entry that an agent heard of within this time is one it speaks to.
constexpr core::Duration kHeardLimit = std::chrono::seconds(3);

/// The latest version that was accepted at least `age` ago.
std::optional<std::uint64_t> AcceptedBefore(const Setup& setup,
                                            core::Duration age) {
  std::optional<std::uint64_t> latest;
  for (const auto& [version, at] : setup.witness.accepted) {
    if (Now(setup) - at > age) latest = version;
  }
  return latest;
}

bool InService(const dispatch::World& world, const core::DomainId& domain) {
  const auto found = world.domains.find(domain);
  return found != world.domains.end() && found->second.in_service;
}

bool Contains(const dispatch::World& world, const core::NoteId& id) {
  return std::find(world.recent_notes.begin(), world.recent_notes.end(), id) !=
         world.recent_notes.end();
}

/// Alive, running and connected ever since `since`.
bool IsCalm(const Setup& setup, const Process& process, core::Time since) {
  if (!process.alive || process.frozen || process.stopping) return false;
  if (process.calm_since > since) return false;
  return std::none_of(setup.network.cuts.begin(), setup.network.cuts.end(),
                      [&process](const auto& cut) {
                        return cut.first.first == process.index ||
                               cut.first.second == process.index;
                      });
}

/// An entry that must know the version: it reads the table, or pings the entry
/// that reported the acceptance.
bool EntryMustKnow(const Setup& setup, const Process& entry, core::Time since,
                   const ProcessLife& source) {
  if (!IsCalm(setup, entry, since)) return false;
  const bool table = setup.table.mode == TableMode::kFine &&
                     setup.table.cut.count(entry.index) == 0 &&
                     setup.table.calm_since <= since;
  if (table) return true;
  if (!IsAlive(setup, source)) return false;
  const Process& teller = setup.processes[source.process];
  if (!IsCalm(setup, teller, since)) return false;
  if (!entry.listed_since.has_value() || *entry.listed_since > since) {
    return false;
  }
  return std::any_of(entry.entry.entries.members.begin(),
                     entry.entry.entries.members.end(),
                     [&teller](const dispatch::EntryMember& member) {
                       return member.node == teller.node;
                     });
}

/// An agent must know it if one of the entries that it speaks to must.
bool AgentMustKnow(const Setup& setup, const Process& agent, core::Time since,
                   const ProcessLife& source) {
  if (!IsCalm(setup, agent, since)) return false;
  return std::any_of(
      agent.agent.entry_links.begin(), agent.agent.entry_links.end(),
      [&](const dispatch::EntryLink& link) {
        if (Now(setup) - link.last_reply_at > kHeardLimit) return false;
        const auto found = setup.network.listeners.find(link.address);
        if (found == setup.network.listeners.end()) return false;
        return EntryMustKnow(setup, setup.processes[found->second], since,
                             source);
      });
}

void CheckSpread(Setup* setup, std::uint64_t version, core::Time since,
                 const ProcessLife& source) {
  for (const Process& process : setup->processes) {
    const bool must = process.is_agent
                          ? AgentMustKnow(*setup, process, since, source)
                          : EntryMustKnow(*setup, process, since, source);
    if (!must) continue;
    Check(setup, "f_in_force_in_time",
          WorldOf(process).version.value() >= version, kNoJob,
          "version " + std::to_string(version) + " at process " +
              std::to_string(process.index));
  }
}

void WitnessAccepted(Setup* setup, const dispatch::ReleaseNote& note,
                     const dispatch::NoteAnswer& answer,
                     const ProcessLife& entry) {
  const std::uint64_t version = answer.version.value();
  const auto world = setup->witness.worlds.find(version);
  const bool known = world != setup->witness.worlds.end();
  Check(setup, "g_accepted_is_in_table",
        known && Contains(world->second, note.id), kNoJob,
        note.id.value() + " version " + std::to_string(version));
  if (!known) return;
  const auto [winner, first] =
      setup->witness.winners.try_emplace(note.base.value(), note.id.value());
  Check(setup, "g_one_note_per_base", winner->second == note.id.value(), kNoJob,
        winner->second + " and " + note.id.value());
  if (!first) Count(setup, "note.accepted_again");
  if (setup->witness.accepted.count(version) > 0) return;
  const core::Time now = Now(*setup);
  setup->witness.accepted[version] = now;
  setup->scheduler.After(kSpreadLimit, [setup, version, now, entry]() {
    CheckSpread(setup, version, now, entry);
  });
}

/// Remembers since when an entry sees itself registered.
void WitnessListed(Setup* setup, Process* process) {
  const std::vector<dispatch::EntryMember>& members =
      process->entry.entries.members;
  const bool listed = std::any_of(
      members.begin(), members.end(),
      [process](const auto& member) { return member.node == process->node; });
  if (!listed) {
    process->listed_since.reset();
  } else if (!process->listed_since.has_value()) {
    process->listed_since = Now(*setup);
  }
}

}  // namespace

void WitnessWorldWrite(Setup* setup, const dispatch::World& world) {
  const std::uint64_t version = world.version.value();
  const auto& worlds = setup->witness.worlds;
  const std::uint64_t before = worlds.empty() ? 0 : worlds.rbegin()->first;
  Check(setup, "f_table_rises_by_one", version == before + 1, kNoJob,
        std::to_string(before) + " to " + std::to_string(version));
  setup->witness.worlds[version] = world;
  Note(setup, kNoJob, "world row", -1, -1, static_cast<std::int64_t>(version),
       0, world.recent_notes.back().value());
}

void WitnessNoteAnswer(Setup* setup, const ProcessLife& entry,
                       const dispatch::ReleaseNote& note,
                       const dispatch::NoteAnswer& answer) {
  Note(setup, kNoJob, "note answer", entry.process, -1,
       static_cast<std::int64_t>(answer.version.value()),
       static_cast<std::int64_t>(answer.state), note.id.value());
  const auto& worlds = setup->witness.worlds;
  const std::uint64_t latest = worlds.empty() ? 0 : worlds.rbegin()->first;
  switch (answer.state) {
    case dispatch::NoteState::kAccepted:
      Count(setup, "note.accepted");
      WitnessAccepted(setup, note, answer, entry);
      return;
    case dispatch::NoteState::kConflict:
      Count(setup, "note.conflict");
      Check(setup, "g_conflict_has_other_winner",
            latest != note.base.value() &&
                (worlds.empty() || !Contains(worlds.rbegin()->second, note.id)),
            kNoJob, note.id.value());
      return;
    case dispatch::NoteState::kPending:
      Count(setup, "note.pending");
      return;
    case dispatch::NoteState::kInvalid:
      Count(setup, "note.invalid");
      return;
    case dispatch::NoteState::kUnavailable:
      Count(setup, "note.unavailable");
      return;
  }
}

void WitnessVersion(Setup* setup, Process* process) {
  const core::NoteVersion version = WorldOf(*process).version;
  if (version != process->last_version) {
    Check(setup, "f_version_never_falls", version > process->last_version,
          kNoJob, "process " + std::to_string(process->index));
    process->last_version = version;
    Note(setup, kNoJob, "in force", process->index, -1,
         static_cast<std::int64_t>(version.value()));
  }
  if (!process->is_agent) {
    WitnessListed(setup, process);
    return;
  }
  const bool permitted = Now(*setup) < process->agent.permit_until;
  if (process->permitted && !permitted) Count(setup, "permit.lapsed");
  process->permitted = permitted;
}

void WitnessDomain(Setup* setup, int agent, int job) {
  const std::optional<std::uint64_t> version =
      AcceptedBefore(*setup, kFreshLimit);
  if (!version.has_value()) return;
  const core::DomainId& domain = setup->processes[agent].domain;
  bool allowed = false;
  for (auto it = setup->witness.worlds.find(*version);
       it != setup->witness.worlds.end(); ++it) {
    allowed = allowed || InService(it->second, domain);
  }
  Check(setup, "e_no_start_in_withdrawn_domain", allowed, job,
        domain.value() + " agent " + std::to_string(agent));
}

void WitnessStartFreshness(Setup* setup, int agent, int job) {
  const std::optional<std::uint64_t> version =
      AcceptedBefore(*setup, kFreshLimit);
  if (!version.has_value()) return;
  const std::uint64_t held =
      setup->processes[agent].agent.world.version.value();
  Check(setup, "e_no_start_under_old_view", held >= *version, job,
        "agent " + std::to_string(agent) + " has " + std::to_string(held) +
            " of " + std::to_string(*version));
}

}  // namespace tarragon::prove
