#include "loss_plan.h"

#include <algorithm>
#include <numeric>
#include <random>

namespace tarragon::soak {
namespace {

using std::chrono::milliseconds;

constexpr int kFirstSeriesMs = 1500;

/// Draws numbers that do not depend on the standard library's distributions,
/// so that a seed means the same series everywhere.
class Draws {
 public:
  explicit Draws(std::uint64_t seed) : random_(seed) {}

  int Int(int least, int most) {
    const std::uint64_t count = static_cast<std::uint64_t>(most - least) + 1;
    return least + static_cast<int>(random_() % count);
  }
  milliseconds Millis(int least, int most) {
    return milliseconds(Int(least, most));
  }
  /// `count` different indices below `size`.
  std::vector<int> Indices(int count, int size) {
    std::vector<int> all(static_cast<std::size_t>(size));
    std::iota(all.begin(), all.end(), 0);
    for (int i = size - 1; i > 0; --i) {
      std::swap(all[static_cast<std::size_t>(i)],
                all[static_cast<std::size_t>(Int(0, i))]);
    }
    all.resize(static_cast<std::size_t>(std::min(count, size)));
    return all;
  }

 private:
  std::mt19937_64 random_;
};

milliseconds DrawDuration(Draws* draws, LossKind kind) {
  return kind == LossKind::kKill ? draws->Millis(0, 1200)
                                 : draws->Millis(700, 2500);
}

/// Everything is killed at once and starts again within a second.
LossSeries DrawAllKilled(Draws* draws, int entries, int gates) {
  LossSeries series;
  series.name = "all-kill";
  for (int i = 0; i < entries; ++i) {
    series.entries.push_back(
        {i, LossKind::kKill, milliseconds(0), draws->Millis(0, 1000)});
  }
  for (int i = 0; i < gates; ++i) {
    series.gates.push_back(
        {i, LossKind::kKill, milliseconds(0), draws->Millis(0, 1000)});
  }
  return series;
}

LossSeries DrawEntryAndGates(Draws* draws, int entries, int gates) {
  constexpr LossKind kEntryKinds[] = {
      LossKind::kKill,        LossKind::kKill,        LossKind::kFreeze,
      LossKind::kCutOutgoing, LossKind::kCutIncoming, LossKind::kCutBothWays,
      LossKind::kCutAndReset, LossKind::kCutAndReset};
  constexpr LossKind kGateKinds[] = {
      LossKind::kKill,        LossKind::kKill,        LossKind::kFreeze,
      LossKind::kFreeze,      LossKind::kCutOutgoing, LossKind::kCutIncoming,
      LossKind::kCutBothWays, LossKind::kNone};
  const LossKind entry = kEntryKinds[draws->Int(0, 7)];
  const LossKind gate = kGateKinds[draws->Int(0, 7)];
  const bool orders = draws->Int(0, 2) == 0;
  LossSeries series;
  series.name = std::string("entry-") + Name(entry) + " gates-" + Name(gate) +
                (orders ? "+orders" : "");
  series.entries.push_back({draws->Int(0, entries - 1), entry, milliseconds(0),
                            DrawDuration(draws, entry)});
  // Half of the time shortly before the gates give up a lost entry.
  const milliseconds gates_at =
      draws->Int(0, 1) == 0 ? draws->Millis(250, 750) : draws->Millis(0, 1200);
  const int share = draws->Int((gates + 2) / 3, (2 * gates + 2) / 3);
  for (const int index : draws->Indices(share, gates)) {
    if (gate != LossKind::kNone) {
      series.gates.push_back(
          {index, gate, gates_at, DrawDuration(draws, gate)});
    }
    if (orders) {
      series.orders.push_back(
          {index, milliseconds(0), draws->Millis(800, 2000), index % 2 == 0});
    }
  }
  return series;
}

}  // namespace

const char* Name(LossKind kind) {
  switch (kind) {
    case LossKind::kNone:
      return "none";
    case LossKind::kKill:
      return "kill";
    case LossKind::kFreeze:
      return "freeze";
    case LossKind::kCutOutgoing:
      return "cut-out";
    case LossKind::kCutIncoming:
      return "cut-in";
    case LossKind::kCutBothWays:
      return "cut";
    case LossKind::kCutAndReset:
      return "cut-reset";
  }
  return "";
}

std::vector<LossSeries> DrawLossSeries(std::uint64_t seed, int entries,
                                       int gates, milliseconds length) {
  Draws draws(seed);
  std::vector<LossSeries> all;
  milliseconds at(kFirstSeriesMs);
  while (at < length) {
    LossSeries series = draws.Int(0, 8) == 0
                            ? DrawAllKilled(&draws, entries, gates)
                            : DrawEntryAndGates(&draws, entries, gates);
    series.at = at;
    all.push_back(std::move(series));
    at += draws.Millis(3000, 4000);
  }
  return all;
}

std::vector<LossSeries> MakeOrderSeries(int gates, milliseconds length) {
  LossSeries series;
  series.name = "orders";
  series.at = milliseconds(kFirstSeriesMs);
  for (int i = 0; i < gates; ++i) {
    series.orders.push_back({i, milliseconds(0), length, i % 4 == 0});
  }
  return {series};
}

}  // namespace tarragon::soak
