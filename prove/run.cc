#include "tarragon/prove/run.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <utility>

#include "describe.h"
#include "faults.h"
#include "setup.h"

namespace tarragon::prove {
namespace {

constexpr std::size_t kPrintedEvents = 200;
constexpr std::size_t kPrintedJobEvents = 1000;
constexpr core::Duration kFirstJobs = std::chrono::seconds(6);
constexpr core::Duration kSettleTime = std::chrono::seconds(65);
constexpr core::Duration kMeasuredTime = std::chrono::seconds(12);
constexpr core::Duration kLastTime = std::chrono::seconds(15);
constexpr std::uint64_t kCompletePermille = 950;
constexpr core::Duration kUsualPause = std::chrono::milliseconds(40);
constexpr core::Duration kQuietPause = std::chrono::milliseconds(100);

/// The run of this thread, for the report of a violation inside the program.
thread_local Setup* running_setup = nullptr;

std::string Describe(const Setup& setup, const std::string& what, int job) {
  std::string text =
      "Violated: " + what + "\nseed=" + std::to_string(setup.options.seed) +
      " mode=" + (setup.options.harsh ? "harsh" : "normal") +
      " steps=" + std::to_string(setup.options.steps) +
      " at step=" + std::to_string(setup.scheduler.steps()) +
      " t=" + std::to_string(Now(setup).since_start.count()) + "us\n";
  text += DescribeSetup(setup);
  if (job != kNoJob) {
    text += "History of job " + std::to_string(job) + ":\n" +
            Print(setup.history, job, kPrintedJobEvents, false);
  }
  text += "Latest events:\n" + Print(setup.history, job, kPrintedEvents, true);
  return text;
}

extern "C" void ReportAbort(int signal) {
  (void)signal;
  if (running_setup != nullptr) {
    const std::string text =
        Describe(*running_setup, "an invariant inside the program", kNoJob);
    std::fprintf(stderr, "%s", text.c_str());
  }
  std::signal(SIGABRT, SIG_DFL);
}

/// Settings that differ from run to run.
void ChoosePolicy(Setup* setup) {
  dispatch::Policy& policy = setup->policy;
  Random& random = setup->random;
  // Few, so that memories go over in many parts.
  policy.handover_part_records = 3;
  if (random.Chance(500)) {
    // Short, so that answers are dropped and handles expire within a run.
    policy.answer_memory = std::chrono::seconds(12);
    policy.handle_epoch = std::chrono::seconds(15);
    policy.handle_epochs = 2;
  }
  if (random.Chance(250)) policy.late_binding = false;
  if (random.Chance(100)) {
    policy.placement = dispatch::PlacementStrategy::kRandom;
  }
  // Fewer than there are agents, and enough slots for the quiet load.
  if (random.Chance(300)) policy.member_sample = 4;
  if (random.Chance(200)) policy.retry_burst = 2;
  if (random.Chance(300)) policy.entry_timeout = std::chrono::seconds(8);
  if (random.Chance(200)) policy.max_home_queue = 20;
  if (random.Chance(200)) policy.max_entry_requests = 30;
}

void AddProcess(Setup* setup, bool is_agent, std::size_t domain) {
  Process process;
  process.index = static_cast<int>(setup->processes.size());
  process.is_agent = is_agent;
  process.domain = setup->domains[domain % setup->domains.size()];
  setup->processes.push_back(std::move(process));
}

void Build(Setup* setup) {
  Random& random = setup->random;
  ChoosePolicy(setup);
  const std::uint64_t domains = 2 + random.Below(3);
  for (std::uint64_t i = 0; i < domains; ++i) {
    setup->domains.emplace_back("domain" + std::to_string(i));
  }
  setup->services = {core::ServiceId("fit"), core::ServiceId("carve")};
  setup->tenants = {core::TenantId("a"), core::TenantId("b"),
                    core::TenantId("c")};
  setup->agents = 3 + static_cast<int>(random.Below(4));
  setup->entries = 1 + static_cast<int>(random.Below(4));
  // Two agents see each other when their choices of entries must overlap.
  constexpr int kMostForTwo = 3;
  if (setup->entries <= kMostForTwo && random.Chance(300)) {
    setup->policy.heartbeat_fanout = 2;
  }
  setup->entry_churn = random.Chance(300);
  for (int i = 0; i < setup->agents; ++i) AddProcess(setup, true, i);
  for (int i = 0; i < setup->entries; ++i) AddProcess(setup, false, i);
  setup->targets.all.resize(setup->agents);
  for (FakeTarget& target : setup->targets.all) {
    target.services = setup->services;
    target.slots = 2 + static_cast<std::uint32_t>(random.Below(3));
    if (random.Chance(300)) target.cores = kSmallCores;
  }
  setup->targets.all.front().cores = kLargeCores;
  // The settings name every address that an entry may come to have.
  for (int move = 0; move < kMostAddresses; ++move) {
    for (int i = 0; i < setup->entries; ++i) {
      setup->seeds.emplace_back("10.0." + std::to_string(setup->agents + i) +
                                "." + std::to_string(move) + ":7100");
    }
  }
}

void Begin(Setup* setup) {
  const int processes = static_cast<int>(setup->processes.size());
  for (int i = 0; i < processes; ++i) StartProcess(setup, i, false);
  for (int i = 0; i < setup->agents; ++i) {
    setup->scheduler.After(
        setup->random.Between(core::Duration(0), std::chrono::seconds(1)),
        [setup, i]() { AnnounceLoop(setup, i); });
  }
  setup->scheduler.After(std::chrono::seconds(1),
                         [setup]() { SendFirstNote(setup); });
  setup->scheduler.After(kFirstJobs, [setup]() {
    setup->clients.active = true;
    setup->clients.pause = kUsualPause;
    setup->operators.active = true;
    ClientLoop(setup);
    OperatorLoop(setup);
    FaultLoop(setup);
  });
}

/// Runs until `until`; false when an invariant was violated.
bool RunUntil(Setup* setup, core::Time until) {
  while (setup->failure.empty() && Now(*setup) < until) {
    if (!setup->scheduler.Step()) break;
  }
  return setup->failure.empty();
}

bool RunFaults(Setup* setup) {
  while (setup->failure.empty() &&
         setup->scheduler.steps() < setup->options.steps) {
    if (!setup->scheduler.Step()) break;
  }
  return setup->failure.empty();
}

void RemovalLoop(Setup* setup) {
  RemoveDeadEntries(setup);
  // A stop that began before the quiet phase may end in it.
  for (const Process& process : setup->processes) {
    StartProcess(setup, process.index, false);
  }
  setup->scheduler.After(std::chrono::seconds(1),
                         [setup]() { RemovalLoop(setup); });
}

/// After the faults work must complete again.
void RunQuiet(Setup* setup) {
  setup->clients.active = false;
  setup->operators.active = false;
  Note(setup, kNoJob, "quiet");
  HealAll(setup);
  RemovalLoop(setup);
  setup->scheduler.After(std::chrono::seconds(15),
                         [setup]() { SendLastNote(setup); });
  if (!RunUntil(setup, Now(*setup) + kSettleTime)) return;
  Check(setup, "j_notes_are_accepted_again", setup->operators.last_accepted,
        kNoJob, "after the faults");
  setup->clients.plainly = true;
  setup->clients.active = true;
  setup->clients.pause = kQuietPause;
  ClientLoop(setup);
  if (!RunUntil(setup, Now(*setup) + kMeasuredTime)) return;
  setup->clients.active = false;
  if (!RunUntil(setup, Now(*setup) + kLastTime)) return;
  const Clients& clients = setup->clients;
  setup->counts["quiet.jobs"] += clients.measured_jobs;
  setup->counts["quiet.complete"] += clients.measured_complete;
  Check(setup, "j_work_completes_again",
        clients.measured_complete * 1000 >=
            clients.measured_jobs * kCompletePermille,
        kNoJob,
        std::to_string(clients.measured_complete) + " of " +
            std::to_string(clients.measured_jobs) + " jobs");
}

/// Takes the counts of the boards that still live.
void EndAll(Setup* setup) {
  for (const Process& process : setup->processes) {
    KillProcess(setup, process.index, false);
  }
}

}  // namespace

void Note(Setup* setup, int job, const char* what, int process, int other,
          std::int64_t number, std::int64_t extra, std::string detail) {
  Add(&setup->history,
      HistoryEvent{setup->scheduler.steps(), Now(*setup), job, what, process,
                   other, number, extra, std::move(detail)});
}

void Check(Setup* setup, const char* name, bool holds, int job,
           const std::string& detail) {
  ++setup->counts[name];
  if (holds || !setup->failure.empty()) return;
  setup->failure = Describe(*setup, std::string(name) + ": " + detail, job);
}

RunResult RunSeed(const RunOptions& options) {
  Setup setup(options);
  running_setup = &setup;
  std::signal(SIGABRT, ReportAbort);
  Build(&setup);
  Begin(&setup);
  if (RunFaults(&setup)) RunQuiet(&setup);
  RunResult result;
  result.seed = options.seed;
  result.steps = setup.scheduler.steps();
  result.simulated = Now(setup).since_start;
  result.failure = setup.failure;
  EndAll(&setup);
  result.counts = std::move(setup.counts);
  running_setup = nullptr;
  return result;
}

}  // namespace tarragon::prove
