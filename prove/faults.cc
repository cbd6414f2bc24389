#include "faults.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <string>
#include <vector>

#include "operators.h"
#include "setup.h"

namespace tarragon::prove {
namespace {

constexpr core::Duration kZero{0};
constexpr core::Duration kSecond = std::chrono::seconds(1);

/// Ends a fault after a while. In the quiet phase HealAll has ended it.
void EndAfter(Setup* setup, core::Duration least, core::Duration most,
              std::function<void()> end) {
  setup->scheduler.After(setup->random.Between(least, most),
                         [setup, end = std::move(end)]() {
                           if (!setup->quiet) end();
                         });
}

int AnyAgentIndex(Setup* setup) {
  return static_cast<int>(setup->random.Index(setup->agents));
}

int AnyEntryIndex(Setup* setup) {
  return setup->agents + static_cast<int>(setup->random.Index(setup->entries));
}

int AnyProcess(Setup* setup) {
  if (setup->entry_churn && setup->random.Chance(800)) {
    return AnyEntryIndex(setup);
  }
  return static_cast<int>(setup->random.Index(setup->processes.size()));
}

void RestartLater(Setup* setup, int index) {
  const bool move = setup->random.Chance(250);
  const core::Duration most =
      setup->random.Chance(150) ? 40 * kSecond : 5 * kSecond;
  EndAfter(setup, kZero, most, [setup, index, move]() {
    if (setup->processes[index].alive) return;
    Count(setup, move ? "fault.moved" : "fault.restarted");
    StartProcess(setup, index, move);
  });
}

void KillOne(Setup* setup) {
  const int index = AnyProcess(setup);
  KillProcess(setup, index, setup->random.Chance(300));
  RestartLater(setup, index);
}

void KillAllEntries(Setup* setup) {
  Count(setup, "fault.all_entries_killed");
  for (int i = 0; i < setup->entries; ++i) {
    const int index = setup->agents + i;
    KillProcess(setup, index, false);
    RestartLater(setup, index);
  }
}

void FreezeOne(Setup* setup) {
  const int index = AnyProcess(setup);
  FreezeProcess(setup, index);
  const std::uint64_t life = setup->processes[index].life;
  const core::Duration most = setup->options.harsh ? 30 * kSecond : 9 * kSecond;
  EndAfter(setup, kSecond / 10, most, [setup, index, life]() {
    if (setup->processes[index].life == life) ThawProcess(setup, index);
  });
}

/// A process that stops must not be killed while it waits; it comes back once
/// it has ended.
void AwaitStopped(Setup* setup, int index) {
  if (setup->quiet) return;
  if (!setup->processes[index].alive) {
    RestartLater(setup, index);
    return;
  }
  setup->scheduler.After(kSecond,
                         [setup, index]() { AwaitStopped(setup, index); });
}

void StopOne(Setup* setup) {
  const int index = AnyProcess(setup);
  StopProcess(setup, index);
  AwaitStopped(setup, index);
}

void BreakOne(Setup* setup) {
  auto& connections = setup->network.connections;
  if (connections.empty()) return;
  auto it = connections.begin();
  std::advance(it, setup->random.Index(connections.size()));
  BreakConnection(setup, it->first);
}

void BreakMany(Setup* setup) {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, connection] : setup->network.connections) {
    if (setup->random.Chance(500)) ids.push_back(id);
  }
  for (const std::uint64_t id : ids) BreakConnection(setup, id);
}

void CutFor(Setup* setup, const std::vector<int>& some,
            const std::vector<int>& others) {
  Count(setup, "fault.partition");
  for (const int a : some) {
    for (const int b : others) CutPair(setup, a, b);
    Note(setup, kNoJob, "cut", a);
  }
  EndAfter(setup, kSecond / 2, 20 * kSecond, [setup, some, others]() {
    for (const int a : some) {
      for (const int b : others) HealPair(setup, a, b);
      Note(setup, kNoJob, "healed", a);
    }
  });
}

void CutTable(Setup* setup, int entry) {
  Count(setup, "fault.table_cut");
  ++setup->table.cut[entry];
  Note(setup, kNoJob, "table cut", entry);
  EndAfter(setup, kSecond, 30 * kSecond, [setup, entry]() {
    if (--setup->table.cut[entry] == 0) setup->table.cut.erase(entry);
    setup->table.calm_since = Now(*setup);
    Note(setup, kNoJob, "table reached", entry);
  });
}

void Isolate(Setup* setup) {
  const int index = AnyProcess(setup);
  std::vector<int> others;
  for (const Process& process : setup->processes) {
    if (process.index != index) others.push_back(process.index);
  }
  CutFor(setup, {index}, others);
  const bool from_table = setup->entry_churn || setup->random.Chance(500);
  if (index >= setup->agents && from_table) {
    CutTable(setup, index);
  }
}

void IsolateDomain(Setup* setup) {
  const core::DomainId& domain =
      setup->domains[setup->random.Index(setup->domains.size())];
  std::vector<int> in, out;
  for (const Process& process : setup->processes) {
    (process.domain == domain ? in : out).push_back(process.index);
  }
  CutFor(setup, in, out);
}

void CutTwo(Setup* setup) {
  const int a = AnyProcess(setup);
  const int b = AnyProcess(setup);
  if (a != b) CutFor(setup, {a}, {b});
}

void TroubleTable(Setup* setup) {
  if (setup->table.mode != TableMode::kFine) return;
  constexpr TableMode kModes[] = {TableMode::kSlow, TableMode::kLossy,
                                  TableMode::kOut, TableMode::kOut};
  SetTableMode(setup, kModes[setup->random.Index(std::size(kModes))]);
  EndAfter(setup, kSecond, 40 * kSecond,
           [setup]() { SetTableMode(setup, TableMode::kFine); });
}

const char* NameOf(TargetMode mode) {
  switch (mode) {
    case TargetMode::kFine:
      return "fine";
    case TargetMode::kFail:
      return "fail";
    case TargetMode::kHang:
      return "hang";
    case TargetMode::kLinger:
      return "linger";
    case TargetMode::kBusy:
      return "busy";
    case TargetMode::kLose:
      return "lose";
  }
  return "";
}

void TroubleTarget(Setup* setup) {
  const int index = AnyAgentIndex(setup);
  constexpr TargetMode kModes[] = {TargetMode::kFail, TargetMode::kHang,
                                   TargetMode::kLinger, TargetMode::kBusy,
                                   TargetMode::kLose};
  const TargetMode mode = kModes[setup->random.Index(std::size(kModes))];
  setup->targets.all[index].mode = mode;
  Note(setup, kNoJob, "target mode", index, -1,
       static_cast<std::int64_t>(mode));
  Count(setup, std::string("fault.target_mode_") + NameOf(mode));
  EndAfter(setup, kSecond, 15 * kSecond, [setup, index]() {
    setup->targets.all[index].mode = TargetMode::kFine;
  });
}

void EndTarget(Setup* setup) {
  const int index = AnyAgentIndex(setup);
  if (setup->random.Chance(500)) {
    KillTarget(setup, index);
    EndAfter(setup, kZero, 10 * kSecond,
             [setup, index]() { ReviveTarget(setup, index); });
    return;
  }
  SetLeaving(setup, index, true);
  EndAfter(setup, kSecond, 15 * kSecond,
           [setup, index]() { SetLeaving(setup, index, false); });
}

void SlowNetwork(Setup* setup) {
  constexpr std::int64_t kFactors[] = {10, 50, 200};
  setup->network.slowness = kFactors[setup->random.Index(std::size(kFactors))];
  Count(setup, "fault.network_slow");
  EndAfter(setup, kSecond, 10 * kSecond,
           [setup]() { setup->network.slowness = 1; });
}

void Burst(Setup* setup) {
  const core::Duration usual = setup->clients.pause;
  if (usual < std::chrono::milliseconds(10)) return;
  Count(setup, "fault.burst");
  setup->clients.pause = std::chrono::milliseconds(2);
  EndAfter(setup, kSecond / 2, 2 * kSecond,
           [setup, usual]() { setup->clients.pause = usual; });
}

/// Operators sometimes remove an entry that died.
void Remove(Setup* setup) { RemoveDeadEntries(setup); }

using Fault = void (*)(Setup*);
constexpr Fault kFaults[] = {
    KillOne,       KillOne,   FreezeOne,    FreezeOne,    FreezeOne,
    StopOne,       BreakOne,  BreakOne,     BreakMany,    Isolate,
    IsolateDomain, CutTwo,    TroubleTable, TroubleTable, TroubleTarget,
    TroubleTarget, EndTarget, SlowNetwork,  Burst,        Remove};

void CutAnyTable(Setup* setup) { CutTable(setup, AnyEntryIndex(setup)); }

constexpr Fault kEntryFaults[] = {
    KillOne, KillOne,     FreezeOne,   StopOne,     StopOne, BreakMany,
    Isolate, CutAnyTable, CutAnyTable, CutAnyTable, CutTwo,  TroubleTable};

void StartEntryFault(Setup* setup) {
  kEntryFaults[setup->random.Index(std::size(kEntryFaults))](setup);
}

void StartAnyFault(Setup* setup) {
  const std::uint64_t pick = setup->random.Below(std::size(kFaults) + 2);
  if (pick == std::size(kFaults)) {
    CutAnyTable(setup);
  } else if (pick > std::size(kFaults)) {
    if (setup->random.Chance(200)) KillAllEntries(setup);
  } else {
    kFaults[pick](setup);
  }
}

}  // namespace

void FaultLoop(Setup* setup) {
  if (setup->quiet) return;
  if (setup->entry_churn && setup->random.Chance(850)) {
    StartEntryFault(setup);
  } else {
    StartAnyFault(setup);
  }
  const bool often = setup->options.harsh || setup->entry_churn;
  const core::Duration most = often ? 2 * kSecond : 5 * kSecond;
  setup->scheduler.After(setup->random.Between(kSecond / 10, most),
                         [setup]() { FaultLoop(setup); });
}

void HealAll(Setup* setup) {
  setup->quiet = true;
  setup->network.slowness = 1;
  std::vector<std::pair<int, int>> cuts;
  for (const auto& [pair, count] : setup->network.cuts) cuts.push_back(pair);
  for (const auto& [a, b] : cuts) {
    setup->network.cuts[{a, b}] = 1;
    HealPair(setup, a, b);
  }
  SetTableMode(setup, TableMode::kFine);
  setup->table.cut.clear();
  setup->table.calm_since = Now(*setup);
  for (int i = 0; i < setup->agents; ++i) {
    setup->targets.all[i].mode = TargetMode::kFine;
    ReviveTarget(setup, i);
    SetLeaving(setup, i, false);
  }
  for (std::size_t i = 0; i < setup->processes.size(); ++i) {
    const int index = static_cast<int>(i);
    ThawProcess(setup, index);
    StartProcess(setup, index, false);
  }
}

}  // namespace tarragon::prove
