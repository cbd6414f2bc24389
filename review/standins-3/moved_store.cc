// The settings files of the entries change: the store has another address for
// them. They get no signal. Then the operator adds a route.

#include <cstdio>

#include "world.h"

namespace tarragon::review {
namespace {

/// `contact_ms` and some more: after it the machines are in touch.
constexpr double kContactSeconds = 5.0;
/// More than `config_apply_ms`.
constexpr double kApplySeconds = 4.0;
/// The entries stay in touch for all the time.
constexpr int kRounds = 5;

int RunScript(const std::string& folder) {
  World::Config config;
  config.movable_store = true;
  World world(folder, config);
  if (!world.AwaitReady(15)) {
    world.record().Say("could not run: the entries are not ready");
    return 2;
  }
  world.Run(2);
  for (const int status : world.AskCounts("/q/")) {
    if (status == 200) continue;
    world.record().Say("could not run: the first route is not there");
    return 2;
  }
  if (WithTrouble()) world.MoveStore();
  world.Run(kContactSeconds);
  world.Operate("config", World::MakeConfiguration(7, true));
  world.Run(kApplySeconds);
  bool broken = false;
  for (int round = 0; round < kRounds; ++round) {
    for (const int status : world.AskCounts("/new/")) {
      broken = broken || status == 404;
    }
    world.Run(1);
  }
  if (!world.AllRunning()) {
    world.record().Say("could not run: a process has ended");
    return 2;
  }
  world.record().Say(broken ? "BROKEN: CONFIG, a route that is there gets 404"
                            : "held: CONFIG");
  return broken ? 1 : 0;
}

}  // namespace
}  // namespace tarragon::review

int main(int argc, char* argv[]) {
  return tarragon::review::RunScript(argc > 1 ? argv[1] : ".");
}
