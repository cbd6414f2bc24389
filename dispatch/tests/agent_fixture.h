#ifndef TARRAGON_DISPATCH_TESTS_AGENT_FIXTURE_H_
#define TARRAGON_DISPATCH_TESTS_AGENT_FIXTURE_H_

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "tarragon/dispatch/agent.h"
#include "tarragon/dispatch/digest.h"
#include "tarragon/dispatch/handle.h"

namespace tarragon::dispatch {

inline const core::NodeId kAgentNode{core::Address("10.0.0.1:7100"),
                                     core::Incarnation(1)};
inline const core::NodeId kOtherNode{core::Address("10.0.0.2:7100"),
                                     core::Incarnation(2)};
inline const core::NodeId kThirdNode{core::Address("10.0.0.3:7100"),
                                     core::Incarnation(3)};
inline const core::NodeId kEntryNode{core::Address("10.0.9.1:7100"),
                                     core::Incarnation(9)};
inline const core::DomainId kDomain("szeged");
inline const core::DomainId kOtherDomain("bekes");
inline const core::ServiceId kFit("fit");
inline const core::TenantId kTenant("kaptafa");

/// Fixture with one agent under test and explicit times. The test plays the
/// other agents and the entry.
class AgentFixture : public CppUnit::TestFixture {
 public:
  void setUp() override {
    now_ = core::Time{std::chrono::seconds(1000)};
    board_ = AgentBoard{};
    InitBoard();
  }

 protected:
  /// Initialises the board. Tests that change the policy call it again.
  void InitBoard() {
    InitAgent(&board_, now_, kAgentNode, kDomain, {kEntryNode.address}, 1);
    board_.actions.clear();
  }

  static World MakeWorld(std::uint64_t version) {
    World world;
    world.version = core::NoteVersion(version);
    world.services[kFit] = Service{};
    world.domains[kDomain] = Domain{};
    world.domains[kOtherDomain] = Domain{};
    return world;
  }

  static AgentStatus StatusOf(const core::NodeId& node, std::uint32_t slots) {
    AgentStatus status;
    status.node = node;
    status.domain = kOtherDomain;
    status.services = {kFit};
    status.load.slots = slots;
    status.load.free_slots = slots;
    status.cores = 16;
    status.memory_mb = 1024;
    return status;
  }

  void Advance(core::Duration step) { now_ = now_ + step; }

  /// Makes the agent send a heartbeat and returns its sequence number.
  std::uint64_t SendHeartbeat() {
    board_.next_heartbeat_at = now_;
    OnTick(&board_, now_);
    const std::vector<Heartbeat> sent = TakeMessages<Heartbeat>();
    CPPUNIT_ASSERT(!sent.empty());
    return sent.back().sequence;
  }

  static Permit MakePermit(std::uint64_t sequence, const World& world) {
    Permit permit;
    permit.sequence = sequence;
    permit.lifetime = std::chrono::milliseconds(2800);
    permit.note_version = world.version;
    permit.has_world = true;
    permit.world = world;
    permit.members_version = 1;
    permit.members_full = true;
    return permit;
  }

  /// Delivers a valid permit with this world and these other agents.
  void GrantPermit(const World& world,
                   const std::vector<AgentStatus>& others = {}) {
    Permit permit = MakePermit(SendHeartbeat(), world);
    permit.members = others;
    OnMessage(&board_, now_, kEntryNode, permit);
  }

  void AnnounceTarget(std::uint32_t slots, bool leaving = false) {
    Target target;
    target.address = core::Address("127.0.0.1:9000");
    target.services = {kFit};
    target.slots = slots;
    target.cores = 16;
    target.memory_mb = 1024;
    target.leaving = leaving;
    OnTargetAnnounce(&board_, now_, target);
  }

  core::JobKey MakeKey(const std::string& suffix, std::uint32_t epoch = 0) {
    return core::JobKey(ToString(Handle{kAgentNode, epoch}) + "." + suffix);
  }

  static Assign MakeAssign(const std::string& key, std::uint32_t attempt) {
    Assign assign;
    assign.ref =
        TaskRef{core::JobKey(key), core::TaskIndex(0), core::Attempt(attempt)};
    assign.service = kFit;
    assign.tenant = kTenant;
    assign.time_left = std::chrono::seconds(10);
    assign.spec.payload = "work";
    return assign;
  }

  Submit MakeSubmit(std::uint64_t request, const core::JobKey& key,
                    std::uint32_t tasks = 1, const std::string& body = "x") {
    Submit submit;
    submit.request = request;
    submit.spec.key = key;
    submit.spec.service = kFit;
    submit.spec.tenant = kTenant;
    submit.spec.time_left = std::chrono::seconds(10);
    for (std::uint32_t i = 0; i < tasks; ++i) {
      TaskSpec task;
      task.payload = body;
      submit.spec.tasks.push_back(task);
    }
    submit.body_digest = Digest(submit.spec);
    return submit;
  }

  static Finished MakeFinished(const TaskRef& ref, const std::string& result) {
    Finished finished;
    finished.ref = ref;
    finished.ok = true;
    finished.result = result;
    finished.result_digest = Digest(result);
    finished.run_time = std::chrono::milliseconds(100);
    return finished;
  }

  void Receive(const core::NodeId& from, Message message) {
    OnMessage(&board_, now_, from, std::move(message));
  }

  /// Removes the sent messages of one kind from the actions and returns them.
  template <typename Kind>
  std::vector<Kind> TakeMessages() {
    std::vector<Kind> taken;
    std::vector<AgentAction> rest;
    for (AgentAction& action : board_.actions) {
      auto* send = std::get_if<SendMessage>(&action);
      Kind* message =
          send == nullptr ? nullptr : std::get_if<Kind>(&send->message);
      if (message == nullptr) {
        rest.push_back(std::move(action));
      } else {
        taken.push_back(std::move(*message));
      }
    }
    board_.actions = std::move(rest);
    return taken;
  }

  /// Like TakeMessages, but fails unless exactly one message was sent.
  template <typename Kind>
  Kind TakeOnlyMessage() {
    std::vector<Kind> taken = TakeMessages<Kind>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, taken.size());
    return taken.front();
  }

  /// Removes the RunTask actions and returns them.
  std::vector<RunTask> TakeRuns() { return TakeActions<RunTask>(); }
  std::vector<StopTask> TakeStops() { return TakeActions<StopTask>(); }

  template <typename Kind>
  std::vector<Kind> TakeActions() {
    std::vector<Kind> taken;
    std::vector<AgentAction> rest;
    for (AgentAction& action : board_.actions) {
      Kind* wanted = std::get_if<Kind>(&action);
      if (wanted == nullptr) {
        rest.push_back(std::move(action));
      } else {
        taken.push_back(std::move(*wanted));
      }
    }
    board_.actions = std::move(rest);
    return taken;
  }

  core::Time now_;
  AgentBoard board_;
};

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_TESTS_AGENT_FIXTURE_H_
