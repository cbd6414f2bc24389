#include <vector>

#include "cluster.h"
#include "cost.h"
#include "tarragon/capacity/slopes.h"
#include "tarragon/dispatch/entry.h"
#include "tarragon/wire/codec.h"

namespace tarragon::capacity {
namespace {

constexpr std::size_t kMembers[] = {100, 500, 2000, 5000, 10000, 19000};
constexpr double kPlannedMembers = 19000;
constexpr std::size_t kHeartbeats = 20000;
constexpr int kTicks = 20;
constexpr std::size_t kMintCalls = 4;

/// Decodes heartbeats, answers them and encodes the permits.
double HeartbeatMicros(dispatch::EntryBoard* entry, std::size_t members) {
  std::vector<std::string> beats;
  for (std::size_t i = 0; i < kHeartbeats; ++i) {
    beats.push_back(wire::Encode(MakeHeartbeat(i % members, *entry, i + 2)));
  }
  const double before = CpuMicros();
  for (std::size_t i = 0; i < kHeartbeats; ++i) {
    dispatch::OnMessage(entry, kBegin, AgentNode(i % members),
                        *wire::Decode(beats[i], nullptr));
    for (const dispatch::EntryAction& action : entry->actions) {
      wire::Encode(std::get<dispatch::SendMessage>(action).message);
    }
    entry->actions.clear();
  }
  return (CpuMicros() - before) / static_cast<double>(kHeartbeats);
}

double TickMicros(dispatch::EntryBoard* entry) {
  const double before = CpuMicros();
  for (int i = 0; i < kTicks; ++i) {
    dispatch::OnTick(entry, kBegin);
    entry->actions.clear();
  }
  return (CpuMicros() - before) / kTicks;
}

double MintMicros(dispatch::EntryBoard* entry) {
  const double before = CpuMicros();
  for (std::size_t i = 0; i < kMintCalls; ++i) {
    dispatch::MintHandle(entry, MeasuredService());
  }
  return (CpuMicros() - before) / static_cast<double>(kMintCalls);
}

}  // namespace

std::vector<Slope> EntrySlopes() {
  Slope beat{"entry",   "decode a heartbeat, answer, encode the permit",
             "members", "us per heartbeat",
             {},        kPlannedMembers};
  Slope tick{"entry", "one tick of 20 ms", "members", "us per tick",
             {},      kPlannedMembers};
  Slope mint{"entry", "mint one handle", "members", "us per handle",
             {},      kPlannedMembers};
  for (const std::size_t members : kMembers) {
    dispatch::EntryBoard entry = MakeEntry(kBegin, members);
    const double x = static_cast<double>(members);
    beat.points.push_back({x, HeartbeatMicros(&entry, members)});
    tick.points.push_back({x, TickMicros(&entry)});
    mint.points.push_back({x, MintMicros(&entry)});
  }
  return {beat, tick, mint};
}

}  // namespace tarragon::capacity
