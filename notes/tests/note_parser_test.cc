#include "tarragon/notes/note_parser.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

namespace tarragon::notes {
namespace {

using dispatch::ReleaseNote;

const std::string kHead = "[note]\nid = n1\nbase = 0\n";

/// The example note of docs/INTERFACES.md.
const std::string kFullNote = R"([note]
id = 2026-12-04-first
base = 7

[add service heel-pitch]
idempotent = true
max_run_ms = 5000
max_cores = 16
max_memory_mb = 32768

[add domain szeged]
region = alfold
in_service = true

[add tenant kaptafa]
max_running = 0
max_queued = 0
weight = 1

[change domain bekes]
in_service = false

[withdraw service old-lookup]
)";

ReleaseNote ParseValidNote(const std::string& text) {
  std::vector<std::string> errors;
  const std::optional<ReleaseNote> note = ParseNote(text, &errors);
  const std::string first = errors.empty() ? "" : errors[0];
  CPPUNIT_ASSERT_MESSAGE(first, note.has_value());
  CPPUNIT_ASSERT_EQUAL(std::string(), first);
  return *note;
}

std::vector<std::string> ParseInvalidNote(const std::string& text) {
  std::vector<std::string> errors;
  CPPUNIT_ASSERT(!ParseNote(text, &errors).has_value());
  CPPUNIT_ASSERT(!errors.empty());
  return errors;
}

void AssertErrors(const std::vector<std::string>& expected,
                  const std::string& text) {
  const std::vector<std::string> errors = ParseInvalidNote(text);
  for (std::size_t i = 0; i < std::min(expected.size(), errors.size()); ++i) {
    CPPUNIT_ASSERT_EQUAL(expected[i], errors[i]);
  }
  CPPUNIT_ASSERT_EQUAL(expected.size(), errors.size());
}

std::string Numbers(const std::string& lowest, const std::string& highest) {
  return ", allowed are whole numbers from " + lowest + " to " + highest;
}

class NoteParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NoteParserTest);
  CPPUNIT_TEST(ReadsEverySection);
  CPPUNIT_TEST(KeepsEmptyWithdrawSections);
  CPPUNIT_TEST(AddUsesDefaultsForMissingKeys);
  CPPUNIT_TEST(ChangeSetsOnlyGivenKeys);
  CPPUNIT_TEST(ParsesDotsSpacesCommentsAndLineEnds);
  CPPUNIT_TEST(ReportsMissingNoteSectionAndKeys);
  CPPUNIT_TEST(ReportsUnknownSections);
  CPPUNIT_TEST(ReportsUnknownKeys);
  CPPUNIT_TEST(ReportsBadValues);
  CPPUNIT_TEST(ReportsBadNames);
  CPPUNIT_TEST(ReportsDuplicateSectionsAndKeys);
  CPPUNIT_TEST(ReportsSyntaxErrorsOfEachSection);
  CPPUNIT_TEST(ReportsMissingRegion);
  CPPUNIT_TEST(LimitsSizeAndNumberOfErrors);
  CPPUNIT_TEST(QuotesOnlyPrintableText);
  CPPUNIT_TEST(HandlesRandomlyDamagedNotes);
  CPPUNIT_TEST(HandlesRandomText);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsEverySection() {
    ReleaseNote expected;
    expected.id = core::NoteId("2026-12-04-first");
    expected.base = core::NoteVersion(7);
    expected.added_services[core::ServiceId("heel-pitch")] = {
        true, std::chrono::seconds(5), 16, 32768};
    expected.added_domains[core::DomainId("szeged")] = {
        core::RegionId("alfold"), true};
    expected.added_tenants[core::TenantId("kaptafa")] = {0, 0, 1};
    expected.changed_domains[core::DomainId("bekes")].in_service = false;
    expected.withdrawn_services.insert(core::ServiceId("old-lookup"));
    CPPUNIT_ASSERT(expected == ParseValidNote(kFullNote));
  }

  void KeepsEmptyWithdrawSections() {
    const ReleaseNote note =
        ParseValidNote(kHead +
                       "[withdraw service a]\n[withdraw service b]\n"
                       "[withdraw domain c]\n[withdraw tenant d]");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, note.withdrawn_services.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, note.withdrawn_domains.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, note.withdrawn_tenants.size());
  }

  void AddUsesDefaultsForMissingKeys() {
    const ReleaseNote note = ParseValidNote(
        kHead + "[add service s]\n[add tenant t]\n[add domain d]\nregion=r\n");
    CPPUNIT_ASSERT(dispatch::Service() ==
                   note.added_services.at(core::ServiceId("s")));
    CPPUNIT_ASSERT(dispatch::TenantLimit() ==
                   note.added_tenants.at(core::TenantId("t")));
    CPPUNIT_ASSERT(note.added_domains.at(core::DomainId("d")).in_service);
  }

  void ChangeSetsOnlyGivenKeys() {
    const ReleaseNote note = ParseValidNote(
        kHead + "[change service s]\nmax_run_ms = 250\n[change tenant t]\n");
    dispatch::ServiceChange expected;
    expected.max_run = std::chrono::milliseconds(250);
    CPPUNIT_ASSERT(expected == note.changed_services.at(core::ServiceId("s")));
    CPPUNIT_ASSERT(dispatch::TenantChange() ==
                   note.changed_tenants.at(core::TenantId("t")));
  }

  void ParsesDotsSpacesCommentsAndLineEnds() {
    const ReleaseNote note = ParseValidNote(
        "; the first\r\n\r\n  [ note ]\r\n  id=n.1.x  \r\nbase\t=\t3\r\n"
        "# comment\r\n[add   service  a.b.c]\r\nmax_cores=2\r\n");
    CPPUNIT_ASSERT_EQUAL(std::string("n.1.x"), note.id.value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, note.base.value());
    CPPUNIT_ASSERT_EQUAL(
        2u, note.added_services.at(core::ServiceId("a.b.c")).max_cores);
  }

  void ReportsMissingNoteSectionAndKeys() {
    AssertErrors({"the section [note] with id and base is missing"}, "");
    AssertErrors(
        {"line 1: [note] id is missing", "line 1: [note] base is missing"},
        "[note]\n");
    AssertErrors({"line 1: \"id\" is before the first section",
                  "the section [note] with id and base is missing"},
                 "id = n1\n[withdraw service s]\n");
  }

  void ReportsUnknownSections() {
    const std::string allowed =
        "unknown section, allowed are [note] and "
        "[add|change|withdraw service|domain|tenant NAME]";
    AssertErrors({"line 4: [remove service s] " + allowed,
                  "line 5: [add worker w] " + allowed,
                  "line 6: [add service] " + allowed,
                  "line 7: [add service s t] " + allowed,
                  "line 8: [] " + allowed, "line 9: [Note] " + allowed},
                 kHead +
                     "[remove service s]\n[add worker w]\n[add service]\n"
                     "[add service s t]\n[]\n[Note]\n");
  }

  void ReportsUnknownKeys() {
    AssertErrors(
        {"line 4: [note] unknown key \"author\", allowed are id, base",
         "line 6: [add service s] unknown key \"max_core\", allowed are "
         "idempotent, max_run_ms, max_cores, max_memory_mb",
         "line 8: [withdraw domain d] unknown key \"region\", no key is "
         "allowed"},
        kHead +
            "author = me\n[add service s]\nmax_core = 1\n"
            "[withdraw domain d]\nregion = r\n");
  }

  void ReportsBadValues() {
    const std::string service = "[add service s] ";
    const std::string tenant = "[change tenant t] ";
    const std::string domain = "[change domain d] ";
    const std::string flags = ", allowed are true or false";
    const std::string names =
        ", allowed are 1 to 64 characters of A-Z a-z 0-9 _ . -";
    AssertErrors(
        {"line 3: [note] base is \"-1\"" + Numbers("0", "18446744073709551615"),
         "line 5: " + service + "idempotent is \"yes\"" + flags,
         "line 6: " + service + "max_run_ms is \"5s\"" + Numbers("1", "600000"),
         "line 7: " + service + "max_cores is \"0\"" + Numbers("1", "4096"),
         "line 8: " + service + "max_memory_mb is \"16777217\"" +
             Numbers("0", "16777216"),
         "line 10: " + tenant + "max_running is \"\"" +
             Numbers("0", "10000000"),
         "line 11: " + tenant + "max_queued is \"1.5\"" +
             Numbers("0", "10000000"),
         "line 12: " + tenant + "weight is \"99999999999999999999\"" +
             Numbers("1", "1000"),
         "line 14: " + domain + "region is \"a b\"" + names,
         "line 15: " + domain + "in_service is \"0\"" + flags},
        "[note]\nid = n1\nbase = -1\n"
        "[add service s]\nidempotent = yes\nmax_run_ms = 5s\nmax_cores = 0\n"
        "max_memory_mb = 16777217\n"
        "[change tenant t]\nmax_running =\nmax_queued = 1.5\n"
        "weight = 99999999999999999999\n"
        "[change domain d]\nregion = a b\nin_service = 0\n");
  }

  void ReportsBadNames() {
    const std::string rule =
        ", allowed are 1 to 64 characters of A-Z a-z 0-9 _ . -";
    AssertErrors({"line 2: [note] id is \"n/1\"" + rule,
                  "line 4: [withdraw service a/b] the name is \"a/b\"" + rule},
                 "[note]\nid = n/1\nbase = 0\n[withdraw service a/b]\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         ParseInvalidNote(kHead + "[withdraw service " +
                                          std::string(65, 'x') + "]\n")
                             .size());
  }

  void ReportsDuplicateSectionsAndKeys() {
    AssertErrors(
        {"line 5: [withdraw service s] the section is defined twice",
         "line 6: [note] the section is defined twice",
         "line 6: [note] id is missing", "line 6: [note] base is missing"},
        kHead + "[withdraw service s]\n[withdraw  service s ]\n[note]\n");
    AssertErrors({"line 6: [change tenant t] duplicate key name"},
                 kHead + "[change tenant t]\nweight = 1\nweight = 2\n");
  }

  void ReportsSyntaxErrorsOfEachSection() {
    const std::vector<std::string> errors =
        ParseInvalidNote(kHead +
                         "[add service s\n[change tenant t]\nweight\n"
                         "[change domain d]\n= 5\nin_service = maybe\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, errors.size());
    CPPUNIT_ASSERT_EQUAL(
        std::string("line 4: \"[add service s\" starts a section, the line "
                    "must end with ]"),
        errors[0]);
    CPPUNIT_ASSERT(errors[1].starts_with("line 6: [change tenant t] "));
    CPPUNIT_ASSERT(errors[2].starts_with("line 8: [change domain d] "));
  }

  void ReportsMissingRegion() {
    AssertErrors({"line 4: [add domain d] region is missing"},
                 kHead + "[add domain d]\nin_service = true\n");
    ParseValidNote(kHead + "[change domain d]\nin_service = true\n");
  }

  void LimitsSizeAndNumberOfErrors() {
    std::string longest = kHead + "[withdraw service s]\n";
    longest += ';' + std::string(kMaxNoteBytes - longest.size() - 1, 'x');
    ParseValidNote(longest);
    AssertErrors({"the note has 262145 bytes, allowed are 262144"},
                 longest + 'x');

    std::string many = kHead;
    constexpr std::size_t bad_sections = 1000;
    for (std::size_t i = 0; i < bad_sections; ++i) {
      many += "[bad " + std::to_string(i) + "]\n";
    }
    const std::vector<std::string> errors = ParseInvalidNote(many);
    CPPUNIT_ASSERT_EQUAL(kMaxNoteErrors + 1, errors.size());
    CPPUNIT_ASSERT_EQUAL(std::string("and 800 more errors"), errors.back());
  }

  void QuotesOnlyPrintableText() {
    const std::vector<std::string> errors =
        ParseInvalidNote(kHead + "[change tenant t]\nweight = \xff\x01" +
                         "a\n" + "[" + std::string(300, 'x') + "]\n");
    CPPUNIT_ASSERT_EQUAL(
        std::string("line 5: [change tenant t] weight is \"??a\", allowed are "
                    "whole numbers from 1 to 1000"),
        errors[0]);
    CPPUNIT_ASSERT(errors[1].size() < 300);
  }

  void HandlesRandomlyDamagedNotes() {
    constexpr unsigned seed = 42;
    constexpr int rounds = 3000;
    std::mt19937 random(seed);
    for (int round = 0; round < rounds; ++round) {
      std::string text = kFullNote;
      for (unsigned damage = 0; damage <= random() % 4; ++damage) {
        text[random() % text.size()] = static_cast<char>(random() % 256);
      }
      text.resize(random() % 8 == 0 ? random() % text.size() : text.size());
      AssertNoteOrErrors(text);
    }
  }

  void HandlesRandomText() {
    constexpr unsigned seed = 43;
    constexpr int rounds = 2000;
    constexpr std::string_view alphabet = "[]=;# \n\r\tadd service note.\xff";
    std::mt19937 random(seed);
    for (int round = 0; round < rounds; ++round) {
      std::string text(random() % 200, ' ');
      for (char& c : text) c = alphabet[random() % alphabet.size()];
      AssertNoteOrErrors(text);
    }
    AssertNoteOrErrors(std::string(1000, '\0'));
  }

 private:
  /// Parses `text`: either there is a note, which can be applied or refused, or
  /// there are errors.
  static void AssertNoteOrErrors(const std::string& text) {
    std::vector<std::string> errors;
    const std::optional<ReleaseNote> note = ParseNote(text, &errors);
    CPPUNIT_ASSERT_EQUAL(note.has_value(), errors.empty());
    if (!note) return;
    dispatch::World world;
    world.version = note->base;
    dispatch::NoteError reason;
    const bool applied = dispatch::ApplyNote(world, *note, &reason).has_value();
    CPPUNIT_ASSERT_EQUAL(applied, reason.errors.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NoteParserTest);

}  // namespace
}  // namespace tarragon::notes
