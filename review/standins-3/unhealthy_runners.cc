// Each runner in turn is unhealthy for some seconds. Then all are healthy, and
// after the time for the recovery jobs are sent again.

#include <cstdio>

#include "world.h"

namespace tarragon::review {
namespace {

constexpr int kGates = 7;
/// At most 6.5 s at one runner in seven by the users' pages.
constexpr double kUnhealthySeconds = 4.0;
constexpr double kPauseSeconds = 0.5;
constexpr double kRecoverySeconds = 12.0;
/// A job of the kind of "fit-check": eight tasks of 60 ms.
constexpr double kGapSeconds = 0.5;
constexpr int kTasks = 8;
constexpr int kTaskMs = 60;

int RunScript(const std::string& folder) {
  World::Config config;
  config.gates = kGates;
  World world(folder, config);
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
  world.StartJobs(kGapSeconds, kTasks, kTaskMs);
  // Between two jobs, when no runner has work.
  world.Run(kGapSeconds / 2);
  for (const std::unique_ptr<Runner>& runner : world.runners()) {
    if (WithTrouble()) runner->SetUnhealthy(true);
    world.Run(kUnhealthySeconds);
    if (WithTrouble()) runner->SetUnhealthy(false);
    world.Run(kPauseSeconds);
  }
  world.Run(kRecoverySeconds);
  world.StopJobs();
  world.Run(4);
  std::vector<int> calls;
  for (const std::unique_ptr<Runner>& runner : world.runners()) {
    calls.push_back(runner->calls());
  }
  world.record().Say("after, later than recovery_s:");
  const Tally after = world.SendJobs(10, kGapSeconds, kTasks, kTaskMs);
  for (std::size_t i = 0; i < calls.size(); ++i) {
    const Runner& runner = *world.runners()[i];
    world.record().Say("calls of its gate at " + runner.id() + " meanwhile: " +
                       std::to_string(runner.calls() - calls[i]));
  }
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
