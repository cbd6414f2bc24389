#include "tarragon/dispatch/note.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace tarragon::dispatch {
namespace {

const core::ServiceId kPitch("heel-pitch");
const core::ServiceId kCarve("carve");
const core::DomainId kSzeged("szeged");
const core::TenantId kKaptafa("kaptafa");

ReleaseNote MakeNote(const std::string& id, std::uint64_t base) {
  ReleaseNote note;
  note.id = core::NoteId(id);
  note.base = core::NoteVersion(base);
  return note;
}

Domain MakeDomain() { return {core::RegionId("alfold"), true}; }

/// The first note: adds one item of each kind.
ReleaseNote FirstNote() {
  ReleaseNote note = MakeNote("first", 0);
  note.added_services[kPitch] = Service();
  note.added_domains[kSzeged] = MakeDomain();
  note.added_tenants[kKaptafa] = TenantLimit();
  return note;
}

World FirstWorld() {
  const std::optional<World> world =
      ApplyNote(World(), FirstNote(), /*reason=*/nullptr);
  CPPUNIT_ASSERT(world.has_value());
  return *world;
}

/// The errors of a note that must be refused as invalid.
std::vector<std::string> ErrorsOf(const World& present,
                                  const ReleaseNote& note) {
  NoteError reason;
  CPPUNIT_ASSERT(!ApplyNote(present, note, &reason).has_value());
  CPPUNIT_ASSERT(reason.code == NoteError::Code::kInvalid);
  return reason.errors;
}

void AssertOneError(const std::string& expected, const World& present,
                    const ReleaseNote& note) {
  const std::vector<std::string> texts = ErrorsOf(present, note);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, texts.size());
  CPPUNIT_ASSERT_EQUAL(expected, texts[0]);
}

class NoteTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NoteTest);
  CPPUNIT_TEST(AppliesAddChangeAndWithdraw);
  CPPUNIT_TEST(ChangeKeepsFieldsThatAreNotSet);
  CPPUNIT_TEST(DifferentBaseIsConflict);
  CPPUNIT_TEST(SecondOfTwoConcurrentNotesIsConflict);
  CPPUNIT_TEST(ContainsAcceptedNote);
  CPPUNIT_TEST(RefusesIdOfAcceptedNote);
  CPPUNIT_TEST(KeepsOnlyLatestNoteIds);
  CPPUNIT_TEST(RefusesToAddExistingItems);
  CPPUNIT_TEST(RefusesToChangeMissingItems);
  CPPUNIT_TEST(RefusesToWithdrawMissingItems);
  CPPUNIT_TEST(RefusesItemNamedTwice);
  CPPUNIT_TEST(RefusesBadNames);
  CPPUNIT_TEST(RefusesLimitsOutOfRange);
  CPPUNIT_TEST(RefusesEmptyNoteAndEmptyChange);
  CPPUNIT_TEST(RefusesTooManyItems);
  CPPUNIT_TEST(ReportsAllErrorsAtOnce);
  CPPUNIT_TEST(RandomNotesApplyCompletelyOrNotAtAll);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AppliesAddChangeAndWithdraw() {
    const World first = FirstWorld();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, first.version.value());
    CPPUNIT_ASSERT(first.services.contains(kPitch));

    ReleaseNote note = MakeNote("second", 1);
    note.added_services[kCarve] = Service();
    note.changed_domains[kSzeged].in_service = false;
    note.withdrawn_tenants.insert(kKaptafa);
    const std::optional<World> second = ApplyNote(first, note, nullptr);
    CPPUNIT_ASSERT(second.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, second->version.value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, second->services.size());
    CPPUNIT_ASSERT(!second->domains.at(kSzeged).in_service);
    CPPUNIT_ASSERT(second->tenants.empty());
    CPPUNIT_ASSERT(ValidateWorld(*second).empty());
  }

  void ChangeKeepsFieldsThatAreNotSet() {
    World present = FirstWorld();
    present.services[kPitch].max_cores = 7;
    ReleaseNote note = MakeNote("second", 1);
    note.changed_services[kPitch].max_run = std::chrono::milliseconds(250);
    const std::optional<World> next = ApplyNote(present, note, nullptr);
    CPPUNIT_ASSERT(next.has_value());
    Service expected = present.services[kPitch];
    expected.max_run = std::chrono::milliseconds(250);
    CPPUNIT_ASSERT(expected == next->services.at(kPitch));
    CPPUNIT_ASSERT(present.domains == next->domains);
    CPPUNIT_ASSERT(present.tenants == next->tenants);
  }

  void DifferentBaseIsConflict() {
    for (const std::uint64_t base : {0, 2}) {
      ReleaseNote note = MakeNote("second", base);
      note.withdrawn_services.insert(kPitch);
      NoteError reason;
      CPPUNIT_ASSERT(!ApplyNote(FirstWorld(), note, &reason).has_value());
      CPPUNIT_ASSERT(reason.code == NoteError::Code::kConflict);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reason.errors.size());
    }
  }

  void SecondOfTwoConcurrentNotesIsConflict() {
    ReleaseNote out = MakeNote("out", 1);
    out.changed_domains[kSzeged].in_service = false;
    ReleaseNote withdraw = MakeNote("withdraw", 1);
    withdraw.withdrawn_domains.insert(kSzeged);
    const std::optional<World> won = ApplyNote(FirstWorld(), out, nullptr);
    CPPUNIT_ASSERT(won.has_value());
    NoteError reason;
    CPPUNIT_ASSERT(!ApplyNote(*won, withdraw, &reason).has_value());
    CPPUNIT_ASSERT(reason.code == NoteError::Code::kConflict);
  }

  void ContainsAcceptedNote() {
    CPPUNIT_ASSERT(!ContainsNote(World(), core::NoteId("first")));
    CPPUNIT_ASSERT(ContainsNote(FirstWorld(), core::NoteId("first")));
    CPPUNIT_ASSERT(!ContainsNote(FirstWorld(), core::NoteId("firs")));
  }

  void RefusesIdOfAcceptedNote() {
    ReleaseNote note = MakeNote("first", 1);
    note.withdrawn_services.insert(kPitch);
    AssertOneError("note: the id first belongs to a note accepted before",
                   FirstWorld(), note);
  }

  void KeepsOnlyLatestNoteIds() {
    World world = FirstWorld();
    constexpr std::uint64_t more = 10;
    for (std::uint64_t i = 1; i < kMaxRecentNotes + more; ++i) {
      ReleaseNote note = MakeNote("n" + std::to_string(i), i);
      note.changed_domains[kSzeged].in_service = i % 2 == 0;
      const std::optional<World> next = ApplyNote(world, note, nullptr);
      CPPUNIT_ASSERT(next.has_value());
      world = *next;
    }
    CPPUNIT_ASSERT_EQUAL(kMaxRecentNotes, world.recent_notes.size());
    CPPUNIT_ASSERT(!ContainsNote(world, core::NoteId("first")));
    CPPUNIT_ASSERT_EQUAL(std::string("n10"), world.recent_notes[0].value());
    CPPUNIT_ASSERT_EQUAL(std::string("n265"),
                         world.recent_notes.back().value());
  }

  void RefusesToAddExistingItems() {
    ReleaseNote note = MakeNote("second", 1);
    note.added_services[kPitch] = Service();
    note.added_domains[kSzeged] = MakeDomain();
    note.added_tenants[kKaptafa] = TenantLimit();
    const std::vector<std::string> expected = {
        "service heel-pitch: cannot be added, it exists",
        "domain szeged: cannot be added, it exists",
        "tenant kaptafa: cannot be added, it exists"};
    CPPUNIT_ASSERT(expected == ErrorsOf(FirstWorld(), note));
  }

  void RefusesToChangeMissingItems() {
    ReleaseNote note = MakeNote("first", 0);
    note.changed_services[kPitch].idempotent = true;
    note.changed_domains[kSzeged].in_service = true;
    note.changed_tenants[kKaptafa].weight = 2;
    const std::vector<std::string> expected = {
        "service heel-pitch: cannot be changed, it does not exist",
        "domain szeged: cannot be changed, it does not exist",
        "tenant kaptafa: cannot be changed, it does not exist"};
    CPPUNIT_ASSERT(expected == ErrorsOf(World(), note));
  }

  void RefusesToWithdrawMissingItems() {
    ReleaseNote note = MakeNote("first", 0);
    note.withdrawn_services.insert(kPitch);
    note.withdrawn_domains.insert(kSzeged);
    note.withdrawn_tenants.insert(kKaptafa);
    const std::vector<std::string> expected = {
        "service heel-pitch: cannot be withdrawn, it does not exist",
        "domain szeged: cannot be withdrawn, it does not exist",
        "tenant kaptafa: cannot be withdrawn, it does not exist"};
    CPPUNIT_ASSERT(expected == ErrorsOf(World(), note));
  }

  void RefusesItemNamedTwice() {
    ReleaseNote changed_and_withdrawn = MakeNote("second", 1);
    changed_and_withdrawn.changed_domains[kSzeged].in_service = false;
    changed_and_withdrawn.withdrawn_domains.insert(kSzeged);
    AssertOneError("domain szeged: named twice in one note", FirstWorld(),
                   changed_and_withdrawn);

    ReleaseNote added_and_withdrawn = MakeNote("second", 1);
    added_and_withdrawn.added_services[kPitch] = Service();
    added_and_withdrawn.withdrawn_services.insert(kPitch);
    const std::vector<std::string> texts =
        ErrorsOf(FirstWorld(), added_and_withdrawn);
    CPPUNIT_ASSERT_EQUAL(
        std::string("service heel-pitch: named twice in one note"), texts[0]);

    ReleaseNote added_and_changed = MakeNote("second", 1);
    added_and_changed.added_services[kCarve] = Service();
    added_and_changed.changed_services[kCarve].max_cores = 2;
    CPPUNIT_ASSERT_EQUAL(std::string("service carve: named twice in one note"),
                         ErrorsOf(FirstWorld(), added_and_changed)[0]);
  }

  void RefusesBadNames() {
    CPPUNIT_ASSERT(IsValidName("a"));
    CPPUNIT_ASSERT(IsValidName("Az_09.-"));
    CPPUNIT_ASSERT(IsValidName(std::string(kMaxNameLength, 'x')));
    CPPUNIT_ASSERT(!IsValidName(""));
    CPPUNIT_ASSERT(!IsValidName(std::string(kMaxNameLength + 1, 'x')));
    for (const std::string bad : {"a b", "a/b", "a%", "a\n", "\xc3\xa9"}) {
      CPPUNIT_ASSERT(!IsValidName(bad));
    }
    CPPUNIT_ASSERT(!IsValidName(std::string("a\0b", 3)));

    ReleaseNote note = MakeNote("", 0);
    note.added_services[core::ServiceId("")] = Service();
    note.added_domains[core::DomainId("a b")] = MakeDomain();
    note.added_domains[kSzeged] = Domain();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, ErrorsOf(World(), note).size());
  }

  void RefusesLimitsOutOfRange() {
    ReleaseNote note = MakeNote("first", 0);
    Service& service = note.added_services[kPitch];
    service.max_run = core::Duration(0);
    service.max_cores = 0;
    service.max_memory_mb = kMaxMemoryMbLimit + 1;
    TenantLimit& tenant = note.added_tenants[kKaptafa];
    tenant.weight = 0;
    tenant.max_running = kMaxTasksLimit + 1;
    const std::string service_text = "service heel-pitch: ";
    const std::string tenant_text = "tenant kaptafa: ";
    const std::vector<std::string> expected = {
        service_text +
            "max_run_ms is 0, allowed are whole numbers from 1 to 600000",
        service_text + "max_cores is 0, allowed are 1 to 4096",
        service_text + "max_memory_mb is 16777217, allowed are 0 to 16777216",
        tenant_text + "max_running is 10000001, allowed are 0 to 10000000",
        tenant_text + "weight is 0, allowed are 1 to 1000"};
    CPPUNIT_ASSERT(expected == ErrorsOf(World(), note));

    ReleaseNote change = MakeNote("second", 1);
    change.changed_tenants[kKaptafa].weight = 0;
    AssertOneError("tenant kaptafa: weight is 0, allowed are 1 to 1000",
                   FirstWorld(), change);
    ReleaseNote part = MakeNote("second", 1);
    part.changed_services[kPitch].max_run = core::Duration(1500);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ErrorsOf(FirstWorld(), part).size());
  }

  void RefusesEmptyNoteAndEmptyChange() {
    AssertOneError("note: states nothing to add, change or withdraw", World(),
                   MakeNote("first", 0));
    ReleaseNote note = MakeNote("second", 1);
    note.changed_services[kPitch] = ServiceChange();
    AssertOneError("service heel-pitch: the change states nothing",
                   FirstWorld(), note);
  }

  void RefusesTooManyItems() {
    ReleaseNote note = MakeNote("first", 0);
    for (std::size_t i = 0; i < kMaxItemsPerKind; ++i) {
      note.added_tenants[core::TenantId("t" + std::to_string(i))] = {};
    }
    CPPUNIT_ASSERT(ApplyNote(World(), note, nullptr).has_value());
    note.added_tenants[core::TenantId("one-more")] = {};
    AssertOneError("tenant: 4097 would be in force, allowed are 4096", World(),
                   note);
  }

  void ReportsAllErrorsAtOnce() {
    ReleaseNote note = MakeNote("sec ond", 1);
    note.added_services[kPitch] = Service();
    note.changed_services[kCarve].idempotent = true;
    note.withdrawn_domains.insert(core::DomainId("pecs"));
    note.changed_tenants[kKaptafa].weight = 0;
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, ErrorsOf(FirstWorld(), note).size());
  }

  void RandomNotesApplyCompletelyOrNotAtAll() {
    constexpr unsigned seed = 20261204;
    constexpr int notes = 2000;
    std::mt19937 random(seed);
    World world;
    int accepted = 0;
    for (int i = 0; i < notes; ++i) {
      const ReleaseNote note = RandomNote(&random, world.version.value());
      NoteError reason;
      const std::optional<World> next = ApplyNote(world, note, &reason);
      CPPUNIT_ASSERT_EQUAL(next.has_value(), reason.errors.empty());
      if (!next) continue;
      ++accepted;
      AssertFullyApplied(world, note, *next);
      world = *next;
    }
    CPPUNIT_ASSERT(accepted > 0);
    CPPUNIT_ASSERT(accepted < notes);
  }

 private:
  /// Up to three changes to a small set of domains; often conflicts with the
  /// world.
  static ReleaseNote RandomNote(std::mt19937* random, std::uint64_t version) {
    constexpr unsigned names = 4;
    constexpr unsigned steps = 3;
    const std::uint64_t base = (*random)() % 8 == 0 ? version + 1 : version;
    ReleaseNote note = MakeNote("n" + std::to_string((*random)()), base);
    for (unsigned step = 0; step <= (*random)() % steps; ++step) {
      const core::DomainId id("d" + std::to_string((*random)() % names));
      const unsigned kind = (*random)() % 3;
      if (kind == 0) note.added_domains[id] = MakeDomain();
      if (kind == 1) note.changed_domains[id].in_service = (*random)() % 2 == 0;
      if (kind == 2) note.withdrawn_domains.insert(id);
    }
    return note;
  }

  static void AssertFullyApplied(const World& before, const ReleaseNote& note,
                                 const World& after) {
    CPPUNIT_ASSERT_EQUAL(before.version.value() + 1, after.version.value());
    CPPUNIT_ASSERT(ValidateWorld(after).empty());
    CPPUNIT_ASSERT(ContainsNote(after, note.id));
    std::map<core::DomainId, Domain> expected = before.domains;
    for (const core::DomainId& id : note.withdrawn_domains) expected.erase(id);
    expected.insert(note.added_domains.begin(), note.added_domains.end());
    for (const auto& [id, change] : note.changed_domains) {
      expected[id] = ApplyChange(expected[id], change);
    }
    CPPUNIT_ASSERT(expected == after.domains);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NoteTest);

}  // namespace
}  // namespace tarragon::dispatch
