#include "tarragon/wire/codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <random>
#include <string>
#include <variant>

#include "frame.h"
#include "message.pb.h"
#include "tests/samples.h"

namespace tarragon::wire {
namespace {

constexpr int kMutations = 20000;
constexpr int kLongestGarbage = 200;
constexpr std::uint32_t kSeed = 20261204;

class CodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(EveryMessageRoundTrips);
  CPPUNIT_TEST(DefaultMessagesRoundTrip);
  CPPUNIT_TEST(AbsentWorldIsNotSent);
  CPPUNIT_TEST(RefusesEmptyAndUnknownMessages);
  CPPUNIT_TEST(RefusesTruncatedMessages);
  CPPUNIT_TEST(RefusesUnknownValues);
  CPPUNIT_TEST(RefusesTooManyTasks);
  CPPUNIT_TEST(RefusesAbsentParts);
  CPPUNIT_TEST(RefusesNamesTwice);
  CPPUNIT_TEST(CutsAndRefusesLongDurations);
  CPPUNIT_TEST(RefusesAmountsOutOfRange);
  CPPUNIT_TEST(CutsDemandOutOfRange);
  CPPUNIT_TEST(RefusesNestedBytes);
  CPPUNIT_TEST(CompletesRepeatedTarget);
  CPPUNIT_TEST(RefusesRepeatedTargetWithoutEarlierReport);
  CPPUNIT_TEST(SurvivesMutations);
  CPPUNIT_TEST(SurvivesGarbage);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EveryMessageRoundTrips() {
    const std::vector<dispatch::Message> samples = SampleMessages();
    CPPUNIT_ASSERT_EQUAL(std::variant_size_v<dispatch::Message>,
                         samples.size());
    for (std::size_t i = 0; i < samples.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(i, samples[i].index());
      AssertRoundTrips(samples[i]);
    }
  }

  void DefaultMessagesRoundTrip() {
    for (const dispatch::Message& sample : SampleMessages()) {
      AssertRoundTrips(std::visit(
          [](const auto& held) {
            return dispatch::Message(std::decay_t<decltype(held)>());
          },
          sample));
    }
  }

  void AbsentWorldIsNotSent() {
    dispatch::Permit permit;
    permit.world.version = core::NoteVersion(9);
    const std::optional<dispatch::Message> read =
        Decode(Encode(permit), nullptr);
    CPPUNIT_ASSERT(read);
    CPPUNIT_ASSERT(std::get<dispatch::Permit>(*read) == dispatch::Permit());
  }

  void RefusesEmptyAndUnknownMessages() {
    AssertRefused("", WireErrorCode::kMalformed);
    // Field 99, an empty message.
    AssertRefused(std::string("\x9a\x06\x00", 3), WireErrorCode::kMalformed);
    AssertRefused("GET / HTTP/1.1\r\n\r\n", WireErrorCode::kMalformed);
  }

  void RefusesTruncatedMessages() {
    for (const dispatch::Message& sample : SampleMessages()) {
      const std::string bytes = Encode(sample);
      const std::size_t step = bytes.size() / 500 + 1;
      for (std::size_t size = 0; size < bytes.size(); size += step) {
        AssertRefused(bytes.substr(0, size), WireErrorCode::kMalformed);
      }
    }
  }

  /// What has a name is read, all else is refused.
  void RefusesUnknownValues() {
    for (std::uint32_t value = 0; value < 1000; ++value) {
      Envelope refused;
      refused.mutable_refused()->mutable_ref();
      refused.mutable_refused()->mutable_load();
      refused.mutable_refused()->set_reason(value);
      AssertKnown(refused, IsReason(value));

      Envelope finished;
      finished.mutable_finished()->mutable_ref();
      finished.mutable_finished()->mutable_load();
      finished.mutable_finished()->set_reason(value);
      AssertKnown(finished, IsReason(value));

      Envelope answer;
      answer.mutable_answer()->mutable_answer()->set_outcome(value);
      AssertKnown(answer, IsOutcome(value));
      answer.mutable_answer()->mutable_answer()->set_outcome(0);
      answer.mutable_answer()->mutable_answer()->set_reason(value);
      AssertKnown(answer, IsReason(value));
    }
  }

  void RefusesTooManyTasks() {
    dispatch::Submit submit;
    submit.spec.tasks.resize(dispatch::kMaxTasksPerJob);
    AssertRoundTrips(submit);
    submit.spec.tasks.emplace_back();
    AssertRefused(Encode(submit), WireErrorCode::kTooMany);

    dispatch::Answer answer;
    answer.answer.results.resize(dispatch::kMaxTasksPerJob);
    AssertRoundTrips(answer);
    answer.answer.results.emplace_back();
    AssertRefused(Encode(answer), WireErrorCode::kTooMany);
  }

  void RefusesAbsentParts() {
    Envelope envelope;
    envelope.mutable_assign();
    AssertRefused(envelope.SerializeAsString(), WireErrorCode::kMalformed);
    envelope.mutable_assign()->mutable_ref();
    AssertRefused(envelope.SerializeAsString(), WireErrorCode::kMalformed);
    envelope.mutable_heartbeat();
    AssertRefused(envelope.SerializeAsString(), WireErrorCode::kMalformed);
    envelope.mutable_submit();
    AssertRefused(envelope.SerializeAsString(), WireErrorCode::kMalformed);
    envelope.mutable_pull_task();
    AssertRefused(envelope.SerializeAsString(), WireErrorCode::kMalformed);
    envelope.mutable_leaving();
    AssertRefused(envelope.SerializeAsString(), WireErrorCode::kMalformed);
  }

  void RefusesNamesTwice() {
    Envelope envelope;
    World* world = envelope.mutable_entry_pong()->mutable_world();
    world->add_services()->set_name("carve");
    CPPUNIT_ASSERT(Decode(envelope.SerializeAsString(), nullptr));
    world->add_services()->set_name("carve");
    AssertRefused(envelope.SerializeAsString(), WireErrorCode::kMalformed);
    world->clear_services();
    world->add_domains()->set_name("szeged");
    world->add_domains()->set_name("szeged");
    AssertRefused(envelope.SerializeAsString(), WireErrorCode::kMalformed);
    world->clear_domains();
    world->add_tenants()->set_name("kaptafa");
    world->add_tenants()->set_name("kaptafa");
    AssertRefused(envelope.SerializeAsString(), WireErrorCode::kMalformed);
  }

  void CutsAndRefusesLongDurations() {
    dispatch::Want want;
    want.oldest_wait = core::Duration::max();
    const std::optional<dispatch::Message> read = Decode(Encode(want), nullptr);
    CPPUNIT_ASSERT(read);
    CPPUNIT_ASSERT(std::get<dispatch::Want>(*read).oldest_wait ==
                   kMaxEncodedDuration);

    Envelope envelope;
    envelope.mutable_want()->set_oldest_wait_us(kMaxEncodedDuration.count() +
                                                1);
    AssertRefused(envelope.SerializeAsString(), WireErrorCode::kOutOfRange);
    envelope.mutable_want()->set_oldest_wait_us(INT64_MIN);
    AssertRefused(envelope.SerializeAsString(), WireErrorCode::kOutOfRange);
  }

  // Guards against sums that overflow after one odd report or stored row.
  void RefusesAmountsOutOfRange() {
    for (const std::int64_t odd : {INT64_MAX, INT64_MIN, INT64_MAX / 2}) {
      Envelope envelope;
      envelope.mutable_target_hint()
          ->mutable_last()
          ->mutable_capacity()
          ->set_millicores(odd);
      AssertRefused(envelope.SerializeAsString(), WireErrorCode::kOutOfRange);
      envelope.Clear();
      envelope.mutable_target_report()->mutable_free()->set_memory_mb(odd);
      AssertRefused(envelope.SerializeAsString(), WireErrorCode::kOutOfRange);
      envelope.Clear();
      envelope.mutable_target_report()->add_releases()->set_millicores(odd);
      AssertRefused(envelope.SerializeAsString(), WireErrorCode::kOutOfRange);
      envelope.Clear();
      envelope.mutable_start_run()->mutable_run()->set_job("j");
      envelope.mutable_start_run()->mutable_room()->set_accelerators(odd);
      AssertRefused(envelope.SerializeAsString(), WireErrorCode::kOutOfRange);
      envelope.Clear();
      envelope.mutable_ask_run()->mutable_run()->set_job("j");
      envelope.mutable_ask_run()->mutable_room()->set_millicores(odd);
      AssertRefused(envelope.SerializeAsString(), WireErrorCode::kOutOfRange);
      envelope.Clear();
      envelope.mutable_room_wanted()->mutable_room()->set_millicores(odd);
      AssertRefused(envelope.SerializeAsString(), WireErrorCode::kOutOfRange);
    }
  }

  // A demand only orders tasks, so an odd one does not cost the peer.
  void CutsDemandOutOfRange() {
    Envelope envelope;
    envelope.mutable_entry_notice()->add_demand()->set_waiting_work(UINT64_MAX);
    const std::optional<dispatch::Message> read =
        Decode(envelope.SerializeAsString(), nullptr);
    CPPUNIT_ASSERT(read);
    const auto& notice = std::get<coordinator::EntryNotice>(*read);
    CPPUNIT_ASSERT(notice.demand.at(0).waiting_work < UINT64_MAX / 1000);
  }

  // Unknown groups within groups, deeper than a parser's stack may bear.
  void RefusesNestedBytes() {
    constexpr char kStartGroup = '\x0b';
    constexpr char kEndGroup = '\x0c';
    const std::string nested =
        std::string(100000, kStartGroup) + std::string(100000, kEndGroup);
    AssertRefused(nested, WireErrorCode::kMalformed);
  }

  /// Changes, cuts and lengthens real messages. What is still read must be a
  /// message that round-trips.
  static coordinator::TargetReport MakeReport() {
    coordinator::TargetReport report;
    report.clock = core::Time{std::chrono::seconds(5)};
    report.starts_seen = 7;
    report.usable = true;
    report.runs_known = true;
    report.target = coordinator::TargetId("t-1");
    report.born = coordinator::TargetIncarnation(1700000000000);
    report.sequence = 3;
    report.address = core::Address("10.0.0.9:80");
    report.service = core::ServiceId("carve");
    report.domain = core::DomainId("szeged");
    report.labels = {coordinator::Label("a"), coordinator::Label("r1-3")};
    report.capacity = {16000, 32768, 0};
    report.free = {8000, 32000, 0};
    report.entries = 35;
    report.operator_revision = 1200;
    report.domains_digest = 0x1234567890abcdefULL;
    return report;
  }

  void CompletesRepeatedTarget() {
    const coordinator::TargetReport first = MakeReport();
    coordinator::TargetReport second = first;
    second.clock = core::Time{std::chrono::seconds(6)};
    second.free = {1000, 500, 0};
    second.sequence = 4;
    second.draining = true;
    second.operator_revision = 1300;
    CPPUNIT_ASSERT(DescribesSameTarget(first, second));
    const std::string bytes = EncodeRepeatedTarget(second);
    CPPUNIT_ASSERT(2 * bytes.size() < Encode(second).size());
    WireError reason;
    const std::optional<dispatch::Message> read =
        Decode(bytes, &reason, &first);
    CPPUNIT_ASSERT_MESSAGE(reason.detail, read.has_value());
    CPPUNIT_ASSERT(dispatch::Message(second) == *read);
    coordinator::TargetReport other = first;
    other.labels.pop_back();
    CPPUNIT_ASSERT(!DescribesSameTarget(first, other));
    other = first;
    other.domains_digest = 1;
    CPPUNIT_ASSERT(!DescribesSameTarget(first, other));
    other = first;
    other.born = coordinator::TargetIncarnation(2);
    CPPUNIT_ASSERT(!DescribesSameTarget(first, other));
  }

  void RefusesRepeatedTargetWithoutEarlierReport() {
    WireError reason;
    CPPUNIT_ASSERT(!Decode(EncodeRepeatedTarget(MakeReport()), &reason));
    CPPUNIT_ASSERT(!reason.detail.empty());
  }

  void SurvivesMutations() {
    std::mt19937 random(kSeed);
    std::vector<std::string> originals;
    for (const dispatch::Message& sample : SampleMessages()) {
      originals.push_back(Encode(sample));
    }
    int read = 0;
    for (int i = 0; i < kMutations; ++i) {
      std::string bytes = originals[random() % originals.size()];
      const std::uint32_t changes = 1 + random() % 8;
      for (std::uint32_t c = 0; c < changes; ++c) Mutate(&random, &bytes);
      if (ReadsWell(bytes)) ++read;
    }
    CPPUNIT_ASSERT(read > 0);
    CPPUNIT_ASSERT(read < kMutations);
  }

  void SurvivesGarbage() {
    std::mt19937 random(kSeed);
    for (int i = 0; i < kMutations; ++i) {
      std::string bytes(random() % kLongestGarbage, '\0');
      for (char& byte : bytes) byte = static_cast<char>(random());
      ReadsWell(bytes);
    }
  }

 private:
  static void AssertRoundTrips(const dispatch::Message& message) {
    WireError reason;
    const std::optional<dispatch::Message> read =
        Decode(Encode(message), &reason);
    CPPUNIT_ASSERT_MESSAGE(dispatch::Name(message) + (": " + reason.detail),
                           read.has_value());
    CPPUNIT_ASSERT_MESSAGE(dispatch::Name(message), *read == message);
  }

  static void AssertRefused(const std::string& bytes, WireErrorCode code) {
    WireError reason;
    CPPUNIT_ASSERT(!Decode(bytes, &reason));
    CPPUNIT_ASSERT(reason.code == code);
    CPPUNIT_ASSERT(!reason.detail.empty());
    CPPUNIT_ASSERT(!Decode(bytes, nullptr));
  }

  static bool IsReason(std::uint32_t value) {
    return value <= UINT8_MAX &&
           dispatch::Name(static_cast<dispatch::Reason>(value)) != "invalid";
  }

  static bool IsOutcome(std::uint32_t value) {
    return value <= UINT8_MAX &&
           dispatch::Name(static_cast<dispatch::Outcome>(value)) != "invalid";
  }

  static void AssertKnown(const Envelope& envelope, bool known) {
    if (!known) {
      AssertRefused(envelope.SerializeAsString(), WireErrorCode::kUnknownValue);
      return;
    }
    CPPUNIT_ASSERT(Decode(envelope.SerializeAsString(), nullptr));
  }

  static void Mutate(std::mt19937* random, std::string* bytes) {
    const std::size_t size = bytes->size();
    const std::size_t at = size == 0 ? 0 : (*random)() % size;
    switch ((*random)() % 5) {
      case 0:
        bytes->resize(at);
        break;
      case 1:
        bytes->insert(at, 1 + (*random)() % 3, static_cast<char>((*random)()));
        break;
      case 2:
        if (size != 0) bytes->erase(at, 1);
        break;
      default:
        // The first bytes hold the structure; they are changed most.
        if (size != 0) {
          (*bytes)[(*random)() % std::min<std::size_t>(size, 64)] =
              static_cast<char>((*random)());
        }
        break;
    }
  }

  /// True if `bytes` were read; a message that was read must round-trip.
  static bool ReadsWell(const std::string& bytes) {
    const std::optional<dispatch::Message> read = Decode(bytes, nullptr);
    if (!read) return false;
    const std::optional<dispatch::Message> again =
        Decode(Encode(*read), nullptr);
    CPPUNIT_ASSERT(again);
    CPPUNIT_ASSERT(*again == *read);
    return true;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

}  // namespace
}  // namespace tarragon::wire
