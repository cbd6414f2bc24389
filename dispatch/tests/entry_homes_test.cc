#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "entry_parts.h"
#include "placement.h"
#include "tarragon/dispatch/entry.h"
#include "tarragon/dispatch/handle.h"

namespace tarragon::dispatch {
namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr int kSteps = 4000;
constexpr std::uint64_t kAgents = 40;
constexpr std::uint64_t kDomains = 4;
constexpr std::uint64_t kServices = 3;
constexpr core::Duration kStep = std::chrono::milliseconds(20);

core::NodeId AgentAt(std::uint64_t index) {
  return {core::Address("10.0.0." + std::to_string(index + 1) + ":7100"),
          core::Incarnation(1)};
}

core::DomainId DomainAt(std::uint64_t index) {
  return core::DomainId("d" + std::to_string(index));
}

core::ServiceId ServiceAt(std::uint64_t index) {
  return core::ServiceId("s" + std::to_string(index));
}

/// Reference implementation: computes the choice from all members each time.
std::vector<const AgentMember*> ReferenceChoice(
    const EntryBoard& board, const core::ServiceId& service) {
  std::vector<const AgentMember*> offering, others, homes;
  for (const auto& [position, node] : board.ring) {
    const AgentMember& member = board.members.at(node);
    if (member.status.leaving || member.disconnected) continue;
    const bool useful = OffersService(member.status, service) &&
                        IsDomainInService(board.world, member.status.domain);
    (useful ? offering : others).push_back(&member);
  }
  const std::vector<const AgentMember*>& from =
      offering.empty() ? others : offering;
  const std::size_t wanted = std::max<std::size_t>(
      board.policy.min_homes, from.size() / board.policy.agents_per_home);
  std::set<core::DomainId> domains;
  for (const bool any_domain : {false, true}) {
    for (const AgentMember* member : from) {
      if (homes.size() >= wanted) return homes;
      const bool seen = domains.count(member->status.domain) > 0;
      if (seen != any_domain) continue;
      if (std::find(homes.begin(), homes.end(), member) != homes.end()) {
        continue;
      }
      domains.insert(member->status.domain);
      homes.push_back(member);
    }
  }
  return homes;
}

/// Choice of the homes that an entry puts into new handles.
class EntryHomesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryHomesTest);
  CPPUNIT_TEST(ChoiceMatchesReferenceAfterRandomChanges);
  CPPUNIT_TEST(KeepsChoiceWhileCandidatesAreUnchanged);
  CPPUNIT_TEST(UnknownServiceNamesAreNotCached);
  CPPUNIT_TEST(HandleContainsCurrentEpochOfHome);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    random_.seed(kSeed);
    now_ = core::Time{std::chrono::seconds(1000)};
    board_ = EntryBoard{};
    board_.policy.agents_per_home = 4;
    InitEntry(&board_, now_,
              {core::Address("10.0.9.1:7100"), core::Incarnation(9)},
              DomainAt(0), 1);
    AdoptWorld(&board_, NextWorld());
  }

  void ChoiceMatchesReferenceAfterRandomChanges() {
    std::set<std::size_t> sizes;
    for (int step = 0; step < kSteps; ++step) {
      ApplyRandomChange();
      // Includes one service that no agent ever offers.
      const core::ServiceId service = ServiceAt(RandomBelow(kServices + 1));
      sizes.insert(ReferenceChoice(board_, service).size());
      CheckHandle(service);
    }
    // The random steps must produce an empty choice and many sizes.
    CPPUNIT_ASSERT(sizes.count(0) > 0);
    CPPUNIT_ASSERT(sizes.size() > 6);
  }

  void KeepsChoiceWhileCandidatesAreUnchanged() {
    for (std::uint64_t i = 0; i < kAgents; ++i) SendHeartbeat(i, StatusOf(i));
    MintHandle(&board_, ServiceAt(0));
    const std::uint64_t version = board_.candidates_version;
    for (std::uint64_t i = 0; i < kAgents; ++i) {
      AgentStatus status = StatusOf(i);
      status.load.free_slots = 3;
      status.failure_permille = 500;
      SendHeartbeat(i, status);
    }
    CPPUNIT_ASSERT_EQUAL(version, board_.candidates_version);
    CPPUNIT_ASSERT_EQUAL(version, board_.home_choice.candidates_version);
  }

  void UnknownServiceNamesAreNotCached() {
    for (std::uint64_t i = 0; i < kAgents; ++i) SendHeartbeat(i, StatusOf(i));
    for (int i = 0; i < 1000; ++i) {
      const core::ServiceId invented("invented-" + std::to_string(i));
      CPPUNIT_ASSERT(MintHandle(&board_, invented).has_value());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{kServices},
                         board_.home_choice.by_service.size());
  }

  void HandleContainsCurrentEpochOfHome() {
    AgentStatus status = StatusOf(0);
    SendHeartbeat(0, status);
    MintHandle(&board_, ServiceAt(0));
    status.handle_epoch = 7;
    SendHeartbeat(0, status);
    const std::string wanted = ToString(Handle{AgentAt(0), 7});
    CPPUNIT_ASSERT_EQUAL(wanted, *MintHandle(&board_, ServiceAt(0)));
  }

 private:
  std::uint64_t RandomBelow(std::uint64_t bound) {
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random_);
  }

  bool OneIn(std::uint64_t count) { return RandomBelow(count) == 0; }

  static AgentStatus StatusOf(std::uint64_t index) {
    AgentStatus status;
    status.node = AgentAt(index);
    status.domain = DomainAt(index % kDomains);
    status.services = {ServiceAt(index % kServices)};
    return status;
  }

  AgentStatus RandomStatus(std::uint64_t index) {
    AgentStatus status = StatusOf(index);
    status.domain = DomainAt(RandomBelow(kDomains));
    status.services.clear();
    const std::uint64_t count = RandomBelow(4);
    for (std::uint64_t i = 0; i < count; ++i) {
      status.services.push_back(ServiceAt(RandomBelow(kServices)));
    }
    status.leaving = OneIn(4);
    status.handle_epoch = static_cast<std::uint32_t>(RandomBelow(3));
    status.load.free_slots = static_cast<std::uint32_t>(RandomBelow(8));
    return status;
  }

  /// The next world; one domain is missing and others may be out of service.
  World NextWorld() {
    World world;
    world.version = core::NoteVersion(board_.world.version.value() + 1);
    for (std::uint64_t i = 1; i < kDomains; ++i) {
      world.domains[DomainAt(i)].in_service = !OneIn(3);
    }
    return world;
  }

  void SendHeartbeat(std::uint64_t index, const AgentStatus& status) {
    Heartbeat heartbeat;
    heartbeat.status = status;
    OnMessage(&board_, now_, AgentAt(index), heartbeat);
    board_.actions.clear();
  }

  void ApplyRandomChange() {
    now_ = now_ + kStep;
    const std::uint64_t index = RandomBelow(kAgents);
    const std::uint64_t kind = RandomBelow(20);
    if (kind < 12) {
      SendHeartbeat(index, RandomStatus(index));
    } else if (kind < 15) {
      OnPeerLost(&board_, now_, AgentAt(index));
    } else if (kind < 17) {
      OnPeerGone(&board_, now_, AgentAt(index));
    } else if (kind < 19) {
      AdoptWorld(&board_, NextWorld());
    } else if (OneIn(20)) {
      // All members time out.
      now_ = now_ + 2 * board_.policy.member_timeout;
    }
    OnTick(&board_, now_);
    board_.actions.clear();
  }

  void CheckHandle(const core::ServiceId& service) {
    const std::vector<const AgentMember*> plain =
        ReferenceChoice(board_, service);
    const std::uint64_t turn = board_.next_home;
    const std::optional<std::string> handle = MintHandle(&board_, service);
    CPPUNIT_ASSERT_EQUAL(plain.empty(), !handle.has_value());
    if (plain.empty()) return;
    const AgentStatus& status = plain[turn % plain.size()]->status;
    const std::string wanted =
        ToString(Handle{status.node, status.handle_epoch});
    CPPUNIT_ASSERT_EQUAL(wanted, *handle);
  }

  std::mt19937_64 random_;
  core::Time now_;
  EntryBoard board_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryHomesTest);

}  // namespace
}  // namespace tarragon::dispatch
