#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cluster.h"
#include "cost.h"
#include "tarragon/capacity/slopes.h"
#include "tarragon/dispatch/digest.h"
#include "tarragon/dispatch/entry.h"
#include "tarragon/wire/codec.h"

namespace tarragon::capacity {
namespace {

constexpr std::size_t kMembers[] = {100, 500, 2000, 5000, 10000, 19000};
constexpr double kPlannedMembers = 19000;
constexpr std::size_t kTasks[] = {1, 10, 30, 60, 110};
constexpr double kPlannedTasks = 110;
constexpr std::size_t kJobMembers = 100;
constexpr int kJobs = 1000;
constexpr std::size_t kHeartbeats = 20000;
/// More than the timeout of a member, so that every member is checked.
constexpr core::Duration kTickTime = std::chrono::seconds(5);
constexpr core::Duration kTickStep = std::chrono::milliseconds(20);
constexpr std::size_t kTicks = kTickTime / kTickStep;
constexpr std::size_t kMintCalls = 1000;
constexpr std::size_t kChanges = 10;

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

/// Ticks while each member sends a heartbeat a second, which is not measured.
double TickMicros(dispatch::EntryBoard* entry, std::size_t members) {
  const std::size_t ticks_a_beat = entry->policy.heartbeat_interval / kTickStep;
  core::Time now = kBegin;
  double spent = 0;
  for (std::size_t tick = 0; tick < kTicks; ++tick) {
    now = now + kTickStep;
    for (std::size_t i = tick % ticks_a_beat; i < members; i += ticks_a_beat) {
      dispatch::OnMessage(entry, now, AgentNode(i),
                          MakeHeartbeat(i, *entry, tick));
    }
    entry->actions.clear();
    const double before = CpuMicros();
    dispatch::OnTick(entry, now);
    spent += CpuMicros() - before;
    entry->actions.clear();
  }
  return spent / static_cast<double>(kTicks);
}

/// The next handle after the connection to a member broke.
double MintChangedMicros(dispatch::EntryBoard* entry) {
  double spent = 0;
  for (std::size_t i = 0; i < kChanges; ++i) {
    dispatch::OnPeerLost(entry, kBegin, AgentNode(i));
    const double before = CpuMicros();
    dispatch::MintHandle(entry, MeasuredService());
    spent += CpuMicros() - before;
  }
  return spent / static_cast<double>(kChanges);
}

/// A handle while no member changes.
double MintMicros(dispatch::EntryBoard* entry) {
  dispatch::MintHandle(entry, MeasuredService());
  const double before = CpuMicros();
  for (std::size_t i = 0; i < kMintCalls; ++i) {
    dispatch::MintHandle(entry, MeasuredService());
  }
  return (CpuMicros() - before) / static_cast<double>(kMintCalls);
}

dispatch::JobSpec MakeSpec(std::size_t tasks) {
  dispatch::JobSpec spec;
  spec.service = MeasuredService();
  spec.tenant = core::TenantId("tenant-0");
  spec.time_left = std::chrono::seconds(5);
  spec.tasks.assign(tasks, dispatch::TaskSpec{"payload of a task"});
  return spec;
}

/// The complete answer to the submission that `bytes` holds.
std::string MakeAnswer(const std::string& bytes, std::size_t tasks) {
  const std::optional<dispatch::Message> message = wire::Decode(bytes, nullptr);
  const dispatch::Submit& submit = std::get<dispatch::Submit>(*message);
  dispatch::Answer answer;
  answer.request = submit.request;
  answer.answer.key = submit.spec.key;
  answer.answer.outcome = dispatch::Outcome::kComplete;
  answer.answer.results.assign(tasks, "done");
  answer.results_digest = dispatch::Digest(answer.answer.results);
  return wire::Encode(answer);
}

/// Takes jobs to their home and passes the answers on; HTTP is not part of it.
double JobMicros(std::size_t tasks) {
  dispatch::EntryBoard entry = MakeEntry(kBegin, kJobMembers);
  const std::optional<std::string> handle =
      dispatch::MintHandle(&entry, MeasuredService());
  double spent = 0;
  for (int i = 0; i < kJobs; ++i) {
    dispatch::JobSpec spec = MakeSpec(tasks);
    const std::string key = *handle + "." + std::to_string(i);
    double before = CpuMicros();
    dispatch::OnClientSubmit(&entry, kBegin, std::move(spec), key,
                             std::chrono::seconds(5));
    const dispatch::SendMessage& send =
        std::get<dispatch::SendMessage>(entry.actions.front());
    const std::string bytes = wire::Encode(send.message);
    spent += CpuMicros() - before;
    const core::NodeId home = send.to;
    const std::string answer = MakeAnswer(bytes, tasks);
    entry.actions.clear();
    before = CpuMicros();
    dispatch::OnMessage(&entry, kBegin, home, *wire::Decode(answer, nullptr));
    spent += CpuMicros() - before;
    entry.actions.clear();
  }
  return spent / kJobs;
}

/// By tasks in the job.
Slope JobSlope() {
  Slope slope{"entry",
              "take a job to its home and its answer back, no HTTP",
              "tasks in the job",
              "us per job",
              {},
              kPlannedTasks};
  for (const std::size_t tasks : kTasks) {
    slope.points.push_back({static_cast<double>(tasks), JobMicros(tasks)});
  }
  return slope;
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
  Slope mint_changed{"entry",   "mint one handle after a change of a member",
                     "members", "us per handle",
                     {},        kPlannedMembers};
  for (const std::size_t members : kMembers) {
    dispatch::EntryBoard entry = MakeEntry(kBegin, members);
    const double x = static_cast<double>(members);
    beat.points.push_back({x, HeartbeatMicros(&entry, members)});
    tick.points.push_back({x, TickMicros(&entry, members)});
    mint.points.push_back({x, MintMicros(&entry)});
    mint_changed.points.push_back({x, MintChangedMicros(&entry)});
  }
  return {beat, tick, mint, mint_changed, JobSlope()};
}

}  // namespace tarragon::capacity
