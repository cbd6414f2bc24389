#include "agent_fixture.h"

namespace tarragon::dispatch {
namespace {

constexpr core::Duration kMs = std::chrono::milliseconds(1);

/// Tests how long an agent may start tasks under the permits of entries.
class PermitTest : public AgentFixture {
  CPPUNIT_TEST_SUITE(PermitTest);
  CPPUNIT_TEST(LifetimeStartsWhenHeartbeatWasSent);
  CPPUNIT_TEST(LifetimeIsLimitedByFreshness);
  CPPUNIT_TEST(RefusesAfterPermitLapsed);
  CPPUNIT_TEST(IgnoresPermitForOlderNote);
  CPPUNIT_TEST(IgnoresPermitWithoutOpenHeartbeat);
  CPPUNIT_TEST(OlderPermitDoesNotShortenLaterOne);
  CPPUNIT_TEST(AppliesNewerNoteAtOnceAndKeepsIt);
  CPPUNIT_TEST(TriesOtherEntriesWhenAllAreSilent);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LifetimeStartsWhenHeartbeatWasSent() {
    const core::Time sent = now_;
    const std::uint64_t sequence = SendHeartbeat();
    Advance(1000 * kMs);
    Receive(kEntryNode, MakePermit(sequence, MakeWorld(1)));
    CPPUNIT_ASSERT(sent + 2800 * kMs == board_.permit_until);
  }

  void LifetimeIsLimitedByFreshness() {
    const core::Time sent = now_;
    Permit permit = MakePermit(SendHeartbeat(), MakeWorld(1));
    permit.lifetime = std::chrono::minutes(1);
    Receive(kEntryNode, permit);
    CPPUNIT_ASSERT(sent + board_.policy.freshness == board_.permit_until);
  }

  void RefusesAfterPermitLapsed() {
    AnnounceTarget(1);
    GrantPermit(MakeWorld(1));
    Advance(2800 * kMs);
    Receive(kOtherNode, MakeAssign("k.1", 1));
    CPPUNIT_ASSERT(Reason::kStaleView == TakeOnlyMessage<Refused>().reason);
    CPPUNIT_ASSERT(TakeRuns().empty());
  }

  void IgnoresPermitForOlderNote() {
    GrantPermit(MakeWorld(2));
    const core::Time until = board_.permit_until;
    Advance(1000 * kMs);
    Receive(kEntryNode, MakePermit(SendHeartbeat(), MakeWorld(1)));
    CPPUNIT_ASSERT(until == board_.permit_until);
    CPPUNIT_ASSERT(core::NoteVersion(2) == board_.world.version);
  }

  void IgnoresPermitWithoutOpenHeartbeat() {
    const std::uint64_t sequence = SendHeartbeat();
    Receive(kEntryNode, MakePermit(sequence + 1, MakeWorld(1)));
    CPPUNIT_ASSERT(now_ >= board_.permit_until);
  }

  void OlderPermitDoesNotShortenLaterOne() {
    const std::uint64_t first = SendHeartbeat();
    Advance(1000 * kMs);
    const std::uint64_t second = SendHeartbeat();
    Receive(kEntryNode, MakePermit(second, MakeWorld(1)));
    const core::Time until = board_.permit_until;
    Receive(kEntryNode, MakePermit(first, MakeWorld(1)));
    CPPUNIT_ASSERT(until == board_.permit_until);
  }

  void AppliesNewerNoteAtOnceAndKeepsIt() {
    GrantPermit(MakeWorld(3));
    GrantPermit(MakeWorld(2));
    CPPUNIT_ASSERT(core::NoteVersion(3) == board_.world.version);
    World out = MakeWorld(4);
    out.domains[kDomain].in_service = false;
    Permit refused = MakePermit(SendHeartbeat(), out);
    refused.lifetime = core::Duration(0);
    Receive(kEntryNode, refused);
    CPPUNIT_ASSERT(!board_.world.domains.at(kDomain).in_service);
  }

  void TriesOtherEntriesWhenAllAreSilent() {
    const core::Address replacement("10.0.9.2:7100");
    board_.seed_entries = {replacement};
    Permit permit = MakePermit(SendHeartbeat(), MakeWorld(1));
    permit.entries.version = 1;
    permit.entries.members = {EntryMember{kEntryNode, kDomain}};
    Receive(kEntryNode, permit);
    bool tried = false;
    for (int i = 0; i < 20 && !tried; ++i) {
      Advance(board_.policy.heartbeat_interval);
      OnTick(&board_, now_);
      for (const EntryLink& link : board_.entry_links) {
        tried = tried || link.address == replacement;
      }
    }
    CPPUNIT_ASSERT(tried);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PermitTest);

}  // namespace
}  // namespace tarragon::dispatch
