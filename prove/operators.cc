#include "operators.h"

#include <algorithm>
#include <utility>

#include "client_call.h"
#include "setup.h"
#include "tarragon/dispatch/entry.h"

namespace tarragon::prove {
namespace {

using dispatch::NoteState;
using dispatch::ReleaseNote;

constexpr core::Duration kPatience = std::chrono::seconds(12);
constexpr core::Duration kAnswerLimit = std::chrono::seconds(10);
constexpr core::Duration kPause = std::chrono::seconds(2);
constexpr core::Duration kShortPause = std::chrono::milliseconds(200);
constexpr core::Duration kLeastPause = std::chrono::seconds(1);
constexpr core::Duration kMostPause = std::chrono::seconds(6);
constexpr core::Duration kMaxRun = std::chrono::seconds(3);
constexpr int kManySends = 1000;
const char* const kExtraService = "extra";

void SendNote(Setup* setup, int number);

void SendNoteLater(Setup* setup, int number, core::Duration pause) {
  setup->scheduler.After(pause, [setup, number]() {
    if (!setup->operators.notes[number].settled) SendNote(setup, number);
  });
}

/// An entry that runs on must say in time how the note stands.
void WatchNote(Setup* setup, const ProcessLife& entry, std::uint64_t request) {
  const core::Time since = Now(*setup);
  setup->scheduler.After(kAnswerLimit, [setup, entry, request, since]() {
    if (!IsAlive(*setup, entry)) return;
    const Process& process = setup->processes[entry.process];
    if (process.frozen || process.thawed > since) return;
    Check(setup, "i_note_answered_in_time",
          setup->operators.by_number.count({entry, request}) == 0, kNoJob,
          "request " + std::to_string(request) + " at process " +
              std::to_string(entry.process));
  });
}

/// Hands the note to one entry; again elsewhere when nothing comes back.
void SendNote(Setup* setup, int number) {
  OperatorNote& open = setup->operators.notes[number];
  if (open.sends_left == 0) return;
  --open.sends_left;
  const int entry = AnyEntry(setup);
  if (entry < 0) {
    SendNoteLater(setup, number, kPause);
    return;
  }
  const ProcessLife life = LifeOf(setup->processes[entry]);
  Note(setup, kNoJob, "note sent", entry, -1,
       static_cast<std::int64_t>(open.note.base.value()), 0,
       open.note.id.value());
  Visit(setup, life, [setup, life, number]() {
    const std::uint64_t request = dispatch::OnOperatorNote(
        &setup->processes[life.process].entry, Now(*setup),
        setup->operators.notes[number].note);
    setup->operators.by_number[{life, request}] = number;
    WatchNote(setup, life, request);
  });
  SendNoteLater(setup, number, kPatience);
}

int AddNote(Setup* setup, ReleaseNote note, int sends) {
  OperatorNote open;
  open.note = std::move(note);
  open.sends_left = sends;
  setup->operators.notes.push_back(std::move(open));
  return static_cast<int>(setup->operators.notes.size()) - 1;
}

core::NoteId NextId(const Setup& setup) {
  return core::NoteId("n" + std::to_string(setup.operators.notes.size() + 1));
}

/// Takes a domain out of service or brings one back.
void ChangeDomain(Setup* setup, const dispatch::World& world,
                  ReleaseNote* note) {
  const core::DomainId& domain =
      setup->domains[setup->random.Index(setup->domains.size())];
  const auto known = world.domains.find(domain);
  if (known == world.domains.end()) return;
  const auto in_service = [](const auto& item) {
    return item.second.in_service;
  };
  const auto count =
      std::count_if(world.domains.begin(), world.domains.end(), in_service);
  if (known->second.in_service && count < 2) return;
  note->changed_domains[domain].in_service = !known->second.in_service;
  Count(setup, known->second.in_service ? "note.domain_out" : "note.domain_in");
}

void ChangeService(Setup* setup, const dispatch::World& world,
                   ReleaseNote* note) {
  const core::ServiceId extra(kExtraService);
  if (setup->random.Chance(300)) {
    if (world.services.count(extra) > 0) {
      note->withdrawn_services.insert(extra);
      Count(setup, "note.service_withdrawn");
    } else {
      note->added_services[extra] = dispatch::Service{};
      Count(setup, "note.service_added");
    }
    return;
  }
  const core::ServiceId& service =
      setup->services[setup->random.Index(setup->services.size())];
  if (world.services.count(service) == 0) return;
  note->changed_services[service].max_run =
      setup->random.Between(std::chrono::seconds(1), kMaxRun);
  Count(setup, "note.service_changed");
}

void ChangeTenant(Setup* setup, const dispatch::World& world,
                  ReleaseNote* note) {
  const core::TenantId& tenant =
      setup->tenants[setup->random.Index(setup->tenants.size())];
  if (world.tenants.count(tenant) == 0) return;
  dispatch::TenantChange& change = note->changed_tenants[tenant];
  change.max_running = setup->random.Chance(500) ? 0U : 3U;
  change.max_queued = setup->random.Chance(500) ? 0U : 12U;
  change.weight = 1 + static_cast<std::uint32_t>(setup->random.Below(4));
  Count(setup, "note.tenant_changed");
}

ReleaseNote RandomNote(Setup* setup, const dispatch::World& world) {
  ReleaseNote note;
  note.id = NextId(*setup);
  note.base = world.version;
  if (setup->random.Chance(600)) ChangeDomain(setup, world, &note);
  if (setup->random.Chance(300)) ChangeService(setup, world, &note);
  const bool empty =
      note.changed_domains.empty() && note.changed_services.empty() &&
      note.added_services.empty() && note.withdrawn_services.empty();
  if (empty || setup->random.Chance(300)) ChangeTenant(setup, world, &note);
  return note;
}

/// One operator, or two who race, write notes on what one entry shows.
void WriteNotes(Setup* setup, int entry) {
  const dispatch::World& world = setup->processes[entry].entry.world;
  if (world.version == core::NoteVersion(0)) return;
  const bool race = setup->random.Chance(250);
  if (race) Count(setup, "note.races");
  for (int i = 0; i < (race ? 2 : 1); ++i) {
    constexpr int kSends = 6;
    const int number = AddNote(setup, RandomNote(setup, world), kSends);
    SendNoteLater(
        setup, number,
        setup->random.Between(core::Duration(0), std::chrono::milliseconds(5)));
  }
}

/// What brings everything into service again.
ReleaseNote RepairNote(const Setup& setup, const dispatch::World& world) {
  ReleaseNote note;
  note.id = NextId(setup);
  note.base = world.version;
  for (const core::DomainId& domain : setup.domains) {
    if (world.domains.count(domain) == 0) {
      note.added_domains[domain] =
          dispatch::Domain{core::RegionId("region"), true};
    } else {
      note.changed_domains[domain].in_service = true;
    }
  }
  for (const core::ServiceId& service : setup.services) {
    if (world.services.count(service) > 0) continue;
    dispatch::Service added;
    added.max_run = kMaxRun;
    note.added_services[service] = added;
  }
  for (const core::TenantId& tenant : setup.tenants) {
    if (world.tenants.count(tenant) == 0) {
      note.added_tenants[tenant] = dispatch::TenantLimit{};
      continue;
    }
    note.changed_tenants[tenant].max_running = 0;
    note.changed_tenants[tenant].max_queued = 0;
  }
  return note;
}

}  // namespace

void SendFirstNote(Setup* setup) {
  const int number =
      AddNote(setup, RepairNote(*setup, dispatch::World{}), kManySends);
  SendNote(setup, number);
}

void OperatorLoop(Setup* setup) {
  if (!setup->operators.active) return;
  const int entry = AnyEntry(setup);
  if (entry >= 0) {
    Visit(setup, LifeOf(setup->processes[entry]),
          [setup, entry]() { WriteNotes(setup, entry); });
  }
  const core::Duration most = setup->entry_churn ? kPause : kMostPause;
  const core::Duration least = setup->entry_churn ? kShortPause : kLeastPause;
  setup->scheduler.After(setup->random.Between(least, most),
                         [setup]() { OperatorLoop(setup); });
}

void SendLastNote(Setup* setup) {
  if (setup->operators.last_accepted) return;
  const int entry = AnyEntry(setup);
  if (entry >= 0) {
    Visit(setup, LifeOf(setup->processes[entry]), [setup, entry]() {
      const dispatch::World& world = setup->processes[entry].entry.world;
      if (world.version == core::NoteVersion(0)) return;
      setup->operators.last =
          AddNote(setup, RepairNote(*setup, world), kManySends);
      SendNote(setup, setup->operators.last);
    });
  }
  setup->scheduler.After(kPause, [setup]() { SendLastNote(setup); });
}

void RemoveDeadEntries(Setup* setup) {
  const auto row = setup->table.cells.find("entries");
  if (row == setup->table.cells.end() || AnyEntry(setup) < 0) return;
  std::vector<dispatch::EntryMember> listed = row->second.entries.members;
  listed.insert(listed.end(), row->second.entries.previous.begin(),
                row->second.entries.previous.end());
  for (const dispatch::EntryMember& member : listed) {
    const bool lives =
        std::any_of(setup->processes.begin(), setup->processes.end(),
                    [&member](const Process& process) {
                      return process.alive && process.node == member.node;
                    });
    if (lives) continue;
    const int entry = AnyEntry(setup);
    Visit(setup, LifeOf(setup->processes[entry]),
          [setup, entry, dead = member.node]() {
            const bool removed = dispatch::OnOperatorRemoveEntry(
                &setup->processes[entry].entry, Now(*setup), dead);
            Count(setup, removed ? "entries.removed_by_operator"
                                 : "entries.removal_not_possible");
          });
  }
}

void OnNoteAnswer(Setup* setup, const ProcessLife& entry,
                  const dispatch::AnswerNote& action) {
  const auto found = setup->operators.by_number.find({entry, action.request});
  if (found == setup->operators.by_number.end()) return;
  const int number = found->second;
  setup->operators.by_number.erase(found);
  OperatorNote& open = setup->operators.notes[number];
  WitnessNoteAnswer(setup, entry, open.note, action.answer);
  const NoteState state = action.answer.state;
  if (state == NoteState::kPending || state == NoteState::kUnavailable) {
    Count(setup, "note.sent_again");
    SendNoteLater(setup, number, kPause);
    return;
  }
  open.settled = true;
  if (state != NoteState::kAccepted) return;
  if (number == setup->operators.last) setup->operators.last_accepted = true;
  open.accepted = true;
  if (open.sends_left == 0 || setup->random.Chance(800)) return;
  // The operator did not see the answer and asks once more.
  setup->scheduler.After(kPause,
                         [setup, number]() { SendNote(setup, number); });
}

}  // namespace tarragon::prove
