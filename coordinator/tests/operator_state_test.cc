#include "tarragon/coordinator/operator_state.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace tarragon::coordinator {
namespace {

/// How two copies of the operator state are compared and merged.
class OperatorStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorStateTest);
  CPPUNIT_TEST(DigestTellsDomainsApart);
  CPPUNIT_TEST(TakesNewerParts);
  CPPUNIT_TEST(KeepsPartsThatAreNotNewer);
  CPPUNIT_TEST(TakesEachPartByItself);
  CPPUNIT_TEST(DomainsAloneKeepConfiguration);
  CPPUNIT_TEST(ReportsNoChangeOfSameDomains);
  CPPUNIT_TEST_SUITE_END();

 public:
  static OperatorState State(std::uint64_t revision, std::uint64_t version,
                             const char* domain) {
    OperatorState state;
    state.revision = revision;
    state.version = version;
    Queue queue;
    queue.name = QueueId("checks-" + std::to_string(version));
    state.queues = {queue};
    state.drained = {core::DomainId(domain)};
    return state;
  }

  void DigestTellsDomainsApart() {
    const core::DomainId a("szeged");
    const core::DomainId b("bekes");
    const std::vector<std::vector<core::DomainId>> lists = {
        {}, {a}, {b}, {a, b}, {b, a}, {core::DomainId("szegedbekes")}};
    std::set<std::uint64_t> digests;
    for (const std::vector<core::DomainId>& list : lists) {
      digests.insert(DomainsDigest(list));
    }
    CPPUNIT_ASSERT_EQUAL(lists.size(), digests.size());
    CPPUNIT_ASSERT_EQUAL(DomainsDigest({a}), DomainsDigest({a}));
  }

  void TakesNewerParts() {
    OperatorState own = State(3, 2, "szeged");
    const OperatorState newer = State(4, 3, "bekes");
    const OperatorChange change = MergeOperatorState(newer, false, &own);
    CPPUNIT_ASSERT(change.configuration && change.domains);
    CPPUNIT_ASSERT(newer == own);
  }

  void KeepsPartsThatAreNotNewer() {
    const OperatorState before = State(3, 2, "szeged");
    for (const std::uint64_t revision : {2, 3}) {
      for (const std::uint64_t version : {1, 2}) {
        OperatorState own = before;
        const OperatorChange change =
            MergeOperatorState(State(revision, version, "bekes"), false, &own);
        CPPUNIT_ASSERT(!change.configuration && !change.domains);
        CPPUNIT_ASSERT(before == own);
      }
    }
  }

  void TakesEachPartByItself() {
    OperatorState own = State(3, 2, "szeged");
    CPPUNIT_ASSERT(
        MergeOperatorState(State(2, 5, "bekes"), false, &own).configuration);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, own.version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, own.revision);
    CPPUNIT_ASSERT_EQUAL(std::string("szeged"), own.drained.at(0).value());
    CPPUNIT_ASSERT(
        MergeOperatorState(State(7, 4, "bekes"), false, &own).domains);
    CPPUNIT_ASSERT_EQUAL(std::string("bekes"), own.drained.at(0).value());
    CPPUNIT_ASSERT_EQUAL(std::string("checks-5"),
                         own.queues.at(0).name.value());
  }

  void DomainsAloneKeepConfiguration() {
    OperatorState own = State(3, 2, "szeged");
    OperatorState domains;
    domains.revision = 4;
    domains.version = 9;
    CPPUNIT_ASSERT(MergeOperatorState(domains, true, &own).domains);
    CPPUNIT_ASSERT(own.drained.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, own.version);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, own.queues.size());
  }

  void ReportsNoChangeOfSameDomains() {
    OperatorState own = State(3, 2, "szeged");
    const OperatorChange change =
        MergeOperatorState(State(9, 2, "szeged"), false, &own);
    CPPUNIT_ASSERT(!change.configuration && !change.domains);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, own.revision);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorStateTest);

}  // namespace
}  // namespace tarragon::coordinator
