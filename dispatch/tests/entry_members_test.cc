#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "entry_parts.h"
#include "tarragon/dispatch/entry.h"

namespace tarragon::dispatch {
namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr int kSteps = 4000;
constexpr std::uint64_t kAgents = 30;

core::NodeId AgentAt(std::uint64_t index) {
  return {core::Address("10.0.0." + std::to_string(index + 1) + ":7100"),
          core::Incarnation(1)};
}

/// Membership of agents at an entry, compared with a reference model.
class EntryMembersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryMembersTest);
  CPPUNIT_TEST(RemovesSilentMembersAsReferenceDoes);
  CPPUNIT_TEST(TickVisitsOnlyDueMembers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    random_.seed(kSeed);
    now_ = core::Time{std::chrono::seconds(1000)};
    board_ = EntryBoard{};
    InitEntry(&board_, now_,
              {core::Address("10.0.9.1:7100"), core::Incarnation(9)},
              core::DomainId("d"), 1);
  }

  void RemovesSilentMembersAsReferenceDoes() {
    std::map<core::NodeId, core::Time> heard;
    std::vector<core::NodeId> gone;
    for (int step = 0; step < kSteps; ++step) {
      // Sometimes advances by exactly the timeout, to test the boundary.
      now_ = now_ + (RandomBelow(100) == 0
                         ? board_.policy.member_timeout
                         : std::chrono::milliseconds(RandomBelow(400)));
      const core::NodeId agent = AgentAt(RandomBelow(kAgents));
      const std::uint64_t kind = RandomBelow(10);
      if (kind < 8) {
        SendHeartbeat(agent);
        heard[agent] = now_;
      } else if (kind == 8) {
        OnPeerGone(&board_, now_, agent);
        if (heard.erase(agent) > 0) gone.push_back(agent);
      }
      Tick();
      for (auto it = heard.begin(); it != heard.end();) {
        const bool silent = now_ - it->second > board_.policy.member_timeout;
        if (silent) gone.push_back(it->first);
        it = silent ? heard.erase(it) : std::next(it);
      }
      CheckMembers(heard);
    }
    CPPUNIT_ASSERT(gone.size() > 500);
    CheckRemovedMembers(gone);
  }

  void TickVisitsOnlyDueMembers() {
    for (std::uint64_t i = 0; i < kAgents; ++i) SendHeartbeat(AgentAt(i));
    const auto before = board_.timeout_checks;
    now_ = now_ + board_.policy.member_timeout;
    for (std::uint64_t i = 1; i < kAgents; ++i) SendHeartbeat(AgentAt(i));
    Tick();
    CPPUNIT_ASSERT(before == board_.timeout_checks);
    now_ = now_ + std::chrono::milliseconds(1);
    Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{kAgents - 1}, board_.members.size());
    CPPUNIT_ASSERT(board_.timeout_checks.begin()->first >= now_);
  }

 private:
  std::uint64_t RandomBelow(std::uint64_t bound) {
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random_);
  }

  void SendHeartbeat(const core::NodeId& agent) {
    Heartbeat heartbeat;
    heartbeat.status.node = agent;
    OnMessage(&board_, now_, agent, heartbeat);
    board_.actions.clear();
  }

  void Tick() {
    OnTick(&board_, now_);
    board_.actions.clear();
  }

  void CheckMembers(const std::map<core::NodeId, core::Time>& heard) {
    CPPUNIT_ASSERT_EQUAL(heard.size(), board_.members.size());
    CPPUNIT_ASSERT_EQUAL(heard.size(), board_.timeout_checks.size());
    CPPUNIT_ASSERT_EQUAL(heard.size(), board_.ring.size());
    for (const auto& [node, at] : heard) {
      const AgentMember& member = board_.members.at(node);
      CPPUNIT_ASSERT(at == member.last_heard);
      CPPUNIT_ASSERT(
          board_.timeout_checks.contains({member.timeout_check_at, node}));
    }
  }

  /// Checks that the kept removals are the latest ones, in order.
  void CheckRemovedMembers(const std::vector<core::NodeId>& gone) {
    CPPUNIT_ASSERT(board_.removed_members.size() <= gone.size());
    std::size_t index = gone.size() - board_.removed_members.size();
    for (const auto& [version, node] : board_.removed_members) {
      CPPUNIT_ASSERT(gone[index++] == node);
    }
  }

  std::mt19937_64 random_;
  core::Time now_;
  EntryBoard board_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryMembersTest);

}  // namespace
}  // namespace tarragon::dispatch
