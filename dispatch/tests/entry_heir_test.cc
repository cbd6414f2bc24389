#include <cppunit/extensions/HelperMacros.h>

#include "entry_group.h"
#include "tarragon/dispatch/digest.h"
#include "tarragon/dispatch/handle.h"

namespace tarragon::dispatch {
namespace {

const core::NodeId kHome{core::Address("10.0.0.1:7100"), core::Incarnation(5)};
const core::NodeId kHeir{core::Address("10.0.0.2:7100"), core::Incarnation(6)};
const core::NodeId kNextHeir{core::Address("10.0.0.3:7100"),
                             core::Incarnation(7)};
const std::string kKey = ToString(Handle{kHome, 0}) + ".a";

/// Routing of requests whose home was stopped.
class EntryHeirTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryHeirTest);
  CPPUNIT_TEST(RequestIsSentToHeir);
  CPPUNIT_TEST(OpenRequestIsResentToHeir);
  CPPUNIT_TEST(WaitsForHeirOfGracefullyStoppedHome);
  CPPUNIT_TEST(WaitWithoutHeirEndsAsUnknown);
  CPPUNIT_TEST(RequestToDeadHomeEndsAsUnknownAtOnce);
  CPPUNIT_TEST(RecentlyStartedEntryWaitsForHeirs);
  CPPUNIT_TEST(RequestIsSentToHeirOfHeir);
  CPPUNIT_TEST(RequestIsSentToOtherHeirWhenOneIsDead);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    group_ = std::make_unique<EntryGroup>(1);
    group_->Run(std::chrono::seconds(10));
    group_->At(0).sent_to_agents.clear();
  }

  void RequestIsSentToHeir() {
    Receive(kHome, Inherited{kHeir, {kHome}});
    group_->Submit(0, kKey);
    CPPUNIT_ASSERT(kHeir == TakeOnlySubmit().to);
    SendAnswerFrom(kHeir);
    CPPUNIT_ASSERT(Outcome::kComplete == OnlyAnswer().outcome);
  }

  void OpenRequestIsResentToHeir() {
    group_->Submit(0, kKey);
    CPPUNIT_ASSERT(kHome == TakeOnlySubmit().to);
    OnPeerLost(&group_->BoardOf(0), group_->now(), kHome);
    Receive(kHeir, Inherited{kHeir, {kHome}});
    group_->Run(std::chrono::milliseconds(20));
    CPPUNIT_ASSERT(kHeir == TakeOnlySubmit().to);
    SendAnswerFrom(kHeir);
    CPPUNIT_ASSERT(Outcome::kComplete == OnlyAnswer().outcome);
  }

  void WaitsForHeirOfGracefullyStoppedHome() {
    Receive(kHome, Leaving{kHome});
    group_->Submit(0, kKey);
    ReportPeerGone(kHome);
    group_->Run(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT(group_->At(0).job_answers.empty());
    group_->At(0).sent_to_agents.clear();
    Receive(kHeir, Inherited{kHeir, {kHome}});
    group_->Run(std::chrono::milliseconds(20));
    CPPUNIT_ASSERT(kHeir == TakeOnlySubmit().to);
  }

  void WaitWithoutHeirEndsAsUnknown() {
    Receive(kHome, Leaving{kHome});
    group_->Submit(0, kKey);
    ReportPeerGone(kHome);
    group_->Run(std::chrono::seconds(7));
    CPPUNIT_ASSERT(Outcome::kUnknown == OnlyAnswer().outcome);
    CPPUNIT_ASSERT(Reason::kHomeGone == OnlyAnswer().reason);
  }

  void RequestToDeadHomeEndsAsUnknownAtOnce() {
    group_->Submit(0, kKey);
    ReportPeerGone(kHome);
    CPPUNIT_ASSERT(Outcome::kUnknown == OnlyAnswer().outcome);
  }

  void RecentlyStartedEntryWaitsForHeirs() {
    group_ = std::make_unique<EntryGroup>(1);
    group_->Run(std::chrono::seconds(1));
    group_->Submit(0, kKey);
    ReportPeerGone(kHome);
    CPPUNIT_ASSERT(group_->At(0).job_answers.empty());
    group_->At(0).sent_to_agents.clear();
    Receive(kHeir, Inherited{kHeir, {kHome}});
    group_->Run(std::chrono::milliseconds(20));
    CPPUNIT_ASSERT(kHeir == TakeOnlySubmit().to);
  }

  void RequestIsSentToHeirOfHeir() {
    Receive(kHeir, Inherited{kHeir, {kHome}});
    Receive(kHeir, Leaving{kHeir});
    Receive(kHeir, Inherited{kNextHeir, {kHeir, kHome}});
    group_->Submit(0, kKey);
    CPPUNIT_ASSERT(kNextHeir == TakeOnlySubmit().to);
  }

  void RequestIsSentToOtherHeirWhenOneIsDead() {
    Receive(kNextHeir, Inherited{kNextHeir, {kHome}});
    Receive(kHeir, Inherited{kHeir, {kHome}});
    group_->Submit(0, kKey);
    CPPUNIT_ASSERT(kHeir == TakeOnlySubmit().to);
    ReportPeerGone(kHeir);
    group_->Run(std::chrono::milliseconds(20));
    CPPUNIT_ASSERT(kNextHeir == TakeOnlySubmit().to);
  }

 private:
  void Receive(const core::NodeId& from, Message message) {
    OnMessage(&group_->BoardOf(0), group_->now(), from, std::move(message));
  }

  void ReportPeerGone(const core::NodeId& node) {
    OnPeerGone(&group_->BoardOf(0), group_->now(), node);
    group_->Run(std::chrono::milliseconds(20));
  }

  /// The only message to an agent since the last call; it must be a Submit.
  SendMessage TakeOnlySubmit() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, group_->At(0).sent_to_agents.size());
    SendMessage sent = group_->At(0).sent_to_agents.front();
    group_->At(0).sent_to_agents.clear();
    CPPUNIT_ASSERT(std::holds_alternative<Submit>(sent.message));
    last_ = std::get<Submit>(sent.message);
    return sent;
  }

  void SendAnswerFrom(const core::NodeId& node) {
    Answer answer;
    answer.request = last_.request;
    answer.answer.key = last_.spec.key;
    answer.answer.outcome = Outcome::kComplete;
    answer.answer.results = {"done"};
    answer.results_digest = Digest(answer.answer.results);
    Receive(node, answer);
    group_->Run(std::chrono::milliseconds(20));
  }

  JobAnswer OnlyAnswer() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, group_->At(0).job_answers.size());
    return group_->At(0).job_answers.front();
  }

  std::unique_ptr<EntryGroup> group_;
  Submit last_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryHeirTest);

}  // namespace
}  // namespace tarragon::dispatch
