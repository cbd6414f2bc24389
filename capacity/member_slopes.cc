#include <vector>

#include "cluster.h"
#include "cost.h"
#include "tarragon/capacity/slopes.h"
#include "tarragon/dispatch/agent.h"
#include "tarragon/wire/codec.h"

namespace tarragon::capacity {
namespace {

constexpr std::size_t kTold[] = {0, 8, 16, 32, 64};
constexpr double kPlannedTold = 64;
constexpr int kPermits = 2000;

dispatch::Permit MakePermit(std::size_t members) {
  dispatch::Permit permit;
  permit.lifetime = std::chrono::seconds(2);
  permit.members_version = 1;
  permit.members_full = true;
  permit.entries.version = 1;
  permit.entries.members.push_back({EntryNode(), core::DomainId("domain-0")});
  for (std::size_t i = 0; i < members; ++i) {
    permit.members.push_back(MakeStatus(i));
  }
  return permit;
}

/// An agent's heartbeat and its permit while it knows `members` members, which
/// every permit tells anew if `repeated`, else only the first.
double AgentMicros(std::size_t members, bool repeated) {
  dispatch::AgentBoard agent;
  core::Time now = kBegin;
  dispatch::InitAgent(&agent, now, AgentNode(0), core::DomainId("domain-0"),
                      {EntryNode().address}, 1);
  dispatch::Permit permit = MakePermit(members);
  std::vector<std::string> permits;
  for (int i = 0; i < kPermits; ++i) {
    permit.sequence = static_cast<std::uint64_t>(i) + 1;
    permits.push_back(wire::Encode(permit));
    if (repeated) continue;
    permit.members_full = false;
    permit.members.clear();
  }
  const double before = CpuMicros();
  for (const std::string& bytes : permits) {
    now = now + agent.policy.heartbeat_interval;
    dispatch::OnTick(&agent, now);
    for (const dispatch::AgentAction& action : agent.actions) {
      wire::Encode(std::get<dispatch::SendMessage>(action).message);
    }
    agent.actions.clear();
    dispatch::OnMessage(&agent, now, EntryNode(),
                        *wire::Decode(bytes, nullptr));
  }
  return (CpuMicros() - before) / kPermits;
}

}  // namespace

std::vector<Slope> MemberSlopes() {
  Slope bytes{
      "entry",     "permit with a member list", "members told", "bytes", {},
      kPlannedTold};
  Slope cpu{"agent",
            "heartbeat, and a permit with a member list",
            "members told",
            "us per heartbeat",
            {},
            kPlannedTold};
  Slope steady{"agent",
               "heartbeat, and a permit without members",
               "members known",
               "us per heartbeat",
               {},
               kPlannedTold};
  for (const std::size_t told : kTold) {
    const double x = static_cast<double>(told);
    const std::string encoded = wire::Encode(MakePermit(told));
    bytes.points.push_back({x, static_cast<double>(encoded.size())});
    cpu.points.push_back({x, AgentMicros(told, true)});
    steady.points.push_back({x, AgentMicros(told, false)});
  }
  return {bytes, cpu, steady};
}

}  // namespace tarragon::capacity
