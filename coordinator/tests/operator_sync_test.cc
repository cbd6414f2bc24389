#include "operator_sync.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace tarragon::coordinator {
namespace {

using std::chrono::milliseconds;

/// When copies of the operator state are sent to a peer.
class OperatorSyncTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorSyncTest);
  CPPUNIT_TEST(SendsSmallConfigurationAtOnce);
  CPPUNIT_TEST(SendsDomainsAtOnceWithoutConfiguration);
  CPPUNIT_TEST(SendsNothingToPeerThatIsUpToDate);
  CPPUNIT_TEST(FewOfManySendersSendLargeConfiguration);
  CPPUNIT_TEST(SendsLostConfigurationAgain);
  CPPUNIT_TEST(SendsLostDomainsAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  static OperatorState State(std::size_t queues) {
    OperatorState state;
    state.revision = 9;
    state.version = 4;
    Queue queue;
    queue.name = QueueId("a-queue");
    queue.host = "queue.example";
    queue.path_prefix = "/a-path-prefix/";
    queue.service = core::ServiceId("last-shaping");
    state.queues.assign(queues, queue);
    return state;
  }

  static OperatorCopy CopyOf(const OperatorState& state) {
    return {state.revision, DomainsDigest(state.drained), state.version};
  }

  static std::optional<OperatorUpdate> Next(const OperatorState& own,
                                            const OperatorCopy& peer,
                                            core::Time now, OperatorSync* sync,
                                            std::uint64_t random = 0) {
    return NextOperatorUpdate(own, DomainsDigest(own.drained), peer, now,
                              random, sync);
  }

  void SendsSmallConfigurationAtOnce() {
    const OperatorState own = State(12);
    OperatorSync sync;
    const core::Time now{milliseconds(100)};
    const std::optional<OperatorUpdate> update =
        Next(own, {8, DomainsDigest({}), 3}, now, &sync, 1ULL << 40);
    CPPUNIT_ASSERT(update.has_value());
    CPPUNIT_ASSERT(!update->domains_only);
    CPPUNIT_ASSERT(own == update->state);
    CPPUNIT_ASSERT(!Next(own, {8, DomainsDigest({}), 3}, now, &sync));
  }

  void SendsDomainsAtOnceWithoutConfiguration() {
    OperatorState own = State(1400);
    own.drained = {core::DomainId("szeged")};
    OperatorCopy peer = CopyOf(own);
    peer.revision = 8;
    peer.domains_digest = DomainsDigest({});
    peer.config_version = 3;
    OperatorSync sync;
    const core::Time now{milliseconds(100)};
    const std::optional<OperatorUpdate> update =
        Next(own, peer, now, &sync, 900000);
    CPPUNIT_ASSERT(update.has_value());
    CPPUNIT_ASSERT(update->domains_only);
    CPPUNIT_ASSERT(update->state.queues.empty());
    CPPUNIT_ASSERT(own.drained == update->state.drained);
    CPPUNIT_ASSERT(!Next(own, peer, now, &sync));
    // Lost with its connection.
    sync = OperatorSync{};
    CPPUNIT_ASSERT(Next(own, peer, now, &sync, 900000)->domains_only);
  }

  void SendsNothingToPeerThatIsUpToDate() {
    const OperatorState own = State(12);
    OperatorSync sync;
    CPPUNIT_ASSERT(!Next(own, CopyOf(own), core::Time{}, &sync));
    OperatorCopy newer = CopyOf(own);
    newer.revision = 10;
    newer.domains_digest = 1;
    newer.config_version = 5;
    CPPUNIT_ASSERT(!Next(own, newer, core::Time{}, &sync));
  }

  /// 35 entries have read a configuration of 1,400 queues, and a gate tells all
  /// of them what it has 80 ms after the first copy was sent: the transfer at
  /// 25 Mbit/s and a report.
  void FewOfManySendersSendLargeConfiguration() {
    constexpr int kSenders = 35;
    constexpr core::Duration kReportDelay = milliseconds(80);
    const OperatorState own = State(1400);
    std::mt19937_64 random(7);
    int sent_in_all = 0;
    core::Time latest;
    constexpr int kRounds = 40;
    for (int round = 0; round < kRounds; ++round) {
      std::vector<OperatorSync> senders(kSenders);
      std::optional<core::Time> first_sent;
      for (core::Time now; now < core::Time{std::chrono::seconds(4)};
           now = now + milliseconds(20)) {
        const bool known =
            first_sent.has_value() && now - *first_sent > kReportDelay;
        for (OperatorSync& sender : senders) {
          const OperatorCopy peer{9, DomainsDigest({}),
                                  known ? own.version : own.version - 1};
          if (!Next(own, peer, now, &sender, random())) continue;
          ++sent_in_all;
          if (!first_sent.has_value()) first_sent = now;
        }
      }
      CPPUNIT_ASSERT(first_sent.has_value());
      latest = std::max(latest, *first_sent);
    }
    // All 35 sent it at once before.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(sent_in_all),
                           sent_in_all < 7 * kRounds);
    CPPUNIT_ASSERT(latest < core::Time{std::chrono::seconds(1)});
  }

  void SendsLostConfigurationAgain() {
    const OperatorState own = State(1);
    const OperatorCopy peer{9, DomainsDigest({}), 3};
    OperatorSync sync;
    int sent = 0;
    for (core::Time now; now < core::Time{std::chrono::seconds(10)};
         now = now + milliseconds(20)) {
      if (Next(own, peer, now, &sync)) ++sent;
    }
    CPPUNIT_ASSERT_EQUAL(4, sent);
  }

  void SendsLostDomainsAgain() {
    OperatorState own = State(1400);
    own.drained = {core::DomainId("szeged")};
    const OperatorCopy peer{8, DomainsDigest({}), own.version};
    OperatorSync sync;
    int sent = 0;
    for (core::Time now; now < core::Time{std::chrono::seconds(2)};
         now = now + milliseconds(20)) {
      if (Next(own, peer, now, &sync)) ++sent;
    }
    CPPUNIT_ASSERT_EQUAL(4, sent);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorSyncTest);

}  // namespace
}  // namespace tarragon::coordinator
