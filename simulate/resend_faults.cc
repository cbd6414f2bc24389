#include <algorithm>
#include <string>
#include <utility>

#include "resend_state.h"

// The series of faults: the first at a random time, often at an entry, and each
// further one within the time in which a client waits before it submits again.

namespace tarragon::simulate {
namespace {

constexpr core::Duration kFirstLeast = milliseconds(800);
constexpr core::Duration kFirstMost = milliseconds(3500);
/// Time from one fault to the next: at once, within the silence after which
/// gates stop an entry's runs, or any time until clients submit again.
constexpr core::Duration kAtOnceMost = milliseconds(60);
constexpr core::Duration kSilenceLeast = milliseconds(200);
constexpr core::Duration kSilenceMost = milliseconds(900);
constexpr core::Duration kGapMost = milliseconds(1500);
constexpr double kEntryFirstShare = 0.9;
constexpr double kEntryLaterShare = 0.3;
constexpr double kOneGateShare = 0.25;
constexpr double kAllGatesShare = 0.2;
constexpr double kPowerLossShare = 0.2;

std::string FormatMs(core::Duration duration) {
  return std::to_string(core::Millis(duration)) + " ms";
}

}  // namespace

void ResendWorld::NoteFault(std::string text) {
  text = FormatResendTime(now_) + " " + text;
  if (plan_.trace) result_.trace.push_back(text);
  result_.faults.push_back(std::move(text));
}

void ResendWorld::ScheduleFaults() {
  if (plan_.max_faults == 0) return;
  core::Duration at =
      kResendWarmUp + fault_dice_.Between(kFirstLeast, kFirstMost);
  const std::size_t least = std::min<std::size_t>(plan_.max_faults, 3);
  const std::size_t count =
      least + fault_dice_.Below(plan_.max_faults - least + 1);
  for (std::size_t i = 0; i < count; ++i) {
    const bool at_entry =
        fault_dice_.Chance(i == 0 ? kEntryFirstShare : kEntryLaterShare);
    const std::size_t kind = fault_dice_.Below(5);
    After(at, [this, at_entry, kind]() {
      if (at_entry) return InjectEntryFault();
      switch (kind) {
        case 0:
          return InjectTargetFault();
        case 1:
          return InjectCallFault();
        case 2:
          return InjectLinkFault();
        default:
          return InjectGateFault();
      }
    });
    at += DrawGap();
  }
}

core::Duration ResendWorld::DrawGap() {
  switch (fault_dice_.Below(4)) {
    case 0:
      return fault_dice_.Between(core::Duration(0), kAtOnceMost);
    case 1:
    case 2:
      return fault_dice_.Between(kSilenceLeast, kSilenceMost);
    default:
      return fault_dice_.Between(core::Duration(0), kGapMost);
  }
}

std::vector<std::size_t> ResendWorld::DrawGates() {
  std::vector<std::size_t> drawn;
  const std::size_t first = fault_dice_.Below(plan_.gates);
  const bool one = fault_dice_.Chance(kOneGateShare);
  const bool all = !one && fault_dice_.Chance(kAllGatesShare);
  for (std::size_t t = 0; t < plan_.gates; ++t) {
    const bool also = all || (!one && fault_dice_.Chance(0.5));
    if (t == first || also) drawn.push_back(t);
  }
  return drawn;
}

void ResendWorld::InjectProcessFault(ProcessIndex p) {
  const core::Duration length =
      fault_dice_.Between(milliseconds(30), milliseconds(2500));
  const std::string& name = processes_[p].name;
  switch (fault_dice_.Below(4)) {
    case 0:
      NoteFault(name + " is frozen for " + FormatMs(length));
      Freeze(p);
      After(length, [this, p, life = processes_[p].life]() {
        if (processes_[p].life == life) Thaw(p);
      });
      return;
    case 1:
      processes_[p].lag =
          fault_dice_.Between(milliseconds(10), milliseconds(400));
      processes_[p].slow_until = now_ + length;
      return NoteFault(name + " is slow by up to " +
                       FormatMs(processes_[p].lag) + " for " +
                       FormatMs(length));
    default:
      const bool power_loss = fault_dice_.Chance(kPowerLossShare);
      NoteFault(name + (power_loss ? " loses power" : " is killed") +
                ", back after " + FormatMs(length));
      Kill(p, power_loss);
      After(length, [this, p]() { Start(p); });
  }
}

void ResendWorld::InjectEntryFault() {
  const ProcessIndex p = fault_dice_.Below(plan_.entries);
  const std::string& name = processes_[p].name;
  const core::Duration length =
      fault_dice_.Between(milliseconds(200), milliseconds(3000));
  switch (fault_dice_.Below(10)) {
    case 0:
      NoteFault("clients of " + name + " are reset");
      for (const std::uint64_t call : FindCalls(p)) BreakCall(call);
      return;
    case 1: {
      const std::size_t ways = 1 + fault_dice_.Below(3);
      if ((ways & 1) != 0) client_cuts_[p] = now_ + length;
      if ((ways & 2) != 0) answer_cuts_[p] = now_ + length;
      return NoteFault("clients are cut off from " + name + ", ways " +
                       std::to_string(ways) + ", for " + FormatMs(length));
    }
    case 2:
      NoteFault(name + " is cut off from all for " + FormatMs(length));
      client_cuts_[p] = answer_cuts_[p] = now_ + length;
      for (std::size_t t = 0; t < plan_.gates; ++t) {
        Cut(p, GateProcess(t), length);
        Cut(GateProcess(t), p, length);
      }
      return;
    default:
      return InjectProcessFault(p);
  }
}

void ResendWorld::InjectGateFault() {
  for (const std::size_t t : DrawGates()) InjectProcessFault(GateProcess(t));
}

void ResendWorld::InjectTargetFault() {
  for (const std::size_t t : DrawGates()) {
    const core::Duration down =
        fault_dice_.Between(milliseconds(10), milliseconds(600));
    const bool same_id = fault_dice_.Chance(0.5);
    NoteFault("target " + targets_[t].id.value() + " crashes, back after " +
              FormatMs(down) + (same_id ? " under its id" : ""));
    CrashTarget(t, down, same_id);
  }
}

void ResendWorld::InjectCallFault() {
  const bool late = fault_dice_.Chance(0.5);
  const double share = 0.2 + 0.8 * fault_dice_.Share();
  const core::Duration length =
      fault_dice_.Between(milliseconds(100), milliseconds(1500));
  for (const std::size_t t : DrawGates()) {
    SimulatedTarget& target = targets_[t];
    (late ? target.late_until : target.lossy_until) = now_ + length;
    (late ? target.late_share : target.loss_share) = share;
    NoteFault("calls to target " + target.id.value() +
              (late ? " are executed late" : " get lost") + ", " +
              std::to_string(static_cast<int>(share * 100)) + " % for " +
              FormatMs(length));
  }
}

void ResendWorld::Cut(ProcessIndex from, ProcessIndex to,
                      core::Duration length) {
  core::Time& end = cuts_[{from, to}];
  end = std::max(end, now_ + length);
}

void ResendWorld::InjectLinkFault() {
  const std::size_t ways = 1 + fault_dice_.Below(3);
  const core::Duration length =
      fault_dice_.Between(milliseconds(100), milliseconds(3000));
  const bool all_entries = fault_dice_.Chance(0.5);
  const ProcessIndex one = fault_dice_.Below(plan_.entries);
  for (const std::size_t t : DrawGates()) {
    const ProcessIndex gate = GateProcess(t);
    for (ProcessIndex entry = 0; entry < plan_.entries; ++entry) {
      if (!all_entries && entry != one) continue;
      if ((ways & 1) != 0) Cut(entry, gate, length);
      if ((ways & 2) != 0) Cut(gate, entry, length);
    }
    NoteFault(processes_[gate].name + " and " +
              (all_entries ? "all entries" : processes_[one].name) +
              " are cut, ways " + std::to_string(ways) + ", for " +
              FormatMs(length));
  }
}

}  // namespace tarragon::simulate
