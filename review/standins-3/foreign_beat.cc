// One heartbeat of another writer, in which fields are missing, reaches each
// gate. The heartbeats of the runners go on.

#include <cstdio>

#include "world.h"

namespace tarragon::review {
namespace {

constexpr double kRecoverySeconds = 12.0;
constexpr double kGapSeconds = 0.2;
constexpr int kTasks = 2;
constexpr int kTaskMs = 60;

int RunScript(const std::string& folder) {
  World world(folder, World::Config{});
  if (!world.AwaitReady(15)) {
    world.record().Say("could not run: the entries are not ready");
    return 2;
  }
  world.Run(2);
  world.record().Say("before:");
  const Tally before = world.SendJobs(5, kGapSeconds, kTasks, kTaskMs);
  if (before.served * 4 < before.sent) {
    world.record().Say("could not run: too little is served");
    return 2;
  }
  for (const std::unique_ptr<Runner>& runner : world.runners()) {
    if (WithTrouble()) runner->SendForeignBeat();
  }
  world.Run(kRecoverySeconds);
  world.record().Say("after, later than recovery_s:");
  const Tally after = world.SendJobs(20, kGapSeconds, kTasks, kTaskMs);
  world.record().Say("readiness: " + world.Readiness());
  if (!world.AllRunning()) {
    world.record().Say("could not run: a process has ended");
    return 2;
  }
  const bool broken = after.served * 4 < after.sent;
  world.record().Say(broken ? "BROKEN: RECOVER, less than a quarter is served"
                            : "held: RECOVER");
  return broken ? 1 : 0;
}

}  // namespace
}  // namespace tarragon::review

int main(int argc, char* argv[]) {
  return tarragon::review::RunScript(argc > 1 ? argv[1] : ".");
}
