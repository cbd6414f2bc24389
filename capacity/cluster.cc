#include "cluster.h"

#include <map>
#include <optional>
#include <utility>
#include <variant>

#include "cost.h"
#include "tarragon/dispatch/agent.h"
#include "tarragon/dispatch/digest.h"
#include "tarragon/dispatch/entry.h"
#include "tarragon/dispatch/handle.h"
#include "tarragon/wire/codec.h"

namespace tarragon::capacity {
namespace {

constexpr std::size_t kHome = 0;
constexpr std::size_t kBatch = 20;
constexpr std::size_t kAddressesPerNet = 200;
constexpr std::size_t kMeasuredDomains = 29;
constexpr std::size_t kRegions = 8;
constexpr std::uint32_t kSlots = 8;
constexpr std::uint32_t kCores = 16;
constexpr std::uint32_t kMemoryMb = 65536;
constexpr core::Duration kStep = std::chrono::seconds(1);
constexpr int kWarmUpRounds = 2;
constexpr core::Duration kBatchPause = std::chrono::milliseconds(50);
constexpr core::Duration kDeadline = std::chrono::seconds(600);
constexpr core::Duration kPermitLifetime = std::chrono::milliseconds(2800);

/// Messages as bytes, with their sender, by the receiver.
using Mail = std::vector<std::pair<core::NodeId, std::string>>;

core::DomainId DomainName(std::size_t index) {
  return core::DomainId("domain-" + std::to_string(index));
}

std::size_t IndexOf(const Cluster& cluster, const core::NodeId& node) {
  for (std::size_t i = 0; i < cluster.boards.size(); ++i) {
    if (cluster.boards[i].self == node) return i;
  }
  return cluster.boards.size();
}

dispatch::Permit MakePermit(const Cluster& cluster, std::uint64_t sequence,
                            bool full) {
  dispatch::Permit permit;
  permit.sequence = sequence;
  permit.lifetime = kPermitLifetime;
  permit.world = MakeWorld(1, kMeasuredDomains, 0, 0);
  permit.note_version = permit.world.version;
  permit.has_world = full;
  permit.members_version = 1;
  permit.members_full = full;
  if (!full) return permit;
  for (const dispatch::AgentBoard& other : cluster.boards) {
    permit.members.push_back(dispatch::BuildStatus(other, cluster.now));
  }
  return permit;
}

/// Lets the agent tick and answers its heartbeat. What else it wants done stays
/// in its actions.
void Beat(Cluster* cluster, std::size_t index, bool full) {
  dispatch::AgentBoard& board = cluster->boards[index];
  dispatch::OnTick(&board, cluster->now);
  std::vector<dispatch::AgentAction> actions;
  actions.swap(board.actions);
  for (dispatch::AgentAction& action : actions) {
    const auto* send = std::get_if<dispatch::SendMessage>(&action);
    const dispatch::Heartbeat* beat =
        send == nullptr ? nullptr
                        : std::get_if<dispatch::Heartbeat>(&send->message);
    if (beat == nullptr) {
      board.actions.push_back(std::move(action));
      continue;
    }
    dispatch::OnMessage(&board, cluster->now, EntryNode(),
                        MakePermit(*cluster, beat->sequence, full));
  }
}

void Announce(Cluster* cluster, std::uint32_t slots) {
  for (std::size_t i = 1; i < cluster->boards.size(); ++i) {
    dispatch::Target target;
    target.address = core::Address("target");
    target.services = {MeasuredService()};
    target.slots = slots;
    target.cores = slots * kCores;
    target.memory_mb = kMemoryMb;
    dispatch::OnTargetAnnounce(&cluster->boards[i], cluster->now, target);
  }
}

/// Takes what the board wants done: messages are encoded, tasks are listed.
void Collect(Cluster* cluster, std::size_t index,
             std::vector<dispatch::TaskRef>* started,
             std::map<std::size_t, Mail>* out) {
  dispatch::AgentBoard& board = cluster->boards[index];
  Spent& spent = index == kHome ? cluster->home : cluster->executors;
  board.job_samples.clear();
  std::vector<std::pair<core::NodeId, std::string>> sent;
  const double before = CpuMicros();
  for (const dispatch::AgentAction& action : board.actions) {
    if (const auto* send = std::get_if<dispatch::SendMessage>(&action)) {
      sent.emplace_back(send->to, wire::Encode(send->message));
    }
  }
  spent.cpu_micros += CpuMicros() - before;
  for (const dispatch::AgentAction& action : board.actions) {
    if (const auto* run = std::get_if<dispatch::RunTask>(&action)) {
      started->push_back(run->ref);
    }
  }
  board.actions.clear();
  for (auto& [to, bytes] : sent) {
    spent.messages_out += 1;
    spent.bytes_out += static_cast<double>(bytes.size());
    const std::size_t receiver = IndexOf(*cluster, to);
    if (receiver < cluster->boards.size()) {
      (*out)[receiver].emplace_back(board.self, std::move(bytes));
    }
  }
}

void Receive(Cluster* cluster, std::size_t index, const Mail& mail) {
  dispatch::AgentBoard& board = cluster->boards[index];
  Spent& spent = index == kHome ? cluster->home : cluster->executors;
  const double before = CpuMicros();
  for (const auto& [from, bytes] : mail) {
    std::optional<dispatch::Message> message = wire::Decode(bytes, nullptr);
    if (!message.has_value()) continue;
    dispatch::OnMessage(&board, cluster->now, from, std::move(*message));
  }
  spent.cpu_micros += CpuMicros() - before;
}

/// Delivers until nothing is on its way. Started tasks end if `finish`.
void Settle(Cluster* cluster, std::map<std::size_t, Mail> mail, bool finish) {
  while (!mail.empty()) {
    std::map<std::size_t, Mail> next;
    for (const auto& [index, letters] : mail) {
      Receive(cluster, index, letters);
      std::vector<dispatch::TaskRef> started;
      Collect(cluster, index, &started, &next);
      if (!finish || started.empty()) continue;
      const double before = CpuMicros();
      for (const dispatch::TaskRef& ref : started) {
        dispatch::OnTaskEnd(&cluster->boards[index], cluster->now, ref,
                            dispatch::TaskEnd::kOk, "done");
      }
      cluster->executors.cpu_micros += CpuMicros() - before;
      std::vector<dispatch::TaskRef> more;
      Collect(cluster, index, &more, &next);
    }
    mail = std::move(next);
  }
}

std::string MakeSubmit(Cluster* cluster, std::size_t tasks) {
  const dispatch::AgentBoard& home = cluster->boards[kHome];
  dispatch::Submit submit;
  submit.request = cluster->next_job;
  const dispatch::Handle handle{
      home.self, dispatch::CurrentHandleEpoch(home, cluster->now)};
  submit.spec.key = core::JobKey(dispatch::ToString(handle) + ".job-" +
                                 std::to_string(cluster->next_job++));
  submit.spec.service = MeasuredService();
  submit.spec.tenant = core::TenantId("tenant-0");
  submit.spec.time_left = kDeadline;
  submit.spec.tasks.assign(tasks, dispatch::TaskSpec{"payload of a task"});
  submit.body_digest = dispatch::Digest(submit.spec);
  return wire::Encode(submit);
}

}  // namespace

core::ServiceId MeasuredService() { return core::ServiceId("service-0"); }

core::NodeId AgentNode(std::size_t index) {
  return core::NodeId{
      core::Address("10." + std::to_string(1 + index / kAddressesPerNet) +
                    ".0." + std::to_string(index % kAddressesPerNet) + ":7100"),
      core::Incarnation(0x9e3779b97f4a7c15ULL * (index + 1) | 1)};
}

core::NodeId EntryNode() {
  return core::NodeId{core::Address("10.0.0.1:7000"), core::Incarnation(1)};
}

dispatch::AgentStatus MakeStatus(std::size_t index) {
  dispatch::AgentStatus status;
  status.node = AgentNode(index);
  status.domain = DomainName(index % kMeasuredDomains);
  status.services = {MeasuredService()};
  status.load = dispatch::Load{kSlots, kSlots, 1, 0};
  status.cores = kCores;
  status.memory_mb = kMemoryMb;
  return status;
}

dispatch::World MakeWorld(std::size_t services, std::size_t domains,
                          std::size_t tenants, std::size_t notes) {
  dispatch::World world;
  world.version = core::NoteVersion(1);
  for (std::size_t i = 0; i < services; ++i) {
    world.services[core::ServiceId("service-" + std::to_string(i))] = {};
  }
  for (std::size_t i = 0; i < domains; ++i) {
    world.domains[DomainName(i)].region =
        core::RegionId("region-" + std::to_string(i % kRegions));
  }
  for (std::size_t i = 0; i < tenants; ++i) {
    dispatch::TenantLimit& tenant =
        world.tenants[core::TenantId("tenant-" + std::to_string(i))];
    tenant.max_running = 1000;
    tenant.max_queued = 1000;
  }
  for (std::size_t i = 0; i < notes; ++i) {
    world.recent_notes.emplace_back("2026-12-04-note-" + std::to_string(i));
  }
  return world;
}

dispatch::EntryBoard MakeEntry(core::Time now, std::size_t members) {
  dispatch::EntryBoard entry;
  dispatch::InitEntry(&entry, now, EntryNode(), DomainName(0), 1);
  entry.world = MakeWorld(1, kMeasuredDomains, 0, 0);
  entry.confirmed_at = now;
  entry.entries.version = 1;
  entry.entries.members.push_back({EntryNode(), DomainName(0)});
  for (std::size_t i = 0; i < members; ++i) {
    dispatch::OnMessage(&entry, now, AgentNode(i), MakeHeartbeat(i, entry, 1));
    entry.actions.clear();
  }
  return entry;
}

dispatch::Heartbeat MakeHeartbeat(std::size_t index,
                                  const dispatch::EntryBoard& entry,
                                  std::uint64_t sequence) {
  dispatch::Heartbeat heartbeat;
  heartbeat.sequence = sequence;
  heartbeat.status = MakeStatus(index);
  heartbeat.note_version = entry.world.version;
  heartbeat.members_version = entry.members_version;
  return heartbeat;
}

Cluster MakeCluster(std::size_t executors, std::uint32_t slots) {
  Cluster cluster;
  cluster.boards.resize(executors + 1);
  for (std::size_t i = 0; i < cluster.boards.size(); ++i) {
    dispatch::InitAgent(&cluster.boards[i], cluster.now, AgentNode(i),
                        DomainName(i % kMeasuredDomains), {EntryNode().address},
                        i + 1);
  }
  Announce(&cluster, slots);
  // Executors show free slots once they have a permit; the members come then.
  for (std::size_t i = 0; i < cluster.boards.size(); ++i) {
    Beat(&cluster, i, false);
    cluster.boards[i].world = MakeWorld(1, kMeasuredDomains, 0, 0);
  }
  for (int round = 0; round < kWarmUpRounds; ++round) {
    cluster.now = cluster.now + kStep;
    Announce(&cluster, slots);
    for (std::size_t i = 0; i < cluster.boards.size(); ++i) {
      Beat(&cluster, i, round + 1 == kWarmUpRounds);
      cluster.boards[i].actions.clear();
    }
  }
  return cluster;
}

void RunJobs(Cluster* cluster, std::size_t jobs, std::size_t tasks,
             bool keep_running) {
  std::size_t done = 0;
  while (done < jobs) {
    std::map<std::size_t, Mail> mail;
    for (std::size_t i = 0; i < kBatch && done < jobs; ++i, ++done) {
      mail[kHome].emplace_back(EntryNode(), MakeSubmit(cluster, tasks));
    }
    Settle(cluster, std::move(mail), !keep_running);
    if (!keep_running) Pass(cluster, kBatchPause);
  }
}

void Pass(Cluster* cluster, core::Duration length) {
  const core::Time end = cluster->now + length;
  while (cluster->now < end) {
    cluster->now = std::min(end, cluster->now + kStep);
    const dispatch::Target target = cluster->boards.back().target;
    Announce(cluster, target.slots);
    std::map<std::size_t, Mail> mail;
    for (std::size_t i = 0; i < cluster->boards.size(); ++i) {
      Beat(cluster, i, false);
      std::vector<dispatch::TaskRef> started;
      Collect(cluster, i, &started, &mail);
    }
    Settle(cluster, std::move(mail), true);
  }
}

}  // namespace tarragon::capacity
