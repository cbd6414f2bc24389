#include "tarragon/notes/world_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "tarragon/dispatch/note.h"

namespace tarragon::notes {
namespace {

using Code = TableError::Code;
using dispatch::EntryList;
using dispatch::World;

World MakeWorld() {
  World world;
  world.version = core::NoteVersion(8);
  world.recent_notes = {core::NoteId("n1"), core::NoteId("n2")};
  world.services[core::ServiceId("heel-pitch")] = {
      true, std::chrono::milliseconds(5000), 16, 32768};
  world.services[core::ServiceId("carve")] = {
      false, std::chrono::milliseconds(1), 1, 0};
  world.domains[core::DomainId("szeged")] = {core::RegionId("alfold"), true};
  world.domains[core::DomainId("rabat.1")] = {core::RegionId("central"), false};
  world.tenants[core::TenantId("kaptafa")] = {3, 5, 7};
  return world;
}

EntryList MakeEntries() {
  EntryList entries;
  entries.version = 3;
  entries.members = {
      {{core::Address("127.0.0.1:7001"), core::Incarnation(0xabc)},
       core::DomainId("szeged")},
      {{core::Address("10.0.0.2:7001"), core::Incarnation(~std::uint64_t{0})},
       core::DomainId("bekes")}};
  return entries;
}

void AssertRejected(Code code, const std::string& text) {
  TableError reason;
  CPPUNIT_ASSERT_MESSAGE(text, !DecodeWorld(text, &reason).has_value());
  CPPUNIT_ASSERT_MESSAGE(reason.detail, reason.code == code);
  CPPUNIT_ASSERT(!reason.detail.empty());
}

std::string ReplaceText(std::string text, const std::string& from,
                        const std::string& to) {
  const std::size_t at = text.find(from);
  CPPUNIT_ASSERT_MESSAGE(from, at != std::string::npos);
  return text.replace(at, from.size(), to);
}

class WorldCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorldCodecTest);
  CPPUNIT_TEST(WorldRoundTrips);
  CPPUNIT_TEST(EntriesRoundTrip);
  CPPUNIT_TEST(EncodesStableText);
  CPPUNIT_TEST(RandomWorldsRoundTrip);
  CPPUNIT_TEST(IgnoresUnknownFields);
  CPPUNIT_TEST(RejectsOtherFormats);
  CPPUNIT_TEST(RejectsMalformedValues);
  CPPUNIT_TEST(RejectsValuesOutOfRange);
  CPPUNIT_TEST(RejectsInvalidEntries);
  CPPUNIT_TEST(RejectsTooLargeValues);
  CPPUNIT_TEST(RejectsEveryTruncatedText);
  CPPUNIT_TEST(HandlesRandomlyDamagedText);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WorldRoundTrips() {
    for (const World& world : {World(), MakeWorld()}) {
      const std::optional<World> read =
          DecodeWorld(EncodeWorld(world), /*reason=*/nullptr);
      CPPUNIT_ASSERT(read.has_value());
      CPPUNIT_ASSERT(world == *read);
    }
  }

  void EntriesRoundTrip() {
    for (const EntryList& entries : {EntryList(), MakeEntries()}) {
      const std::optional<EntryList> read =
          DecodeEntries(EncodeEntries(entries), /*reason=*/nullptr);
      CPPUNIT_ASSERT(read.has_value());
      CPPUNIT_ASSERT(entries == *read);
    }
  }

  void EncodesStableText() {
    World world;
    world.version = core::NoteVersion(2);
    world.recent_notes = {core::NoteId("n1")};
    world.domains[core::DomainId("b")] = {core::RegionId("r"), false};
    world.domains[core::DomainId("a")] = {core::RegionId("r"), true};
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"format":1,"version":2,"recent_notes":["n1"],)"
                    R"("services":{},"domains":{)"
                    R"("a":{"region":"r","in_service":true},)"
                    R"("b":{"region":"r","in_service":false}},"tenants":{}})"),
        EncodeWorld(world));
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"format":1,"version":3,"members":[)"
                    R"({"node":"127.0.0.1:7001~abc","domain":"szeged"},)"
                    R"({"node":"10.0.0.2:7001~ffffffffffffffff",)"
                    R"("domain":"bekes"}]})"),
        EncodeEntries(MakeEntries()));
  }

  void RandomWorldsRoundTrip() {
    constexpr unsigned seed = 7;
    constexpr int worlds = 200;
    std::mt19937 random(seed);
    for (int i = 0; i < worlds; ++i) {
      World world;
      world.version = core::NoteVersion(random());
      for (unsigned n = 0; n < random() % 5; ++n) {
        const std::string name = std::to_string(random());
        world.services[core::ServiceId(name)] = {
            random() % 2 == 0, std::chrono::milliseconds(1 + random() % 600000),
            1 + static_cast<std::uint32_t>(random() % 4096),
            static_cast<std::uint32_t>(random() % 65536)};
        world.domains[core::DomainId(name)] = {core::RegionId("r" + name),
                                               random() % 2 == 0};
        world.tenants[core::TenantId(name)] = {
            static_cast<std::uint32_t>(random() % 1000),
            static_cast<std::uint32_t>(random() % 1000),
            1 + static_cast<std::uint32_t>(random() % 1000)};
        world.recent_notes.emplace_back(name);
      }
      const std::optional<World> read =
          DecodeWorld(EncodeWorld(world), /*reason=*/nullptr);
      CPPUNIT_ASSERT(read.has_value());
      CPPUNIT_ASSERT(world == *read);
    }
  }

  void IgnoresUnknownFields() {
    const std::string text =
        ReplaceText(EncodeWorld(MakeWorld()), R"("max_cores")",
                    R"("max_gpus":{"of":[1]},"max_cores")");
    const std::optional<World> read = DecodeWorld(text, nullptr);
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT(MakeWorld() == *read);
  }

  void RejectsOtherFormats() {
    const std::string text = EncodeWorld(MakeWorld());
    AssertRejected(Code::kUnknownFormat,
                   ReplaceText(text, R"("format":1)", R"("format":2)"));
    AssertRejected(Code::kMalformed, ReplaceText(text, R"("format":1,)", ""));
  }

  void RejectsMalformedValues() {
    const std::string text = EncodeWorld(MakeWorld());
    for (const std::string bad :
         {"", "null", "[]", "7", "{}", "{", "nonsense", R"({"format":1})"}) {
      AssertRejected(Code::kMalformed, bad);
    }
    const std::vector<std::pair<std::string, std::string>> replacements = {
        {R"("version":8)", R"("version":-8)"},
        {R"("version":8)", R"("version":8.5)"},
        {R"("version":8)", R"("version":"8")"},
        {R"(["n1","n2"])", R"(["n1",2])"},
        {R"(["n1","n2"])", R"({"n1":"n2"})"},
        {R"("max_cores":16)", R"("max_cores":4294967296)"},
        {R"("max_cores":16)", R"("max_core":16)"},
        {R"("idempotent":true)", R"("idempotent":1)"},
        {R"("region":"alfold")", R"("region":null)"},
        {R"({"max_running":3,"max_queued":5,"weight":7})", "[]"},
        {R"("tenants":{)", R"("tenants":[],"tenant":{)"}};
    for (const auto& [from, to] : replacements) {
      AssertRejected(Code::kMalformed, ReplaceText(text, from, to));
    }
  }

  void RejectsValuesOutOfRange() {
    const std::string text = EncodeWorld(MakeWorld());
    AssertRejected(Code::kOutOfRange,
                   ReplaceText(text, R"("weight":7)", R"("weight":0)"));
    AssertRejected(Code::kOutOfRange,
                   ReplaceText(text, R"("heel-pitch")", R"("heel pitch")"));
    AssertRejected(Code::kOutOfRange, ReplaceText(text, R"("max_run_ms":5000)",
                                                  R"("max_run_ms":0)"));
  }

  void RejectsInvalidEntries() {
    const std::string text = EncodeEntries(MakeEntries());
    for (const std::string& bad :
         {std::string("{}"),
          ReplaceText(text, "127.0.0.1:7001~abc", "127.0.0.1"),
          ReplaceText(text, R"("domain":"szeged")", R"("domain":5)"),
          ReplaceText(text, R"("version":3,)", ""),
          std::string(R"({"format":1,"version":1,"members":[5]})")}) {
      TableError reason;
      CPPUNIT_ASSERT_MESSAGE(bad, !DecodeEntries(bad, &reason).has_value());
      CPPUNIT_ASSERT(reason.code == Code::kMalformed);
    }
  }

  void RejectsTooLargeValues() {
    AssertRejected(Code::kTooLarge, std::string(kMaxValueBytes + 1, ' '));
  }

  void RejectsEveryTruncatedText() {
    const std::string text = EncodeWorld(MakeWorld());
    for (std::size_t size = 0; size < text.size(); ++size) {
      CPPUNIT_ASSERT(!DecodeWorld(text.substr(0, size), nullptr).has_value());
    }
    CPPUNIT_ASSERT(!DecodeWorld(text + "}", nullptr).has_value());
    CPPUNIT_ASSERT(!DecodeWorld(std::string(10000, '['), nullptr).has_value());
  }

  void HandlesRandomlyDamagedText() {
    constexpr unsigned seed = 11;
    constexpr int rounds = 5000;
    std::mt19937 random(seed);
    const std::string world = EncodeWorld(MakeWorld());
    const std::string entries = EncodeEntries(MakeEntries());
    for (int round = 0; round < rounds; ++round) {
      std::string text = round % 2 == 0 ? world : entries;
      for (unsigned damage = 0; damage <= random() % 3; ++damage) {
        text[random() % text.size()] = static_cast<char>(random() % 256);
      }
      const std::optional<World> read = DecodeWorld(text, nullptr);
      CPPUNIT_ASSERT(!read || dispatch::ValidateWorld(*read).empty());
      DecodeEntries(text, nullptr);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorldCodecTest);

}  // namespace
}  // namespace tarragon::notes
