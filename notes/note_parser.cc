#include "tarragon/notes/note_parser.h"

#include <limits>
#include <sstream>
#include <utility>

#include "ini_sections.h"
#include "section_reader.h"

namespace tarragon::notes {
namespace {

using dispatch::ReleaseNote;

constexpr const char* kNoteSection = "note";
constexpr const char* kSectionForms =
    "allowed are [note] and [add|change|withdraw service|domain|tenant NAME]";

dispatch::ServiceChange ReadService(SectionReader* reader) {
  dispatch::ServiceChange change;
  change.idempotent = reader->ReadBool("idempotent");
  change.max_run = reader->ReadMillis("max_run_ms", dispatch::kMinRunLimit,
                                      dispatch::kMaxRunLimit);
  change.max_cores =
      reader->ReadCount("max_cores", 1, dispatch::kMaxCoresLimit);
  change.max_memory_mb =
      reader->ReadCount("max_memory_mb", 0, dispatch::kMaxMemoryMbLimit);
  return change;
}

dispatch::DomainChange ReadDomain(SectionReader* reader) {
  dispatch::DomainChange change;
  std::optional<std::string> region = reader->ReadName("region");
  if (region) change.region = core::RegionId(std::move(*region));
  change.in_service = reader->ReadBool("in_service");
  return change;
}

dispatch::TenantChange ReadTenant(SectionReader* reader) {
  dispatch::TenantChange change;
  change.max_running =
      reader->ReadCount("max_running", 0, dispatch::kMaxTasksLimit);
  change.max_queued =
      reader->ReadCount("max_queued", 0, dispatch::kMaxTasksLimit);
  change.weight = reader->ReadCount("weight", 1, dispatch::kMaxWeight);
  return change;
}

/// The parts of a section name such as "add service carve".
struct SectionHeading {
  std::string action;
  std::string kind;
  std::string name;
};

std::optional<SectionHeading> ParseHeading(const std::string& section) {
  std::istringstream words(section);
  SectionHeading heading;
  std::string more;
  const bool three = static_cast<bool>(words >> heading.action >>
                                       heading.kind >> heading.name);
  if (!three || words >> more) return std::nullopt;
  return heading;
}

/// The containers of one kind of item in the note that is being parsed, and the
/// function that reads a section of this kind.
template <typename Id, typename Item, typename ItemChange>
struct KindOutput {
  std::map<Id, Item>* added;
  std::map<Id, ItemChange>* changed;
  std::set<Id>* withdrawn;
  ItemChange (*read)(SectionReader*);
};

/// Adds the item of one section to the note. Returns false if its action is
/// unknown.
template <typename Id, typename Item, typename ItemChange>
bool ReadItem(const SectionHeading& heading, SectionReader* reader,
              const KindOutput<Id, Item, ItemChange>& output) {
  const Id id(heading.name);
  if (heading.action == "add") {
    output.added->insert_or_assign(
        id, dispatch::ApplyChange(Item(), output.read(reader)));
    return true;
  }
  if (heading.action == "change") {
    output.changed->insert_or_assign(id, output.read(reader));
    return true;
  }
  if (heading.action != "withdraw") return false;
  output.withdrawn->insert(id);
  return true;
}

/// Adds an item of any kind to the note. Returns false if the action or the
/// kind is unknown.
bool ReadAnyItem(const SectionHeading& heading, SectionReader* reader,
                 ReleaseNote* note) {
  if (heading.kind == "service") {
    const KindOutput<core::ServiceId, dispatch::Service,
                     dispatch::ServiceChange>
        output{&note->added_services, &note->changed_services,
               &note->withdrawn_services, ReadService};
    return ReadItem(heading, reader, output);
  }
  if (heading.kind == "domain") {
    const KindOutput<core::DomainId, dispatch::Domain, dispatch::DomainChange>
        output{&note->added_domains, &note->changed_domains,
               &note->withdrawn_domains, ReadDomain};
    if (heading.action == "add") reader->RequireKey("region");
    return ReadItem(heading, reader, output);
  }
  if (heading.kind == "tenant") {
    const KindOutput<core::TenantId, dispatch::TenantLimit,
                     dispatch::TenantChange>
        output{&note->added_tenants, &note->changed_tenants,
               &note->withdrawn_tenants, ReadTenant};
    return ReadItem(heading, reader, output);
  }
  return false;
}

void ReadItemSection(const IniSection& section, ReleaseNote* note,
                     std::vector<std::string>* errors) {
  const std::optional<SectionHeading> heading = ParseHeading(section.name);
  SectionReader reader(section, errors);
  if (!heading || !ReadAnyItem(*heading, &reader, note)) {
    errors->push_back(FormatLocation(section.line, section.name) +
                      "unknown section, " + kSectionForms);
    return;
  }
  if (!dispatch::IsValidName(heading->name)) {
    errors->push_back(FormatLocation(section.line, section.name) +
                      "the name is " + QuotePrintable(heading->name) +
                      ", allowed are 1 to " +
                      std::to_string(dispatch::kMaxNameLength) +
                      " characters of A-Z a-z 0-9 _ . -");
  }
  reader.ReportUnknownKeys();
}

void ReadNoteSection(const IniSection& section, ReleaseNote* note,
                     std::vector<std::string>* errors) {
  SectionReader reader(section, errors);
  reader.RequireKey("id");
  reader.RequireKey("base");
  note->id = core::NoteId(reader.ReadName("id").value_or(""));
  note->base = core::NoteVersion(
      reader.ReadInteger("base", 0, std::numeric_limits<std::uint64_t>::max())
          .value_or(0));
  reader.ReportUnknownKeys();
}

ReleaseNote ReadSections(const std::vector<IniSection>& sections,
                         std::vector<std::string>* errors) {
  ReleaseNote note;
  bool has_note_section = false;
  for (const IniSection& section : sections) {
    if (section.name == kNoteSection) {
      has_note_section = true;
      ReadNoteSection(section, &note, errors);
      continue;
    }
    ReadItemSection(section, &note, errors);
  }
  if (!has_note_section) {
    errors->emplace_back("the section [note] with id and base is missing");
  }
  return note;
}

void TruncateErrors(std::vector<std::string>* errors) {
  if (errors->size() <= kMaxNoteErrors) return;
  const std::size_t more = errors->size() - kMaxNoteErrors;
  errors->resize(kMaxNoteErrors);
  errors->push_back("and " + std::to_string(more) + " more errors");
}

}  // namespace

std::optional<ReleaseNote> ParseNote(const std::string& ini_text,
                                     std::vector<std::string>* errors) {
  std::vector<std::string> found;
  ReleaseNote note;
  if (ini_text.size() > kMaxNoteBytes) {
    found.push_back("the note has " + std::to_string(ini_text.size()) +
                    " bytes, allowed are " + std::to_string(kMaxNoteBytes));
  } else {
    note = ReadSections(ReadIniSections(ini_text, &found), &found);
  }
  if (found.empty()) return note;
  TruncateErrors(&found);
  if (errors != nullptr) *errors = std::move(found);
  return std::nullopt;
}

}  // namespace tarragon::notes
