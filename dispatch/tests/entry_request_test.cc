#include <cppunit/extensions/HelperMacros.h>

#include "entry_group.h"
#include "tarragon/dispatch/digest.h"
#include "tarragon/dispatch/handle.h"

namespace tarragon::dispatch {
namespace {

const core::NodeId kHome{core::Address("10.0.0.1:7100"), core::Incarnation(5)};
const std::string kKey = ToString(Handle{kHome, 0}) + ".a";

/// Handling of clients' requests at an entry.
class EntryRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryRequestTest);
  CPPUNIT_TEST(AcceptsOnlyAnswerOfMatchingHomeAndKey);
  CPPUNIT_TEST(IncompleteAnswerEndsAsUnknown);
  CPPUNIT_TEST(ResendsAfterLostConnection);
  CPPUNIT_TEST(WaitsForHomeThatReconnects);
  CPPUNIT_TEST(ResendsToLostHomeUntilItConfirms);
  CPPUNIT_TEST(UnreachableHomeEndsAsUnknown);
  CPPUNIT_TEST(DeadHomeEndsAsUnknown);
  CPPUNIT_TEST(SilentHomeEndsAsUnknownAfterDeadline);
  CPPUNIT_TEST(ResubmitsToHomeWithOutdatedNote);
  CPPUNIT_TEST(PlainKeyEndsAsUnknownDuringTableOutage);
  CPPUNIT_TEST(PlainKeyWithoutRowEndsAsNotRun);
  CPPUNIT_TEST(SubmissionsOfSamePlainKeyGoToOneHome);
  CPPUNIT_TEST(LostReplyOfKeyRowIsResolvedByRead);
  CPPUNIT_TEST(RequestOverLimitEndsAsUnknown);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    group_ = std::make_unique<EntryGroup>(2);
    group_->Run(std::chrono::seconds(10));
    for (std::size_t i = 0; i < group_->size(); ++i) {
      Heartbeat heartbeat;
      heartbeat.sequence = 1;
      heartbeat.status.node = kHome;
      heartbeat.status.services = {core::ServiceId("fit")};
      OnMessage(&group_->BoardOf(i), group_->now(), kHome, heartbeat);
      group_->Run(std::chrono::milliseconds(20));
      group_->At(i).sent_to_agents.clear();
    }
  }

  void AcceptsOnlyAnswerOfMatchingHomeAndKey() {
    group_->Submit(0, kKey);
    const Submit sent = TakeSubmit(0);
    Answer answer = CompleteAnswer(sent);
    answer.answer.key = core::JobKey(kKey + "b");
    SendAnswerFrom(kHome, answer);
    answer.answer.key = core::JobKey(kKey);
    SendAnswerFrom(core::NodeId{kHome.address, core::Incarnation(6)}, answer);
    CPPUNIT_ASSERT(group_->At(0).job_answers.empty());
    SendAnswerFrom(kHome, answer);
    CPPUNIT_ASSERT(Outcome::kComplete == OnlyAnswer(0).outcome);
  }

  void IncompleteAnswerEndsAsUnknown() {
    group_->Submit(0, kKey);
    Answer answer = CompleteAnswer(TakeSubmit(0));
    answer.answer.results.clear();
    answer.results_digest = Digest(answer.answer.results);
    SendAnswerFrom(kHome, answer);
    CPPUNIT_ASSERT(Outcome::kUnknown == OnlyAnswer(0).outcome);
    CPPUNIT_ASSERT(Reason::kTruncated == OnlyAnswer(0).reason);
  }

  void ResendsAfterLostConnection() {
    group_->Submit(0, kKey);
    const Submit first = TakeSubmit(0);
    OnPeerLost(&group_->BoardOf(0), group_->now(), kHome);
    group_->Run(std::chrono::milliseconds(220));
    const Submit second = TakeSubmit(0);
    CPPUNIT_ASSERT_EQUAL(first.request, second.request);
    CPPUNIT_ASSERT(second.spec.time_left < first.spec.time_left);
  }

  void WaitsForHomeThatReconnects() {
    group_->BoardOf(0).policy.home_timeout = std::chrono::seconds(1);
    group_->Submit(0, kKey);
    const Submit submit = TakeSubmit(0);
    OnPeerLost(&group_->BoardOf(0), group_->now(), kHome);
    group_->Run(std::chrono::milliseconds(220));
    SendAnswerFrom(kHome, RunningAnswer(TakeSubmit(0)));
    group_->Run(std::chrono::seconds(3));
    CPPUNIT_ASSERT(group_->At(0).job_answers.empty());
    SendAnswerFrom(kHome, CompleteAnswer(submit));
    CPPUNIT_ASSERT(Outcome::kComplete == OnlyAnswer(0).outcome);
  }

  /// A home confirms only a request that it already has.
  void ResendsToLostHomeUntilItConfirms() {
    group_->BoardOf(0).policy.home_timeout = std::chrono::seconds(1);
    group_->Submit(0, kKey);
    TakeSubmit(0);
    OnPeerLost(&group_->BoardOf(0), group_->now(), kHome);
    group_->Run(std::chrono::milliseconds(220));
    TakeSubmit(0);
    group_->Run(std::chrono::milliseconds(260));
    SendAnswerFrom(kHome, RunningAnswer(TakeSubmit(0)));
    group_->Run(std::chrono::seconds(3));
    CPPUNIT_ASSERT(group_->At(0).job_answers.empty());
    CPPUNIT_ASSERT(group_->At(0).sent_to_agents.empty());
  }

  void UnreachableHomeEndsAsUnknown() {
    group_->BoardOf(0).policy.home_timeout = std::chrono::seconds(1);
    group_->Submit(0, kKey);
    OnPeerLost(&group_->BoardOf(0), group_->now(), kHome);
    group_->Run(std::chrono::milliseconds(1020));
    CPPUNIT_ASSERT(Outcome::kUnknown == OnlyAnswer(0).outcome);
    CPPUNIT_ASSERT(Reason::kHomeGone == OnlyAnswer(0).reason);
  }

  void DeadHomeEndsAsUnknown() {
    group_->Submit(0, kKey);
    OnPeerGone(&group_->BoardOf(0), group_->now(), kHome);
    group_->Run(std::chrono::milliseconds(20));
    CPPUNIT_ASSERT(Outcome::kUnknown == OnlyAnswer(0).outcome);
    CPPUNIT_ASSERT(Reason::kHomeGone == OnlyAnswer(0).reason);
  }

  void SilentHomeEndsAsUnknownAfterDeadline() {
    group_->Submit(0, kKey);
    group_->Run(std::chrono::milliseconds(5600));
    CPPUNIT_ASSERT(Outcome::kUnknown == OnlyAnswer(0).outcome);
  }

  void ResubmitsToHomeWithOutdatedNote() {
    group_->BoardOf(0).world.services[core::ServiceId("fit")] = Service{};
    group_->Submit(0, kKey);
    const Submit first = TakeSubmit(0);
    Answer refused;
    refused.request = first.request;
    refused.answer.key = core::JobKey(kKey);
    refused.answer.outcome = Outcome::kNotRun;
    refused.answer.reason = Reason::kUnknownService;
    SendAnswerFrom(kHome, refused);
    group_->Run(std::chrono::milliseconds(220));
    const Submit second = TakeSubmit(0);
    CPPUNIT_ASSERT(first.request != second.request);
    // A late copy of the first refusal must not end the second submission.
    refused.answer.reason = Reason::kOverload;
    SendAnswerFrom(kHome, refused);
    CPPUNIT_ASSERT(group_->At(0).job_answers.empty());
    SendAnswerFrom(kHome, CompleteAnswer(second));
    CPPUNIT_ASSERT(Outcome::kComplete == OnlyAnswer(0).outcome);
  }

  void PlainKeyEndsAsUnknownDuringTableOutage() {
    group_->table_out = true;
    group_->Submit(0, "order 7");
    const JobAnswer answer = OnlyAnswer(0);
    CPPUNIT_ASSERT(Outcome::kUnknown == answer.outcome);
    CPPUNIT_ASSERT(Reason::kPlatformOut == answer.reason);
    CPPUNIT_ASSERT(answer.retry_after.count() > 0);
    CPPUNIT_ASSERT_EQUAL(std::string("order 7"), answer.key.value());
  }

  void PlainKeyWithoutRowEndsAsNotRun() {
    // Without an agent the row is read as absent and the key is not bound.
    OnPeerGone(&group_->BoardOf(0), group_->now(), kHome);
    group_->Submit(0, "order 7");
    CPPUNIT_ASSERT(Outcome::kNotRun == OnlyAnswer(0).outcome);
    CPPUNIT_ASSERT(Reason::kNoTarget == OnlyAnswer(0).reason);
  }

  void SubmissionsOfSamePlainKeyGoToOneHome() {
    group_->Submit(0, "order 7");
    group_->Submit(1, "order 7");
    CPPUNIT_ASSERT(TakeSubmit(0).spec.key == TakeSubmit(1).spec.key);
  }

  void LostReplyOfKeyRowIsResolvedByRead() {
    group_->At(0).lose_next_write = true;
    group_->Submit(0, "order 7");
    group_->Submit(1, "order 7");
    CPPUNIT_ASSERT(TakeSubmit(0).spec.key == TakeSubmit(1).spec.key);
  }

  void RequestOverLimitEndsAsUnknown() {
    group_->BoardOf(0).policy.max_entry_requests = 1;
    group_->Submit(0, kKey);
    group_->Submit(0, kKey + "b");
    CPPUNIT_ASSERT(Outcome::kUnknown == OnlyAnswer(0).outcome);
    CPPUNIT_ASSERT(Reason::kOverload == OnlyAnswer(0).reason);
  }

 private:
  /// The only submission that the entry sent since the last call.
  Submit TakeSubmit(std::size_t entry) {
    std::vector<Submit> sent;
    for (const SendMessage& send : group_->At(entry).sent_to_agents) {
      const auto* submit = std::get_if<Submit>(&send.message);
      if (submit != nullptr) sent.push_back(*submit);
    }
    group_->At(entry).sent_to_agents.clear();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
    return sent.front();
  }

  JobAnswer OnlyAnswer(std::size_t entry) {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, group_->At(entry).job_answers.size());
    return group_->At(entry).job_answers.front();
  }

  static Answer RunningAnswer(const Submit& submit) {
    Answer answer;
    answer.request = submit.request;
    answer.answer.key = submit.spec.key;
    return answer;
  }

  static Answer CompleteAnswer(const Submit& submit) {
    Answer answer;
    answer.request = submit.request;
    answer.answer.key = submit.spec.key;
    answer.answer.outcome = Outcome::kComplete;
    answer.answer.results = {"done"};
    answer.results_digest = Digest(answer.answer.results);
    return answer;
  }

  void SendAnswerFrom(const core::NodeId& home, const Answer& answer) {
    OnMessage(&group_->BoardOf(0), group_->now(), home, answer);
    group_->Run(std::chrono::milliseconds(20));
  }

  std::unique_ptr<EntryGroup> group_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryRequestTest);

}  // namespace
}  // namespace tarragon::dispatch
